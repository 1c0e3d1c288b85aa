"""Test client of a hosted site, with validation of each answer."""

import asyncio
from dataclasses import dataclass

from standins.hosted._answers import answer_of, events_of, stamp_of
from teaselpath.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    ConnectionPool,
    InvalidResponse,
    PoolLimits,
    ReadTimeout,
    ResponseHead,
    encode_request,
)

# Buffer of a caller that reads slowly, in bytes.
SLOW_BUFFER_BYTES = 8_192


@dataclass(slots=True)
class Answer:
    """The answer to a request, as the caller received it.

    :param status: HTTP status; 0 if no answer arrived.
    :param is_complete: whether the answer was received completely.
    :param resumes: id of the request that began the stream that this one takes up, if it does.
    :param last_event_id: id of the event after which it goes on.
    :param has_foreign_bytes: whether bytes came within or after it that are no part of an answer,
        or answer no request.
    """

    request_id: str
    status: int
    body: bytes
    is_complete: bool
    stamp: str = ""
    retry_after_s: float | None = None
    has_foreign_bytes: bool = False
    resumes: str = ""
    last_event_id: str = ""

    @property
    def last_whole_event_id(self) -> str:
        """Return the id of the last whole event of a stream; empty if it has none."""
        events = [event for event in self.body.split(b"\n\n")[:-1] if event.startswith(b"id: ")]
        return events[-1].partition(b"\n")[0].removeprefix(b"id: ").decode() if events else ""

    def fault(self, *, is_stream: bool) -> str | None:
        """Compare the answer with the one that the endpoint produces for this request id.

        Foreign bytes are a fault of any answer. An answer of 200 must carry the endpoint's
        signature and body, or a prefix of the body if it was cut off. Of the others, only a 500 may
        carry a signature.

        :returns: description of the difference, or None.
        """
        if self.has_foreign_bytes:
            return f"{self.request_id}: bytes that belong to no answer, status {self.status}"
        if self.status != 200:
            is_own_error = self.status == 500
            if self.stamp and not is_own_error:
                return f"{self.request_id}: unexpected signature on status {self.status}"
            return None
        events = events_of(self.resumes or self.request_id)[int(self.last_event_id or 0) :]
        expected = b"".join(events) if is_stream else answer_of(self.request_id)
        if self.stamp != stamp_of(self.request_id):
            return f"{self.request_id}: wrong signature {self.stamp!r}"
        if self.is_complete and self.body != expected:
            return f"{self.request_id}: answer differs: {self.body[-80:]!r}"
        if not expected.startswith(self.body):
            return f"{self.request_id}: partial body is part of another answer: {self.body[-80:]!r}"
        return None


class Caller:
    """HTTP client with a pool of connections to one gateway.

    :param address: IP:PORT of the gateway.
    :ivar last_answers: the last answer on each connection that may be used again.
    """

    def __init__(self, address: str, key: str = "key-1"):
        self.key = key
        self.pool = ConnectionPool(address, PoolLimits(connect_timeout_s=1.0, default_idle_s=6.0))
        self.last_answers: dict[ClientConnection, Answer] = {}

    async def send(
        self,
        path: str,
        request_id: str,
        *,
        prefix: str = "",
        tokens: str = "300,10",
        timeout_s: float = 8.0,
        disconnect_after_s: float | None = None,
        body: bytes = b"{}",
        last_event_id: str = "",
        resumes: str = "",
        read_pause_s: float = 0.0,
    ) -> Answer:
        """Send a request and return its answer.

        :param disconnect_after_s: time after which the caller closes its connection without waiting
            for the rest of the answer.
        :param read_pause_s: time between two small reads of a caller that reads slowly.
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
        if last_event_id:
            headers.append((b"Last-Event-Id", last_event_id.encode()))
        if resumes:
            headers.append((b"Resumes", resumes.encode()))
        self._check_idle_connections()
        try:
            connection = await self.pool.acquire(deadline)
        except ConnectFailed:
            return Answer(request_id, 0, b"", False)
        self.last_answers.pop(connection, None)
        read_deadline = deadline if disconnect_after_s is None else loop.time() + disconnect_after_s
        head, parts = ResponseHead(0), []
        try:
            if read_pause_s:
                connection.limit_buffers(SLOW_BUFFER_BYTES)
            connection.send(b"POST", encode_request(b"POST", path.encode(), headers, body))
            head = await connection.read_head(read_deadline)
            while (part := await connection.read_chunk(read_deadline)) is not None:
                parts.append(part)
                await asyncio.sleep(read_pause_s)
        except (ConnectionBroken, ReadTimeout) as error:
            connection.abort()
            answer = _answer(request_id, head, b"".join(parts), is_complete=False)
            answer.has_foreign_bytes = isinstance(error, InvalidResponse)
            answer.resumes, answer.last_event_id = resumes, last_event_id
            return answer
        except asyncio.CancelledError:
            connection.abort()
            raise
        answer = _answer(request_id, head, b"".join(parts), is_complete=True)
        answer.has_foreign_bytes = connection.has_extra_data()
        answer.resumes, answer.last_event_id = resumes, last_event_id
        self.pool.release(connection, head)
        self.last_answers[connection] = answer
        return answer

    def _check_idle_connections(self) -> None:
        """Find bytes that the gateway sent after an answer, with no request in flight."""
        for connection, answer in list(self.last_answers.items()):
            answer.has_foreign_bytes |= connection.has_invalid_data
            if connection.is_lost:
                del self.last_answers[connection]

    def close(self) -> None:
        """Close the pooled connections."""
        self._check_idle_connections()
        self.pool.close()


def _answer(request_id: str, head: ResponseHead, body: bytes, *, is_complete: bool) -> Answer:
    retry_after = head.header(b"retry-after")
    return Answer(
        request_id,
        head.status,
        body,
        is_complete,
        (head.header(b"response-stamp") or b"").decode(),
        float(retry_after) if retry_after else None,
    )
