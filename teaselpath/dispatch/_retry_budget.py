"""Retry budget of a service, divided among all gateways without coordination."""

from collections import deque
from dataclasses import dataclass

# Width of a time slice, the resolution of the sliding window, in seconds.
SLICE_S = 0.5
# Fraction of the configured budget that is used; the rest covers clock and window differences
# between gateways.
USED_FRACTION = 0.85
# Part of a gateway's share of the extra retries that can be spent at once; the rest is refilled
# within a window, so that both together are the share.
BURST_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class RetryGrant:
    """A retry that was taken from a budget.

    :param taken_at: time of the grant, in seconds.
    :param is_extra: whether it is one of the extra retries, which do not depend on requests.
    """

    taken_at: float
    is_extra: bool


class SlidingRetryBudget:
    """Counts first sends and retries of one service over a sliding window.

    Each gateway may use ``USED_FRACTION`` of its budget, which is ``ratio`` retries per request of
    its own plus an equal share of ``extra``, so the sum over all gateways stays within the budget
    without any message exchange. A retry occupies the budget from its grant until it is sent, and
    for one window from then on: it may wait for an endpoint meanwhile.

    The share of ``extra`` is a token bucket that is empty when its gateway has restarted: what the
    earlier process has spent is not known.

    :param ratio: retries allowed per request.
    :param extra: additional retries allowed in any window, over all gateways.
    :param window_s: length of the window, in seconds.
    :param refilled_at: time from which on the bucket fills, in seconds.
    :ivar slices: start time, requests and sent retries of each time slice, oldest first.
    :ivar pending: retries by ``ratio`` that are granted and neither sent nor given back.
    :ivar extra_level: extra retries that may be sent.
    :ivar pending_extra: those that are granted and neither sent nor given back.
    """

    def __init__(self, ratio: float, extra: float, window_s: float, refilled_at: float):
        self.ratio = ratio
        self.extra = extra
        self.window_s = window_s
        self.refilled_at = refilled_at
        self.slices: deque[list[float]] = deque()
        self.requests = 0
        self.retries = 0
        self.pending = 0
        self.extra_level = 0.0
        self.pending_extra = 0

    def record_request(self, now: float) -> None:
        """Count the first send of a request to the service."""
        self._slice(now)[1] += 1
        self.requests += 1

    def try_acquire(self, now: float, gateways: int) -> RetryGrant | None:
        """Return a retry if the budget allows it.

        It has to be recorded as sent, or given back.

        :param gateways: number of gateways that may send retries; 0 if it is not known, so that
            there are no extra retries.
        """
        self._expire(now)
        self._refill(now, gateways)
        if self.retries + self.pending + 1 <= USED_FRACTION * self.ratio * self.requests:
            self.pending += 1
            return RetryGrant(now, is_extra=False)
        if self.pending_extra + 1 <= self.extra_level:
            self.pending_extra += 1
            return RetryGrant(now, is_extra=True)
        return None

    def record_sent(self, grant: RetryGrant, now: float) -> None:
        """Count a granted retry from its sending on."""
        self.give_back(grant)
        if grant.is_extra:
            self.extra_level -= 1
            return
        self._slice(now)[2] += 1
        self.retries += 1

    def give_back(self, grant: RetryGrant) -> None:
        """Give back a granted retry that is not sent."""
        if grant.is_extra:
            self.pending_extra -= 1
        else:
            self.pending -= 1

    def _refill(self, now: float, gateways: int) -> None:
        elapsed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = max(now, self.refilled_at)
        if gateways == 0:
            return
        share = USED_FRACTION * self.extra / gateways
        rate = (1.0 - BURST_FRACTION) * share / self.window_s
        self.extra_level = min(BURST_FRACTION * share, self.extra_level + rate * elapsed_s)

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
