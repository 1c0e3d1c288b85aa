"""Hashes of several fields, and rendezvous hashing.

The latter is also called highest random weight hashing (Thaler and Ravishankar, 1998).
"""

from collections.abc import Iterable, Sequence
from hashlib import blake2b
from heapq import nlargest


def hash_fields(fields: Sequence[bytes], size: int) -> bytes:
    """Return a hash of fields that differs where only their boundaries do.

    :param size: of the hash, in bytes.
    """
    digest = blake2b(b",".join(b"%d" % len(field) for field in fields), digest_size=size)
    for field in fields:
        digest.update(b"\n")
        digest.update(field)
    return digest.digest()


def rendezvous_rank(key: bytes, node: str) -> int:
    """Return the pseudo-random weight of a node for a key."""
    return int.from_bytes(blake2b(node.encode(), key=key[:64], digest_size=8).digest(), "big")


def rendezvous_top(key: bytes, nodes: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` nodes with the highest weight for a key, best first.

    Adding or removing one node reassigns only the keys of that node.
    """
    return nlargest(count, nodes, key=lambda node: (rendezvous_rank(key, node), node))
