"""Requests that wait for an endpoint.

Answers bursts of long prompts on engines that read one prompt after the other: a long prompt waits
at the gateway while every engine still has much to read or its memory is taken, so that short
requests, which go to an engine at once, wait behind one long prompt at most. A request that would
wait too long is refused when it arrives; how long follows from what the engines still have to read
and from the pace at which waiting requests have found an engine.
"""

from collections import deque
from dataclasses import dataclass
from itertools import count

# Part of a request's remaining time that may pass in the queue.
WAIT_PART = 0.5
# Time over which the pace of a queue is measured, in seconds; shorter ones say little.
PACE_S = 3.0
MIN_PACE_S = 1.0


@dataclass(slots=True)
class QueuedRequest:
    """A waiting request.

    :param service: service that it waits for.
    :param rank: priority; 0 goes first.
    :param tokens: prompt tokens that an engine will have to read.
    :param deadline: event loop time at which nobody waits any more.
    """

    service: str
    rank: int
    tokens: int
    deadline: float
    number: int = 0


@dataclass(slots=True)
class _Pace:
    """Pace of one service's queue.

    :param since: since when requests have been waiting without a break.
    :param placed: time and tokens of requests that found an engine.
    """

    since: float
    placed: deque[tuple[float, int]]

    def tokens_per_s(self, now: float) -> float | None:
        """Return the tokens placed per second, None if it was not measured for long enough."""
        while self.placed and self.placed[0][0] < now - PACE_S:
            self.placed.popleft()
        span_s = min(PACE_S, now - self.since)
        if span_s < MIN_PACE_S:
            return None
        return sum(tokens for _, tokens in self.placed) / span_s


class RequestQueue:
    """Waiting requests in the order in which they are tried."""

    def __init__(self) -> None:
        self.tickets: dict[int, QueuedRequest] = {}
        self.numbers = count(1)
        self.paces: dict[str, _Pace] = {}

    def has_ahead(self, ticket: QueuedRequest) -> bool:
        """Return whether requests of the same service go before this new one."""
        return any(
            t.service == ticket.service and t.rank <= ticket.rank for t in self.tickets.values()
        )

    def expected_wait_s(
        self, ticket: QueuedRequest, backlog_tokens: int, tokens_per_s: float, now: float
    ) -> float:
        """Return the expected wait of a new request.

        :param backlog_tokens: tokens that the engines still have to read.
        :param tokens_per_s: tokens that all engines together read in a second.
        """
        ahead = sum(
            t.tokens
            for t in self.tickets.values()
            if t.service == ticket.service and t.rank <= ticket.rank
        )
        wait_s = _time_for(backlog_tokens + ahead, tokens_per_s)
        pace = self.paces.get(ticket.service)
        measured = pace.tokens_per_s(now) if pace is not None else None
        if measured is not None:
            wait_s = max(wait_s, _time_for(ahead, measured))
        return wait_s

    def exceeds_wait_limit(
        self, ticket: QueuedRequest, backlog_tokens: int, tokens_per_s: float, now: float
    ) -> bool:
        """Return whether a new request would wait past its deadline."""
        wait_s = self.expected_wait_s(ticket, backlog_tokens, tokens_per_s, now)
        return wait_s > WAIT_PART * (ticket.deadline - now)

    def enqueue(self, ticket: QueuedRequest, now: float) -> None:
        """Add a request at the end of its rank."""
        ticket.number = next(self.numbers)
        self.tickets[ticket.number] = ticket
        self.paces.setdefault(ticket.service, _Pace(now, deque()))

    def record_placed(self, ticket: QueuedRequest, now: float) -> None:
        """Note that a waiting request found an engine."""
        self.paces[ticket.service].placed.append((now, ticket.tokens))

    def remove(self, ticket: QueuedRequest) -> None:
        """Remove a request that was placed, refused or given up."""
        self.tickets.pop(ticket.number, None)
        if all(t.service != ticket.service for t in self.tickets.values()):
            self.paces.pop(ticket.service, None)

    def in_order(self) -> list[QueuedRequest]:
        """Return the waiting requests, the next one to try first."""
        return sorted(self.tickets.values(), key=lambda t: (t.rank, t.number))


def _time_for(tokens: int, tokens_per_s: float) -> float:
    if tokens <= 0:
        return 0.0
    return tokens / tokens_per_s if tokens_per_s > 0 else float("inf")
