"""HTTP/1.1 client and server on asyncio, with control over reuse, framing and aborts."""

from teaselpath.http1._client import HttpClient
from teaselpath.http1._connection import (
    ClientConnection,
    ConnectionBroken,
    InvalidResponse,
    ReadTimeout,
    ResponseLimits,
)
from teaselpath.http1._ends import ConnectionEnd, ConnectionObserver, EndCause
from teaselpath.http1._listener import LISTEN_BACKLOG, Listener
from teaselpath.http1._memory_limit import MemoryLimit
from teaselpath.http1._messages import (
    HOP_BY_HOP,
    Headers,
    Request,
    Response,
    ResponseHead,
    ServerLimits,
    encode_head,
    encode_request,
)
from teaselpath.http1._pool import ConnectFailed, ConnectionPool, PoolLimits
from teaselpath.http1._request_memory import RequestMemory
from teaselpath.http1._server import Exchange, ResponseStateError, ServerConnection
from teaselpath.http1._unsent_memory import UnsentMemory

__all__ = [
    "HOP_BY_HOP",
    "LISTEN_BACKLOG",
    "ClientConnection",
    "ConnectFailed",
    "ConnectionBroken",
    "ConnectionEnd",
    "ConnectionObserver",
    "ConnectionPool",
    "EndCause",
    "Exchange",
    "Headers",
    "HttpClient",
    "InvalidResponse",
    "Listener",
    "MemoryLimit",
    "PoolLimits",
    "ReadTimeout",
    "Request",
    "RequestMemory",
    "Response",
    "ResponseHead",
    "ResponseLimits",
    "ResponseStateError",
    "ServerConnection",
    "ServerLimits",
    "UnsentMemory",
    "encode_head",
    "encode_request",
]
