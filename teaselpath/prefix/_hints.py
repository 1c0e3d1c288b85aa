"""Soft state of the entry about prefixes: recent routes and the spread of hot ones."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

# Cache events reach the agent after the wait, the prefill and their own lag; a prefix that was just
# routed counts as cached until then. With 2 s instead of 4 s the simulation recomputes more.
HINT_S = 4.0
MAX_HINTS = 16_384
MAX_HOT = 4_096
# The set of a prefix grows when even its best engine makes a request wait this much longer than
# the region's bound. At 0.25 s, sets also grew in short queues, and recomputation rose ...
GROW_WAIT_S = 0.8
# ... and shrinks when the best engine has been below this wait for SHRINK_HOLD_S. Two limits and
# a hold time keep the set from following every short queue; each change costs recomputation.
SHRINK_WAIT_S = 0.05
GROW_HOLD_S = 0.5
SHRINK_HOLD_S = 10.0
RATE_WINDOW_S = 5.0
# A prefix with fewer requests/s than this at one entry is not why an engine is overloaded.
HOT_RATE = 1.0


class RecentRoutes:
    """Endpoints to which blocks were routed within the last seconds."""

    __slots__ = ("expiry",)

    def __init__(self) -> None:
        self.expiry: OrderedDict[bytes, dict[str, float]] = OrderedDict()

    def add(self, chain: Sequence[bytes], endpoint: str, now: float) -> None:
        """Remember a routed chain."""
        for value in chain:
            self.expiry.setdefault(value, {})[endpoint] = now + HINT_S
            self.expiry.move_to_end(value)
        while len(self.expiry) > MAX_HINTS:
            self.expiry.popitem(last=False)

    def extend(self, chain: Sequence[bytes], endpoint: str, matched: int, now: float) -> int:
        """Return the matched blocks, with those that follow and were routed recently."""
        while matched < len(chain):
            if self.expiry.get(chain[matched], {}).get(endpoint, now) <= now:
                break
            matched += 1
        return matched


@dataclass(slots=True)
class _Spread:
    """Rate and width of one prefix; ``calm_since`` is when its engines were last busy."""

    width: int = 1
    rate: float = 0.0
    seen_at: float = 0.0
    changed_at: float = float("-inf")
    calm_since: float = float("inf")


class HotPrefixes:
    """Number of engines over which each hot prefix is spread.

    :param max_width: widest set.
    """

    def __init__(self, max_width: int) -> None:
        self.max_width = max_width
        self.spreads: OrderedDict[bytes, _Spread] = OrderedDict()

    def width(self, value: bytes) -> int:
        """Return the number of engines for a prefix; 1 unless it is hot."""
        spread = self.spreads.get(value)
        return spread.width if spread else 1

    def record(self, value: bytes, wait_s: float, now: float) -> None:
        """Count a request for a prefix, with the wait at the best engine probed for it."""
        spread = self.spreads.get(value)
        if spread is None:
            spread = self.spreads[value] = _Spread(seen_at=now)
        self.spreads.move_to_end(value)
        if len(self.spreads) > MAX_HOT:
            self.spreads.popitem(last=False)
        elapsed = max(0.0, now - spread.seen_at)
        spread.rate = spread.rate * exp(-elapsed / RATE_WINDOW_S) + 1 / RATE_WINDOW_S
        spread.seen_at = now
        self._resize(spread, wait_s, now)

    def _resize(self, spread: _Spread, wait_s: float, now: float) -> None:
        if wait_s > SHRINK_WAIT_S:
            spread.calm_since = float("inf")
        elif spread.calm_since == float("inf"):
            spread.calm_since = now
        held_s = now - spread.changed_at
        if wait_s > GROW_WAIT_S and spread.rate >= HOT_RATE and held_s >= GROW_HOLD_S:
            width = min(self.max_width, spread.width * 2)
        elif now - spread.calm_since >= SHRINK_HOLD_S and held_s >= SHRINK_HOLD_S:
            width = max(1, spread.width - 1)
        else:
            return
        if width != spread.width:
            spread.width, spread.changed_at = width, now
