"""Test server and reader of raw responses."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from teaselpath.fleet import CallerLimits
from teaselpath.http1 import Exchange, ServerConnection


class TestServer:
    """A server on loopback whose handler echoes the target.

    :ivar requests: targets in the order in which they were handled.
    """

    # Not a test class.
    __test__ = False

    def __init__(self) -> None:
        self.requests: list[bytes] = []
        self.connections: set[ServerConnection] = set()
        self.limits = CallerLimits()
        self.port = 0

    async def respond(self, exchange: Exchange) -> None:
        """Respond with the target and the body."""
        self.requests.append(exchange.request.target)
        exchange.respond(200, [], exchange.request.target + b"|" + exchange.request.body)

    async def open(self, handler: Callable[[Exchange], Awaitable[None]] | None = None):
        """Start listening and return the server."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: ServerConnection(
                handler or self.respond, lambda: self.limits, self.connections
            ),
            "127.0.0.1",
            0,
        )
        self.port = server.sockets[0].getsockname()[1]
        return server


class SilentTransport:
    """Transport of a client connection whose data a test delivers itself."""

    def write(self, data: bytes) -> None:
        """Ignore what the connection sends."""

    def abort(self) -> None:
        """Ignore that the connection is closed."""

    def get_extra_info(self, name: str) -> None:
        """Return no socket."""

    def get_write_buffer_size(self) -> int:
        """Return that everything was sent."""
        return 0


@pytest.fixture
def listener() -> TestServer:
    """Return a server that is not listening yet."""
    return TestServer()


async def read_response(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Return head and body of a response with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    return head, await reader.readexactly(length)
