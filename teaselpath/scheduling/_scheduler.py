"""Weighted fair queueing of workspaces for the slots of an engine's batch.

Start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queuing: A Scheduling Algorithm
for Integrated Services Packet Switching Networks", 1996), with tokens in place of packet lengths.
"""

from dataclasses import dataclass
from heapq import heappop, heappush

from teaselpath.results import Code
from teaselpath.scheduling._events import (
    CallerGone,
    Drop,
    Finished,
    Run,
    SchedulerEvent,
    SlotsChanged,
    Submit,
)
from teaselpath.scheduling._flow import Flow

# Weight of the newest sample in the moving averages of request duration and size.
AVERAGE_WEIGHT = 0.1
# Fraction of the slots that a dominant workspace leaves free. It limits the tail of the other
# workspaces' time to first token in benchmarks/bench_fairness.py.
DEFAULT_HEADROOM_FRACTION = 0.25
# Demand of a workspace, as a multiple of the next largest, above which the headroom applies to it.
DOMINANCE_FACTOR = 1.5


@dataclass(slots=True)
class _Running:
    request: Submit
    started_at: float


class Scheduler:
    """Request scheduler of one endpoint.

    :param slots: number of requests that the engine's batch can run at once.
    :param headroom_fraction: fraction of the slots that a workspace above its fair share leaves
        free if its demand exceeds ``DOMINANCE_FACTOR`` times the next largest. Demand is the number
        of queued and running requests divided by the weight. Running requests are not preempted:
        without headroom, a new workspace would wait for the end of a request whenever another
        workspace fills the batch.
    :param max_queued: maximum length of the queue; beyond it, the newest request of the workspace
        with the most queued tokens relative to its weight is dropped.
    """

    def __init__(
        self,
        slots: int = 0,
        max_queued: int = 1000,
        headroom_fraction: float = DEFAULT_HEADROOM_FRACTION,
    ) -> None:
        self.slots = slots
        self.headroom_fraction = headroom_fraction
        self.max_queued = max_queued
        self.virtual_time = 0.0
        self.flows: dict[str, Flow] = {}
        self.queued: dict[str, Submit] = {}
        self.running: dict[str, _Running] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.mean_duration_s = 0.0
        self.mean_tokens = 0.0

    def handle(self, event: SchedulerEvent, now: float) -> list[Run | Drop]:
        """Apply an event; each submitted request gets exactly one ``Run`` or ``Drop``."""
        actions = self._expire(now)
        match event:
            case Submit():
                actions += self._submit(event, now)
            case Finished(request_id, used):
                self._finish(request_id, used, now)
            case CallerGone(request_id):
                if request_id in self.queued:
                    self._unqueue(request_id)
                    actions.append(Drop(request_id, Code.CALLER_GONE, 0.0))
            case SlotsChanged(slots):
                self.slots = slots
        return actions + self._dispatch(now)

    def tick(self, now: float) -> list[Run | Drop]:
        """Drop requests past their deadline; call it a few times per second."""
        return self._expire(now) + self._dispatch(now)

    def expected_wait_s(self, workspace: str, priority: int, now: float) -> float:
        """Return the expected queueing time of a request that arrives now, in seconds.

        Counts only work scheduled before it: the queue of the workspace itself and, of each other
        one, at most the same number of tokens in proportion to the weights.
        """
        if not self.queued and len(self.running) < self.slots:
            return 0.0
        if not self.mean_duration_s:
            return 0.0
        if not self.slots:
            return float("inf")
        own = self.flows.get(workspace)
        weight = own.weight if own else 1.0
        ahead = self._tokens_ahead(own, priority) + self.mean_tokens
        total = ahead
        for flow in self.flows.values():
            if flow is not own:
                total += min(self._tokens_ahead(flow, priority), ahead * flow.weight / weight)
        per_second = self.slots * self.mean_tokens / self.mean_duration_s
        return total / per_second if per_second else 0.0

    def _tokens_ahead(self, flow: Flow | None, priority: int) -> float:
        if flow is None:
            return 0.0
        if all(p <= priority for p in flow.queues):
            return flow.backlog
        queues = (queue for p, queue in flow.queues.items() if p <= priority)
        return sum(request.tokens for queue in queues for request in queue.values())

    def _submit(self, request: Submit, now: float) -> list[Run | Drop]:
        if request.request_id in self.queued or request.request_id in self.running:
            return []
        wait_s = self.expected_wait_s(request.workspace, request.priority, now)
        if now >= request.deadline or now + wait_s > request.deadline:
            return [Drop(request.request_id, Code.DEADLINE_EXCEEDED, wait_s)]
        flow = self.flows.setdefault(request.workspace, Flow(request.weight))
        flow.push(request, self.virtual_time)
        self.queued[request.request_id] = request
        heappush(self.deadlines, (request.deadline, request.request_id))
        if len(self.queued) <= self.max_queued:
            return []
        largest = max(self.flows.values(), key=lambda f: f.backlog / f.weight)
        victim = largest.newest()
        self._unqueue(victim.request_id)
        wait_s = self.expected_wait_s(victim.workspace, victim.priority, now)
        return [Drop(victim.request_id, Code.QUEUE_FULL, wait_s)]

    def _finish(self, request_id: str, used: float, now: float) -> None:
        finished = self.running.pop(request_id, None)
        if finished is None:
            return
        flow = self.flows[finished.request.workspace]
        flow.running -= 1
        flow.correct(used - finished.request.tokens)
        self._update_averages(max(0.0, now - finished.started_at), finished.request.tokens)
        if not self.queued and not self.running:
            self._end_busy_period()

    def _update_averages(self, duration_s: float, tokens: float) -> None:
        weight = AVERAGE_WEIGHT if self.mean_duration_s else 1.0
        self.mean_duration_s += weight * (duration_s - self.mean_duration_s)
        self.mean_tokens += weight * (tokens - self.mean_tokens)

    def _end_busy_period(self) -> None:
        """Discard all flows when nothing is queued or running.

        The virtual time continues at the highest finish tag.
        """
        tags = [flow.finish_tag for flow in self.flows.values()]
        self.virtual_time = max([self.virtual_time, *tags])
        self.flows.clear()

    def _unqueue(self, request_id: str) -> Submit:
        request = self.queued.pop(request_id)
        self.flows[request.workspace].remove(request)
        return request

    def _expire(self, now: float) -> list[Run | Drop]:
        dropped: list[Run | Drop] = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, request_id = heappop(self.deadlines)
            request = self.queued.get(request_id)
            if request is not None and request.deadline <= now:
                self._unqueue(request_id)
                wait_s = self.expected_wait_s(request.workspace, request.priority, now)
                dropped.append(Drop(request_id, Code.DEADLINE_EXCEEDED, wait_s))
        return dropped

    def _dispatch(self, now: float) -> list[Run | Drop]:
        started: list[Run | Drop] = []
        while self.queued and len(self.running) < self.slots:
            request = self._select_next(now)
            if request is None:
                break
            self._unqueue(request.request_id)
            flow = self.flows[request.workspace]
            self.virtual_time = max(self.virtual_time, flow.start_tag)
            flow.charge(request.tokens)
            flow.running += 1
            self.running[request.request_id] = _Running(request, now)
            started.append(Run(request.request_id))
        return started

    def _select_next(self, now: float) -> Submit | None:
        active = [flow for flow in self.flows.values() if flow.queues and self._can_start(flow)]
        if not active:
            return None
        top = min(priority for flow in active for priority in flow.queues)
        heads = ((flow, flow.head(top, now)) for flow in active)
        ready = [(flow, head) for flow, head in heads if head is not None]
        return min(ready, key=lambda pair: (pair[0].start_tag, pair[1].overdue_at))[1]

    def _can_start(self, flow: Flow) -> bool:
        """Return whether the flow may occupy a slot; a dominant one may not use the headroom.

        A flow below its fair share of the slots always may, so the headroom starves no workspace.
        """
        if self.slots - len(self.running) > self.headroom_fraction * self.slots:
            return True
        others = [f for f in self.flows.values() if f is not flow and f.demand > 0.0]
        weights = flow.weight + sum(other.weight for other in others)
        if not others or flow.running < self.slots * flow.weight / weights:
            return True
        return flow.demand <= DOMINANCE_FACTOR * max(other.demand for other in others)
