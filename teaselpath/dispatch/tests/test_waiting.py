"""Queue of long prompts: what callers get on a burst, with and without it."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

import pytest

from teaselpath.dispatch import PREFILL_TOKENS_PER_S, QueuedRequest, RequestQueue

LONG, SHORT = 17_000, 400
# Backlog of an engine up to which it is given a long prompt, in seconds.
MAX_BACKLOG_S = 0.25


@dataclass
class Engine:
    """An engine that reads prompts one after the other."""

    free_at: float = 0.0

    def read(self, tokens: int, now: float) -> float:
        self.free_at = max(self.free_at, now) + tokens / PREFILL_TOKENS_PER_S
        return self.free_at


@dataclass
class Result:
    """Times to the first event, and refusals."""

    short: list[float] = field(default_factory=list)
    long: list[float] = field(default_factory=list)
    refused: int = 0


def play(*, queue: bool, seconds: float = 4.0, deadline_s: float = 8.0) -> Result:
    """Play a burst of long prompts among short requests on two engines."""
    engines, room, result = [Engine(), Engine()], RequestQueue(), Result()
    events: list[tuple[float, int, str]] = []
    for n in range(int(seconds * 6)):
        heappush(events, (n / 6, n, "long"))
    for n in range(int(seconds * 40)):
        heappush(events, (n / 40, n, "short"))
    for n in range(int((seconds + deadline_s) * 50)):
        heappush(events, (n / 50, n, "tick"))
    waiting: dict[int, float] = {}

    def free_engine(now, limit_s):
        engine = min(engines, key=lambda e: e.free_at)
        return engine if engine.free_at - now <= limit_s else None

    while events:
        now, _, kind = heappop(events)
        if kind == "short":
            engine = min(engines, key=lambda e: e.free_at)
            result.short.append(engine.read(SHORT, now) - now)
        elif kind == "long":
            ticket = QueuedRequest("llm", 1, LONG, now + deadline_s)
            backlog = sum(max(0.0, e.free_at - now) for e in engines) * PREFILL_TOKENS_PER_S
            engine = (
                free_engine(now, MAX_BACKLOG_S) if queue else min(engines, key=lambda e: e.free_at)
            )
            if engine is not None and not (queue and room.has_ahead(ticket)):
                result.long.append(engine.read(LONG, now) - now)
            elif room.exceeds_wait_limit(
                ticket, int(backlog), PREFILL_TOKENS_PER_S * len(engines), now
            ):
                result.refused += 1
            else:
                room.enqueue(ticket, now)
                waiting[ticket.number] = now
        for ticket in room.in_order():
            engine = free_engine(now, MAX_BACKLOG_S)
            if engine is None:
                break
            result.long.append(engine.read(LONG, now) - waiting.pop(ticket.number))
            room.record_placed(ticket, now)
            room.remove(ticket)
    return result


def share_within(times: list[float], limit_s: float) -> float:
    return sum(t <= limit_s for t in times) / len(times)


def test_short_requests_wait_behind_one_long_prompt_at_most():
    queued, unqueued = play(queue=True), play(queue=False)
    # The backlog at which an engine takes a long prompt, that prompt, and short ones in between.
    bound_s = MAX_BACKLOG_S + (LONG + 20 * SHORT) / PREFILL_TOKENS_PER_S
    assert max(queued.short) <= bound_s
    assert max(unqueued.short) > bound_s
    assert share_within(queued.short, 0.6) > share_within(unqueued.short, 0.6)


def test_no_long_prompt_is_lost_or_waits_past_its_deadline():
    result = play(queue=True)
    assert len(result.long) + result.refused == 24
    assert max(result.long) <= 8.0


def test_request_that_would_wait_past_its_deadline_is_refused_on_arrival():
    room = RequestQueue()
    for _ in range(10):
        room.enqueue(QueuedRequest("llm", 1, LONG, 100.0), 0.0)
    late = QueuedRequest("llm", 1, LONG, 2.0)
    assert room.exceeds_wait_limit(late, 0, PREFILL_TOKENS_PER_S, 0.0)
    assert room.expected_wait_s(late, 0, PREFILL_TOKENS_PER_S, 0.0) == pytest.approx(4.25)


def test_more_urgent_requests_go_first_and_others_in_order():
    room = RequestQueue()
    tickets = [QueuedRequest("llm", rank, LONG, 9.0) for rank in (1, 0, 1)]
    for ticket in tickets:
        room.enqueue(ticket, 0.0)
    assert room.in_order() == [tickets[1], tickets[0], tickets[2]]
    assert not room.has_ahead(QueuedRequest("desk", 5, 0, 9.0))
    room.remove(tickets[1])
    assert room.in_order() == [tickets[0], tickets[2]]


def play_without_memory(*, by_pace: bool) -> tuple[int, list[float]]:
    """Play engines whose memory frees one place a second, at three long prompts a second.

    Returns how many were served, and how long the others waited before they were refused.
    """
    room, served, refused = RequestQueue(), 0, []
    waiting: dict[int, float] = {}
    deadline_s, patience_s = 8.0, 4.0
    for tick in range(300):
        now = tick / 10
        for ticket in [t for t in room.in_order() if now - waiting[t.number] > patience_s]:
            refused.append(now - waiting.pop(ticket.number))
            room.remove(ticket)
        if tick % 10 == 0 and room.in_order():
            first = room.in_order()[0]
            room.record_placed(first, now)
            room.remove(first)
            del waiting[first.number]
            served += 1
        if tick % 10 in (1, 4, 7):
            ticket = QueuedRequest("llm", 1, LONG, now + deadline_s)
            if by_pace and room.exceeds_wait_limit(ticket, 0, 1e9, now):
                refused.append(0.0)
            else:
                room.enqueue(ticket, now)
                waiting[ticket.number] = now
    return served, refused


def test_requests_that_the_pace_of_the_queue_leaves_no_chance_are_refused_on_arrival():
    served, refused = play_without_memory(by_pace=True)
    served_without, refused_without = play_without_memory(by_pace=False)
    assert served == served_without
    assert min(refused_without) > 4.0
    at_once = sum(wait_s == 0.0 for wait_s in refused)
    assert at_once >= 0.75 * len(refused)
