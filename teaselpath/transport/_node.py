"""ZeroMQ sockets of a process: one ROUTER for inbound peers, one DEALER to each peer."""

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

# Messages received before control returns to the event loop.
RECEIVE_BATCH_MESSAGES = 64
HIGH_WATER_MARK_MESSAGES = 20_000
# Each peer takes three sockets; the library's default of 1,023 suffices for 340 peers only.
MAX_SOCKETS = 16_384
HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 2_000
RECONNECT_INTERVAL_MS = 50
RECONNECT_INTERVAL_MAX_MS = 1_000
AUTH_RETRY_INTERVAL_S = 0.2
MONITORED_EVENTS = (
    zmq.EVENT_HANDSHAKE_SUCCEEDED
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_DISCONNECTED
)
# Larger than any body limit; a peer that sends a larger message is disconnected.
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
ZAP_DOMAIN = "teaselpath"
# For a connection without a routing id, the library generates a zero byte and a number.
UNNAMED_PREFIX = b"\0"
# Prefix that no host name starts with.
UNNAMED_HOST = "\0"


@dataclass(slots=True)
class Received:
    """A message from a peer."""

    host: str
    incarnation: int
    message: Message


@dataclass(slots=True)
class PeerLost:
    """The connection to or from a peer was lost; the transport reconnects automatically."""

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
    """Sends and receives messages of one process, identified by its host name.

    The routing id of a peer is ``host/incarnation``, so that a restarted process never inherits the
    connection of its predecessor. A send never blocks: a full queue or a missing connection is
    reported immediately.

    :param host: own host name.
    :param incarnation: number of this process run; increases with each restart.
    :param address: TCP address to bind, ``ip:port``.
    :param keys: own CURVE key pair.
    :param allow_list: public keys of clients that may connect.
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
        """Close all sockets; queued messages get up to 500 ms to be flushed."""
        self.router_task.cancel()
        for host in list(self.peers):
            self._disconnect(host)
        self.authenticator.stop()
        self.router.close(linger=500)
        self.context.destroy(linger=500)

    def connect(self, host: str, address: str, public_key: bytes) -> None:
        """Connect to a peer unless a connection with the same parameters exists."""
        existing = self.peers.get(host)
        if existing is not None:
            if (existing.address, existing.public_key) == (address, public_key):
                return
            self._disconnect(host)
        socket = self._make_socket(zmq.DEALER)
        socket.curve_serverkey = public_key
        socket.routing_id = f"{self.host}/{self.incarnation}".encode()
        # IMMEDIATE queues messages only on an established connection, so that an error from
        # a send proves that the peer did not receive the message.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        monitor = socket.get_monitor_socket(MONITORED_EVENTS)
        socket.connect(f"tcp://{address}")
        peer = _Peer(address, public_key, socket, zmq.Socket.shadow(socket.underlying))
        peer.task = asyncio.create_task(self._receive_from_peer(host, peer))
        peer.monitor_task = asyncio.create_task(self._watch_peer(host, peer, monitor))
        self.peers[host] = peer

    def is_connected(self, host: str) -> bool:
        """Return whether the connection to a peer is established."""
        peer = self.peers.get(host)
        return peer is not None and peer.connected

    def disconnect(self, host: str) -> None:
        """Close the connection to a peer, if there is one."""
        if host in self.peers:
            self._disconnect(host)

    def send(self, host: str, message: Message) -> Result[None, Failure]:
        """Send a message; an error proves that it was not sent.

        :returns: PEER_UNREACHABLE if no connection is established or its queue is full.
        """
        peer = self.peers.get(host)
        if peer is None:
            return self.reply(host, message)
        data = encode(message)
        return self._send_result(host, data, _is_sent(peer.socket.send(data, zmq.NOBLOCK)))

    def reply(self, host: str, message: Message) -> Result[None, Failure]:
        """Send a message over the connection that the peer opened to this process."""
        identity = self.inbound.get(host)
        if identity is None:
            return Err(_unreachable(host))
        data = encode(message)
        is_sent = _is_sent(self.router.send_multipart([identity, data], zmq.NOBLOCK))
        if not is_sent:
            self._remove_inbound(host)
        return self._send_result(host, data, is_sent)

    def _send_result(self, host: str, data: bytes, is_sent: bool) -> Result[None, Failure]:
        if not is_sent:
            return Err(_unreachable(host))
        self.sent_bytes += len(data)
        return Ok(None)

    def _make_socket(self, kind: int) -> zmq.asyncio.Socket:
        socket = self.context.socket(kind)
        socket.curve_publickey = self.keys.public
        socket.curve_secretkey = self.keys.secret
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)
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

    def _remove_inbound(self, host: str) -> None:
        if self.inbound.pop(host, None) is not None:
            self.deliver(PeerLost(host))

    async def _receive_from_router(self) -> None:
        while True:
            await self.router.poll()
            for _ in range(RECEIVE_BATCH_MESSAGES):
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
        """Accept a request of the operator tool, which is no host and has no routing id.

        The reply is sent during delivery, so the connection is not stored.
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
            for _ in range(RECEIVE_BATCH_MESSAGES):
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
                # The library does not reconnect after a rejected key, but the peer may not have
                # added the key of this process yet.
                await asyncio.sleep(AUTH_RETRY_INTERVAL_S)
                # Connecting to an address that is still registered would have no effect.
                peer.socket.disconnect(f"tcp://{peer.address}")
                peer.socket.connect(f"tcp://{peer.address}")


def _is_sent(future: Any) -> bool:
    """Return whether a non-blocking send succeeded; its future completes immediately.

    Sends use the asynchronous socket although they never wait, because it checks the socket's
    events afterwards. A send on the plain socket can consume the edge-triggered readiness signal,
    after which a polling reader would never wake up.
    """
    return future.done() and future.exception() is None


def _incarnation_of(identity: bytes | None) -> int:
    if identity is None:
        return 0
    return int(identity.rpartition(b"/")[2][:18])


def _unreachable(host: str) -> Failure:
    return Failure(Code.PEER_UNREACHABLE, f"no connection to host {host}", Ran.NOT_RUN)
