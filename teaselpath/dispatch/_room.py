"""Room at the engines of a service, shared by the gateways while it is short.

Load: bursts that fill all engines. Each gateway knows the requests of the others up to a second
late, so that together they send engines several times what these can run; engines then queue,
reject requests, and answer nearly all of them late. While the engines are nearly full, each gateway
keeps its requests in flight within its part of their slots, in proportion to the demand that the
gateways report, and prefers engines at which it has a place. The parts add up to the slots; what
waits, waits at gateways, where it is served in order of priority. Long and short prompts leave each
other some room, whichever come first.

Gateways that are silent keep their part for a while, since they may be cut off from this one only.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from math import isfinite

from teaselpath.dispatch._long_prompts import LongShare
from teaselpath.dispatch._views import EndpointView
from teaselpath.fleet import EndpointState
from teaselpath.utils import rendezvous_rank

# Fraction of the slots in use from which on room counts as short.
CROWDED_FRACTION = 0.6
# Requests in flight per slot, since some are on their way to an engine or back.
REQUESTS_PER_SLOT = 1.1
# Fraction of a gateway's part that long or short prompts leave to the others while these wait.
LEFT_FRACTION = 0.2
# Window in which arrivals are counted, in seconds.
DEMAND_WINDOW_S = 2.0
# Fraction of the demand that is split evenly, so that each gateway can begin to send.
EVEN_FRACTION = 0.1
# Highest demand that another gateway can report, in requests per second.
MAX_DEMAND_PER_S = 1e6
# Weight of a new time in the mean of the times that requests take.
TIME_WEIGHT = 0.1


class ServiceRoom:
    """Room at the engines of one service, as one gateway sees it.

    :ivar arrivals: times of the arrivals of requests at this gateway in the last
        ``DEMAND_WINDOW_S``.
    :ivar peer_demand: requests per second that arrive at other gateways, by host.
    :ivar in_flight: requests of this gateway at engines, by whether their prompts are long.
    :ivar slots: slots of the engines that take requests.
    :ivar part: requests that this gateway may have in flight while room is short.
    :ivar is_crowded: whether room is short.
    :ivar long_share: part of the room that long prompts may take.
    :ivar run_s: mean time that requests spend at engines, by whether their prompts are long, in
        seconds.
    :ivar first_event_s: mean time from sending a request to its first event, the same way.
    """

    __slots__ = (
        "arrivals",
        "first_event_s",
        "in_flight",
        "is_crowded",
        "long_share",
        "part",
        "peer_demand",
        "run_s",
        "slots",
    )

    def __init__(self) -> None:
        self.arrivals: deque[float] = deque()
        self.peer_demand: dict[str, float] = {}
        self.in_flight: dict[bool, int] = {}
        self.slots = 0
        self.part = 0.0
        self.is_crowded = False
        self.long_share = LongShare()
        self.run_s: dict[bool, float] = {}
        self.first_event_s: dict[bool, float] = {}

    # demand

    def record_arrival(self, now: float) -> None:
        """Record that a request for the service arrived."""
        self.arrivals.append(now)
        self.demand_per_s(now)

    def demand_per_s(self, now: float) -> float:
        """Return the requests per second that arrive at this gateway."""
        while self.arrivals and self.arrivals[0] < now - DEMAND_WINDOW_S:
            self.arrivals.popleft()
        return len(self.arrivals) / DEMAND_WINDOW_S

    def record_peer_demand(self, host: str, demand_per_s: float) -> bool:
        """Record the demand that another gateway reports; return whether it is valid."""
        if not isfinite(demand_per_s) or not 0.0 <= demand_per_s <= MAX_DEMAND_PER_S:
            return False
        self.peer_demand[host] = demand_per_s
        return True

    # room

    def update(
        self, host: str, views: Iterable[EndpointView], peers: Iterable[str], now: float
    ) -> None:
        """Update the part of this gateway.

        :param host: host of this gateway.
        :param views: endpoints of the service.
        :param peers: other gateways that may send requests, by host.
        """
        usable = [view for view in views if _is_usable(view, now)]
        self.slots = sum(max(1, view.endpoint.slots) for view in usable)
        requests = sum(view.requests(now) for view in usable)
        self.is_crowded = requests >= CROWDED_FRACTION * self.slots
        self.peer_demand = {host: self.peer_demand.get(host, 0.0) for host in peers}
        share = share_of_demand(self.demand_per_s(now), self.peer_demand)
        self.part = max(1.0, REQUESTS_PER_SLOT * self.slots * share)
        for view in usable:
            view.own_places = _places(host, view, share) if self.is_crowded else None

    def has_room(self, is_long: bool, *, others_wait: bool) -> bool:
        """Return whether this gateway may send a request now.

        :param is_long: whether its prompt is long.
        :param others_wait: whether requests of the other kind wait.
        """
        if is_long and self.in_flight.get(True, 0) >= self.long_share.limit(self.part):
            return False
        if not self.is_crowded:
            return True
        if self.is_used_up():
            return False
        limit = (1.0 - LEFT_FRACTION) * self.part
        return not others_wait or self.in_flight.get(is_long, 0) < limit

    def is_used_up(self) -> bool:
        """Return whether this gateway uses its whole part."""
        return self.is_crowded and sum(self.in_flight.values()) >= self.part

    def sends_per_s(self, is_long: bool, *, others_first: bool) -> float:
        """Return the expected rate at which long or short prompts are sent.

        :param others_first: whether more urgent requests of the other kind wait.
        """
        part = LEFT_FRACTION * self.part if others_first else self.part
        if is_long:
            part = min(part, self.long_share.limit(self.part))
        run_s = self.run_s.get(is_long, 0.0)
        return part / run_s if run_s > 0.0 else float("inf")

    def describe(self, is_long: bool) -> dict[str, float | bool]:
        """Return what decides on long or short prompts, for the log."""
        return {
            "is_crowded": self.is_crowded,
            "slots": self.slots,
            "part": round(self.part, 2),
            "long_share": round(self.long_share.share, 2),
            "in_flight": sum(self.in_flight.values()),
            "in_flight_of_kind": self.in_flight.get(is_long, 0),
            "run_ms": round(self.run_s.get(is_long, 0.0) * 1000, 1),
            "expected_first_ms": round(self.first_event_s.get(is_long, 0.0) * 1000, 1),
        }

    # requests

    def record_sent(self, is_long: bool) -> None:
        """Record that a request is sent to an engine."""
        self.in_flight[is_long] = self.in_flight.get(is_long, 0) + 1

    def record_ended(self, is_long: bool, run_s: float, first_event_s: float | None) -> None:
        """Record that a request has left its engine.

        :param run_s: time since it was sent, in seconds.
        :param first_event_s: time from then to its first event; None if it had none.
        """
        self.in_flight[is_long] -= 1
        if first_event_s is not None:
            _add_to_mean(self.run_s, is_long, run_s)
            _add_to_mean(self.first_event_s, is_long, first_event_s)


def share_of_demand(own: float, peers: Mapping[str, float]) -> float:
    """Return the part of a gateway in proportion to demand, from 0 to 1.

    :param own: its demand in requests per second.
    :param peers: demand of the others, by host.
    """
    total = own + sum(peers.values())
    gateways = len(peers) + 1
    if total <= 0.0:
        return 1.0 / gateways
    return (1.0 - EVEN_FRACTION) * own / total + EVEN_FRACTION / gateways


def _places(host: str, view: EndpointView, share: float) -> int:
    """Return the requests that a gateway should have in flight at an engine at most.

    Parts of a request are rounded by a hash, up as often as their size tells, so that the places of
    all gateways add up to about the slots of each engine.
    """
    rounding = rendezvous_rank(view.endpoint.endpoint_id.encode(), host) / 2**64
    return int(REQUESTS_PER_SLOT * max(1, view.endpoint.slots) * share + rounding)


def _is_usable(view: EndpointView, now: float) -> bool:
    return (
        view.endpoint.state is EndpointState.READY
        and view.availability.takes_requests(now)
        and not view.health.is_suspect(now)
        and view.loading_until <= now
    )


def _add_to_mean(means: dict[bool, float], is_long: bool, value: float) -> None:
    mean = means.get(is_long, value)
    means[is_long] = mean + TIME_WEIGHT * (value - mean)
