"""Responses that are held back until they are complete."""

from collections.abc import Callable

from eliot import log_message

from teaselpath.http1 import Exchange, Headers, MemoryLimit

# Memory for all responses that are held back together, in bytes.
MAX_HELD_BYTES = 16_777_216


class HeldMemory(MemoryLimit):
    """Limits what is held of all responses together."""

    def __init__(self, limit_bytes: int = MAX_HELD_BYTES):
        super().__init__(limit_bytes)


class HeldExchange(Exchange):
    """Exchange of a request whose answer may outlast the process.

    A stream that has begun can only be cut. This one begins once it is complete, so that its caller
    gets a failure instead if it does not become complete in time, or if the memory is used up.

    :param exchange: exchange with the caller.
    :param failure: status and header fields of the response to an incomplete answer.
    :param memory: memory for its data.
    :param fails_at: event loop time at which the failure is sent; None for the end of the stop.
    :ivar on_full: called when the memory is used up, from which on no data is kept.
    """

    __slots__ = (
        "exchange",
        "fails_at",
        "failure",
        "head",
        "is_full",
        "memory",
        "on_full",
        "parts",
        "size",
    )

    def __init__(
        self,
        exchange: Exchange,
        failure: tuple[int, Headers],
        memory: HeldMemory,
        fails_at: float | None = None,
    ):
        super().__init__(exchange.connection, exchange.request)
        self.exchange = exchange
        self.failure = failure
        self.memory = memory
        self.fails_at = fails_at
        self.on_full: Callable[[], None] | None = None
        self.head: tuple[int, Headers, int | None] = (*failure, 0)
        self.parts: list[bytes] = []
        self.size = 0
        self.is_full = False

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
        if self.is_full:
            return
        if self.memory.take(len(data)):
            self.parts.append(data)
            self.size += len(data)
            return
        log_message("held_response_given_up", bytes=self.size, all_bytes=self.memory.held_bytes)
        self.is_full = True
        self.discard_data()
        if self.on_full is not None:
            self.on_full()

    async def drain(self) -> None:
        """Return at once: the data is kept."""

    def finish(self) -> None:
        """Send the response, which is complete, or the failure if not all of it was kept."""
        self._check_is_open()
        if self.is_full:
            self._pass_on(*self.failure)
            return
        self.is_finished = True
        self.exchange.start(*self.head)
        self.exchange.write(b"".join(self.parts))
        self.discard_data()
        self.exchange.finish()

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        self._check_is_unstarted(status)
        self._pass_on(status, headers, body)

    def abort(self) -> None:
        """Send the failure, or close the connection behind a response that was sent."""
        if self.is_finished:
            self.exchange.abort()
        else:
            self._pass_on(*self.failure)

    def _pass_on(self, status: int, headers: Headers, body: bytes = b"") -> None:
        self.is_started = self.is_finished = True
        self.discard_data()
        self.exchange.respond(status, headers, body)

    def discard_data(self) -> None:
        """Free the memory of what is held."""
        self.parts.clear()
        self.memory.free(self.size)
        self.size = 0
