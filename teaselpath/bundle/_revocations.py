"""Revoked keys: a set of signed records that can be added in any order."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from hashlib import sha256
from typing import Annotated

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from teaselpath.bundle._document import Bundle, KeyDigest
from teaselpath.bundle._signing import open_record, sign_record
from teaselpath.results import Code, Failure

DIGEST_BYTES = 16


class RevocationSpec(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Payload of a revocation.

    :param key_digest: SHA-256 of the revoked key, 64 hexadecimal digits.
    :param key_id: name of the key, for display.
    :param version: a bundle version that contains the key. The revocation becomes obsolete only
        with a later bundle without the key; an earlier one may not contain the key yet.
    """

    key_digest: KeyDigest
    key_id: str = ""
    version: Annotated[int, Meta(ge=0)]
    reason: str = ""


@dataclass(slots=True, frozen=True)
class _Entry:
    spec: RevocationSpec
    data: bytes


def sign_revocation(spec: RevocationSpec, private_key: bytes) -> bytes:
    """Return the signed record that revokes a key."""
    return sign_record("revocation", msgspec.json.encode(spec), private_key)


def open_revocation(data: bytes, operator_keys: Sequence[bytes]) -> Result[RevocationSpec, Failure]:
    """Verify and decode a signed revocation."""
    opened = open_record(data, operator_keys)
    if opened.is_err():
        return Err(opened.unwrap_err())
    record = opened.unwrap()
    if record.kind != "revocation":
        return Err(Failure(Code.MALFORMED_RECORD, f"expected a revocation, got a {record.kind}"))
    return decode_revocation(record.payload)


def decode_revocation(payload: bytes) -> Result[RevocationSpec, Failure]:
    """Decode the payload of a revocation."""
    try:
        return Ok(msgspec.json.decode(payload, type=RevocationSpec))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(Failure(Code.MALFORMED_RECORD, f"malformed revocation: {error}"))


class RevocationSet:
    """Revoked keys whose revocation is not obsolete.

    A revocation is obsolete if its version is lower than that of the accepted bundle and this
    bundle does not contain the key. The digest covers only the revoked keys: two nodes with the
    same revoked keys have the same digest, regardless of which records revoked them.
    """

    def __init__(self) -> None:
        self.entries: dict[bytes, _Entry] = {}
        self.digest = _digest(())
        self.version = 0
        self.bundle_keys: frozenset[bytes] = frozenset()

    @property
    def records(self) -> list[bytes]:
        """Signed records, ordered by key digest."""
        return [self.entries[key].data for key in sorted(self.entries)]

    def add(self, data: bytes, operator_keys: Sequence[bytes]) -> Result[bool, Failure]:
        """Add a signed revocation.

        :returns: True if the set changed, False if the key is already revoked or the revocation is
            obsolete.
        """
        opened = open_revocation(data, operator_keys)
        if opened.is_err():
            return Err(opened.unwrap_err())
        return Ok(self.insert(opened.unwrap(), data))

    def insert(self, spec: RevocationSpec, data: bytes) -> bool:
        """Add a revocation whose signature has been verified."""
        key = bytes.fromhex(spec.key_digest)
        if key in self.entries:
            # Of two revocations of a key, the one for the later version becomes obsolete later.
            if spec.version > self.entries[key].spec.version:
                self.entries[key] = _Entry(spec, data)
            return False
        if self._is_obsolete(key, spec):
            return False
        self.entries[key] = _Entry(spec, data)
        self.digest = _digest(self.entries)
        return True

    def is_revoked(self, key_digest: bytes) -> bool:
        """Return whether a key is revoked.

        :param key_digest: SHA-256 of the key, 32 bytes.
        """
        return key_digest in self.entries

    def compact(self, bundle: Bundle) -> None:
        """Remove the revocations that a newly accepted bundle makes obsolete."""
        self.version = bundle.version
        self.bundle_keys = frozenset(
            bytes.fromhex(key.digest) for workspace in bundle.workspaces for key in workspace.keys
        )
        self.entries = {
            key: entry
            for key, entry in self.entries.items()
            if not self._is_obsolete(key, entry.spec)
        }
        self.digest = _digest(self.entries)

    def _is_obsolete(self, key: bytes, spec: RevocationSpec) -> bool:
        return spec.version < self.version and key not in self.bundle_keys


def _digest(keys: Iterable[bytes]) -> bytes:
    return sha256(b"".join(sorted(keys))).digest()[:DIGEST_BYTES]
