"""Rendezvous hashing of block hashes to endpoints, computed once per slot."""

from collections.abc import Sequence
from heapq import nlargest

from teaselpath.utils import rendezvous_rank

# Hashes are mapped to this many slots, so that endpoints are ranked once per slot and not once per
# request: ranking 2,400 endpoints takes milliseconds. All nodes must use the same number.
SLOT_COUNT = 2048
# Ranked endpoints stored per slot; also the maximum number of engines for a hot prefix.
ENDPOINTS_PER_SLOT = 16


def _slot_key(slot: int) -> bytes:
    return slot.to_bytes(2, "big")


class Placement:
    """Rendezvous order of a list of endpoints, per slot.

    The order depends on the names of the endpoints only, so it is the same at all nodes and after
    restarts.
    """

    __slots__ = ("endpoints", "known", "orders")

    def __init__(self, endpoints: Sequence[str]) -> None:
        self.endpoints = endpoints
        self.known = frozenset(endpoints)
        self.orders: dict[int, list[tuple[int, str]]] = {}

    def top(self, value: bytes, count: int) -> list[str]:
        """Return ``count`` (at most ``ENDPOINTS_PER_SLOT``) endpoints for a hash, best first."""
        return [endpoint for _, endpoint in self._order(value)[:count]]

    def nth(self, value: bytes, position: int) -> str:
        """Return the endpoint at a position in the order; positions wrap around."""
        order = self._order(value)
        return order[position % len(order)][1]

    def _order(self, value: bytes) -> list[tuple[int, str]]:
        slot = int.from_bytes(value[:4], "big") % SLOT_COUNT
        order = self.orders.get(slot)
        if order is None:
            key = _slot_key(slot)
            ranked = ((rendezvous_rank(key, endpoint), endpoint) for endpoint in self.known)
            order = self.orders[slot] = nlargest(ENDPOINTS_PER_SLOT, ranked)
        return order

    def update(self, endpoints: Sequence[str]) -> None:
        """Replace the list of endpoints; only the affected slots are computed again."""
        known = frozenset(endpoints)
        removed, added = self.known - known, known - self.known
        self.endpoints, self.known = endpoints, known
        for slot in list(self.orders):
            self._update_slot(slot, removed, added)

    def _update_slot(self, slot: int, removed: frozenset[str], added: frozenset[str]) -> None:
        order = self.orders[slot]
        if any(endpoint in removed for _, endpoint in order):
            del self.orders[slot]
            return
        key = _slot_key(slot)
        order += ((rendezvous_rank(key, endpoint), endpoint) for endpoint in added)
        order.sort(reverse=True)
        del order[ENDPOINTS_PER_SLOT:]
