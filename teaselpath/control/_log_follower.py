"""Long-polling reader of one log stream that delivers records in offset order."""

import asyncio
from collections.abc import Callable

from eliot import log_message
from result import Ok

from teaselpath.clients import LogClient, LogPage, LogRecord, Trimmed

RETRY_DELAY_S = 0.25
RETRY_DELAY_MAX_S = 2.0
READ_TIMEOUT_MARGIN_S = 3.0
DISABLED_READ_INTERVAL_S = 60.0


class LogFollower:
    """Follows one stream until cancelled.

    :param client: log client.
    :param stream: name of the stream.
    :param on_record: called with each record, in offset order.
    :param on_read: called after each read with whether it succeeded.
    :param on_skip: called with the first remaining offset if unread records were trimmed.
    :param wait_ms: length of one long poll, in milliseconds.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        on_record: Callable[[LogRecord], None],
        on_read: Callable[[bool], None],
        on_skip: Callable[[int], None],
        wait_ms: int,
    ):
        self.client = client
        self.stream = stream
        self.on_record = on_record
        self.on_read = on_read
        self.on_skip = on_skip
        self.wait_ms = wait_ms
        self.next_offset = 0
        self.first_offset = 0
        self.end_offset = 0
        self.is_up = False
        self.read_started_at = 0.0
        self.enabled = asyncio.Event()
        self.enabled.set()

    @property
    def is_caught_up(self) -> bool:
        """Return whether the last read reached the end of the stream."""
        return self.is_up and self.next_offset >= self.end_offset

    async def run(self) -> None:
        """Read until cancelled; retry with exponential backoff while the log is unavailable."""
        delay_s = RETRY_DELAY_S
        while True:
            await self._wait_until_enabled()
            self.is_up = await self._read_once()
            self.on_read(self.is_up)
            if self.is_up:
                delay_s = RETRY_DELAY_S
                continue
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, RETRY_DELAY_MAX_S)

    async def _wait_until_enabled(self) -> None:
        """Wait while other nodes read the stream; an occasional read covers for failed readers."""
        try:
            async with asyncio.timeout(DISABLED_READ_INTERVAL_S):
                await self.enabled.wait()
        except TimeoutError:
            return

    async def _read_once(self) -> bool:
        wait_ms = self.wait_ms if self.is_caught_up else 0
        self.read_started_at = asyncio.get_running_loop().time()
        deadline = self.read_started_at + wait_ms / 1e3 + READ_TIMEOUT_MARGIN_S
        match await self.client.read(self.stream, self.next_offset, deadline, wait_ms=wait_ms):
            case Ok(LogPage() as page) if page.next < self.next_offset:
                # The log has lost records that it had acknowledged; those appended since then are
                # not delivered, because their offsets were used before.
                log_message(
                    "log_went_back", stream=self.stream, end=page.next, read_to=self.next_offset
                )
                return False
            case Ok(LogPage() as page):
                self._handle_page(page)
                return True
            case Ok(Trimmed(first=first)):
                self.next_offset = first
                self.on_skip(first)
                return True
        return False

    def _handle_page(self, page: LogPage) -> None:
        self.first_offset = page.first
        self.end_offset = page.next
        for record in page.records:
            self.on_record(record)
            self.next_offset = record.offset + 1
