"""HTTP client with one connection pool per address."""

from teaselpath.http1._body_memory import BodyMemory
from teaselpath.http1._messages import Headers, Response, ResponseHead, encode_request
from teaselpath.http1._pool import ConnectionPool, PoolLimits


class HttpClient:
    """Client that returns complete responses, with one pool per address.

    :param id_header: name of the header field with the id of a request, in lower case, that a
        response to another request on the same connection carries.
    """

    def __init__(self, limits: PoolLimits | None = None, id_header: bytes = b""):
        self.limits = limits or PoolLimits()
        self.id_header = id_header
        self.bodies = BodyMemory()
        self.pools: dict[str, ConnectionPool] = {}

    def pool(self, address: str) -> ConnectionPool:
        """Return the pool of an address; create it if necessary."""
        pool = self.pools.get(address)
        if pool is None:
            pool = ConnectionPool(address, self.limits, self.id_header, self.bodies)
            self.pools[address] = pool
        return pool

    async def call(
        self,
        address: str,
        method: bytes,
        target: bytes,
        *,
        deadline: float,
        headers: Headers | None = None,
        body: bytes = b"",
        max_body_bytes: int | None = None,
        needs_proof: bool = False,
    ) -> Response:
        """Send a request and return the complete response.

        :param deadline: event loop time.
        :param max_body_bytes: largest accepted body; None for the limit of all connections.
        :param needs_proof: whether the response must be told from late copies of earlier ones; the
            connection then carries no earlier request.
        :raises ConnectFailed: if nothing was sent.
        :raises ConnectionBroken: if the response is incomplete or invalid.
        :raises ReadTimeout: at the deadline.
        """
        pool = self.pool(address)
        acquiring = pool.acquire_for(None, deadline) if needs_proof else pool.acquire(deadline)
        connection = await acquiring
        fields = [(b"Host", address.encode()), *(headers or [])]
        head: ResponseHead | None = None
        try:
            connection.send(method, encode_request(method, target, fields, body))
            head = await connection.read_head(deadline)
            content = await connection.read_body(deadline, max_body_bytes)
        except BaseException:
            connection.abort()
            raise
        pool.release(connection, head)
        return Response(head, content)
