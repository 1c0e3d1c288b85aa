"""Responses that are held back until they are complete."""

from collections.abc import Callable

from eliot import log_message

from teaselpath.http1 import Exchange, Headers

# Bytes of one response that are held back; beyond that it is passed on as it arrives.
MAX_HELD_BYTES = 262_144


class HeldExchange(Exchange):
    """Exchange of a request whose answer may outlast the process.

    A stream that has begun can only be cut. This one begins once it is complete, so that its caller
    gets a failure instead if it does not become complete in time.

    :param exchange: exchange with the caller.
    :param failure: status and header fields of the response to an incomplete answer.
    :param fails_at: event loop time at which the failure is sent; None for the end of the stop.
    :ivar on_release: called when the answer begins.
    """

    __slots__ = (
        "exchange",
        "fails_at",
        "failure",
        "head",
        "is_released",
        "on_release",
        "parts",
        "size",
    )

    def __init__(
        self, exchange: Exchange, failure: tuple[int, Headers], fails_at: float | None = None
    ):
        super().__init__(exchange.connection, exchange.request)
        self.exchange = exchange
        self.failure = failure
        self.fails_at = fails_at
        self.on_release: Callable[[], None] | None = None
        self.head: tuple[int, Headers, int | None] = (*failure, 0)
        self.parts: list[bytes] = []
        self.size = 0
        self.is_released = False

    def start(self, status: int, headers: Headers, length: int | None = None) -> None:
        """Keep the head.

        :raises ResponseStateError: as for any exchange, also by the other methods.
        """
        self._check_is_unstarted(status)
        self.is_started = True
        self.head = (status, headers, length)

    def write(self, data: bytes) -> None:
        """Keep data of the body."""
        self._check_is_open()
        if self.is_released:
            self.exchange.write(data)
            return
        self.parts.append(data)
        self.size += len(data)
        if self.size > MAX_HELD_BYTES:
            log_message("held_response_released", size=self.size)
            self._release()

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit, if data is written to it."""
        if self.is_released:
            await self.exchange.drain()

    def finish(self) -> None:
        """Send the response, which is complete."""
        self._check_is_open()
        self.is_finished = True
        if not self.is_released:
            self._release()
        self.exchange.finish()

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        self._check_is_unstarted(status)
        self._pass_on(status, headers, body)

    def abort(self) -> None:
        """Send the failure, or cut a response that is passed on."""
        if self.is_released:
            self.is_finished = True
            self.exchange.abort()
        else:
            self._pass_on(*self.failure)

    def _pass_on(self, status: int, headers: Headers, body: bytes = b"") -> None:
        self.is_started = self.is_finished = self.is_released = True
        self.exchange.respond(status, headers, body)

    def _release(self) -> None:
        self.is_released = True
        if self.on_release is not None:
            self.on_release()
        self.exchange.start(*self.head)
        self.exchange.write(b"".join(self.parts))
        self.parts.clear()
