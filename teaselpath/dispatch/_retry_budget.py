"""Retry budget of a service, divided among all gateways without coordination."""

from collections import deque

# Width of a time slice, the resolution of the sliding window, in seconds.
SLICE_S = 0.5
# Fraction of the configured budget that is used; the rest covers clock and window differences
# between gateways.
USED_FRACTION = 0.85


class SlidingRetryBudget:
    """Counts first sends and retries of one service over a sliding window.

    Each gateway may use ``USED_FRACTION`` of its budget, which is ``ratio`` retries per request of
    its own plus an equal share of ``extra``, so the sum over all gateways stays within the budget
    without any message exchange. A retry occupies the budget from its grant until it is sent, and
    for one window from then on: it may wait for an endpoint meanwhile.

    :param ratio: retries allowed per request.
    :param extra: additional retries allowed in any window, over all gateways.
    :param window_s: length of the window, in seconds.
    :ivar slices: start time, requests and sent retries of each time slice, oldest first.
    :ivar pending: retries that are granted and neither sent nor given back.
    """

    def __init__(self, ratio: float, extra: float, window_s: float):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.slices: deque[list[float]] = deque()
        self.requests = 0
        self.retries = 0
        self.pending = 0

    def record_request(self, now: float) -> None:
        """Count the first send of a request to the service."""
        self._slice(now)[1] += 1
        self.requests += 1

    def try_acquire(self, now: float, gateways: int) -> bool:
        """Acquire one retry if the budget allows it; return whether it does.

        It has to be recorded as sent, or given back.

        :param gateways: number of gateways that may be running.
        """
        self._expire(now)
        allowed = self.ratio * self.requests + self.extra / max(1, gateways)
        if self.retries + self.pending + 1 > USED_FRACTION * allowed:
            return False
        self.pending += 1
        return True

    def record_sent(self, now: float) -> None:
        """Count a granted retry from its sending on."""
        self.pending -= 1
        self._slice(now)[2] += 1
        self.retries += 1

    def give_back(self) -> None:
        """Give back a granted retry that is not sent."""
        self.pending -= 1

    def _slice(self, now: float) -> list[float]:
        self._expire(now)
        start = now - now % SLICE_S
        if not self.slices or self.slices[-1][0] != start:
            self.slices.append([start, 0, 0])
        return self.slices[-1]

    def _expire(self, now: float) -> None:
        while self.slices and self.slices[0][0] <= now - self.window_s - SLICE_S:
            _, requests, retries = self.slices.popleft()
            self.requests -= int(requests)
            self.retries -= int(retries)
