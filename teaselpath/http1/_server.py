"""HTTP server connections, which handle one request at a time, in order."""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Awaitable, Callable

from teaselpath.http1._ends import (
    ConnectionEnd,
    ConnectionObserver,
    EndCause,
    count_unread_bytes,
    count_untaken_bytes,
    has_unread_data,
)
from teaselpath.http1._messages import (
    HOP_BY_HOP,
    Headers,
    Request,
    ServerLimits,
    encode_head,
)
from teaselpath.http1._request_memory import RequestMemory
from teaselpath.http1._request_parser import RequestParser, RequestRejected
from teaselpath.http1._unsent_memory import UnsentMemory

# Number of pipelined requests at which reading from a connection is paused.
MAX_PIPELINED = 4

# Time for data that the kernel holds to be read, in seconds.
UNREAD_TIMEOUT_S = 0.05
# Time within which the caller of a connection that closes has to take more of the last response, in
# seconds.
LINGER_S = 5.0

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
        self._check_is_unstarted(status)
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

    def limit_send_buffer(self, size: int) -> None:
        """Limit what the kernel holds of the response; it may hold twice as much."""
        self.connection.limit_send_buffer(size)

    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the caller has not taken."""
        return self.connection.unsent_bytes()

    def discard(self) -> None:
        """Break the response off at once, without what the caller has not taken of it."""
        self.is_finished = True
        self.connection.discard()

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

    def _check_is_unstarted(self, status: int) -> None:
        if self.is_started or self.is_finished:
            raise ResponseStateError(f"status {status} in the middle of a response")

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
    :param observer: learns of failed handlers and of ends that leave something unanswered.
    :param unsent: memory for what callers have not taken, shared with other connections.
    :param bodies: memory for the bodies of requests, shared with other connections.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        connections: set["ServerConnection"],
        observer: ConnectionObserver | None = None,
        unsent: UnsentMemory | None = None,
        bodies: RequestMemory | None = None,
    ):
        self.bodies = bodies or RequestMemory()
        self.unsent = unsent or UnsentMemory()
        self.handler = handler
        self.observer = observer
        self.get_limits = limits
        self.connections = connections
        self.transport: asyncio.Transport | None = None
        self.pipelined: deque[Request] = deque()
        self.task: asyncio.Task | None = None
        self.exchange: Exchange | None = None
        self.end_cause = EndCause.CALLER_RESET
        self.timer: asyncio.TimerHandle | None = None
        self.is_closing = False
        self.must_close = False
        self.has_announced_close = False
        # Status of the response to a request that is rejected behind others; no data is read then.
        self.rejection: int | None = None
        self.idle_since = 0.0
        self.can_write = asyncio.Event()
        self.loop = asyncio.get_running_loop()
        self.parser = RequestParser(limits, self._on_head, self._on_request, self.bodies)

    # asyncio.Protocol

    def connection_made(self, transport) -> None:
        """Register the connection."""
        self.transport = transport
        self.can_write.set()
        self.connections.add(self)
        self._start_idle()

    def connection_lost(self, exc) -> None:
        """Cancel the running handler, since the caller can no longer receive its response."""
        if not self.is_closing:
            self._report_end(self.end_cause)
        self.is_closing = True
        self.unsent.remove(self)
        self.parser.discard_body()
        while self.pipelined:
            self.bodies.free(self.pipelined.popleft().held_bytes)
        self.connections.discard(self)
        self.can_write.set()
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Close the connection; half-closed connections are not supported."""
        self.end_cause = EndCause.CALLER_EOF
        return False

    def pause_writing(self) -> None:
        """Make ``drain`` wait."""
        self.can_write.clear()

    def resume_writing(self) -> None:
        """Resume handlers that wait in ``drain``."""
        self.can_write.set()

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self.is_closing or self.rejection is not None:
            return
        if not self.is_reading:
            self.parser.is_reading = True
            if self.task is None:
                self._set_timer(self.get_limits().header_timeout_s)
        try:
            self.parser.feed(data)
        except RequestRejected as rejected:
            self._reject(rejected.status)

    @property
    def is_reading(self) -> bool:
        """Return whether a part of a request was read."""
        return self.parser.is_reading

    def _on_head(self) -> None:
        """Limit the time to receive the body to the idle timeout."""
        if self.task is None:
            self._set_timer(self.get_limits().idle_timeout_s)

    def _on_request(self, request: Request) -> None:
        """Run the handler for the request, or queue the request while another is handled."""
        self.pipelined.append(request)
        if len(self.pipelined) >= MAX_PIPELINED and self.transport is not None:
            self.transport.pause_reading()
        if self.task is None:
            self._run_next()

    # requests

    def closes_after(self, request: Request) -> bool:
        """Decide whether the connection is closed after the response to this request.

        Requests that were read behind it, a rejected one included, get their responses first.
        """
        is_last = not self.pipelined and self.rejection is None
        self.has_announced_close = (
            self.is_closing or not request.keep_alive or (self.must_close and is_last)
        )
        return self.has_announced_close

    def write(self, data: bytes) -> None:
        """Write to the caller unless the connection is closing."""
        if not self.is_closing and self.transport is not None:
            self.transport.write(data)
            self.unsent.record(self, self.unsent_bytes())

    async def drain(self) -> None:
        """Wait until the transport's write buffer is below its limit."""
        if not self.can_write.is_set():
            await self.can_write.wait()

    def limit_send_buffer(self, size: int) -> None:
        """Limit what the kernel holds of responses; it may hold twice as much."""
        sock = self._socket()
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def unsent_bytes(self) -> int:
        """Return the bytes that the caller has not taken."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def discard(self) -> None:
        """Break off the response at once, and free what the caller has not taken of it."""
        self.must_close = True
        self._close(EndCause.ABORTED)
        if self.transport is not None:
            self.transport.abort()

    def close_after_flush(self) -> None:
        """Close the connection after the data that is already buffered has been sent."""
        self.must_close = True
        self._close(EndCause.ABORTED)

    def stop_reuse(self) -> None:
        """Close the connection after the current response, or the next one if it is idle."""
        self.must_close = True

    def close_if_idle(self) -> bool:
        """Close the connection if no request is being received, queued or handled."""
        if (
            self.task is not None
            or self.pipelined
            or self.is_reading
            or has_unread_data(self._socket())
        ):
            return False
        self._close(EndCause.IDLE)
        return True

    def _socket(self) -> socket.socket | None:
        return self.transport.get_extra_info("socket") if self.transport is not None else None

    def _run_next(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        request = self.pipelined.popleft()
        if self.transport is not None and len(self.pipelined) < MAX_PIPELINED:
            self.transport.resume_reading()
        self.exchange = Exchange(self, request)
        self.task = self.loop.create_task(self._run(self.exchange))

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self.handler(exchange)
        except asyncio.CancelledError:
            self._close(EndCause.STOPPED)
            raise
        except Exception as error:
            if self.observer is None:
                raise
            self.observer.on_handler_failed(exchange.request, error)
            if not exchange.is_finished:
                self._close(EndCause.HANDLER_FAILED)
        finally:
            self.task = None
            self.bodies.free(exchange.request.held_bytes)
            if not exchange.is_finished:
                exchange.abort()
            self.exchange = None
        self._on_handled(exchange)

    def _on_handled(self, exchange: Exchange) -> None:
        if self.is_closing:
            return
        if self.has_announced_close or not exchange.request.keep_alive:
            self._close(EndCause.AFTER_RESPONSE)
        elif self.pipelined:
            self._run_next()
        elif self.rejection is not None:
            self._respond_rejected(self.rejection)
        elif not (self.must_close and self.close_if_idle()):
            self._start_idle()

    def _reject(self, status: int) -> None:
        """Reject a request that is malformed, too large or too slow, and close the connection.

        Earlier requests get their responses first.
        """
        self.rejection = status
        if self.task is None and not self.pipelined:
            self._respond_rejected(status)

    def _respond_rejected(self, status: int) -> None:
        head = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        self.write(encode_head(status, head))
        self._close(EndCause.REJECTED)

    def _close(self, cause: EndCause) -> None:
        """Close the connection after the data that is already buffered has been sent."""
        if self.transport is not None and not self.is_closing:
            self.is_closing = True
            self._report_end(cause)
            self.transport.close()
            self._linger()

    def _linger(self) -> None:
        """Give the caller time to take the last response, as long as it takes some of it."""
        if not self.unsent_bytes() or self.transport is None:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.call_later(LINGER_S, self._on_lingered, self._untaken_bytes())

    def _on_lingered(self, untaken_bytes: int) -> None:
        self.timer = None
        if self._untaken_bytes() < untaken_bytes:
            self._linger()
        elif self.transport is not None and self.unsent_bytes():
            self.transport.abort()

    def _untaken_bytes(self) -> int:
        # The kernel takes more of the rest only after the caller has taken much of what it holds.
        return self.unsent_bytes() + count_untaken_bytes(self._socket())

    def _report_end(self, cause: EndCause) -> None:
        """Report what the end of the connection leaves unanswered, if anything."""
        if self.observer is None or self.transport is None:
            return
        exchange = self.exchange
        cut, unanswered = None, tuple(self.pipelined)
        if exchange is not None and not exchange.is_started:
            unanswered = (exchange.request, *unanswered)
        elif exchange is not None and (not exchange.is_finished or cause is EndCause.ABORTED):
            cut = exchange.request
        end = ConnectionEnd(
            cause,
            cut,
            unanswered,
            self.is_reading and cause is not EndCause.REJECTED,
            count_unread_bytes(self._socket()),
        )
        if not end.is_clean:
            self.observer.on_end(end)

    def _start_idle(self) -> None:
        self.idle_since = self.loop.time()
        self._set_timer(self.get_limits().idle_timeout_s)

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
            return
        # The limit may have been raised since; data that was not read yet is a request or the end.
        time_left_s = self.idle_since + self.get_limits().idle_timeout_s - self.loop.time()
        if time_left_s > 0.0 or not self.close_if_idle():
            self._set_timer(max(time_left_s, UNREAD_TIMEOUT_S))
