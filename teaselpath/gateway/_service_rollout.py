"""One rollout of software as a gateway sees it: the newest record, its age, and the evidence."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from teaselpath.dispatch import Answered, Broken, EndpointView, Outcome
from teaselpath.fleet import EndpointState, RolloutBounds, RolloutRecord, Step
from teaselpath.gateway._call import Call
from teaselpath.rollout import (
    DECIDER_TIMEOUT_S,
    OLD_VERSION,
    TURN_S,
    Exposure,
    RolloutEvidence,
    exposed_engines,
    fraction_of,
)

Allows = Callable[[EndpointView], bool]
# Time after the end of a rollout for which gateways tell each other of it, in seconds.
TELL_S = 30.0


@dataclass(slots=True, eq=False)
class Flight:
    """A request at an engine while a rollout of its service runs.

    :param engine: number of an engine of the target; ``OLD_VERSION`` for others.
    :param size: size class of its uncached prompt.
    :param is_cold: whether the engine has just started, and may be slow for that reason.
    :param is_slow: whether it was counted as slow before its answer came.
    """

    call: Call
    serial: int
    engine: int
    size: int
    started_at: float
    is_cold: bool
    is_slow: bool = False

    @property
    def first_at(self) -> float | None:
        """Time of the first event that this attempt has brought, in seconds."""
        first_at = self.call.first_byte_at
        return first_at if first_at is not None and first_at >= self.started_at else None


class ServiceRollout:
    """The newest rollout of one service.

    Times are in seconds, from the clock of the event loop.

    :param phase: random start of the exposure, between 0 and 1.
    :ivar record: newest known record; None before the first one.
    :ivar stored: record that the store has, as last read or written.
    :ivar adopted_at: time from which ``record`` counts here.
    :ivar heard_at: time at which the lease holder last confirmed the record.
    :ivar conviction: why the target is bad, which binds before the store knows it.
    :ivar engines: ids of all engines of the target that take requests.
    :ivar has_old: whether an engine of another version may be reached.
    :ivar exposed: ids of those that get requests at this step.
    :ivar old_running: requests at old engines and time of the report, by gateway.
    """

    def __init__(self, service: str, bounds: RolloutBounds, phase: float):
        self.service = service
        self.bounds = bounds
        self.exposure = Exposure(phase)
        self.record: RolloutRecord | None = None
        self.stored: RolloutRecord | None = None
        self.adopted_at = 0.0
        self.deadline = 0.0
        self.heard_at = float("-inf")
        self.conviction = ""
        self.evidence = RolloutEvidence()
        self.engines: frozenset[str] = frozenset()
        self.has_old = True
        self.exposed: frozenset[str] = frozenset()
        self.old_running: dict[str, tuple[int, float]] = {}
        self.flights: set[Flight] = set()

    @property
    def is_running(self) -> bool:
        """Return whether a rollout runs."""
        return self.record is not None and not self.record.is_final

    def is_told(self, now: float) -> bool:
        """Return whether gateways tell each other of the rollout."""
        return self.is_running or (self.record is not None and now < self.adopted_at + TELL_S)

    def is_confirmed(self, now: float) -> bool:
        """Return whether the lease holder has confirmed the record lately."""
        return now - self.heard_at < DECIDER_TIMEOUT_S

    def adopt(self, record: RolloutRecord, now: float, unix_now: float) -> bool:
        """Follow a record if it is newer than the known one; return whether it is.

        A step of an era that a copy has replaced may have the number of an end that was written
        since, which is the newer one.

        :param unix_now: Unix time in seconds.
        """
        known = self.record
        if known is not None and (record.number, record.is_final) <= (known.number, known.is_final):
            return False
        if known is None or (record.serial, record.target) != (known.serial, known.target):
            self.evidence, self.conviction = RolloutEvidence(), ""
            self.heard_at = float("-inf")
            self.old_running.clear()
            self.deadline = now + record.ends_at_ms / 1000 - unix_now
        self.record, self.adopted_at = record, now
        self.exposed = frozenset()
        return True

    def update_engines(self, views: Iterable[EndpointView], now: float) -> None:
        """Choose the engines of the target that get requests."""
        if self.record is None:
            return
        self.engines, old_count, self.has_old = self._find_engines(views, now)
        fraction = fraction_of(self.record.step, self.bounds.exposed_fraction)
        key = f"{self.service}/{self.record.target}"
        turn = int((self.deadline - now) / TURN_S)
        self.exposed = exposed_engines(key, self.engines, fraction, old_count, turn)

    def _find_engines(
        self, views: Iterable[EndpointView], now: float
    ) -> tuple[frozenset[str], int, bool]:
        """Return the engines of the target that take requests, and the number of all others.

        The last item is whether one of the others may be reached.
        """
        assert self.record is not None
        found, old_count, has_old = set(), 0, False
        for view in views:
            is_suspect = view.health.is_suspect(now)
            if view.endpoint.software != self.record.target:
                old_count += 1
                has_old = has_old or not is_suspect
            elif (
                view.endpoint.state is EndpointState.READY
                and not view.availability.is_leaving
                and view.availability.takes_requests(now)
                and not is_suspect
            ):
                found.add(view.endpoint.endpoint_id)
        return frozenset(found), old_count, has_old

    def choices(self, call: Call, now: float) -> list[Allows]:
        """Return which endpoints may run a request, the preferred ones first."""
        record = self.record
        assert record is not None
        if record.is_final:
            return [self._allows_kept]
        if self.conviction:
            return [self._allows_old]
        if call.has_begun:
            # Its stream goes on only at the version that began it.
            return [self._allows_kept]
        if not self.is_confirmed(now):
            # Without any old engine, the rollout may have succeeded unheard.
            is_moved = record.step is Step.ALL and not self.has_old
            return [self._allows_target if is_moved else self._allows_old]
        if record.step is Step.ALL:
            return [self._allows_target]
        if call.takes_target is None:
            fraction = fraction_of(record.step, self.bounds.exposed_fraction)
            call.takes_target = bool(self.exposed) and self.exposure.take(call.route.name, fraction)
        if call.takes_target:
            return [self._allows_exposed, self._allows_old]
        return [self._allows_old]

    def _allows_kept(self, view: EndpointView) -> bool:
        assert self.record is not None
        return view.endpoint.software not in self.record.avoided

    def _allows_old(self, view: EndpointView) -> bool:
        assert self.record is not None
        return view.endpoint.software != self.record.target and self._allows_kept(view)

    def _allows_target(self, view: EndpointView) -> bool:
        assert self.record is not None
        return view.endpoint.software == self.record.target

    def _allows_exposed(self, view: EndpointView) -> bool:
        return view.endpoint.endpoint_id in self.exposed and self._allows_target(view)

    # answers

    def begin(self, flight: Flight) -> None:
        """Record that a request was sent to an engine."""
        self.flights.add(flight)
        if flight.engine != OLD_VERSION:
            # One that the target does not finish goes to the old version.
            flight.call.takes_target = False

    def end(self, flight: Flight, outcome: Outcome | None, now: float, *, lost: bool) -> bool:
        """Count the answer to a request; return whether it is a bad one of the target.

        :param outcome: None if the caller left before.
        :param lost: whether the engine has ended.
        """
        self.flights.discard(flight)
        is_target = flight.engine != OLD_VERSION
        if not self.is_running or self.record is None or flight.serial != self.record.serial:
            return False
        if lost:
            if is_target:
                self.evidence.own_ended.add(flight.engine)
            return is_target
        match outcome:
            case Broken():
                has_failed = True
            case Answered(status):
                has_failed = status >= 500
            case None:
                self._count_overdue(flight, now)
                return is_target and flight.is_slow
            case _:
                return False
        is_slow = False
        if not has_failed and not flight.is_slow:
            is_slow = self._is_slow(flight, now)
        self.evidence.record(
            flight.engine,
            flight.call.route.name,
            answered=0 if flight.is_slow else 1,
            failed=int(has_failed),
            slow=int(is_slow),
        )
        return is_target and (has_failed or is_slow or flight.is_slow)

    def _is_slow(self, flight: Flight, now: float) -> bool:
        """Return whether an answer came late; record its time if it is one of the old version."""
        if flight.call.splitter.count and flight.first_at is None:
            # The attempt has only gone on with a stream.
            return False
        time_s = (now if flight.first_at is None else flight.first_at) - flight.started_at
        route = flight.call.route.name
        limit_s = self.evidence.times.limit_s(route, flight.size, now)
        if flight.engine == OLD_VERSION:
            self.evidence.record_time(route, flight.size, time_s)
        return limit_s is not None and time_s > limit_s and not flight.is_cold

    def count_overdue(self, now: float) -> bool:
        """Count requests in flight that are slow by now; return whether the target has some.

        Those of an earlier rollout, which may be at its target, tell nothing of this one.
        """
        serial = self.record.serial if self.record is not None else 0
        waiting = [f for f in self.flights if f.serial == serial and not f.is_slow]
        for flight in waiting:
            self._count_overdue(flight, now)
        return any(flight.is_slow and flight.engine != OLD_VERSION for flight in waiting)

    def _count_overdue(self, flight: Flight, now: float) -> None:
        if flight.is_slow or flight.is_cold or flight.first_at is not None:
            return
        route = flight.call.route.name
        limit_s = self.evidence.times.limit_s(route, flight.size, now)
        if limit_s is not None and now - flight.started_at > limit_s:
            flight.is_slow = True
            self.evidence.record(flight.engine, route, answered=1, slow=1)

    def judge(self, now: float) -> str:
        """Return why the target is found to be bad by now; empty if it is not, or was before."""
        if not self.is_running or self.conviction:
            return ""
        self.evidence.apply_own(now, has_several_engines=len(self.engines) > 1)
        self.conviction = self.evidence.judge.reason
        return self.conviction

    def describe(self, now: float) -> dict[str, object]:
        """Return the rollout for operators."""
        record, judge = self.record, self.evidence.judge
        return {
            "service": self.service,
            "target": record.target if record else "",
            "state": record.state.value if record else "",
            "step": record.step.value if record else "",
            "left_s": round(max(0.0, self.deadline - now), 1) if self.is_running else 0.0,
            "confirmed": self.is_confirmed(now),
            "answered": judge.answered,
            "bad": judge.bad,
            "reason": self.conviction or (record.reason if record else ""),
        }
