"""Incremental parser of requests, with limits on their size."""

import asyncio
from collections.abc import Callable

import httptools

from teaselpath.http1._messages import Headers, Request, ServerLimits
from teaselpath.http1._request_memory import RequestMemory


class RequestRejected(Exception):
    """A request is malformed, or its head or body exceeds its limit."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class RequestParser:
    """Parses the data of one connection into requests.

    Offers of another protocol are ignored (RFC 9110, section 7.8). httptools ends such a request
    with its head and takes the rest for the other protocol, so the rest is parsed anew, behind a
    head with the same framing. ``CONNECT`` requests are rejected. Trailer fields are discarded.

    :param limits: function that returns the current limits.
    :param on_head: called once the head of a request is complete.
    :param on_request: called with each complete request, whose memory the caller frees.
    :param memory: memory for bodies, shared with other connections. A body that finds none is read
        to its end and discarded.
    :ivar held_bytes: memory of the body that is being read.
    :ivar is_reading: whether a part of a request was parsed.
    """

    def __init__(
        self,
        limits: Callable[[], ServerLimits],
        on_head: Callable[[], None],
        on_request: Callable[[Request], None],
        memory: RequestMemory | None = None,
    ):
        self.memory = memory or RequestMemory()
        self.held_bytes = 0
        self.get_limits = limits
        self.on_head = on_head
        self.on_request = on_request
        self.loop = asyncio.get_running_loop()
        self.parser = httptools.HttpRequestParser(self)
        self.method = b""
        self.is_replayed = False
        self._reset_request()

    def _reset_request(self) -> None:
        self.has_offer = False
        self.has_head = False
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.is_body_discarded = False
        self.field_bytes = 0
        self.body_bytes = 0
        self.is_reading = False

    def feed(self, data: bytes) -> None:
        """Parse received data.

        :raises RequestRejected: if a request is malformed or too large; nothing can be parsed then.
        """
        try:
            while True:
                try:
                    self.parser.feed_data(data)
                    return
                except httptools.HttpParserUpgrade as error:
                    data = data[error.args[0] :]
                    self._ignore_offer()
        except httptools.HttpParserError as error:
            # httptools wraps exceptions that callbacks raise.
            cause = error.__context__
            status = cause.status if isinstance(cause, RequestRejected) else 400
            raise RequestRejected(status) from error

    def _ignore_offer(self) -> None:
        """Parse what follows the head of a request as its body and the next requests."""
        framing = [
            (name, value)
            for name, value in self.headers
            if name.lower() in (b"content-length", b"transfer-encoding")
        ]
        options = [value for name, value in self.headers if name.lower() == b"connection"]
        for option in b",".join(options).split(b","):
            if option.strip().lower() in (b"close", b"keep-alive"):
                framing.append((b"Connection", option.strip()))
        version = self.parser.get_http_version().encode()
        fields = b"".join(b"%b: %b\r\n" % field for field in framing)
        self.parser = httptools.HttpRequestParser(self)
        self.is_replayed = True
        self.parser.feed_data(b"%b / HTTP/%b\r\n%b\r\n" % (self.method, version, fields))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        if self.is_replayed:
            return
        self._reset_request()
        self.is_reading = True

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may arrive in fragments."""
        if not self.is_replayed:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header field."""
        if self.is_replayed:
            return
        if not self.has_head:
            self.headers.append((name, value))
        self.field_bytes += len(name) + len(value)
        if self.field_bytes > self.get_limits().header_bytes:
            raise RequestRejected(431)

    def on_headers_complete(self) -> None:
        """Report the complete head."""
        if self.is_replayed:
            self.is_replayed = self.has_offer = False
            return
        self.has_head = True
        self.method = self.parser.get_method()
        if self.method == b"CONNECT":
            raise RequestRejected(400)
        self.has_offer = self.parser.should_upgrade()
        self.on_head()

    def on_body(self, data: bytes) -> None:
        """Collect the body."""
        self.body_bytes += len(data)
        if self.body_bytes > self.get_limits().body_bytes:
            raise RequestRejected(413)
        if self.is_body_discarded:
            return
        if self.memory.take_part(len(data), self.held_bytes):
            self.held_bytes += len(data)
            self.body.append(data)
            return
        self.is_body_discarded = True
        self.discard_body()

    def discard_body(self) -> None:
        """Free the memory of the body that is being read."""
        self.body.clear()
        self.memory.free(self.held_bytes)
        self.held_bytes = 0

    def on_message_complete(self) -> None:
        """Report the complete request."""
        if self.has_offer:
            return
        request = Request(
            self.method,
            self.target,
            self.headers,
            b"".join(self.body),
            self.parser.should_keep_alive(),
            self.loop.time(),
            self.held_bytes,
            self.is_body_discarded,
        )
        self.held_bytes = 0
        self._reset_request()
        self.on_request(request)
