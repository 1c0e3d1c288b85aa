"""Signed records: an Ed25519 signature over the kind and the exact payload bytes.

The kind is part of the signed bytes, so a signed revocation cannot be presented as a bundle.
"""

import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from hashlib import sha256

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from result import Err, Ok, Result

from teaselpath.results import Code, Failure

KINDS = ("bundle", "revocation", "control")
# Limits the memory that decompressing a record can take.
MAX_PAYLOAD_BYTES = 32 * 1024 * 1024


class _Envelope(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A record as stored on the log. Only ``kind`` and the uncompressed payload are signed.

    :param packed: whether the payload is compressed.
    :param renewal: whether a node appended the record again before the log's retention removes it.
    """

    kind: str
    payload: bytes
    operator_key: bytes
    signature: bytes
    packed: bool = False
    renewal: bool = False


@dataclass(slots=True, frozen=True)
class OpenedRecord:
    """A record with a valid signature of a trusted operator.

    :param digest: SHA-256 of the uncompressed payload.
    :param renewal: whether a node appended the record again; this flag is not signed.
    """

    kind: str
    payload: bytes
    operator_key: bytes
    digest: bytes
    renewal: bool = False


_decoder = msgspec.msgpack.Decoder(_Envelope)


def operator_public_key(private_key: bytes) -> bytes:
    """Return the public key of a 32-byte Ed25519 private key."""
    return Ed25519PrivateKey.from_private_bytes(private_key).public_key().public_bytes_raw()


def sign_record(kind: str, payload: bytes, private_key: bytes) -> bytes:
    """Sign a payload and return the record to append to the log.

    :param kind: ``bundle``, ``revocation`` or ``control``.
    :param private_key: 32 bytes.
    """
    signature = sign_payload(kind, payload, private_key)
    packed = zlib.compress(payload)
    is_compressed = len(packed) < len(payload)
    envelope = _Envelope(
        kind,
        packed if is_compressed else payload,
        operator_public_key(private_key),
        signature,
        is_compressed,
    )
    return msgspec.msgpack.encode(envelope)


def sign_payload(kind: str, payload: bytes, private_key: bytes) -> bytes:
    """Return the 64-byte signature of a kind and payload."""
    if kind not in KINDS:
        raise ValueError(f"kind must be one of {KINDS}, got {kind!r}")
    return Ed25519PrivateKey.from_private_bytes(private_key).sign(_signed_bytes(kind, payload))


def open_record(data: bytes, operator_keys: Sequence[bytes]) -> Result[OpenedRecord, Failure]:
    """Decode a record and verify its operator and signature.

    :param operator_keys: trusted public keys, 32 bytes each.
    :returns: the record; MALFORMED_RECORD, UNTRUSTED_OPERATOR or BAD_SIGNATURE otherwise.
    """
    try:
        envelope = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(Failure(Code.MALFORMED_RECORD, f"no signed record: {error}"))
    if envelope.kind not in KINDS:
        return Err(Failure(Code.MALFORMED_RECORD, f"unknown kind of record {envelope.kind!r}"))
    payload = _decompress(envelope)
    if payload is None:
        return Err(Failure(Code.MALFORMED_RECORD, "the payload cannot be unpacked"))
    checked = check_signature(
        envelope.kind, payload, envelope.operator_key, envelope.signature, operator_keys
    )
    if checked.is_err():
        return Err(checked.unwrap_err())
    digest = sha256(payload).digest()
    return Ok(OpenedRecord(envelope.kind, payload, envelope.operator_key, digest, envelope.renewal))


def check_signature(
    kind: str, payload: bytes, operator_key: bytes, signature: bytes, operator_keys: Sequence[bytes]
) -> Result[None, Failure]:
    """Verify that a trusted operator signed the payload."""
    if operator_key not in operator_keys:
        detail = f"operator key {operator_key[:4].hex()}... is not trusted"
        return Err(Failure(Code.UNTRUSTED_OPERATOR, detail))
    try:
        _public_key(operator_key).verify(signature, _signed_bytes(kind, payload))
    except (InvalidSignature, ValueError):
        return Err(Failure(Code.BAD_SIGNATURE, "the signature does not match the payload"))
    return Ok(None)


def mark_renewal(data: bytes) -> bytes:
    """Return the same signed record with its renewal flag set.

    :param data: a record that ``open_record`` accepted.
    """
    return msgspec.msgpack.encode(msgspec.structs.replace(_decoder.decode(data), renewal=True))


@lru_cache(maxsize=64)
def _public_key(operator_key: bytes) -> Ed25519PublicKey:
    return Ed25519PublicKey.from_public_bytes(operator_key)


def _signed_bytes(kind: str, payload: bytes) -> bytes:
    return f"teaselpath {kind}\0".encode() + payload


def _decompress(envelope: _Envelope) -> bytes | None:
    if not envelope.packed:
        return envelope.payload if len(envelope.payload) <= MAX_PAYLOAD_BYTES else None
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(envelope.payload, MAX_PAYLOAD_BYTES)
    except zlib.error:
        return None
    return payload if decompressor.eof and not decompressor.unused_data else None
