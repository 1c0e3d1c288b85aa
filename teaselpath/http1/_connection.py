"""A connection of the client, which carries one request at a time."""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass, replace

import httptools

from teaselpath.http1._body_memory import BodyMemory
from teaselpath.http1._messages import ResponseHead

# The kernel closes a connection whose data or keep-alive probes stay unacknowledged for this
# long, in ms.
TCP_USER_TIMEOUT_MS = 2_000
# Ids of earlier requests that a connection remembers.
MAX_RECENT_IDS = 64
# Linux option number; older builds of the socket module lack the name.
_TCP_USER_TIMEOUT = getattr(socket, "TCP_USER_TIMEOUT", 18)


class ConnectionBroken(Exception):
    """The connection was closed, or received invalid data, before the response was complete."""


class InvalidResponse(ConnectionBroken):
    """The server has sent bytes that are no response, or that no request asked for."""


class ReadTimeout(Exception):
    """The response did not arrive before the deadline."""


@dataclass(slots=True, frozen=True)
class ResponseLimits:
    """Limits of what a server may send, so that none fills the memory or holds a request.

    :param head_bytes: bytes without data of a body, in sequence: a head with its field names and
        values, interim responses, chunk extensions, trailer fields.
    :param interim_responses: interim (1xx) responses before one response.
    :param skipped_bytes: bytes of responses to other requests before the expected one.
    :param body_bytes: body of a response that is read as a whole.
    :param high_water_bytes: data of bodies that is buffered before reading is paused.
    :param low_water_bytes: buffered data at which reading is resumed.
    """

    head_bytes: int = 65_536
    interim_responses: int = 16
    skipped_bytes: int = 262_144
    body_bytes: int = 8_388_608
    high_water_bytes: int = 262_144
    low_water_bytes: int = 65_536


class _IncomingResponse:
    """A response that is being received.

    :ivar has_framing: whether its head says where its body ends.
    :ivar has_body: whether any of its body has arrived.
    """

    __slots__ = ("chunks", "has_body", "has_framing", "head", "is_complete")

    def __init__(self) -> None:
        self.head = ResponseHead(0)
        self.chunks: deque[bytes] = deque()
        self.is_complete = False
        self.has_framing = False
        self.has_body = False

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the end of the connection completes it.

        A success without a body is one whose server stopped after the head.
        """
        status = self.head.status
        return status != 0 and not self.has_framing and (self.has_body or status >= 300)


class ClientConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Data that arrives while no response is expected closes the connection. A response whose id
    differs from that of the current request is skipped, and the connection is not reused. A server
    that exceeds the limits is cut off; reading pauses while the data of a body is not taken.

    :param id_header: name of the header field with the id of a request, in lower case.
    :param bodies: memory for bodies that are read as a whole, shared with other connections.
    :ivar buffered_bytes: data of bodies that was received and not yet read.
    :ivar overhead_bytes: bytes received since the last data of a body.
    :ivar has_exceeded_limits: whether the server was cut off because it exceeded a limit.
    :ivar has_invalid_data: whether the server sent bytes that are no response, or outside one.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: ResponseLimits | None = None,
        id_header: bytes = b"",
        bodies: BodyMemory | None = None,
    ):
        self.loop = loop
        self.bodies = bodies or BodyMemory()
        self.limits = limits or ResponseLimits()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.responses: deque[_IncomingResponse] = deque()
        self.current: _IncomingResponse | None = None
        self.waiter: asyncio.Future | None = None
        self.is_lost = False
        self.is_reusable = True
        self.is_busy = False
        self.error = ""
        self.idle_until = 0.0
        self.buffered_bytes = 0
        self.overhead_bytes = 0
        self.interim_responses = 0
        self.skipped_bytes = 0
        self.is_paused = False
        self.has_exceeded_limits = False
        self.has_invalid_data = False
        self.has_carried_request = False
        self.id_header = id_header
        self.expected_id: bytes | None = None
        self.recent_ids: deque[bytes] = deque(maxlen=MAX_RECENT_IDS)
        self.method = b""

    def connection_made(self, transport) -> None:
        """Set socket options, among them the timeout that detects an unreachable server."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if not self.is_busy:
            self._fail_invalid("bytes outside a response")
            return
        self.overhead_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # httptools wraps exceptions that callbacks raise.
            cause = error.__context__
            if isinstance(cause, _LimitExceeded):
                self._fail_limit(str(cause))
            else:
                self._fail_invalid(f"no valid response: {error}")
        if self.overhead_bytes > self.limits.head_bytes:
            self._fail_limit(f"more than {self.limits.head_bytes} bytes of head or framing")
        if self.buffered_bytes > self.limits.high_water_bytes and not self.is_lost:
            self._pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Complete a response without framing, which ends with the connection."""
        incoming = self.current
        if incoming is not None and incoming.ends_with_connection:
            incoming.is_complete = True
            self.current = None
        return False

    def connection_lost(self, exc) -> None:
        """Wake the reader."""
        self.is_lost = True
        self.is_reusable = False
        if not self.error:
            self.error = f"connection lost: {exc}" if exc else "connection closed by the server"
        self._wake()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response."""
        self.current = _IncomingResponse()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        assert self.current is not None
        if self.current.head.status:
            # Trailer fields are not forwarded.
            return
        self.current.head.headers.append((name, value))
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self.current.has_framing = True

    def on_headers_complete(self) -> None:
        """Queue the response for the reader; interim (1xx) responses are discarded."""
        assert self.current is not None
        status = self.parser.get_status_code()
        self.current.head.status = status
        if status in (204, 304):
            self.current.has_framing = True
        if status >= 200:
            self.responses.append(self.current)
            self.interim_responses = 0
        else:
            self.interim_responses += 1
            if self.interim_responses > self.limits.interim_responses:
                raise _LimitExceeded(f"more than {self.limits.interim_responses} interim responses")
        if not self.current.has_framing or not self.parser.should_keep_alive():
            self.is_reusable = False

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        assert self.current is not None
        self.current.chunks.append(data)
        self.current.has_body = True
        self.buffered_bytes += len(data)
        self.overhead_bytes = 0

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self.current is not None:
            self.current.is_complete = True
            self.current = None

    # requests

    def identifies(self, request_id: bytes | None) -> bool:
        """Return whether the response to a request could be told from copies of earlier ones."""
        if not self.has_carried_request:
            return True
        return request_id is not None and request_id not in self.recent_ids

    def send(
        self, method: bytes, data: bytes, id_header: bytes = b"", expected_id: bytes | None = None
    ) -> None:
        """Send a request.

        :param id_header: name of the header field with the id of the request, in lower case.
        :param expected_id: expected value of that field; None for a request without an id, whose
            response has none either and may, unless ``identifies`` holds, be a late copy of an
            earlier one. With an id, a response without the field is accepted only if the
            connection has carried no other request.
        :raises ConnectionBroken: if the connection is already closed.
        """
        if self.is_lost or self.transport is None:
            raise ConnectionBroken(self.error)
        self.is_busy = True
        self.method = method
        self.id_header = id_header or self.id_header
        self.expected_id = expected_id
        self.overhead_bytes = 0
        self.skipped_bytes = 0
        self.transport.write(data)

    def limit_buffers(self, size: int) -> None:
        """Limit what the kernel holds of responses, and what is read ahead of the reader."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self.limits = replace(self.limits, high_water_bytes=size, low_water_bytes=size // 4)

    async def read_head(self, deadline: float) -> ResponseHead:
        """Return the head of the response to the current request.

        :param deadline: event loop time.
        :raises ConnectionBroken: if the connection is closed first.
        :raises ReadTimeout: at the deadline.
        """
        while True:
            await self._wait_until(lambda: bool(self.responses), deadline)
            incoming = self.responses[0]
            if self._is_expected(incoming.head):
                return incoming.head
            self.is_reusable = False
            while (chunk := await self.read_chunk(deadline)) is not None:
                self.skipped_bytes += len(chunk)
                self._check_skipped()
            self.responses.popleft()

    async def read_chunk(self, deadline: float) -> bytes | None:
        """Return the data of the body received so far, or None at its end."""
        incoming = self.responses[0]
        if not incoming.chunks and not incoming.is_complete:
            await self._wait_until(lambda: bool(incoming.chunks) or incoming.is_complete, deadline)
        if incoming.chunks:
            data = b"".join(incoming.chunks)
            incoming.chunks.clear()
            self.buffered_bytes -= len(data)
            if self.is_paused and self.buffered_bytes <= self.limits.low_water_bytes:
                self._resume_reading()
            return data
        return None

    async def read_body(self, deadline: float, max_bytes: int | None = None) -> bytes:
        """Return the complete body.

        :param max_bytes: largest accepted size; None for the limit of the connection.
        :raises ConnectionBroken: if the body is larger, or incomplete.
        """
        limit = self.limits.body_bytes if max_bytes is None else max_bytes
        if self.method == b"HEAD":
            # The parser waits for a body if the response has a Content-Length.
            self.is_reusable = False
            return b""
        chunks, size = [], 0
        try:
            while (chunk := await self.read_chunk(deadline)) is not None:
                chunks.append(chunk)
                size += len(chunk)
                if size > limit:
                    self._fail_limit(f"a body of more than {limit} bytes")
                    raise ConnectionBroken(self.error)
                self.bodies.add(self, len(chunk))
        finally:
            self.bodies.remove(self)
        return b"".join(chunks)

    def give_up_body(self) -> None:
        """Cut the server off, since the bodies of all servers are too large together."""
        self._fail_limit("the memory for bodies is used up")

    def has_extra_data(self) -> bool:
        """Return whether the server has sent more than the response to the current request."""
        first = self.responses[0] if self.responses else None
        has_second = self.current is not None and self.current is not first
        return self.has_invalid_data or has_second or len(self.responses) > 1

    def end_request(self) -> None:
        """Finish the current request; the connection is idle afterwards."""
        incoming = self.responses.popleft() if self.responses else None
        if incoming is None or not incoming.is_complete or self.responses or self.current:
            self.is_reusable = False
        if self.transport is not None and self.transport.get_write_buffer_size():
            self.is_reusable = False
        self.is_busy = False
        self.has_carried_request = True
        if self.expected_id is not None:
            self.recent_ids.append(self.expected_id)

    def abort(self) -> None:
        """Abort the connection, so that the server cancels the current request."""
        self.is_reusable = False
        self.is_lost = True
        if self.transport is not None:
            self.transport.abort()

    def _is_expected(self, head: ResponseHead) -> bool:
        # A server echoes the empty id of a request without one.
        found = (head.header(self.id_header) or None) if self.id_header else None
        if self.expected_id is None:
            return found is None
        if found is None:
            return not self.has_carried_request
        return found == self.expected_id

    def _check_skipped(self) -> None:
        if self.skipped_bytes > self.limits.skipped_bytes:
            self._fail_limit(f"more than {self.limits.skipped_bytes} bytes of other responses")

    def _pause_reading(self) -> None:
        if self.transport is not None and not self.is_paused:
            self.is_paused = True
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        self.is_paused = False
        if self.transport is not None and not self.is_lost:
            self.transport.resume_reading()

    async def _wait_until(self, condition, deadline: float) -> None:
        while not condition():
            if self.has_invalid_data:
                raise InvalidResponse(self.error)
            if self.is_lost:
                raise ConnectionBroken(self.error)
            remaining_s = deadline - self.loop.time()
            if remaining_s <= 0:
                raise ReadTimeout
            self.waiter = self.loop.create_future()
            timer = self.loop.call_later(remaining_s, self._wake)
            try:
                await self.waiter
            finally:
                timer.cancel()
                self.waiter = None

    def _wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _fail_limit(self, reason: str) -> None:
        self.has_exceeded_limits = True
        self._fail(reason)

    def _fail_invalid(self, reason: str) -> None:
        self.has_invalid_data = True
        self._fail(reason)

    def _fail(self, reason: str) -> None:
        self.error = self.error or reason
        self.abort()
        self._wake()


class _LimitExceeded(Exception):
    """A server has sent more than it may."""
