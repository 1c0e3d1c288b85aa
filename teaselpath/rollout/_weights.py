"""Rollout of named weights over the engines of the fleet.

A few engines at a time take new weights; the others serve meanwhile. Orders name the number of
orders that the engine had accepted before, so a late copy of an older order changes nothing.
"""

from dataclasses import dataclass
from enum import Enum

from teaselpath.fleet import EngineReport

# One engine of this many loads at once, so that the others can take its requests.
LOADING_PART = 5
# The same when the time for the rollout is short; the deployments slow down loads beyond a third.
HURRIED_PART = 3
# Interval between reports of an engine that loads, in seconds.
POLL_S = 0.08
# Time after an accepted order in which a report may still show the state before it, in seconds.
REPORT_LAG_S = 0.35
# Pause before an engine that could not be reached is tried again, in seconds.
RETRY_S = 0.6
# Time after which a load that does not end gives its place to another engine, in seconds.
LOAD_TIMEOUT_S = 5.0


class Phase(Enum):
    """Progress of one engine's change of weights."""

    REPORTING = "reporting"
    ORDERING = "ordering"
    LOADING = "loading"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class EngineStatus:
    """What the gateway knows of an engine when it plans.

    :param key: endpoint id.
    :param requests: requests under way; of engines with equally old weights, idle ones go first.
    """

    key: str
    started_at_ms: int | None
    weights: dict[str, int]
    requests: int


@dataclass(slots=True)
class _Change:
    model: str
    version: int
    phase: Phase
    started_at: float
    due_at: float
    started_at_ms: int | None
    accepted_at: float | None = None


@dataclass(slots=True, frozen=True)
class FetchReport:
    """Fetch the state of an engine."""

    key: str


@dataclass(slots=True, frozen=True)
class SendWeightsOrder:
    """Order an engine to load weights."""

    key: str
    model: str
    version: int
    orders_before: int


@dataclass(slots=True, frozen=True)
class Loaded:
    """An engine has the weights."""

    key: str
    model: str
    version: int
    took_s: float


@dataclass(slots=True, frozen=True)
class LoadFailed:
    """An engine did not take the weights for now."""

    key: str
    reason: str


Action = FetchReport | SendWeightsOrder | Loaded | LoadFailed


class WeightsRollout:
    """Plans orders; one gateway at a time acts on the plan."""

    def __init__(self) -> None:
        self.changes: dict[str, _Change] = {}
        self.load_s = 1.0

    def outdated_engines(
        self, engines: list[EngineStatus], wanted: dict[str, int]
    ) -> list[tuple[EngineStatus, str]]:
        """Return the engines with older weights than wanted, with the model."""
        return [
            (engine, model)
            for engine in engines
            for model, version in engine.weights.items()
            if version < wanted.get(model, 0)
        ]

    def plan(
        self,
        engines: list[EngineStatus],
        wanted: dict[str, int],
        now: float,
        *,
        is_urgent: bool = False,
    ) -> list[Action]:
        """Return reports to fetch now, and start changes while there is room.

        :param is_urgent: whether the time for the rollout is short.
        """
        actions: list[Action] = []
        known = {engine.key: engine for engine in engines}
        for key, change in list(self.changes.items()):
            engine = known.get(key)
            if engine is None or engine.started_at_ms != change.started_at_ms:
                del self.changes[key]
            elif change.phase is Phase.FAILED:
                if now >= change.due_at:
                    del self.changes[key]
            elif now - change.started_at > LOAD_TIMEOUT_S:
                actions.append(self._give_up(key, change, "timeout", now))
            elif change.phase is Phase.LOADING and now >= change.due_at:
                change.due_at = now + POLL_S
                actions.append(FetchReport(key))
        part = HURRIED_PART if is_urgent else LOADING_PART
        return actions + self._start(engines, wanted, now, part)

    def _start(
        self, engines: list[EngineStatus], wanted: dict[str, int], now: float, part: int
    ) -> list[Action]:
        room = max(1, -(-len(engines) // part)) - self._active()
        waiting = [
            (e, m) for e, m in self.outdated_engines(engines, wanted) if e.key not in self.changes
        ]
        waiting.sort(key=lambda pair: (pair[0].weights[pair[1]], pair[0].requests, pair[0].key))
        actions: list[Action] = []
        for engine, model in waiting[: max(0, room)]:
            self.changes[engine.key] = _Change(
                model, wanted[model], Phase.REPORTING, now, now, engine.started_at_ms
            )
            actions.append(FetchReport(engine.key))
        return actions

    def _active(self) -> int:
        return sum(change.phase is not Phase.FAILED for change in self.changes.values())

    def handle_report(
        self, key: str, report: EngineReport, wanted: dict[str, int], now: float
    ) -> list[Action]:
        """Take an engine's state; return an order if it is due."""
        change = self.changes.get(key)
        if change is None or change.phase in (Phase.FAILED, Phase.ORDERING):
            return []
        version = report.weights.get(change.model, 0)
        target = max(change.version, wanted.get(change.model, 0))
        if version >= change.version and not report.is_busy:
            del self.changes[key]
            if change.accepted_at is not None:
                self.load_s += 0.3 * (now - change.accepted_at - self.load_s)
            return [Loaded(key, change.model, version, now - change.started_at)]
        settled = change.accepted_at is None or now - change.accepted_at > REPORT_LAG_S
        if report.is_busy or not settled:
            change.phase = Phase.LOADING
            change.due_at = now + POLL_S
            return []
        change.phase = Phase.ORDERING
        change.version = target
        return [SendWeightsOrder(key, change.model, target, report.accepted_orders)]

    def handle_report_failure(self, key: str, now: float) -> list[Action]:
        """Note that an engine's state could not be fetched."""
        change = self.changes.get(key)
        if change is None or change.phase is Phase.FAILED:
            return []
        if change.phase is Phase.LOADING:
            change.due_at = now + POLL_S
            return []
        return [self._give_up(key, change, "unreachable", now)]

    def handle_order_reply(self, key: str, status: str | None, now: float) -> list[Action]:
        """Take the answer to an order; None if there was none and it may have been accepted."""
        change = self.changes.get(key)
        if change is None:
            return []
        match status:
            case "done":
                del self.changes[key]
                return [Loaded(key, change.model, change.version, now - change.started_at)]
            case "accepted" | None:
                change.phase = Phase.LOADING
                change.accepted_at = now
                change.due_at = now + max(POLL_S, 0.5 * self.load_s)
                return []
            case "busy":
                change.phase = Phase.LOADING
                change.due_at = now + POLL_S
                return []
            case _:
                return [self._give_up(key, change, status, now)]

    def clear(self) -> None:
        """Drop all plans, as after the loss of the lease."""
        self.changes.clear()

    def _give_up(self, key: str, change: _Change, reason: str, now: float) -> LoadFailed:
        change.phase = Phase.FAILED
        change.due_at = now + RETRY_S
        return LoadFailed(key, reason)
