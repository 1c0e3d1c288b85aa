"""State that an entry loses in a restart: recent routes, and widths of hot prefixes."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass
from math import exp

# A recently routed prefix counts as cached until its cache events can have reached the agent, that
# is, after the wait, the prefill and the event lag. With 2 s instead of 4 s, the simulation
# recomputes more.
ROUTE_TTL_S = 4.0
MAX_ROUTED_BLOCKS = 16_384
MAX_TRACKED_PREFIXES = 4_096
# The width of a prefix (its number of engines) grows when the wait at its best engine exceeds the
# region's bound by more than this. With 0.25 s, short queues also increased widths, and more blocks
# were recomputed.
GROW_THRESHOLD_S = 0.8
# The width shrinks when this excess has been at most SHRINK_THRESHOLD_S for SHRINK_INTERVAL_S. Two
# thresholds and minimum intervals provide hysteresis, because each change costs recomputation.
SHRINK_THRESHOLD_S = 0.05
GROW_INTERVAL_S = 0.5
SHRINK_INTERVAL_S = 10.0
# Time constant of the exponentially decaying request rate.
RATE_TIME_CONSTANT_S = 5.0
# A prefix with a lower request rate at one entry cannot be the cause of an engine's overload.
MIN_HOT_REQUESTS_PER_S = 1.0


class RecentRoutes:
    """Endpoints to which each block was routed within the last ``ROUTE_TTL_S`` seconds."""

    __slots__ = ("expiry",)

    def __init__(self) -> None:
        self.expiry: OrderedDict[bytes, dict[str, float]] = OrderedDict()

    def add(self, chain: Sequence[bytes], endpoint: str, now: float) -> None:
        """Record that a chain was routed to an endpoint."""
        for value in chain:
            self.expiry.setdefault(value, {})[endpoint] = now + ROUTE_TTL_S
            self.expiry.move_to_end(value)
        while len(self.expiry) > MAX_ROUTED_BLOCKS:
            self.expiry.popitem(last=False)

    def extend(self, chain: Sequence[bytes], endpoint: str, matched: int, now: float) -> int:
        """Return the number of matched blocks, plus that of the next ones routed there recently.

        :param matched: number of leading blocks of the chain that the endpoint has cached.
        """
        while matched < len(chain):
            if self.expiry.get(chain[matched], {}).get(endpoint, now) <= now:
                break
            matched += 1
        return matched


@dataclass(slots=True)
class _Spread:
    """Request rate and width (number of engines) of one prefix.

    :param low_excess_since: time since which the excess of the wait over the region's bound has
        stayed at or below ``SHRINK_THRESHOLD_S``; infinite while it is above.
    """

    width: int = 1
    rate: float = 0.0
    seen_at: float = 0.0
    changed_at: float = float("-inf")
    low_excess_since: float = float("inf")


class HotPrefixes:
    """Number of engines over which each hot prefix is spread.

    :param max_width: maximum number of engines for a prefix.
    """

    def __init__(self, max_width: int) -> None:
        self.max_width = max_width
        self.spreads: OrderedDict[bytes, _Spread] = OrderedDict()

    def width(self, value: bytes) -> int:
        """Return the number of engines for a prefix; 1 unless it is hot."""
        spread = self.spreads.get(value)
        return spread.width if spread else 1

    def record(self, value: bytes, excess_s: float, now: float) -> None:
        """Count a request for a prefix and adapt its width.

        :param excess_s: by how much the wait at the best engine of the prefix exceeds the bound of
            the region, in seconds.
        """
        spread = self.spreads.get(value)
        if spread is None:
            spread = self.spreads[value] = _Spread(seen_at=now)
        self.spreads.move_to_end(value)
        if len(self.spreads) > MAX_TRACKED_PREFIXES:
            self.spreads.popitem(last=False)
        elapsed = max(0.0, now - spread.seen_at)
        spread.rate = spread.rate * exp(-elapsed / RATE_TIME_CONSTANT_S) + 1 / RATE_TIME_CONSTANT_S
        spread.seen_at = now
        self._resize(spread, excess_s, now)

    def _resize(self, spread: _Spread, excess_s: float, now: float) -> None:
        if excess_s > SHRINK_THRESHOLD_S:
            spread.low_excess_since = float("inf")
        elif spread.low_excess_since == float("inf"):
            spread.low_excess_since = now
        unchanged_s = now - spread.changed_at
        if (
            excess_s > GROW_THRESHOLD_S
            and spread.rate >= MIN_HOT_REQUESTS_PER_S
            and unchanged_s >= GROW_INTERVAL_S
        ):
            width = min(self.max_width, spread.width * 2)
        elif (
            now - spread.low_excess_since >= SHRINK_INTERVAL_S and unchanged_s >= SHRINK_INTERVAL_S
        ):
            width = max(1, spread.width - 1)
        else:
            return
        if width != spread.width:
            spread.width, spread.changed_at = width, now
