"""Limit on the requests per second that an endpoint takes from all gateways together.

An endpoint states it in its answers for as long as it needs relief. The gateways split it by what
they would send to the endpoint without a limit, and each sends its part evenly: at no time does it
hold more than a request, or ``BURST_S`` of its part. Times are in seconds, from the steady clock of
this gateway.
"""

from collections import deque
from collections.abc import Mapping
from math import frexp

from teaselpath.utils import rendezvous_rank

# Window in which own sends are counted, in seconds.
SEND_WINDOW_S = 4.0
# Window in which requests that would have been sent are counted, in seconds. It is longer, since
# the lowest count of some seconds is used.
WANT_WINDOW_S = 8.0
# Lowest rate, in requests per second. An endpoint that states less gets this much all the same:
# only an answer can say that it no longer needs relief.
MIN_RATE_PER_S = 0.25
# Part that a gateway may send at once, in seconds of it, if that is more than a request.
BURST_S = 0.5
# Part of a limit that is split evenly, so that each gateway can begin to send.
EVEN_FRACTION = 0.1
# Gateways that get a part of a limit, as a time: as many as the endpoint takes requests in it, in
# seconds. Each may hold a request.
HELD_S = 1.5
# Own demands that are remembered; more are told in a time in which others learn them.
MAX_TOLD = 64
# Time after its end for which a limit is still reported as ended, in seconds.
REPORTED_S = 5.0


class EndpointLimit:
    """Newest statement of an endpoint about its limit, and this gateway's part of it.

    :ivar rate: requests per second; None if the endpoint states no limit.
    :ivar stated_at: time of that statement.
    :ivar changed_at: time at which the limit last began, changed or ended.
    :ivar own_rate: part of this gateway, in requests per second.
    :ivar owned_at: time at which this gateway last had a part.
    :ivar is_split: whether this gateway has got its part since the limit began.
    :ivar level: requests that may be sent now.
    :ivar sends: times of the sends of this gateway in the last ``SEND_WINDOW_S``.
    :ivar wants: times at which the endpoint was the best choice for a request, sent there or not.
    :ivar peer_wants: wanted requests per second of other gateways, by host.
    :ivar told_wants: time and value of the own wanted requests per second, as told to the others.
    """

    __slots__ = (
        "changed_at",
        "is_split",
        "level",
        "level_at",
        "own_rate",
        "owned_at",
        "peer_wants",
        "rate",
        "sends",
        "stated_at",
        "told_wants",
        "wants",
    )

    def __init__(self) -> None:
        self.rate: float | None = None
        self.stated_at = float("-inf")
        self.changed_at = float("-inf")
        self.own_rate = 0.0
        self.owned_at = float("-inf")
        self.is_split = False
        self.level = 0.0
        self.level_at = float("-inf")
        self.sends: deque[float] = deque()
        self.wants: deque[float] = deque()
        self.peer_wants: dict[str, float] = {}
        self.told_wants: deque[tuple[float, float]] = deque([(float("-inf"), 0.0)])

    # statements

    def record_statement(self, rate: float | None, at: float) -> bool:
        """Record what an answer states; return whether the limit begins, changes or ends.

        :param rate: None if the answer states no limit.
        """
        if at < self.stated_at:
            return False
        self.stated_at = at
        if rate == self.rate:
            return False
        if self.rate is None:
            self.level, self.own_rate, self.is_split = 0.0, 0.0, False
        self.rate, self.changed_at = rate, at
        return True

    def is_reported(self, now: float) -> bool:
        """Return whether the other gateways are told of the limit, or of its end."""
        return self.rate is not None or now - self.changed_at < REPORTED_S

    @property
    def usable_rate(self) -> float:
        """Return the requests per second that all gateways together may send."""
        return max(MIN_RATE_PER_S, self.rate or 0.0)

    # this gateway's part

    def set_share(self, share: float, first_level: float, now: float) -> None:
        """Set this gateway's part of the limit.

        :param share: from 0 to 1.
        :param first_level: requests that it holds when the limit begins.
        """
        self._refill(now)
        if not self.is_split:
            self.is_split, self.level = True, first_level
        self.own_rate = share * self.usable_rate
        if share > 0.0:
            self.owned_at = now
        elif now - self.owned_at > SEND_WINDOW_S:
            self.level = 0.0

    def can_send(self, now: float) -> bool:
        """Return whether this gateway may send a request now."""
        if self.rate is None:
            return True
        self._refill(now)
        return self.own_rate > 0.0 and self.level >= 1.0

    def wait_s(self, now: float) -> float:
        """Return the time until this gateway may send a request, in seconds."""
        if self.can_send(now):
            return 0.0
        return (1.0 - self.level) / self.own_rate if self.own_rate > 0.0 else float("inf")

    def _refill(self, now: float) -> None:
        if now > self.level_at:
            earned = self.own_rate * min(now - self.level_at, SEND_WINDOW_S)
            self.level = min(max(1.0, BURST_S * self.own_rate), self.level + earned)
            self.level_at = now

    def record_send(self, now: float) -> None:
        """Record that a request is sent to the endpoint."""
        if self.rate is not None:
            self._refill(now)
            self.level -= 1.0
        self.sends.append(now)
        self.count_sends(now)

    def count_sends(self, now: float) -> int:
        """Return the number of own sends in the last ``SEND_WINDOW_S``."""
        return _count_since(self.sends, now - SEND_WINDOW_S)

    # demand

    def record_want(self, now: float) -> None:
        """Record that the endpoint was the best choice for a request."""
        self.wants.append(now)
        self.wanted_per_s(now)

    def wanted_per_s(self, now: float) -> float:
        """Return the requests per second for which the endpoint was the best choice."""
        return _count_since(self.wants, now - WANT_WINDOW_S) / WANT_WINDOW_S

    def tell_wants(self, now: float) -> float:
        """Return the own demand for a message to the others, and remember it."""
        wanted = round(self.wanted_per_s(now), 2)
        self.told_wants.append((now, wanted))
        if len(self.told_wants) > MAX_TOLD:
            self.told_wants.popleft()
        return wanted

    def known_wants(self, now: float, delay_s: float) -> float:
        """Return the lowest own demand that another gateway may count for this one.

        A gateway that counted more for itself than others do would take a part of theirs.

        :param delay_s: time in which the others learn what they are told.
        """
        while len(self.told_wants) > 1 and self.told_wants[1][0] <= now - delay_s:
            self.told_wants.popleft()
        return min(wanted for _, wanted in self.told_wants)


def _count_since(times: deque[float], since: float) -> int:
    while times and times[0] < since:
        times.popleft()
    return len(times)


def split_limit(host: str, endpoint_id: str, rate: float, wants: Mapping[str, float]) -> float:
    """Return a gateway's part of an endpoint's limit, from 0 to 1.

    Gateways with the same ``wants`` get parts with a sum of 1. Of a limit that is low for the
    number of gateways, only some get a part, since each may hold a request: those with most demand,
    and by rendezvous hash those with about the same.

    :param wants: wanted requests per second of each gateway that may be running, by host.
    """
    total = sum(wants.values())
    even = (EVEN_FRACTION * total if total else 1.0) / len(wants)
    weights = {name: wanted + even for name, wanted in wants.items()}
    owners = max(1, int(HELD_S * rate))
    if owners < len(weights):
        key = endpoint_id.encode()
        ranked = sorted(
            weights,
            key=lambda name: (frexp(weights[name])[1] // 2, rendezvous_rank(key, name)),
            reverse=True,
        )
        weights = {name: weights[name] for name in ranked[:owners]}
    return weights.get(host, 0.0) / sum(weights.values())


def first_level(host: str, endpoint_id: str) -> float:
    """Return the requests that a gateway holds when a limit begins, from 0 to 1.

    It differs between gateways, so that their first requests do not come at the same time.
    """
    return rendezvous_rank(endpoint_id.encode(), host) / 2**64
