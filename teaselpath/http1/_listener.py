"""Listening socket that resets no established connection when it closes."""

import asyncio
import socket
from collections.abc import Callable

# Connections that the kernel queues until they are accepted.
LISTEN_BACKLOG = 512


class Listener:
    """Accepts connections at one address.

    The kernel establishes connections before they are accepted, and their requests may already have
    been sent. Closing the socket resets them, so ``close`` accepts them first.

    :param make_connection: function that returns the protocol of a new connection.
    """

    def __init__(self, make_connection: Callable[[], asyncio.Protocol]):
        self.make_connection = make_connection
        self.socket: socket.socket | None = None
        self.server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Listen at IP:PORT."""
        ip, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((ip, int(port)))
        self.socket = sock
        self.server = await asyncio.get_running_loop().create_server(
            self.make_connection, sock=sock, backlog=LISTEN_BACKLOG
        )

    async def close(self) -> None:
        """Stop listening; connections that are already established are served."""
        if self.server is None or self.socket is None:
            return
        accepted = []
        while (connection := self._accept()) is not None:
            accepted.append(connection)
        self.server.close()
        self.server = self.socket = None
        loop = asyncio.get_running_loop()
        for connection in accepted:
            await loop.connect_accepted_socket(self.make_connection, connection)

    def _accept(self) -> socket.socket | None:
        assert self.socket is not None
        try:
            connection, _ = self.socket.accept()
        except OSError:
            # No connection is waiting, or the caller has already closed the next one.
            return None
        connection.setblocking(False)
        return connection
