"""One process's sockets: a ROUTER that accepts peers and a DEALER to each peer."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import zmq
import zmq.asyncio
from eliot import log_message
from result import Err, Ok, Result
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils.monitor import parse_monitor_message

from teaselpath.results import Code, Failure, Ran
from teaselpath.transport._security import CurveKeys, KeyAllowList
from teaselpath.wire import Control, Message, decode, encode

# Messages handled before other tasks of the process get a turn.
RECEIVE_BATCH = 64
HIGH_WATER_MARK = 20_000
# Three per peer; the library's default of 1,023 ends at 340 peers.
MAX_SOCKETS = 16_384
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 2_000
RECONNECT_INTERVAL_MS = 50
RECONNECT_MAX_MS = 1_000
REJECTED_RETRY_S = 0.2
# Larger than any body limit; a peer that sends more is disconnected.
MONITORED_EVENTS = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_DISCONNECTED
)
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
ZAP_DOMAIN = "teaselpath"
# The library names a connection that has no routing id by a zero byte and a number.
UNNAMED_PREFIX = b"\0"
# No host name starts with this.
UNNAMED_HOST = "\0"


@dataclass(slots=True)
class Received:
    """A message from a peer."""

    host: str
    incarnation: int
    message: Message


@dataclass(slots=True)
class PeerLost:
    """The connection to or from a peer ended; the transport reconnects by itself."""

    host: str


@dataclass(slots=True)
class _Peer:
    """Outgoing connection to one peer."""

    address: str
    public_key: bytes
    socket: zmq.asyncio.Socket
    sync_socket: zmq.Socket
    task: asyncio.Task | None = None
    monitor_task: asyncio.Task | None = None
    connected: bool = False


class Node:
    """Sends and receives messages under the name of a host.

    A peer's routing id is ``host/incarnation``, so that a restarted process never takes over the
    connection of its predecessor. A send never blocks: a full queue or a missing connection is
    reported at once.

    :param host: own host name.
    :param incarnation: number of this process's run, higher than its predecessor's.
    :param address: TCP address to bind, ``ip:port``.
    :param keys: own CURVE key pair.
    :param allow_list: client keys that may connect.
    :param deliver: called with each ``Received`` and ``PeerLost``; must not block.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        address: str,
        keys: CurveKeys,
        allow_list: KeyAllowList,
        deliver: Callable[[Received | PeerLost], None],
    ):
        self.host = host
        self.incarnation = incarnation
        self.address = address
        self.keys = keys
        self.allow_list = allow_list
        self.deliver = deliver
        self.peers: dict[str, _Peer] = {}
        self.inbound: dict[str, bytes] = {}
        self.malformed = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    async def start(self) -> None:
        """Bind the ROUTER and start receiving."""
        self.context = zmq.asyncio.Context()
        self.context.set(zmq.MAX_SOCKETS, MAX_SOCKETS)
        self.authenticator = AsyncioAuthenticator(self.context)
        self.authenticator.start()
        self.authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN, credentials_provider=self.allow_list
        )
        self.router = self._make_socket(zmq.ROUTER)
        self.router.curve_server = True
        self.router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self.router.zap_domain = ZAP_DOMAIN.encode()
        self.router.bind(f"tcp://{self.address}")
        self.router_sync: zmq.Socket = zmq.Socket.shadow(self.router.underlying)
        self.router_task = asyncio.create_task(self._receive_from_router())

    async def stop(self) -> None:
        """Close all sockets; messages that were handed to the sockets are flushed briefly."""
        self.router_task.cancel()
        for host in list(self.peers):
            self._disconnect(host)
        self.authenticator.stop()
        self.router.close(linger=500)
        self.context.destroy(linger=500)

    def connect(self, host: str, address: str, public_key: bytes) -> None:
        """Connect to a peer, or do nothing if it is connected with these parameters."""
        known = self.peers.get(host)
        if known is not None:
            if (known.address, known.public_key) == (address, public_key):
                return
            self._disconnect(host)
        socket = self._make_socket(zmq.DEALER)
        socket.curve_serverkey = public_key
        socket.routing_id = f"{self.host}/{self.incarnation}".encode()
        # With IMMEDIATE a message is queued only on a live connection, so that a send that
        # returned an error is proof that the peer never got the message.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        monitor = socket.get_monitor_socket(MONITORED_EVENTS)
        socket.connect(f"tcp://{address}")
        peer = _Peer(address, public_key, socket, zmq.Socket.shadow(socket.underlying))
        peer.task = asyncio.create_task(self._receive_from_peer(host, peer))
        peer.monitor_task = asyncio.create_task(self._watch_peer(host, peer, monitor))
        self.peers[host] = peer

    def is_connected(self, host: str) -> bool:
        """Return whether there is a live connection to a peer."""
        peer = self.peers.get(host)
        return peer is not None and peer.connected

    def disconnect(self, host: str) -> None:
        """Close the connection to a peer, if there is one."""
        if host in self.peers:
            self._disconnect(host)

    def send(self, host: str, message: Message) -> Result[None, Failure]:
        """Send a message; an error proves that it was not sent.

        :returns: PEER_UNREACHABLE if there is no live connection or its queue is full.
        """
        peer = self.peers.get(host)
        if peer is None:
            return self.reply(host, message)
        data = encode(message)
        return self._sent(host, data, _is_sent(peer.socket.send(data, zmq.NOBLOCK)))

    def reply(self, host: str, message: Message) -> Result[None, Failure]:
        """Send over the connection that the peer opened to this process."""
        identity = self.inbound.get(host)
        if identity is None:
            return Err(_unreachable(host))
        data = encode(message)
        is_sent = _is_sent(self.router.send_multipart([identity, data], zmq.NOBLOCK))
        if not is_sent:
            self._lose_inbound(host)
        return self._sent(host, data, is_sent)

    def _sent(self, host: str, data: bytes, is_sent: bool) -> Result[None, Failure]:
        if not is_sent:
            return Err(_unreachable(host))
        self.sent_bytes += len(data)
        return Ok(None)

    def _make_socket(self, kind: int) -> zmq.asyncio.Socket:
        socket = self.context.socket(kind)
        socket.curve_publickey = self.keys.public
        socket.curve_secretkey = self.keys.secret
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.LINGER, 500)
        return socket

    def _disconnect(self, host: str) -> None:
        peer = self.peers.pop(host)
        for task in (peer.task, peer.monitor_task):
            if task is not None:
                task.cancel()
        peer.socket.disable_monitor()
        peer.socket.close(linger=500)

    def _lose_inbound(self, host: str) -> None:
        if self.inbound.pop(host, None) is not None:
            self.deliver(PeerLost(host))

    async def _receive_from_router(self) -> None:
        while True:
            await self.router.poll()
            for _ in range(RECEIVE_BATCH):
                try:
                    frames = self.router_sync.recv_multipart(zmq.NOBLOCK)
                except zmq.Again:
                    break
                if len(frames) != 2:
                    self.malformed += 1
                    continue
                self._accept_inbound(frames[0], frames[1])
            await asyncio.sleep(0)

    def _accept_inbound(self, identity: bytes, data: bytes) -> None:
        if identity.startswith(UNNAMED_PREFIX):
            self._accept_unnamed(identity, data)
            return
        host, _, number = identity.decode("utf-8", "replace").rpartition("/")
        if not host or not number.isdecimal():
            self.malformed += 1
            return
        incarnation = int(number[:18])
        if self.inbound.get(host) != identity:
            if _incarnation_of(self.inbound.get(host)) > incarnation:
                return
            self.inbound[host] = identity
        self._deliver_data(host, incarnation, data)

    def _accept_unnamed(self, identity: bytes, data: bytes) -> None:
        """Take a request of the operators' tool, which is no host and connects without a name.

        The answer is sent while the request is delivered, so the connection is not kept.
        """
        message = decode(data).ok()
        if not isinstance(message, Control):
            self.malformed += 1
            return
        self.received_bytes += len(data)
        name = f"{UNNAMED_HOST}{identity.hex()}"
        self.inbound[name] = identity
        try:
            self.deliver(Received(name, 0, message))
        finally:
            self.inbound.pop(name, None)

    async def _receive_from_peer(self, host: str, peer: _Peer) -> None:
        while True:
            await peer.socket.poll()
            for _ in range(RECEIVE_BATCH):
                try:
                    data = peer.sync_socket.recv(zmq.NOBLOCK)
                except zmq.Again:
                    break
                self._deliver_data(host, 0, data)
            await asyncio.sleep(0)

    def _deliver_data(self, host: str, incarnation: int, data: bytes) -> None:
        self.received_bytes += len(data)
        match decode(data):
            case Ok(message):
                self.deliver(Received(host, incarnation, message))
            case Err(failure):
                self.malformed += 1
                log_message("malformed_message", peer=host, code=int(failure.code))

    async def _watch_peer(self, host: str, peer: _Peer, monitor: zmq.asyncio.Socket) -> None:
        while True:
            event = parse_monitor_message(await monitor.recv_multipart())
            if event["event"] == zmq.EVENT_HANDSHAKE_SUCCEEDED:
                peer.connected = True
            elif event["event"] == zmq.EVENT_DISCONNECTED:
                if peer.connected:
                    peer.connected = False
                    self.deliver(PeerLost(host))
            else:
                # The library gives up after a rejected key, but the peer may only not have learned
                # of this process yet.
                await asyncio.sleep(REJECTED_RETRY_S)
                # A second connect to a known address does nothing.
                peer.socket.disconnect(f"tcp://{peer.address}")
                peer.socket.connect(f"tcp://{peer.address}")


def _is_sent(future: Any) -> bool:
    """Return whether a send without waiting succeeded; its future is done at once.

    Sends go through the asynchronous socket although they never wait: it looks at the socket's
    events afterwards. A send on the plain socket can consume the edge-triggered readiness signal,
    after which a reader that polls would never wake up.
    """
    return future.done() and future.exception() is None


def _incarnation_of(identity: bytes | None) -> int:
    if identity is None:
        return 0
    return int(identity.rpartition(b"/")[2][:18])


def _unreachable(host: str) -> Failure:
    return Failure(Code.PEER_UNREACHABLE, f"no connection to host {host}", Ran.NOT_RUN)
