"""Client of the log service."""

import asyncio
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
import msgspec
from result import Err, Result

from teaselpath.clients._http import Answer, call, decode_json, retry_after_s
from teaselpath.results import Code, Failure, Ran

# Time reserved for the response to a long poll, in addition to its wait.
POLL_MARGIN_S = 2.0


class LogRecord(msgspec.Struct):
    """One record of a stream.

    :param data: the raw record; base64 in JSON.
    :param age_ms: time since the append, in milliseconds.
    """

    offset: int
    data: bytes
    age_ms: int = 0


class LogPage(msgspec.Struct):
    """Response to a read.

    :param first: oldest offset that the log retains.
    :param next: offset of the next record to be appended.
    """

    first: int
    next: int
    records: list[LogRecord] = []


class _Offset(msgspec.Struct):
    offset: int


class _First(msgspec.Struct):
    first: int


@dataclass(slots=True, frozen=True)
class Trimmed:
    """The requested offset is no longer retained; reading continues at ``first``."""

    first: int


class LogClient:
    """Appends to and reads from the streams of the log.

    :param session: HTTP session, closed by the caller.
    :param url: base URL of the log service.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def append(self, stream: str, data: bytes, deadline: float) -> Result[int, Failure]:
        """Append a record and return its offset.

        APPEND_UNKNOWN means that the append may have taken effect: the caller must read the stream
        before it appends again. After LOG_RATE_LIMITED and LOG_UNAVAILABLE nothing was appended.

        :param deadline: deadline, in event-loop time.
        """
        called = await call(self.session, "POST", self._records_url(stream), deadline, data)
        if called.is_err():
            failure = called.unwrap_err()
            if failure.was_sent:
                return Err(Failure(Code.APPEND_UNKNOWN, failure.detail, Ran.UNKNOWN))
            return Err(Failure(Code.LOG_UNAVAILABLE, failure.detail))
        answer = called.unwrap()
        if answer.status == 200:
            decoded = decode_json(answer.body, _Offset, Code.APPEND_UNKNOWN)
            return decoded.map(lambda body: body.offset)
        return Err(_append_failure(answer))

    async def read(
        self,
        stream: str,
        from_offset: int,
        deadline: float,
        limit: int = 100,
        wait_ms: int = 0,
    ) -> Result[LogPage | Trimmed, Failure]:
        """Read records, starting at an offset.

        :param deadline: deadline, in event-loop time; the wait is shortened to end before it.
        :param wait_ms: how long the log may wait for a record if there is none to read.
        :returns: a page, ``Trimmed`` if the offset is no longer retained, or LOG_UNAVAILABLE.
        """
        remaining_s = deadline - asyncio.get_running_loop().time()
        longest_ms = max(0, int((remaining_s - POLL_MARGIN_S) * 1000))
        params = {
            "from": str(from_offset),
            "limit": str(limit),
            "wait_ms": str(min(wait_ms, longest_ms)),
        }
        called = await call(self.session, "GET", self._records_url(stream), deadline, None, params)
        if called.is_err():
            return Err(Failure(Code.LOG_UNAVAILABLE, called.unwrap_err().detail))
        answer = called.unwrap()
        if answer.status == 200:
            return decode_json(answer.body, LogPage, Code.LOG_UNAVAILABLE)
        if answer.status == 410:
            decoded = decode_json(answer.body, _First, Code.LOG_UNAVAILABLE)
            return decoded.map(lambda body: Trimmed(body.first))
        return Err(Failure(Code.LOG_UNAVAILABLE, f"HTTP status {answer.status}"))

    def _records_url(self, stream: str) -> str:
        return f"{self.url}/streams/{quote(stream, safe='')}/records"


def _append_failure(answer: Answer) -> Failure:
    """Return the failure of an append with an error status.

    Only 4xx and 503 prove that nothing was appended.
    """
    if answer.status == 429:
        detail = "the log is at its append rate"
        return Failure(Code.LOG_RATE_LIMITED, detail, Ran.NOT_RUN, retry_after_s(answer))
    if answer.status in (500, 502, 504):
        return Failure(Code.APPEND_UNKNOWN, f"HTTP status {answer.status}", Ran.UNKNOWN)
    return Failure(
        Code.LOG_UNAVAILABLE,
        f"HTTP status {answer.status}",
        Ran.NOT_RUN,
        retry_after_s(answer),
    )
