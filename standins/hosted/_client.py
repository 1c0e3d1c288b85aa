"""Callers of a hosted site, with a check of each answer."""

import asyncio
from dataclasses import dataclass

from standins.hosted._engine import answer_of, events_of, stamp_of
from teaselpath.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    ConnectionPool,
    PoolLimits,
    ReadTimeout,
    ResponseHead,
    encode_request,
)


@dataclass(slots=True)
class Answer:
    """What a caller got.

    :param status: status of the answer; 0 if none arrived.
    :param is_whole: whether the answer ended as complete.
    """

    request_id: str
    status: int
    body: bytes
    is_whole: bool
    stamp: str = ""
    retry_after_s: float | None = None

    def fault(self, *, is_stream: bool) -> str | None:
        """Return how a success differs from the endpoint's own answer, None if it does not."""
        if self.status != 200:
            own = self.status == 500
            if self.stamp and not own:
                return f"{self.request_id}: status {self.status} bears a signature"
            return None
        wanted = b"".join(events_of(self.request_id)) if is_stream else answer_of(self.request_id)
        if self.stamp != stamp_of(self.request_id):
            return f"{self.request_id}: wrong signature {self.stamp!r}"
        if self.is_whole and self.body != wanted:
            return f"{self.request_id}: answer differs: {self.body[-80:]!r}"
        if not wanted.startswith(self.body):
            return f"{self.request_id}: part of another answer: {self.body[-80:]!r}"
        return None


class Caller:
    """A caller with kept connections to one gateway.

    :param address: IP:PORT of the gateway.
    """

    def __init__(self, address: str, key: str = "key-1"):
        self.key = key
        self.pool = ConnectionPool(address, PoolLimits(connect_timeout_s=1.0, default_idle_s=6.0))

    async def ask(
        self,
        path: str,
        request_id: str,
        *,
        prefix: str = "",
        tokens: str = "300,10",
        timeout_s: float = 8.0,
        leave_after_s: float | None = None,
    ) -> Answer:
        """Send a request and return what came back.

        :param leave_after_s: time after which the caller closes its connection.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        headers = [
            (b"Host", b"site.example"),
            (b"Request-Id", request_id.encode()),
            (b"Authorization", b"Token " + self.key.encode()),
            (b"Deadline-Ms", b"%d" % (timeout_s * 1000)),
        ]
        if prefix:
            headers += [
                (b"Model", b"model-a"),
                (b"Token-Counts", tokens.encode()),
                (b"Prompt-Prefix", prefix.encode()),
            ]
        try:
            connection = await self.pool.acquire(deadline)
        except ConnectFailed:
            return Answer(request_id, 0, b"", False)
        until = deadline if leave_after_s is None else loop.time() + leave_after_s
        head, parts = ResponseHead(0), []
        try:
            connection.send(b"POST", encode_request(b"POST", path.encode(), headers, b"{}"))
            head = await connection.read_head(until)
            while (part := await connection.read_chunk(until)) is not None:
                parts.append(part)
        except (ConnectionBroken, ReadTimeout):
            connection.abort()
            return _answer(request_id, head, b"".join(parts), is_whole=False)
        except asyncio.CancelledError:
            connection.abort()
            raise
        self._give_back(connection, head)
        return _answer(request_id, head, b"".join(parts), is_whole=True)

    def _give_back(self, connection: ClientConnection, head: ResponseHead) -> None:
        self.pool.release(connection, head)

    def close(self) -> None:
        """Close the kept connections."""
        self.pool.close()


def _answer(request_id: str, head: ResponseHead, body: bytes, *, is_whole: bool) -> Answer:
    retry_after = head.header(b"retry-after")
    return Answer(
        request_id,
        head.status,
        body,
        is_whole,
        (head.header(b"response-stamp") or b"").decode(),
        float(retry_after) if retry_after else None,
    )
