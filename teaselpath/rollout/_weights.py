"""Rollout of the announced weights to the engines of the fleet.

A few engines at a time load new weights while the others serve requests. An order states how many
orders the engine had accepted before it, so an engine ignores a delayed duplicate of an old order.
"""

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from teaselpath.fleet import EngineReport

# At most one in this many engines, rounded up, loads at a time, so that the others have capacity
# for its requests.
ENGINES_PER_LOADING_ENGINE = 5
# The same when the rollout is late; if more than a third load at a time, each load takes longer.
URGENT_ENGINES_PER_LOADING_ENGINE = 3
# Interval between reports fetched from a loading engine, in seconds.
POLL_INTERVAL_S = 0.08
# Time after an accepted order in which a report may still show the state before it, in seconds.
REPORT_LAG_S = 0.35
# Delay before another attempt at an engine whose load failed, in seconds.
RETRY_DELAY_S = 0.6
# Timeout of a load, after which another engine may load instead, in seconds.
LOAD_TIMEOUT_S = 5.0


class Phase(Enum):
    """Progress of one engine's load of new weights.

    ``REPORTING``: the first report was requested; ``ORDERING``: an order was sent and has no reply
    yet; ``LOADING``: reports are fetched until one shows the new weights or that another order is
    needed; ``FAILED``: the engine gets no order before ``due_at``.
    """

    REPORTING = "reporting"
    ORDERING = "ordering"
    LOADING = "loading"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class EngineStatus:
    """State of an engine as known to the gateway.

    :param key: endpoint id.
    :param weights: version of the weights by model.
    :param requests: requests in flight; of engines with the same version, those with the fewest
        requests load first.
    """

    key: str
    started_at_ms: int | None
    weights: dict[str, int]
    requests: int


@dataclass(slots=True)
class _EngineLoad:
    """Load of new weights by one engine.

    :param load_started_at: event loop time at which the first report was requested.
    :param due_at: time of the next report to fetch; for a failed load, time until which the engine
        is not retried.
    :param engine_started_at_ms: Unix time of the engine's start; None if unknown.
    :param ordered_at: time at which the order was accepted, or its reply timed out.
    """

    model: str
    version: int
    phase: Phase
    load_started_at: float
    due_at: float
    engine_started_at_ms: int | None
    ordered_at: float | None = None


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
    """An engine has loaded the weights.

    :param took_s: time since the engine's first report was requested, in seconds.
    """

    key: str
    model: str
    version: int
    took_s: float


@dataclass(slots=True, frozen=True)
class LoadFailed:
    """An engine did not load the weights; it is retried later."""

    key: str
    reason: str


Action = FetchReport | SendWeightsOrder | Loaded | LoadFailed


class WeightsRollout:
    """Schedules orders to engines; only the gateway that holds the lease executes them.

    :ivar loads: loads in progress and recently failed ones, by endpoint id.
    :ivar failures: failed loads in a row, by endpoint id; other engines load before these.
    :ivar load_s: moving average of the time from an accepted order to the report that shows the new
        weights, in seconds.
    """

    def __init__(self) -> None:
        self.loads: dict[str, _EngineLoad] = {}
        self.failures: Counter[str] = Counter()
        self.load_s = 1.0

    def outdated_engines(
        self, engines: list[EngineStatus], announced: dict[str, int]
    ) -> list[tuple[EngineStatus, str]]:
        """Return the engines whose weights are older than announced, with the model."""
        return [
            (engine, model)
            for engine in engines
            for model, version in engine.weights.items()
            if version < announced.get(model, 0)
        ]

    def plan(
        self,
        engines: list[EngineStatus],
        announced: dict[str, int],
        now: float,
        *,
        is_urgent: bool = False,
    ) -> list[Action]:
        """Return the reports to fetch and the loads that timed out; start loads up to the limit.

        :param is_urgent: whether the rollout is late, so that more engines may load at a time.
        """
        actions: list[Action] = []
        engines_by_key = {engine.key: engine for engine in engines}
        for key in self.failures.keys() - engines_by_key.keys():
            del self.failures[key]
        for key, load in list(self.loads.items()):
            engine = engines_by_key.get(key)
            if engine is None or engine.started_at_ms != load.engine_started_at_ms:
                del self.loads[key]
            elif load.phase is Phase.FAILED:
                if now >= load.due_at:
                    del self.loads[key]
            elif now - load.load_started_at > LOAD_TIMEOUT_S:
                actions.append(self._fail(key, load, "timeout", now))
            elif load.phase is Phase.LOADING and now >= load.due_at:
                load.due_at = now + POLL_INTERVAL_S
                actions.append(FetchReport(key))
        engines_per_loading_engine = (
            URGENT_ENGINES_PER_LOADING_ENGINE if is_urgent else ENGINES_PER_LOADING_ENGINE
        )
        return actions + self._start(engines, announced, now, engines_per_loading_engine)

    def _start(
        self,
        engines: list[EngineStatus],
        announced: dict[str, int],
        now: float,
        engines_per_loading_engine: int,
    ) -> list[Action]:
        startable_loads = (
            max(1, -(-len(engines) // engines_per_loading_engine)) - self._active_loads()
        )
        candidates = [
            (engine, model)
            for engine, model in self.outdated_engines(engines, announced)
            if engine.key not in self.loads
        ]
        candidates.sort(key=self._precedence)
        actions: list[Action] = []
        for engine, model in candidates[: max(0, startable_loads)]:
            self.loads[engine.key] = _EngineLoad(
                model, announced[model], Phase.REPORTING, now, now, engine.started_at_ms
            )
            actions.append(FetchReport(engine.key))
        return actions

    def _precedence(self, candidate: tuple[EngineStatus, str]) -> tuple[int, int, int, str]:
        engine, model = candidate
        return self.failures[engine.key], engine.weights[model], engine.requests, engine.key

    def _active_loads(self) -> int:
        return sum(load.phase is not Phase.FAILED for load in self.loads.values())

    def handle_report(
        self, key: str, report: EngineReport, announced: dict[str, int], now: float
    ) -> list[Action]:
        """Handle an engine's report; return an order if one is due."""
        load = self.loads.get(key)
        if load is None or load.phase in (Phase.FAILED, Phase.ORDERING):
            return []
        version = report.weights.get(load.model, 0)
        target = max(load.version, announced.get(load.model, 0))
        if version >= load.version and not report.is_busy:
            del self.loads[key]
            self.failures.pop(key, None)
            if load.ordered_at is not None:
                self.load_s += 0.3 * (now - load.ordered_at - self.load_s)
            return [Loaded(key, load.model, version, now - load.load_started_at)]
        is_report_current = load.ordered_at is None or now - load.ordered_at > REPORT_LAG_S
        if report.is_busy or not is_report_current:
            load.phase = Phase.LOADING
            load.due_at = now + POLL_INTERVAL_S
            return []
        load.phase = Phase.ORDERING
        load.version = target
        return [SendWeightsOrder(key, load.model, target, report.accepted_orders)]

    def handle_report_failure(self, key: str, now: float) -> list[Action]:
        """Handle the failure to fetch an engine's report."""
        load = self.loads.get(key)
        if load is None or load.phase is Phase.FAILED:
            return []
        if load.phase is Phase.LOADING:
            load.due_at = now + POLL_INTERVAL_S
            return []
        return [self._fail(key, load, "unreachable", now)]

    def handle_order_reply(self, key: str, status: str | None, now: float) -> list[Action]:
        """Handle the reply to an order.

        :param status: None if there was no reply, so that the order may have been accepted.
        """
        load = self.loads.get(key)
        if load is None:
            return []
        match status:
            case "done":
                del self.loads[key]
                self.failures.pop(key, None)
                return [Loaded(key, load.model, load.version, now - load.load_started_at)]
            case "accepted" | None:
                load.phase = Phase.LOADING
                load.ordered_at = now
                load.due_at = now + max(POLL_INTERVAL_S, 0.5 * self.load_s)
                return []
            case "busy":
                load.phase = Phase.LOADING
                load.due_at = now + POLL_INTERVAL_S
                return []
            case _:
                return [self._fail(key, load, status, now)]

    def clear(self) -> None:
        """Discard all loads, as after the loss of the lease."""
        self.loads.clear()

    def _fail(self, key: str, load: _EngineLoad, reason: str, now: float) -> LoadFailed:
        load.phase = Phase.FAILED
        load.due_at = now + RETRY_DELAY_S
        self.failures[key] += 1
        return LoadFailed(key, reason)
