"""Lookup of caller keys by digest."""

from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest

from result import Err, Ok, Result

from teaselpath.bundle._document import Bundle
from teaselpath.bundle._revocations import RevocationSet
from teaselpath.results import Code, Failure

_NO_MATCH_DIGEST = bytes(32)


@dataclass(slots=True, frozen=True)
class KeyMatch:
    """A key of the bundle and the workspace that owns it."""

    workspace: str
    key_id: str
    digest: bytes


def key_digest(key: str) -> bytes:
    """Return the SHA-256 digest of a caller's key, 32 bytes."""
    return sha256(key.encode("utf-8", "surrogatepass")).digest()


class KeyIndex:
    """Index of the keys of a bundle.

    Keys are looked up by the SHA-256 digest of the presented key. The lookup time depends only on
    bits of this digest, from which no key can be derived, and the full digests are compared in
    constant time.

    :param revocations: revoked keys, checked on each lookup.
    """

    def __init__(self, bundle: Bundle, revocations: RevocationSet | None = None) -> None:
        self.revocations = revocations
        self.matches: dict[bytes, KeyMatch] = {}
        for workspace in bundle.workspaces:
            for key in workspace.keys:
                digest = bytes.fromhex(key.digest)
                self.matches[digest] = KeyMatch(workspace.id, key.id, digest)

    def find(self, key: str) -> Result[KeyMatch, Failure]:
        """Return the match for a key; MISSING_KEY, UNKNOWN_KEY or KEY_WITHDRAWN otherwise."""
        if not key:
            return Err(Failure(Code.MISSING_KEY, "the request has no key"))
        digest = key_digest(key)
        match = self.matches.get(digest)
        is_equal = compare_digest(digest, match.digest if match else _NO_MATCH_DIGEST)
        if match is None or not is_equal:
            return Err(Failure(Code.UNKNOWN_KEY, "the key is not in the accepted bundle"))
        if self.revocations is not None and self.revocations.is_revoked(digest):
            return Err(Failure(Code.KEY_WITHDRAWN, f"key {match.key_id!r} is withdrawn"))
        return Ok(match)
