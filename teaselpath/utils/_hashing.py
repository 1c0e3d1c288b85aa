"""Rendezvous hashing, also highest random weight hashing (Thaler and Ravishankar, 1998)."""

from collections.abc import Iterable
from hashlib import blake2b
from heapq import nlargest


def rendezvous_rank(key: bytes, node: str) -> int:
    """Return the pseudo-random weight of a node for a key."""
    return int.from_bytes(blake2b(node.encode(), key=key[:64], digest_size=8).digest(), "big")


def rendezvous_top(key: bytes, nodes: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` nodes with the highest weight for a key, best first.

    Adding or removing one node reassigns only the keys of that node.
    """
    return nlargest(count, nodes, key=lambda node: (rendezvous_rank(key, node), node))
