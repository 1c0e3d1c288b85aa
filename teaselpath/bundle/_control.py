"""Operators' requests to a node: signature, expiry and protection against replay."""

from collections.abc import Sequence
from heapq import heappop, heappush
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from teaselpath.bundle._signing import check_signature, operator_public_key, sign_payload
from teaselpath.results import Code, Failure
from teaselpath.wire import Control

# A nonce is remembered until its request expires, so this bounds how long.
MAX_LIFETIME_MS = 120_000


class ControlRequest(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Payload of an operator's request.

    :param expires_ms: wall-clock time after which the request is void, in Unix milliseconds.
    :param nonce: unique per request.
    """

    command: Annotated[str, Meta(min_length=1, max_length=100)]
    arguments: dict[str, Any] = {}
    expires_ms: int
    nonce: Annotated[str, Meta(min_length=16, max_length=64)]


class NonceMemory:
    """Nonces of requests that have not expired; bounded.

    A full memory refuses new requests instead of forgetting a nonce that could be replayed.

    :param limit: greatest number of nonces.
    """

    def __init__(self, limit: int = 4096) -> None:
        self.limit = limit
        self.seen: set[str] = set()
        self.expiries: list[tuple[int, str]] = []

    def add(self, nonce: str, expires_ms: int, now_ms: int) -> Result[None, Failure]:
        """Remember a nonce; DUPLICATE_REQUEST if it is known, OVERLOADED if the memory is full."""
        while self.expiries and self.expiries[0][0] < now_ms:
            self.seen.discard(heappop(self.expiries)[1])
        if nonce in self.seen:
            return Err(Failure(Code.DUPLICATE_REQUEST, "the request was received before"))
        if len(self.seen) >= self.limit:
            return Err(Failure(Code.OVERLOADED, f"{self.limit} requests are remembered already"))
        self.seen.add(nonce)
        heappush(self.expiries, (expires_ms, nonce))
        return Ok(None)


def sign_control(request_id: str, request: ControlRequest, private_key: bytes) -> Control:
    """Return the signed message for an operator's request."""
    payload = msgspec.json.encode(request)
    signature = sign_payload("control", payload, private_key)
    return Control(request_id, payload, signature, operator_public_key(private_key))


def open_control(
    control: Control,
    operator_keys: Sequence[bytes],
    nonces: NonceMemory,
    now_ms: int,
    host: str = "",
) -> Result[ControlRequest, Failure]:
    """Check an operator's request.

    :param now_ms: wall-clock time in Unix milliseconds.
    :param host: name of this host. A request whose arguments name another host is refused, because
        the nonce memory of one host does not protect another.
    """
    signed = check_signature(
        "control", control.payload, control.operator_key, control.signature, operator_keys
    )
    if signed.is_err():
        return Err(signed.unwrap_err())
    try:
        request = msgspec.json.decode(control.payload, type=ControlRequest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(Failure(Code.MALFORMED_MESSAGE, f"malformed request: {error}"))
    remaining_ms = request.expires_ms - now_ms
    if not 0 <= remaining_ms <= MAX_LIFETIME_MS:
        detail = f"the request expires in {remaining_ms} ms, allowed are 0 to {MAX_LIFETIME_MS}"
        return Err(Failure(Code.REQUEST_TIMEOUT, detail))
    if host and request.arguments.get("host", host) != host:
        return Err(Failure(Code.INVALID_FIELD, f"the request is for {request.arguments['host']}"))
    known = nonces.add(request.nonce, request.expires_ms, now_ms)
    return Err(known.unwrap_err()) if known.is_err() else Ok(request)
