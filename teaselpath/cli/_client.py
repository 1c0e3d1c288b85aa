"""Client for operator requests: a CURVE-encrypted DEALER socket per node control address."""

import time
from dataclasses import dataclass
from secrets import token_hex
from typing import Any

import msgspec
import zmq
from result import Err, Ok, Result

from teaselpath.bundle import ControlRequest, sign_control
from teaselpath.results import Code, Failure
from teaselpath.wire import ControlReply, decode, encode

REQUEST_LIFETIME_MS = 30_000
NONCE_BYTES = 16


@dataclass(slots=True, frozen=True)
class NodeAddress:
    """Address of a node's control socket.

    :param curve_public: CURVE public key of the node, 40 characters of Z85; if it is empty, the
        connection is not encrypted.
    """

    host: str
    address: str
    port: int
    curve_public: str

    @property
    def url(self) -> str:
        """ZeroMQ address, with an IPv6 address in brackets."""
        url_host = f"[{self.address}]" if ":" in self.address else self.address
        return f"tcp://{url_host}:{self.port}"


@dataclass(slots=True, frozen=True)
class ToolKeys:
    """Keys of the operator and of the tool.

    :param operator_private: Ed25519 private key, 32 bytes.
    :param curve_public: CURVE public key of the tool; ``curve_secret`` is its secret key.
    """

    operator_private: bytes
    curve_public: bytes
    curve_secret: bytes


def send_requests(
    nodes: list[NodeAddress],
    command: str,
    arguments: dict[str, Any],
    keys: ToolKeys,
    timeout_s: float,
) -> dict[str, Result[Any, Failure]]:
    """Send a signed request to each node and wait for the replies.

    :returns: for each host the decoded JSON answer, the failure that the node reported, or
        PEER_TIMEOUT.
    """
    context = zmq.Context()
    poller = zmq.Poller()
    pending: dict[zmq.Socket, tuple[str, str]] = {}
    answers: dict[str, Result[Any, Failure]] = {}
    try:
        for node in nodes:
            socket = _connect(context, node, keys)
            request_id = token_hex(NONCE_BYTES)
            request = ControlRequest(
                command=command,
                arguments=arguments | {"host": node.host},
                expires_ms=int(time.time() * 1000) + REQUEST_LIFETIME_MS,
                nonce=token_hex(NONCE_BYTES),
            )
            socket.send(encode(sign_control(request_id, request, keys.operator_private)))
            poller.register(socket, zmq.POLLIN)
            pending[socket] = (node.host, request_id)
        _collect_replies(poller, pending, answers, time.monotonic() + timeout_s)
    finally:
        context.destroy(linger=0)
    timed_out = Failure(Code.PEER_TIMEOUT, f"no answer within {timeout_s:g} s")
    return {node.host: answers.get(node.host, Err(timed_out)) for node in nodes}


def _connect(context: zmq.Context, node: NodeAddress, keys: ToolKeys) -> zmq.Socket:
    socket = context.socket(zmq.DEALER)
    socket.linger = 0
    if node.curve_public:
        socket.curve_serverkey = node.curve_public.encode()
        socket.curve_publickey = keys.curve_public
        socket.curve_secretkey = keys.curve_secret
    socket.connect(node.url)
    return socket


def _collect_replies(
    poller: zmq.Poller,
    pending: dict[zmq.Socket, tuple[str, str]],
    answers: dict[str, Result[Any, Failure]],
    deadline: float,
) -> None:
    while len(answers) < len(pending):
        remaining_ms = int((deadline - time.monotonic()) * 1000)
        if remaining_ms <= 0:
            return
        for socket, _ in poller.poll(remaining_ms):
            host, request_id = pending[socket]
            answer = read_reply(socket.recv(), request_id)
            if answer is not None:
                answers[host] = answer


def read_reply(data: bytes, request_id: str) -> Result[Any, Failure] | None:
    """Return the answer in a reply; None if the message is not the reply to this request."""
    message = decode(data).ok()
    if not isinstance(message, ControlReply) or message.request_id != request_id:
        return None
    try:
        body = msgspec.json.decode(message.body) if message.body else None
        code = Code(message.code)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return Err(Failure(Code.MALFORMED_MESSAGE, f"malformed answer: {error}"))
    if code is Code.OK:
        return Ok(body)
    detail = body.get("detail", "") if isinstance(body, dict) else ""
    return Err(Failure(code, str(detail)))
