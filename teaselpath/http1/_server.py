"""HTTP server connections, which handle one request at a time, in order."""

import asyncio
import contextlib
import select
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from teaselpath.http1._messages import (
    HOP_BY_HOP,
    Headers,
    Request,
    ServerLimits,
    encode_head,
)

# Number of pipelined requests at which reading from a connection is paused.
MAX_PIPELINED = 4

Handler = Callable[["Exchange"], Awaitable[None]]


class ResponseStateError(RuntimeError):
    """A handler sends what may not follow the response so far; nothing of it was sent."""


class Exchange:
    """One request and the response to it.

    A response is started once and finished once. If it cannot be completed, the connection is
    closed, so that a caller never mistakes a partial response for a complete one.

    :param connection: connection on which the request arrived.
    :param request: the complete request.
    """

    __slots__ = ("chunked", "connection", "is_finished", "is_started", "remaining", "request")

    def __init__(self, connection: "ServerConnection", request: Request):
        self.connection = connection
        self.request = request
        self.is_started = False
        self.is_finished = False
        self.chunked = False
        self.remaining = 0

    def start(self, status: int, headers: Headers, length: int | None = None) -> None:
        """Send the head; without ``length`` the body is sent in chunks.

        :raises ResponseStateError: if the response was started before.
        """
        if self.is_started or self.is_finished:
            raise ResponseStateError(f"status {status} in the middle of a response")
        self.is_started = True
        fields = [pair for pair in headers if not _is_framing(pair[0])]
        if length is None:
            self.chunked = True
            fields.append((b"Transfer-Encoding", b"chunked"))
        else:
            self.remaining = length
            fields.append((b"Content-Length", b"%d" % length))
        if self.connection.closes_after(self.request):
            fields.append((b"Connection", b"close"))
        self.connection.write(encode_head(status, fields))

    def write(self, data: bytes) -> None:
        """Send data of the body.

        :raises ResponseStateError: outside a response, or beyond its announced length.
        """
        self._check_is_open()
        if not data:
            return
        if self.chunked:
            self.connection.write(b"%x\r\n%b\r\n" % (len(data), data))
            return
        if len(data) > self.remaining:
            raise ResponseStateError(f"{len(data)} bytes of body, {self.remaining} are left")
        self.remaining -= len(data)
        self.connection.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        await self.connection.drain()

    def finish(self) -> None:
        """Finish the response; close the connection if the body is shorter than announced.

        :raises ResponseStateError: if no response was started, or it is finished.
        """
        self._check_is_open()
        self.is_finished = True
        if self.chunked:
            self.connection.write(b"0\r\n\r\n")
        elif self.remaining:
            self.abort()

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response.

        :raises ResponseStateError: if a response was started before.
        """
        self.start(status, headers, len(body))
        self.write(body)
        self.finish()

    def abort(self) -> None:
        """Close the connection, so that the caller detects the incomplete response."""
        self.is_finished = True
        self.connection.close_after_flush()

    def _check_is_open(self) -> None:
        if not self.is_started or self.is_finished:
            raise ResponseStateError("data of a body outside a response")


def _is_framing(name: bytes) -> bool:
    lower = name.lower()
    return lower in HOP_BY_HOP or lower == b"content-length"


class ServerConnection(asyncio.Protocol):
    """Parses requests and runs the handler for each.

    The handler is cancelled when the caller closes the connection.

    :param handler: coroutine function that responds to an exchange.
    :param limits: function that returns the current limits.
    :param connections: set of all open connections, updated by this class.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        connections: set["ServerConnection"],
    ):
        self.handler = handler
        self.get_limits = limits
        self.connections = connections
        self.transport: asyncio.Transport | None = None
        self.pipelined: deque[Request] = deque()
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.is_closing = False
        self.must_close = False
        self.is_rejecting = False
        self.can_write = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self._reset_parser()

    def _reset_parser(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self._reset_request()

    def _reset_request(self) -> None:
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.field_bytes = 0
        self.body_bytes = 0
        self.is_reading = False

    # asyncio.Protocol

    def connection_made(self, transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.can_write.set()
        self.connections.add(self)
        self._set_timer(self.get_limits().idle_timeout_s)

    def connection_lost(self, exc) -> None:
        """Cancel the running handler, since the caller can no longer receive its response."""
        self.is_closing = True
        self.connections.discard(self)
        self.can_write.set()
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Close the connection; half-closed connections are not supported."""
        return False

    def pause_writing(self) -> None:
        """Make ``drain`` wait."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Resume handlers that wait in ``drain``."""
        self.can_write.set()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self.is_closing or self.is_rejecting:
            return
        if not self.is_reading:
            self.is_reading = True
            if self.task is None:
                self._set_timer(self.get_limits().header_timeout_s)
        try:
            self.parser.feed_data(data)
        except _TooLarge as error:
            self._reject(error.status)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError as error:
            # httptools wraps exceptions that callbacks raise.
            cause = error.__context__
            self._reject(cause.status if isinstance(cause, _TooLarge) else 400)

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_request()
        self.is_reading = True

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may arrive in fragments."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        self.headers.append((name, value))
        self.field_bytes += len(name) + len(value)
        if self.field_bytes > self.get_limits().header_bytes:
            raise _TooLarge(431)

    def on_headers_complete(self) -> None:
        """Limit the time to receive the body to the idle timeout."""
        if self.task is None:
            self._set_timer(self.get_limits().idle_timeout_s)

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self.get_limits().body_bytes:
            raise _TooLarge(413)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Run the handler for the request, or queue the request while another is handled."""
        request = Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            b"".join(self.body),
            self.parser.should_keep_alive(),
            self.loop.time(),
        )
        self._reset_request()
        self.pipelined.append(request)
        if len(self.pipelined) >= MAX_PIPELINED and self.transport is not None:
            self.transport.pause_reading()
        if self.task is None:
            self._run_next()

    # requests

    def closes_after(self, request: Request) -> bool:
        """Return whether the connection is closed after the response to this request."""
        return self.must_close or self.is_closing or not request.keep_alive

    def write(self, data: bytes) -> None:
        """Write to the caller unless the connection is closing."""
        if not self.is_closing and self.transport is not None:
            self.transport.write(data)

    async def drain(self) -> None:
        """Wait until the transport's write buffer is below its limit."""
        if not self.can_write.is_set():
            await self.can_write.wait()

    def close_after_flush(self) -> None:
        """Close the connection after the data that is already buffered has been sent."""
        self.must_close = True
        if self.transport is not None and not self.is_closing:
            self.is_closing = True
            self.transport.close()

    def stop_reuse(self) -> None:
        """Close the connection after the current response, or the next one if it is idle."""
        self.must_close = True

    def close_if_idle(self) -> bool:
        """Close the connection if no request is being received, queued or handled."""
        if self.task is not None or self.pipelined or self.is_reading or self._has_unread_data():
            return False
        self._close()
        return True

    def _has_unread_data(self) -> bool:
        """Return whether the kernel holds data that was not read; closing would reset the caller.

        The end of the connection counts as data and is read next.
        """
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _run_next(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        request = self.pipelined.popleft()
        if self.transport is not None and len(self.pipelined) < MAX_PIPELINED:
            self.transport.resume_reading()
        self.task = self.loop.create_task(self._run(Exchange(self, request)))

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self.handler(exchange)
        except asyncio.CancelledError:
            self.close_after_flush()
            raise
        finally:
            self.task = None
            if not exchange.is_finished:
                exchange.abort()
        self._on_handled(exchange)

    def _on_handled(self, exchange: Exchange) -> None:
        if self.is_closing:
            return
        if self.must_close or not exchange.request.keep_alive:
            self._close()
        elif self.pipelined:
            self._run_next()
        else:
            self._set_timer(self.get_limits().idle_timeout_s)

    def _reject(self, status: int) -> None:
        """Reject a request that is malformed, too large or too slow, and close the connection.

        If earlier requests are still in flight, the connection is closed without a response to
        the rejected one.
        """
        self.must_close = True
        self.is_rejecting = True
        if self.task is None and not self.pipelined:
            head = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self.write(encode_head(status, head))
        self._close_when_done()

    def _close_when_done(self) -> None:
        if self.task is None:
            self._close()
        else:
            self.task.add_done_callback(lambda _: self._close())

    def _close(self) -> None:
        if self.transport is not None and not self.is_closing:
            self.is_closing = True
            self.transport.close()

    def _set_timer(self, delay_s: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay_s, self._on_timeout)

    def _on_timeout(self) -> None:
        self.timer = None
        if self.task is not None or self.pipelined:
            return
        if self.is_reading:
            with contextlib.suppress(RuntimeError):
                self._reject(408)
        else:
            self._close()


class _TooLarge(Exception):
    """The head or body of a request exceeds its limit."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status
