"""Latency and refusals on a burst of long prompts, with and without the queue."""

from dataclasses import dataclass, field
from heapq import heappop, heappush

import pytest

from teaselpath.dispatch import PREFILL_TOKENS_PER_S, QueuedRequest, RequestQueue

LONG, SHORT = 17_000, 400
# Largest backlog with which an engine accepts a long prompt, in seconds.
MAX_BACKLOG_S = 0.25


@dataclass
class Engine:
    """An engine that prefills one prompt after the other."""

    free_at: float = 0.0

    def prefill(self, tokens: int, now: float) -> float:
        self.free_at = max(self.free_at, now) + tokens / PREFILL_TOKENS_PER_S
        return self.free_at


@dataclass
class Result:
    """Times to the first event, and number of refusals."""

    short: list[float] = field(default_factory=list)
    long: list[float] = field(default_factory=list)
    refused: int = 0


def simulate(*, queue: bool, seconds: float = 4.0, deadline_s: float = 8.0) -> Result:
    """Simulate a burst of long prompts among short requests on two engines."""
    engines, request_queue, result = [Engine(), Engine()], RequestQueue(), Result()
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
            result.short.append(engine.prefill(SHORT, now) - now)
        elif kind == "long":
            request = QueuedRequest("llm", 1, LONG, now + deadline_s)
            backlog = sum(max(0.0, e.free_at - now) for e in engines) * PREFILL_TOKENS_PER_S
            engine = (
                free_engine(now, MAX_BACKLOG_S) if queue else min(engines, key=lambda e: e.free_at)
            )
            if engine is not None and not (queue and request_queue.has_requests_ahead(request)):
                result.long.append(engine.prefill(LONG, now) - now)
            elif request_queue.exceeds_wait_limit(
                request, int(backlog), PREFILL_TOKENS_PER_S * len(engines), now
            ):
                result.refused += 1
            else:
                request_queue.enqueue(request, now)
                waiting[request.number] = now
        for request in request_queue.in_order():
            engine = free_engine(now, MAX_BACKLOG_S)
            if engine is None:
                break
            result.long.append(engine.prefill(LONG, now) - waiting.pop(request.number))
            request_queue.record_placed(request, now)
            request_queue.remove(request)
    return result


def fraction_within(times: list[float], limit_s: float) -> float:
    return sum(t <= limit_s for t in times) / len(times)


def test_short_requests_wait_behind_at_most_one_long_prompt():
    queued, unqueued = simulate(queue=True), simulate(queue=False)
    # Largest backlog with which an engine accepts a long prompt, that prompt, and short ones queued
    # in between.
    bound_s = MAX_BACKLOG_S + (LONG + 20 * SHORT) / PREFILL_TOKENS_PER_S
    assert max(queued.short) <= bound_s
    assert max(unqueued.short) > bound_s
    assert fraction_within(queued.short, 0.6) > fraction_within(unqueued.short, 0.6)


def test_every_long_prompt_is_placed_or_refused_before_its_deadline():
    result = simulate(queue=True)
    assert len(result.long) + result.refused == 24
    assert max(result.long) <= 8.0


def test_request_that_would_wait_past_its_deadline_is_refused_on_arrival():
    request_queue = RequestQueue()
    for _ in range(10):
        request_queue.enqueue(QueuedRequest("llm", 1, LONG, 100.0), 0.0)
    late_request = QueuedRequest("llm", 1, LONG, 2.0)
    assert request_queue.exceeds_wait_limit(late_request, 0, PREFILL_TOKENS_PER_S, 0.0)
    assert request_queue.expected_wait_s(
        late_request, 0, PREFILL_TOKENS_PER_S, 0.0
    ) == pytest.approx(4.25)


def test_requests_are_ordered_by_priority_and_arrival():
    request_queue = RequestQueue()
    requests = [QueuedRequest("llm", priority, LONG, 9.0) for priority in (1, 0, 1)]
    for request in requests:
        request_queue.enqueue(request, 0.0)
    assert request_queue.in_order() == [requests[1], requests[0], requests[2]]
    assert not request_queue.has_requests_ahead(QueuedRequest("desk", 5, 0, 9.0))
    request_queue.remove(requests[1])
    assert request_queue.in_order() == [requests[0], requests[2]]


def simulate_scarce_memory(*, refuse_on_arrival: bool) -> tuple[int, list[float]]:
    """Simulate three long prompts a second while the engines have memory for only one.

    Returns the number of prompts served and the waiting times of those refused.
    """
    request_queue, served, refused = RequestQueue(), 0, []
    waiting: dict[int, float] = {}
    deadline_s, max_wait_s = 8.0, 4.0
    for tick in range(300):
        now = tick / 10
        for request in [
            queued
            for queued in request_queue.in_order()
            if now - waiting[queued.number] > max_wait_s
        ]:
            refused.append(now - waiting.pop(request.number))
            request_queue.remove(request)
        if tick % 10 == 0 and request_queue.in_order():
            first = request_queue.in_order()[0]
            request_queue.record_placed(first, now)
            request_queue.remove(first)
            del waiting[first.number]
            served += 1
        if tick % 10 in (1, 4, 7):
            request = QueuedRequest("llm", 1, LONG, now + deadline_s)
            if refuse_on_arrival and request_queue.exceeds_wait_limit(request, 0, 1e9, now):
                refused.append(0.0)
            else:
                request_queue.enqueue(request, now)
                waiting[request.number] = now
    return served, refused


def test_requests_that_would_wait_too_long_at_the_placement_rate_are_refused_on_arrival():
    served, refused = simulate_scarce_memory(refuse_on_arrival=True)
    served_without, refused_without = simulate_scarce_memory(refuse_on_arrival=False)
    assert served == served_without
    assert min(refused_without) > 4.0
    refused_on_arrival = sum(wait_s == 0.0 for wait_s in refused)
    assert refused_on_arrival >= 0.75 * len(refused)


def test_wait_for_held_off_endpoints_delays_and_refuses_no_other_request():
    """Guards against requests that are refused though an engine is idle."""
    request_queue, waiting = RequestQueue(), QueuedRequest("llm", 1, LONG, 9.0, is_held_off=True)
    request_queue.enqueue(waiting, 0.0)
    first, second = (QueuedRequest("llm", 1, LONG, 9.0) for _ in range(2))
    assert not request_queue.has_requests_ahead(first)
    assert request_queue.count_ahead(QueuedRequest("llm", 1, LONG, 9.0, is_held_off=True)) == 1
    request_queue.enqueue(first, 2.0)
    assert not request_queue.exceeds_wait_limit(second, 0, PREFILL_TOKENS_PER_S, 2.1)
    request_queue.remove(first)
    assert request_queue.rates == {}
    request_queue.set_held_off(waiting, False, 3.0)
    assert request_queue.has_requests_ahead(second)
    request_queue.record_placed(waiting, 3.0)
    request_queue.remove(waiting)
    assert request_queue.rates == {}
