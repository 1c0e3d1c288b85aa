"""Limit on the requests per second that an endpoint takes from all gateways together.

An endpoint states it in its answers for as long as it is overloaded. The gateways split it by their
demand for the endpoint, and each has a token bucket for its share, with room for one request or
``BURST_S`` of the share. Times are in seconds, from the steady clock of this gateway.
"""

from collections import deque
from collections.abc import Mapping
from math import frexp

from teaselpath.utils import rendezvous_rank

# Window in which own sends are counted, in seconds.
SEND_WINDOW_S = 4.0
# Window in which demand is counted, in seconds. It is longer than the delay between gateways, over
# which the lowest count is used.
DEMAND_WINDOW_S = 8.0
# Lowest rate, in requests per second. An endpoint that states less gets this much all the same:
# only an answer can end the limit.
MIN_RATE_PER_S = 0.25
# Capacity of a token bucket, in seconds of the share; at least one request.
BURST_S = 0.5
# Fraction of the demand that is split evenly, so that each gateway can begin to send.
EVEN_FRACTION = 0.1
# Time in which an endpoint takes as many requests as there are gateways with a share of its limit,
# in seconds. The bucket of each holds a request.
HELD_S = 1.5
# Reports of the own demand that are kept; fewer are sent within the delay between gateways.
MAX_REPORTS = 64
# Time after its end for which a limit is still reported as ended, in seconds.
REPORTED_S = 5.0


class EndpointLimit:
    """Newest limit that an endpoint has stated, and this gateway's share of it.

    :ivar rate: requests per second; None if the endpoint states no limit.
    :ivar stated_at: time of that statement.
    :ivar changed_at: time at which the limit last began, changed or ended.
    :ivar own_rate: share of this gateway, in requests per second.
    :ivar owned_at: time at which this gateway last had a share.
    :ivar is_split: whether the share was set since the limit began.
    :ivar level: requests in the token bucket.
    :ivar sends: times of the sends of this gateway in the last ``SEND_WINDOW_S``.
    :ivar demands: times at which the endpoint was the best choice for a request, sent there or not.
    :ivar peer_demand: demand of other gateways in requests per second, by host.
    :ivar reported_demand: time and value of the latest reports of the own demand.
    """

    __slots__ = (
        "changed_at",
        "demands",
        "is_split",
        "level",
        "level_at",
        "own_rate",
        "owned_at",
        "peer_demand",
        "rate",
        "reported_demand",
        "sends",
        "stated_at",
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
        self.demands: deque[float] = deque()
        self.peer_demand: dict[str, float] = {}
        self.reported_demand: deque[tuple[float, float]] = deque()

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
            self.reported_demand.clear()
        self.rate, self.changed_at = rate, at
        return True

    def is_reported(self, now: float) -> bool:
        """Return whether messages to other gateways contain the limit, or its end."""
        return self.rate is not None or now - self.changed_at < REPORTED_S

    @property
    def usable_rate(self) -> float:
        """Return the requests per second that all gateways together may send."""
        return max(MIN_RATE_PER_S, self.rate or 0.0)

    # share of this gateway

    def set_share(self, share: float, first_level: float, now: float) -> None:
        """Set the share of this gateway.

        :param share: from 0 to 1.
        :param first_level: level of the token bucket when the limit begins.
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

    def record_demand(self, now: float) -> None:
        """Record that the endpoint was the best choice for a request."""
        self.demands.append(now)
        self.demand_per_s(now)

    def demand_per_s(self, now: float) -> float:
        """Return the requests per second for which the endpoint was the best choice."""
        return _count_since(self.demands, now - DEMAND_WINDOW_S) / DEMAND_WINDOW_S

    def report_demand(self, now: float) -> float:
        """Return the own demand for a message to the other gateways, and record the report."""
        demand = round(self.demand_per_s(now), 2)
        self.reported_demand.append((now, demand))
        if len(self.reported_demand) > MAX_REPORTS:
            self.reported_demand.popleft()
        return demand

    def settled_demand(self, now: float, delay_s: float) -> float | None:
        """Return the lowest own demand that another gateway may assume.

        A higher value would give this gateway a share that others use as well. None until the
        first report since the limit began has reached all gateways.

        :param delay_s: time in which a report reaches all gateways.
        """
        while len(self.reported_demand) > 1 and self.reported_demand[1][0] <= now - delay_s:
            self.reported_demand.popleft()
        if not self.reported_demand or self.reported_demand[0][0] > now - delay_s:
            return None
        return min(demand for _, demand in self.reported_demand)


def _count_since(times: deque[float], since: float) -> int:
    while times and times[0] < since:
        times.popleft()
    return len(times)


def split_limit(host: str, endpoint_id: str, rate: float, demand: Mapping[str, float]) -> float:
    """Return a gateway's share of an endpoint's limit, from 0 to 1.

    The shares that gateways compute from the same ``demand`` add up to 1. If the limit is low for
    the number of gateways, only those with the highest demand get a share; a rendezvous hash
    decides between about equal ones, so that shares rarely move.

    :param demand: demand in requests per second of each gateway that may be running, by host.
    """
    total = sum(demand.values())
    even = (EVEN_FRACTION * total if total else 1.0) / len(demand)
    weights = {name: own + even for name, own in demand.items()}
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
    """Return the level of a gateway's token bucket when a limit begins, from 0 to 1.

    It differs between gateways, so that they do not send their first requests at the same time.
    """
    return rendezvous_rank(endpoint_id.encode(), host) / 2**64
