"""Queue of requests that wait for an endpoint.

Engines prefill one prompt after the other, so a burst of long prompts would delay short requests. A
long prompt therefore waits at the gateway while every engine has a large prefill backlog or no free
memory. Short requests are sent to an engine immediately and wait behind at most one long prompt. A
request that would wait too long is refused on arrival; its expected wait is computed from the
engines' prefill backlog and from the rate at which queued requests were placed recently.
"""

from collections import deque
from dataclasses import dataclass
from itertools import count

# Fraction of a request's remaining time that it may spend in the queue.
MAX_WAIT_FRACTION = 0.5
# Window over which the placement rate of a queue is measured, in seconds, and the shortest span
# that gives a usable rate.
RATE_WINDOW_S = 3.0
MIN_RATE_WINDOW_S = 1.0


@dataclass(slots=True)
class QueuedRequest:
    """A request in the queue.

    :param service: service of the request.
    :param priority: 0 is the most urgent.
    :param tokens: prompt tokens that an engine will have to prefill.
    :param deadline: event loop time until which the caller waits.
    :param number: sequence number by arrival, from 1; 0 until the request is added.
    :param is_held_off: whether no endpoint that is left for it wants requests for now.
    """

    service: str
    priority: int
    tokens: int
    deadline: float
    number: int = 0
    is_held_off: bool = False

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
    """Requests that wait for an endpoint, ordered by priority and arrival."""

    def __init__(self) -> None:
        self.queued: dict[int, QueuedRequest] = {}
        self.arrival_numbers = count(1)
        self.rates: dict[str, _PlacementRate] = {}

    def has_requests_ahead(self, request: QueuedRequest) -> bool:
        """Return whether requests of the same service are ahead of this new one."""
        return any(r.is_ahead_of(request) for r in self.queued.values())

    def count_ahead(self, request: QueuedRequest) -> int:
        """Return the number of requests of the same service that are ahead of this new one."""
        return sum(r.is_ahead_of(request) for r in self.queued.values())

    def expected_wait_s(
        self, request: QueuedRequest, backlog_tokens: int, tokens_per_s: float, now: float
    ) -> float:
        """Return the expected wait of a new request, in seconds.

        :param backlog_tokens: tokens that the engines still have to prefill.
        :param tokens_per_s: prefill speed of all engines together.
        """
        ahead = sum(r.tokens for r in self.queued.values() if r.is_ahead_of(request))
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

    def enqueue(self, request: QueuedRequest, now: float) -> None:
        """Add a request behind the others of its priority."""
        request.number = next(self.arrival_numbers)
        self.queued[request.number] = request
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
        self.queued.pop(request.number, None)
        if all(r.service != request.service or r.is_held_off for r in self.queued.values()):
            self.rates.pop(request.service, None)

    def in_order(self) -> list[QueuedRequest]:
        """Return the queued requests in the order in which they should be placed."""
        return sorted(self.queued.values(), key=lambda r: (r.priority, r.number))


def _duration_s(tokens: int, tokens_per_s: float) -> float:
    if tokens <= 0:
        return 0.0
    return tokens / tokens_per_s if tokens_per_s > 0 else float("inf")
