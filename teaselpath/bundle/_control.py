"""Operator requests to a node: signature, expiry and replay protection."""

from collections.abc import Sequence
from heapq import heappop, heappush
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from teaselpath.bundle._signing import check_signature, operator_public_key, sign_payload
from teaselpath.results import Code, Failure
from teaselpath.wire import Control

# A nonce is stored until its request expires, so this also bounds how long nonces are stored.
MAX_LIFETIME_MS = 120_000


class ControlRequest(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Payload of an operator request.

    :param expires_ms: wall-clock time after which the request is invalid, in Unix milliseconds.
    :param nonce: string that is unique per request.
    """

    command: Annotated[str, Meta(min_length=1, max_length=100)]
    arguments: dict[str, Any] = {}
    expires_ms: int
    nonce: Annotated[str, Meta(min_length=16, max_length=64)]


class NonceCache:
    """Bounded set of the nonces of requests that have not expired.

    A full set refuses new requests instead of evicting a nonce whose request could be replayed.

    :param limit: maximum number of nonces.
    """

    def __init__(self, limit: int = 4096) -> None:
        self.limit = limit
        self.seen: set[str] = set()
        self.expiry_heap: list[tuple[int, str]] = []

    def add(self, nonce: str, expires_ms: int, now_ms: int) -> Result[None, Failure]:
        """Store a nonce; DUPLICATE_REQUEST if it is stored already, OVERLOADED if full."""
        while self.expiry_heap and self.expiry_heap[0][0] < now_ms:
            self.seen.discard(heappop(self.expiry_heap)[1])
        if nonce in self.seen:
            return Err(Failure(Code.DUPLICATE_REQUEST, "the request was received before"))
        if len(self.seen) >= self.limit:
            return Err(Failure(Code.OVERLOADED, f"{self.limit} requests are remembered already"))
        self.seen.add(nonce)
        heappush(self.expiry_heap, (expires_ms, nonce))
        return Ok(None)


def sign_control(request_id: str, request: ControlRequest, private_key: bytes) -> Control:
    """Return the signed message for an operator request."""
    payload = msgspec.json.encode(request)
    signature = sign_payload("control", payload, private_key)
    return Control(request_id, payload, signature, operator_public_key(private_key))


def open_control(
    control: Control,
    operator_keys: Sequence[bytes],
    nonces: NonceCache,
    now_ms: int,
    host: str = "",
) -> Result[ControlRequest, Failure]:
    """Verify and decode an operator request.

    :param now_ms: wall-clock time in Unix milliseconds.
    :param host: name of this host. A request whose arguments name another host is rejected, because
        the nonces are stored per host and would not prevent a replay on another one.
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
