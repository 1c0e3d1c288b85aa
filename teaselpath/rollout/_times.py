"""Usual times of the old version, by which an answer of the new one counts as slow.

Times depend on the route and on the tokens that an engine has to read. They are counted in bins, by
route and by the size of the uncached prompt, over the last seconds, and compared with the median. A
size without enough answers takes the median of the nearest one that has them, in proportion to the
tokens if that one is smaller: reading time grows at most so.
"""

import math
from collections import deque

# Multiple of the median from which an answer is slow, and time beyond it, in seconds.
SLOW_FACTOR = 2.5
SLOW_EXTRA_S = 0.03
# Answers from which a median counts.
MIN_TIMES = 8
# Time for which answers count, in seconds.
TIMES_WINDOW_S = 4.0
# Interval at which limits are computed, in seconds, and multiple of one without answers of late.
LIMIT_INTERVAL_S = 0.25
STALE_FACTOR = 2.0
# Smallest time that is told from zero, in seconds, bins per factor of two, and number of bins.
FIRST_BIN_S = 0.004
BINS_PER_OCTAVE = 3
BINS = 48


def bin_of(time_s: float) -> int:
    """Return the number of the bin of a time."""
    position = BINS_PER_OCTAVE * math.log2(max(time_s, FIRST_BIN_S) / FIRST_BIN_S)
    return min(BINS - 1, int(position))


def bin_end_s(number: int) -> float:
    """Return the end of a bin, in seconds."""
    return float(FIRST_BIN_S * 2 ** ((number + 1) / BINS_PER_OCTAVE))


def size_of(uncached_tokens: int) -> int:
    """Return the size class of a prompt: one for each factor of two."""
    return max(0, uncached_tokens).bit_length()


class UsualTimes:
    """Times of the old version's first events, or whole answers, at all gateways.

    :ivar limits: limit of each route and size, and the time until which it counts, in seconds.
    """

    def __init__(self) -> None:
        self.seen: dict[tuple[str, int], deque[tuple[float, int, int]]] = {}
        self.limits: dict[tuple[str, int], tuple[float | None, float]] = {}

    def observe(self, route: str, size: int, number: int, count: int, now: float) -> None:
        """Record answers whose times lie in a bin; another gateway may state any number."""
        number = min(BINS - 1, max(0, number))
        self.seen.setdefault((route, size), deque()).append((now, number, count))

    def limit_s(self, route: str, size: int, now: float) -> float | None:
        """Return the time from which an answer is slow, in seconds; None if it is not known.

        Without answers of these seconds, it is that of the last ones, with more room.
        """
        limit_s, until = self.limits.get((route, size), (None, 0.0))
        if now >= until:
            fresh_s = self._fresh_limit_s(route, size, now)
            if fresh_s is not None:
                limit_s = fresh_s
                self.limits[route, size] = (limit_s, now + LIMIT_INTERVAL_S)
            elif limit_s is not None and now >= until + TIMES_WINDOW_S:
                return STALE_FACTOR * limit_s
        return limit_s

    def _fresh_limit_s(self, route: str, size: int, now: float) -> float | None:
        sizes = [known for name, known in self.seen if name == route]
        medians = {s: m for s in sizes if (m := self._median_s(route, s, now))}
        if not medians:
            return None
        nearest = min(medians, key=lambda s: (abs(s - size), s > size))
        median_s: float = medians[nearest] * 2 ** max(0, size - nearest)
        return SLOW_FACTOR * median_s + SLOW_EXTRA_S

    def _median_s(self, route: str, size: int, now: float) -> float | None:
        seen = self.seen[route, size]
        while seen and seen[0][0] < now - TIMES_WINDOW_S:
            seen.popleft()
        counts = [0] * BINS
        for _, number, count in seen:
            counts[number] += count
        total, below = sum(counts), 0
        if total < MIN_TIMES:
            return None
        for number, count in enumerate(counts):
            below += count
            if 2 * below >= total:
                return bin_end_s(number)
        return None
