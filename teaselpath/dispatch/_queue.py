"""Queue of requests that wait for an endpoint.

Engines prefill one prompt after the other, so a burst of long prompts would delay short requests. A
long prompt therefore waits at the gateway while every engine has a large prefill backlog or no free
memory. Short requests are sent to an engine immediately and wait behind at most one long prompt. A
request that would wait too long is refused on arrival; its expected wait is computed from the
engines' prefill backlog and from the rate at which queued requests were placed recently.

Where room is contended, workspaces have fair shares of it within a priority (``FairOrder``), and
within a workspace, what can still be in time comes before what is late.
"""

from collections import deque
from dataclasses import dataclass
from itertools import count

from teaselpath.dispatch._fair_order import FairOrder

# Fraction of a request's remaining time that it may spend in the queue.
MAX_WAIT_FRACTION = 0.5
# Window over which the placement rate of a queue is measured, in seconds, and the shortest span
# that gives a usable rate.
RATE_WINDOW_S = 3.0
MIN_RATE_WINDOW_S = 1.0
# Fraction of its longest wait after which a request, still queued, competes with the requests of
# the highest priority.
OVERDUE_FRACTION = 0.75


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue.

    :param service: service of the request.
    :param priority: 0 is the most urgent.
    :param tokens: prompt tokens that an engine will have to prefill.
    :param deadline: event loop time until which the caller waits.
    :param number: sequence number by arrival, from 1; 0 until the request is added.
    :param is_held_off: whether no endpoint that is left for it wants requests for now.
    :param workspace: name of its workspace; empty without one.
    :param charge: tokens that it costs its workspace.
    :param aimed_at: event loop time at which its answer should begin.
    :param overdue_at: event loop time from which it competes with the highest priority.
    """

    service: str
    priority: int
    tokens: int
    deadline: float
    number: int = 0
    is_held_off: bool = False
    workspace: str = ""
    charge: float = 0.0
    aimed_at: float = float("inf")
    overdue_at: float = float("inf")

    @property
    def is_resumed(self) -> bool:
        """Return whether it continues a stream of which the caller has a part."""
        return self.priority < 0

    def is_ahead_of(self, other: "QueuedRequest") -> bool:
        """Return whether the other request, which comes later, has to wait for this one.

        Endpoints that this one has tried already may have capacity for the other.
        """
        return (
            self.service == other.service
            and self.priority <= other.priority
            and (other.is_held_off or not self.is_held_off)
        )


@dataclass(slots=True)
class _PlacementRate:
    """Rate at which queued requests of one service are placed.

    :param waiting_since: time since which requests of the service have been waiting.
    :param placed: time and tokens of requests that were placed.
    """

    waiting_since: float
    placed: deque[tuple[float, int]]

    def tokens_per_s(self, now: float) -> float | None:
        """Return the tokens placed per second; None if measured for too short a time."""
        while self.placed and self.placed[0][0] < now - RATE_WINDOW_S:
            self.placed.popleft()
        span_s = min(RATE_WINDOW_S, now - self.waiting_since)
        if span_s < MIN_RATE_WINDOW_S:
            return None
        return sum(tokens for _, tokens in self.placed) / span_s


class RequestQueue:
    """Requests that wait for an endpoint, ordered by priority and arrival.

    :param fair_order: shares of the workspaces; None if they do not compete for room.
    """

    def __init__(self, fair_order: FairOrder | None = None) -> None:
        self.fair_order = fair_order
        self.queued: dict[int, QueuedRequest] = {}
        self.arrival_numbers = count(1)
        self.rates: dict[str, _PlacementRate] = {}

    def has_requests_ahead(self, request: QueuedRequest, now: float = 0.0) -> bool:
        """Return whether requests of the same service are ahead of this new one."""
        return bool(self.ahead_of(request, now))

    def count_ahead(self, request: QueuedRequest, now: float = 0.0) -> int:
        """Return the number of requests of the same service that are ahead of this new one."""
        return len(self.ahead_of(request, now))

    def ahead_of(self, request: QueuedRequest, now: float) -> list[QueuedRequest]:
        """Return the requests of the same service that are ahead of this new one."""
        if self.fair_order is None:
            return [r for r in self.queued.values() if r.is_ahead_of(request)]
        same = [r for r in self.queued.values() if r.service == request.service]
        order = self._fair(self.fair_order, [*same, request], now)
        ahead = order[: next(i for i, r in enumerate(order) if r is request)]
        return [r for r in ahead if request.is_held_off or not r.is_held_off]

    def expected_wait_s(
        self, request: QueuedRequest, backlog_tokens: int, tokens_per_s: float, now: float
    ) -> float:
        """Return the expected wait of a new request, in seconds.

        :param backlog_tokens: tokens that the engines still have to prefill.
        :param tokens_per_s: prefill speed of all engines together.
        """
        ahead = sum(r.tokens for r in self.ahead_of(request, now))
        wait_s = _duration_s(backlog_tokens + ahead, tokens_per_s)
        rate = self.rates.get(request.service)
        measured_tokens_per_s = rate.tokens_per_s(now) if rate is not None else None
        if measured_tokens_per_s is not None:
            wait_s = max(wait_s, _duration_s(ahead, measured_tokens_per_s))
        return wait_s

    def exceeds_wait_limit(
        self, request: QueuedRequest, backlog_tokens: int, tokens_per_s: float, now: float
    ) -> bool:
        """Return whether the expected wait of a new request exceeds its limit."""
        wait_s = self.expected_wait_s(request, backlog_tokens, tokens_per_s, now)
        return wait_s > MAX_WAIT_FRACTION * (request.deadline - now)

    def enqueue(self, request: QueuedRequest, now: float, until: float | None = None) -> None:
        """Add a request behind the others of its priority.

        :param until: time until which it waits; None for ``MAX_WAIT_FRACTION`` of what is left.
        """
        request.number = next(self.arrival_numbers)
        self.queued[request.number] = request
        wait_s = MAX_WAIT_FRACTION * (request.deadline - now) if until is None else until - now
        request.overdue_at = now + OVERDUE_FRACTION * wait_s
        if self.fair_order is not None:
            self.fair_order.add_waiting(request.workspace, now)
        self.set_held_off(request, request.is_held_off, now)

    def set_held_off(self, request: QueuedRequest, is_held_off: bool, now: float) -> None:
        """Record whether no endpoint that is left for a queued request wants requests for now.

        Such a wait does not count for the placement rate.
        """
        request.is_held_off = is_held_off
        if not is_held_off:
            self.rates.setdefault(request.service, _PlacementRate(now, deque()))

    def record_placed(self, request: QueuedRequest, now: float) -> None:
        """Record that a queued request was placed."""
        self.set_held_off(request, False, now)
        self.rates[request.service].placed.append((now, request.tokens))

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request that was placed, refused or cancelled."""
        found = self.queued.pop(request.number, None)
        if found is not None and self.fair_order is not None:
            self.fair_order.remove_waiting(request.workspace)
        if all(r.service != request.service or r.is_held_off for r in self.queued.values()):
            self.rates.pop(request.service, None)

    def in_order(self, now: float = 0.0) -> list[QueuedRequest]:
        """Return the queued requests in the order in which they should be placed."""
        if self.fair_order is None:
            return sorted(self.queued.values(), key=lambda r: (r.priority, r.number))
        by_service: dict[str, list[QueuedRequest]] = {}
        for request in self.queued.values():
            by_service.setdefault(request.service, []).append(request)
        return [
            request
            for requests in by_service.values()
            for request in self._fair(self.fair_order, requests, now)
        ]

    @staticmethod
    def _fair(
        fair_order: FairOrder, requests: list[QueuedRequest], now: float
    ) -> list[QueuedRequest]:
        """Return requests of a service by priority, then in fair order of their workspaces.

        A new request, which has no number yet, is the last one that arrived. Streams that continue
        have a priority below 0 and stay ahead.
        """
        top = min((r.priority for r in requests if r.priority >= 0), default=0)

        def level(request: QueuedRequest) -> int:
            return min(top, request.priority) if now >= request.overdue_at else request.priority

        requests = sorted(
            requests, key=lambda r: (level(r), r.aimed_at <= now, r.number or float("inf"))
        )
        tags = fair_order.start_tags([(r.workspace, r.charge) for r in requests], now)
        pairs = sorted(zip(requests, tags, strict=True), key=lambda pair: (level(pair[0]), pair[1]))
        return [request for request, _ in pairs]


def _duration_s(tokens: int, tokens_per_s: float) -> float:
    if tokens <= 0:
        return 0.0
    return tokens / tokens_per_s if tokens_per_s > 0 else float("inf")
