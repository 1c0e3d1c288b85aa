"""Reads one stream of the log and hands its records on in offset order."""

import asyncio
from collections.abc import Callable

from result import Ok

from teaselpath.clients import LogClient, LogPage, LogRecord, Trimmed

RETRY_DELAY_S = 0.25
RETRY_DELAY_MAX_S = 2.0
READ_MARGIN_S = 3.0
UNWANTED_READ_S = 60.0


class LogFollower:
    """Follows one stream until cancelled.

    :param client: log client.
    :param stream: name of the stream.
    :param take: called with each record, in offset order.
    :param noticed: called after each read with whether the log answered.
    :param skipped: called with the first offset that is left when records were trimmed unread.
    :param wait_ms: length of one long poll, in milliseconds.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        take: Callable[[LogRecord], None],
        noticed: Callable[[bool], None],
        skipped: Callable[[int], None],
        wait_ms: int,
    ):
        self.client = client
        self.stream = stream
        self.take = take
        self.noticed = noticed
        self.skipped = skipped
        self.wait_ms = wait_ms
        self.next_offset = 0
        self.first_offset = 0
        self.end_offset = 0
        self.is_up = False
        self.read_started_at = 0.0
        self.wanted = asyncio.Event()
        self.wanted.set()

    @property
    def is_caught_up(self) -> bool:
        """Return whether the last read reached the end of the stream."""
        return self.is_up and self.next_offset >= self.end_offset

    async def run(self) -> None:
        """Read on for ever; retry with a growing delay while the log is down."""
        delay_s = RETRY_DELAY_S
        while True:
            await self._until_wanted()
            self.is_up = await self._read_once()
            self.noticed(self.is_up)
            if self.is_up:
                delay_s = RETRY_DELAY_S
                continue
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, RETRY_DELAY_MAX_S)

    async def _until_wanted(self) -> None:
        """Wait while other nodes read for this one; a rare read makes up for readers that fail."""
        try:
            async with asyncio.timeout(UNWANTED_READ_S):
                await self.wanted.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> bool:
        wait_ms = self.wait_ms if self.is_caught_up else 0
        self.read_started_at = asyncio.get_running_loop().time()
        deadline = self.read_started_at + wait_ms / 1e3 + READ_MARGIN_S
        match await self.client.read(self.stream, self.next_offset, deadline, wait_ms=wait_ms):
            case Ok(LogPage() as page):
                self._take_page(page)
                return True
            case Ok(Trimmed(first=first)):
                self.next_offset = first
                self.skipped(first)
                return True
        return False

    def _take_page(self, page: LogPage) -> None:
        self.first_offset = page.first
        self.end_offset = page.next
        for record in page.records:
            self.take(record)
            self.next_offset = record.offset + 1
