"""The callers' side of a gateway in the test's own event loop, with endpoints of the test."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from teaselpath.fleet import CallerLimits, Position, StoredRecord
from teaselpath.gateway._connections import ConnectionReporter
from teaselpath.gateway._forward import Forwarder
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._origins import StreamOrigins
from teaselpath.gateway._quarantine import QuarantineGate
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.http1 import Exchange, HttpClient, RequestMemory, ServerConnection
from teaselpath.platform import PlatformRequests, PlatformStore

Handler = Callable[[Exchange], Awaitable[None]]


class NoPeers:
    """Messages to other gateways, of which there are none."""

    def publish(self, update) -> None: ...

    def send_update(self, ip, update) -> None: ...

    def reachable_ips(self) -> list[str]:
        return []

    def send_lineage(self, hosts, message) -> None: ...

    def reply_lineage(self, ip, message) -> None: ...


async def listen(
    handler: Handler, observer=None, bodies: RequestMemory | None = None
) -> tuple[asyncio.Server, str]:
    """Serve on loopback; return the server and its address."""
    connections: set[ServerConnection] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: ServerConnection(handler, CallerLimits, connections, observer, None, bodies),
        "127.0.0.1",
        0,
    )
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def _confirm() -> bool:
    """Confirm the endpoints, as a store does that answers."""
    return True


@dataclass(slots=True)
class Front:
    """A gateway's forwarder behind a listener.

    :param bodies: memory for the bodies of requests.
    :ivar offset: offset of the last record.
    """

    bodies: RequestMemory = field(default_factory=RequestMemory)

    state: GatewayState = field(init=False)
    forwarder: Forwarder = field(init=False)
    server: asyncio.Server = field(init=False)
    address: str = ""
    offset: int = 0
    endpoints: list[asyncio.Server] = field(default_factory=list)

    async def __aenter__(self) -> "Front":
        """Start to listen."""
        http, codec, metrics = HttpClient(), PlatformRequests(), GatewayMetrics("gw-0")
        store = PlatformStore("127.0.0.1:9", http)
        self.state = GatewayState(SETTINGS, store, 1)
        gate = QuarantineGate("gw-0", store, metrics, NoPeers())
        gate.has_snapshot = True
        self.state.record_member_list(asyncio.get_running_loop().time(), is_restart=False)
        origins = StreamOrigins(self.state, store, metrics, NoPeers(), _confirm)
        origins.synchronizer.has_read = True
        self.state.on_endpoint_changed = origins.update_versions
        self.forwarder = Forwarder(self.state, codec, http, metrics, lambda _: None, gate, origins)
        reporter = ConnectionReporter(codec.id_header, metrics)
        self.server, self.address = await listen(self.forwarder.handle, reporter, self.bodies)
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Close all listeners."""
        for server in (self.server, *self.endpoints):
            server.close()

    def put_config(self, **fields) -> None:
        """Apply the next version of the configuration; ``fields`` override its defaults."""
        self.offset += 1
        route = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "unsafe", "service": "s"}
        config = {"version": self.offset, "routes": [route], "services": [{"name": "s"}], **fields}
        record = StoredRecord("config", json.dumps(config).encode(), Position(1, self.offset))
        self.state.apply_operator_record(record, "test", 0.0)

    async def add_endpoint(self, name: str, handler: Handler, service: str = "s") -> None:
        """Start an endpoint and apply its record."""
        server, address = await listen(handler)
        self.endpoints.append(server)
        self.put_endpoint(name, address=address, service=service)

    def put_endpoint(self, name: str, **fields) -> None:
        """Apply a record of an endpoint."""
        self.offset += 1
        now = asyncio.get_running_loop().time()
        self.state.apply_endpoint_record(endpoint_record(name, self.offset, **fields), "test", now)

    async def send(
        self, path: str = "/", fields: str = "", request_id: str = "r", body: bytes = b"{}"
    ) -> bytes:
        """Send a request on a connection of its own; return all bytes of the response."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{fields}"
        head += f"Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode("latin-1") + body)
        try:
            async with asyncio.timeout(10):
                return await reader.read()
        finally:
            writer.close()


def answer_headers(exchange: Exchange) -> list[tuple[bytes, bytes]]:
    """Return the header fields of an endpoint that has run the request."""
    request_id = exchange.request.header(b"request-id") or b""
    return [(b"Response-Stamp", b"s"), (b"Request-Id", request_id)]


async def respond(exchange: Exchange) -> None:
    """Respond as an endpoint that has run the request."""
    exchange.respond(200, answer_headers(exchange), b"done")
