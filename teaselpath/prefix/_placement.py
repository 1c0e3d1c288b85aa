"""Rendezvous order of endpoints for a hash, computed once per slot."""

from collections.abc import Sequence
from heapq import nlargest

from teaselpath.utils import rendezvous_rank

# Keys are reduced to this many slots, so that the order over thousands of endpoints is computed
# once per slot and not once per request: at 2,400 endpoints an order takes milliseconds. Every node
# must use the same number.
SLOTS = 2048
# Endpoints kept per slot; the widest set over which a prefix is spread.
DEPTH = 16


def _slot_key(slot: int) -> bytes:
    return slot.to_bytes(2, "big")


class Placement:
    """Rendezvous order per slot over one list of endpoints.

    The order depends on the endpoint names alone, so every node and every restart finds the same.
    """

    __slots__ = ("endpoints", "known", "orders")

    def __init__(self, endpoints: Sequence[str]) -> None:
        self.endpoints = endpoints
        self.known = frozenset(endpoints)
        self.orders: dict[int, list[tuple[int, str]]] = {}

    def top(self, value: bytes, count: int) -> list[str]:
        """Return up to ``count`` (at most ``DEPTH``) endpoints for a hash, best first."""
        return [endpoint for _, endpoint in self._order(value)[:count]]

    def nth(self, value: bytes, position: int) -> str:
        """Return the endpoint at a position of the order; positions wrap around."""
        order = self._order(value)
        return order[position % len(order)][1]

    def _order(self, value: bytes) -> list[tuple[int, str]]:
        slot = int.from_bytes(value[:4], "big") % SLOTS
        order = self.orders.get(slot)
        if order is None:
            key = _slot_key(slot)
            ranked = ((rendezvous_rank(key, endpoint), endpoint) for endpoint in self.known)
            order = self.orders[slot] = nlargest(DEPTH, ranked)
        return order

    def change(self, endpoints: Sequence[str]) -> None:
        """Take over another list of endpoints; only slots that it affects are computed again."""
        known = frozenset(endpoints)
        removed, added = self.known - known, known - self.known
        self.endpoints, self.known = endpoints, known
        for slot in list(self.orders):
            self._change_slot(slot, removed, added)

    def _change_slot(self, slot: int, removed: frozenset[str], added: frozenset[str]) -> None:
        order = self.orders[slot]
        if any(endpoint in removed for _, endpoint in order):
            del self.orders[slot]
            return
        key = _slot_key(slot)
        order += ((rendezvous_rank(key, endpoint), endpoint) for endpoint in added)
        order.sort(reverse=True)
        del order[DEPTH:]
