"""Detection of engines that end while they run requests.

An engine that closes a connection within an answer may have ended, or may have broken off that one
answer. It has ended if nothing listens at its address and no idle connection to it is left.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from eliot import log_message

from teaselpath.dispatch import EndpointView
from teaselpath.fleet import Endpoint, EndpointState
from teaselpath.gateway._memory import SharedMemory
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._state import GatewayState
from teaselpath.http1 import HttpClient

# Time in which the connections of a process that has ended are closed, in seconds, that of another
# region included.
CLOSE_SETTLE_S = 0.05
# Time to find out whether a process listens at the address, in seconds.
PROBE_TIMEOUT_S = 0.4
MAX_CHECK_S = CLOSE_SETTLE_S + PROBE_TIMEOUT_S
# Requests that the log line of an ended engine lists.
MAX_LOGGED_RUNS = 16


@dataclass(slots=True, frozen=True)
class BrokenRun:
    """A request whose answer an engine has broken off.

    :param parts: keys of all that may have ended the engine, see ``Call.parts``.
    :param events: events of the answer, of this attempt only.
    :param is_trial: whether it ran to find out whether its parts are sound.
    """

    request_id: str
    parts: tuple[str, ...]
    events: int
    duration_s: float
    is_trial: bool = False


@dataclass(slots=True, frozen=True)
class EngineEnd:
    """End of an engine, as far as this gateway knows its requests.

    :param number: number of the engine's start, see ``Endpoint.number``.
    :param at: event loop time at which its first answer was broken off.
    :param held_fraction: fraction of its memory that its requests held then; 0 if it is not
        bounded.
    """

    endpoint_id: str
    number: int
    at: float
    runs: tuple[BrokenRun, ...]
    held_fraction: float = 0.0


@dataclass(slots=True)
class _Suspicion:
    """Broken answers of an engine that may have ended."""

    at: float
    held_fraction: float = 0.0
    runs: list[BrokenRun] = field(default_factory=list)
    task: asyncio.Task[bool] | None = None


class EngineEndDetector:
    """Finds out which engines have ended, and reports each with the requests that it ran.

    :param state: state of this gateway, with the endpoints that are listed.
    :param report: called once for each engine that has ended.
    """

    def __init__(
        self,
        state: GatewayState,
        http: HttpClient,
        metrics: GatewayMetrics,
        report: Callable[[EngineEnd], None],
    ):
        self.state = state
        self.http = http
        self.metrics = metrics
        self.report = report
        self.memory = SharedMemory(state)
        self.loop = asyncio.get_running_loop()
        self.suspicions: dict[int, _Suspicion] = {}

    def record_broken(self, view: EndpointView, run: BrokenRun) -> asyncio.Future[bool]:
        """Record an answer that was broken off by a closed connection.

        :returns: future with whether the engine has ended; its cancellation concerns no other.
        """
        number = view.endpoint.number
        suspicion = self.suspicions.get(number)
        if suspicion is None or suspicion.task is None:
            suspicion = self.suspicions[number] = _Suspicion(
                self.loop.time(), self.memory.held_fraction(view)
            )
            suspicion.task = self.loop.create_task(self._confirm(view, suspicion))
            suspicion.task.add_done_callback(
                lambda task: self._on_checked(view.endpoint, suspicion, task)
            )
        suspicion.runs.append(run)
        assert suspicion.task is not None
        return asyncio.shield(suspicion.task)

    def _on_checked(
        self, endpoint: Endpoint, suspicion: _Suspicion, task: asyncio.Task[bool]
    ) -> None:
        # A task that is cancelled before its first step has not removed its suspicion.
        self._remove(endpoint.number, suspicion)
        # The requests that waited for it may all have ended.
        if not task.cancelled() and task.exception() is not None:
            log_message(
                "engine_check_failed",
                endpoint=endpoint.endpoint_id,
                reason=repr(task.exception()),
            )

    def _remove(self, number: int, suspicion: _Suspicion) -> None:
        if self.suspicions.get(number) is suspicion:
            del self.suspicions[number]

    async def _confirm(self, view: EndpointView, suspicion: _Suspicion) -> bool:
        endpoint = view.endpoint
        try:
            await asyncio.sleep(CLOSE_SETTLE_S)
            pool = self.http.pool(endpoint.address)
            has_ended = await pool.is_refused(self.loop.time() + PROBE_TIMEOUT_S)
        finally:
            self._remove(endpoint.number, suspicion)
        # An engine that was told to leave ends without a fault.
        is_listed = self.state.views.get(endpoint.endpoint_id) is view
        is_leaving = view.availability.is_leaving or view.endpoint.state is not EndpointState.READY
        is_planned = not is_listed or is_leaving
        if has_ended and not is_planned:
            end = EngineEnd(
                endpoint.endpoint_id,
                endpoint.number,
                suspicion.at,
                tuple(suspicion.runs),
                suspicion.held_fraction,
            )
            self._log(end, endpoint.service)
            self.report(end)
        return has_ended and not is_planned

    def _log(self, end: EngineEnd, service: str) -> None:
        unanswered = [run for run in end.runs if not run.events]
        log_message(
            "engine_ended",
            endpoint=end.endpoint_id,
            service=service,
            age_s=round(self.loop.time() - end.at, 3),
            held_fraction=round(end.held_fraction, 2),
            runs=len(end.runs),
            unanswered=len(unanswered),
            unanswered_runs=[
                (run.request_id, round(run.duration_s, 3), run.parts, run.is_trial)
                for run in unanswered[:MAX_LOGGED_RUNS]
            ],
        )
        self.metrics.count_engine_end(service)
