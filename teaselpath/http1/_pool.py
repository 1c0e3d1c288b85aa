"""Connections of the client to one address."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from teaselpath.http1._body_memory import BodyMemory
from teaselpath.http1._connection import ClientConnection, ResponseLimits
from teaselpath.http1._messages import ResponseHead

# Idle connections are closed this long before the idle timeout of the server, in seconds.
IDLE_MARGIN_S = 0.7


class ConnectFailed(Exception):
    """No connection could be established, so nothing was sent.

    :param is_refused: whether the host replied that no process listens at the address.
    """

    def __init__(self, reason: str, *, is_refused: bool = False):
        super().__init__(reason)
        self.is_refused = is_refused


@dataclass(slots=True)
class PoolLimits:
    """Limits of the connections to one address.

    :param connect_timeout_s: time to establish a connection.
    :param default_idle_s: idle timeout of servers that announce none.
    :param response: limits of the responses on a connection.
    """

    connect_timeout_s: float = 0.5
    default_idle_s: float = 4.0
    response: ResponseLimits = field(default_factory=ResponseLimits)


class ConnectionPool:
    """Connections to one address.

    :param address: IP:PORT.
    :param id_header: name of the header field with the id of a request, in lower case.
    :param bodies: memory for bodies that are read as a whole, shared with other pools.
    """

    def __init__(
        self,
        address: str,
        limits: PoolLimits,
        id_header: bytes = b"",
        bodies: BodyMemory | None = None,
    ):
        self.address = address
        self.bodies = bodies or BodyMemory()
        self.limits = limits
        self.id_header = id_header
        self.idle: list[ClientConnection] = []
        self.loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)

    async def acquire(self, deadline: float) -> ClientConnection:
        """Return an idle connection, or a new one.

        :raises ConnectFailed: if no connection could be established.
        """
        return self._pop_idle(lambda connection: True) or await self._open(deadline)

    async def acquire_for(self, request_id: bytes | None, deadline: float) -> ClientConnection:
        """Return a connection on which no late copy can be taken for the response to a request.

        :param request_id: None for a request without an id, which gets a new connection.
        :raises ConnectFailed: if no connection could be established.
        """
        idle = self._pop_idle(lambda connection: connection.identifies(request_id))
        return idle or await self._open(deadline)

    def _pop_idle(self, is_suitable: Callable[[ClientConnection], bool]) -> ClientConnection | None:
        """Remove and return the suitable connection used last; close lost and expired ones."""
        now = self.loop.time()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.is_lost or now >= connection.idle_until:
                connection.abort()
                del self.idle[index]
            elif is_suitable(connection):
                return self.idle.pop(index)
        return None

    async def _open(self, deadline: float) -> ClientConnection:
        remaining_s = min(self.limits.connect_timeout_s, deadline - self.loop.time())
        if remaining_s <= 0:
            raise ConnectFailed("no time is left to connect")
        try:
            async with asyncio.timeout(remaining_s):
                _, connection = await self.loop.create_connection(
                    self._make_connection,
                    self.host,
                    self.port,
                )
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(
                f"cannot connect to {self.address}: {error!r}",
                is_refused=isinstance(error, ConnectionRefusedError),
            ) from error
        return connection

    def _make_connection(self) -> ClientConnection:
        return ClientConnection(self.loop, self.limits.response, self.id_header, self.bodies)

    async def is_refused(self, deadline: float) -> bool:
        """Return whether no process listens at the address.

        An idle connection that is open proves the contrary; without one, a connection is opened and
        kept. A host that does not reply is no proof.
        """
        if any(not connection.is_lost for connection in self.idle):
            return False
        try:
            connection = await self._open(deadline)
        except ConnectFailed as error:
            return error.is_refused
        idle_s = max(0.0, self.limits.default_idle_s - IDLE_MARGIN_S)
        connection.idle_until = self.loop.time() + idle_s
        self.idle.append(connection)
        return False

    def release(self, connection: ClientConnection, head: ResponseHead | None) -> None:
        """Return a connection to the pool after a response; close it if it cannot be reused."""
        connection.end_request()
        if not connection.is_reusable or connection.is_lost:
            connection.abort()
            return
        idle_s = self.limits.default_idle_s
        keep_alive = head.header(b"keep-alive") if head is not None else None
        if keep_alive is not None:
            idle_s = _keep_alive_s(keep_alive, idle_s)
        connection.idle_until = self.loop.time() + max(0.0, idle_s - IDLE_MARGIN_S)
        self.idle.append(connection)

    def close_expired(self) -> None:
        """Close idle connections that are lost or that the server is about to close."""
        now = self.loop.time()
        expired = [c for c in self.idle if c.is_lost or now >= c.idle_until]
        self.idle = [c for c in self.idle if not (c.is_lost or now >= c.idle_until)]
        for connection in expired:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


def _keep_alive_s(value: bytes, default: float) -> float:
    for parameter in value.split(b","):
        name, _, number = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return default
