"""Phases of a planned stop, so that stops that overlap leave a gateway that accepts connections.

The load balancer turns away from a gateway that is not ready, but not if fewer than half of the
gateways of its failure domain are: it then uses all of them. If none of a domain is ready, it uses
the nearest domains. A stopping gateway therefore closes its listener only while others take its
place. If all stop at the same time, half of them, chosen by name, close at once, so that their
successors start early; the others accept connections until a successor is ready, or until the time
is left that they need to finish.

Once the load balancer has had the time to turn away, and from the start of a stop that is too short
for that, a request is sent only if its answer can be expected before the end of the stop; it is
refused at once otherwise, as not run. What is only expected is not promised: the answer to such a
request is held back until it is complete, so that it can still be replaced by a failure. A caller
that receives nothing leaves long before its deadline; the answer has to be complete before that,
too, and is replaced by a failure otherwise.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# Time after the start of a stop in which new connections are accepted in any case, in seconds: the
# load balancer probes once per second and removes a gateway after two failed probes.
LISTEN_GRACE_S = 2.6
# Part of a stop, at its end, in which a stream that crossed the stop may be cut.
CUT_FRACTION = 1 / 6
# Remaining time with which requests are still served, in seconds: most end within it.
MIN_SERVICE_TIME_S = 2.4
# The same for requests with long prompts, which wait for an engine and produce many events.
MIN_LONG_SERVICE_TIME_S = 5.4
# Remaining time at which the listener closes in any case, in seconds.
CLOSE_TIME_S = 1.0
# Quantile of the observed times of like requests that has to fit into the remaining time, if
# another gateway can take the request, and if none can: then a refusal costs the caller more.
CAUTIOUS_QUANTILE = 1.0
URGENT_QUANTILE = 0.8
# The observed time is multiplied by this factor.
EXPECTED_TIME_MARGIN = 1.5
# A held answer is replaced by a failure this long before its caller leaves, in seconds.
HELD_MARGIN_S = 0.2


class StopPhase(Enum):
    """What a stopping gateway does with new connections and requests.

    ``SERVE``: accepts and serves; ``REFUSE``: accepts and refuses requests as not run; ``CLOSE``:
    accepts no connection.
    """

    SERVE = "serve"
    REFUSE = "refuse"
    CLOSE = "close"


@dataclass(slots=True, frozen=True)
class StopPeer:
    """Another reachable gateway."""

    host: str
    domain: str
    is_ready: bool


@dataclass(slots=True)
class Stop:
    """Planned stop of this gateway, and what it may still take on.

    :param started_at: event loop time of the signal, in seconds.
    :param grace_s: duration after which the process is killed, in seconds.
    :param ends_at: event loop time at which requests in flight are ended, in seconds.
    :ivar has_ready_peer: whether another gateway can take requests.
    :ivar successor_at: event loop time at which a caller finds another gateway, in seconds.
    """

    started_at: float
    grace_s: float
    ends_at: float
    has_ready_peer: bool = False
    successor_at: float = 0.0

    @property
    def quantile(self) -> float:
        """Return the quantile of the observed times to which ``can_take`` refers."""
        return CAUTIOUS_QUANTILE if self.has_ready_peer else URGENT_QUANTILE

    def can_take(
        self,
        now: float,
        deadline: float,
        observed_s: float | None,
        *,
        is_long: bool,
        abandoned_at: float = float("inf"),
    ) -> bool:
        """Return whether a request may be sent to an endpoint, for the first time or again.

        :param deadline: event loop time at which its caller stops waiting, in seconds.
        :param observed_s: time that like requests take; None if unknown.
        :param is_long: whether it has a long prompt.
        :param abandoned_at: event loop time at which its caller leaves if it has received nothing,
            in seconds; for a request whose answer is held back.
        """
        if now >= self.ends_at:
            return False
        if not self.must_hold(now, deadline):
            return True
        if refuses_requests(now - self.started_at, self.grace_s, is_long=is_long):
            return False
        if observed_s is None:
            return not self.has_ready_peer
        expected_at = now + EXPECTED_TIME_MARGIN * observed_s
        return expected_at <= min(self.ends_at, abandoned_at - HELD_MARGIN_S)

    def must_hold(self, now: float, deadline: float) -> bool:
        """Return whether the answer to a request that arrives now is held until it is complete.

        It may outlast the stop, and did not cross it: the load balancer has turned away, or the
        stop is too short to give requests the time for that.
        """
        age_s = now - self.started_at
        is_late = age_s >= LISTEN_GRACE_S or (age_s >= 0.0 and self._is_short)
        return is_late and deadline > self.ends_at

    @property
    def _is_short(self) -> bool:
        """Return whether streams are cut so early that even those that cross the stop are held."""
        return self.ends_at < self.started_at + (1.0 - CUT_FRACTION) * self.grace_s

    def fails_held_at(self, abandoned_at: float) -> float | None:
        """Return when a held answer that is not complete is replaced by a failure.

        :param abandoned_at: as for ``can_take``.
        :returns: event loop time, in seconds; None if that is at the end of the stop.
        """
        fails_at = abandoned_at - HELD_MARGIN_S
        return fails_at if fails_at < self.ends_at else None


def plan_stop(
    host: str, domain: str, peers: Iterable[StopPeer], age_s: float, grace_s: float
) -> StopPhase:
    """Return the phase of a stop.

    :param host: name of the own host.
    :param domain: own failure domain.
    :param age_s: time since the stop began, in seconds.
    :param grace_s: duration after which the process is killed, in seconds.
    """
    remaining_s = grace_s - age_s
    if age_s < LISTEN_GRACE_S and remaining_s > CLOSE_TIME_S:
        return StopPhase.SERVE
    peers = list(peers)
    if remaining_s <= CLOSE_TIME_S or _is_avoided(domain, peers) or _closes_first(host, peers):
        return StopPhase.CLOSE
    return StopPhase.REFUSE if refuses_requests(age_s, grace_s) else StopPhase.SERVE


def refuses_requests(age_s: float, grace_s: float, *, is_long: bool = False) -> bool:
    """Return whether new requests are refused, because too little time is left to finish them.

    That also holds for requests on connections that stay open after the listener has closed.

    :param is_long: whether the requests have long prompts, whose streams would be broken off.
    """
    time_s = MIN_LONG_SERVICE_TIME_S if is_long else MIN_SERVICE_TIME_S
    return age_s >= LISTEN_GRACE_S and grace_s - age_s < time_s


def _is_avoided(domain: str, peers: list[StopPeer]) -> bool:
    """Return whether the load balancer sends connections to other gateways only."""
    own_domain = [peer for peer in peers if peer.domain == domain]
    ready = sum(peer.is_ready for peer in own_domain)
    if ready:
        return 2 * ready >= len(own_domain) + 1
    return any(peer.is_ready for peer in peers)


def _closes_first(host: str, peers: list[StopPeer]) -> bool:
    """Return whether this gateway makes room for its successor while others still accept."""
    stopping = sorted([host, *(peer.host for peer in peers if not peer.is_ready)])
    return stopping.index(host) < len(stopping) // 2
