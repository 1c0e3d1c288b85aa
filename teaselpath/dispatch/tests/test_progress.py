"""Time limits of attempts: stalled streams end or go on elsewhere, slow ones go on."""

from dataclasses import replace

import pytest

from teaselpath.dispatch import AttemptLimits, caller_gap_limit_s
from teaselpath.fleet import Backend, RequestKind, Route

GAP_S = 0.4


def make_route(*, is_resumable=True, max_attempts=2):
    return Route(
        "r", "h", "/", RequestKind.STREAM, (Backend("s", 1.0),), 8.0, 0.8, 1, max_attempts,
        False, is_resumable, GAP_S,
    )  # fmt: skip


def is_cut(limits, pauses_s, started_at=0.0):
    """Return whether a stream with these pauses before its events exceeds its limits."""
    now = started_at
    for pause_s in pauses_s:
        if now + pause_s > limits.progress_deadline:
            return True
        now += pause_s
        limits.record_event(now)
    return False


def test_slow_stream_goes_on():
    limits = AttemptLimits(make_route(), 0, 0.0, 20.0)
    assert not is_cut(limits, [1.5] + [1.55] * 10)


@pytest.mark.parametrize("pauses_s", [[2.0], [0.1, 2.0], [2.0, 2.0, 2.0]])
def test_stream_of_an_engine_that_falls_silent_for_two_seconds_does_not_go_on_elsewhere(pauses_s):
    limits = AttemptLimits(make_route(), 0, 0.0, 20.0)
    assert not is_cut(limits, pauses_s)


def test_stalled_stream_is_given_up_before_its_caller_leaves():
    limits = AttemptLimits(make_route(), 0, 0.0, 20.0)
    limits.record_event(1.0)
    # The caller leaves after eight pauses that are still on time.
    assert 1.0 + 4 * GAP_S <= limits.progress_deadline < 1.0 + 8 * GAP_S - 1.0


@pytest.mark.parametrize(
    ("route", "runs"),
    [(make_route(is_resumable=False), 0), (make_route(), 1), (make_route(max_attempts=1), 0)],
    ids=["not-resumable", "last-attempt", "single-attempt"],
)
def test_stream_that_cannot_go_on_elsewhere_has_until_its_deadline(route, runs):
    limits = AttemptLimits(route, runs, 0.0, 8.0)
    assert limits.progress_deadline == 8.0
    limits.record_event(1.0)
    assert limits.progress_deadline == 8.0


def test_extended_attempt_goes_on_until_the_deadline_at_most():
    limits = AttemptLimits(make_route(), 0, 0.0, 2.0)
    limits.extend(1.7)
    assert 1.7 < limits.progress_deadline < 2.0
    limits.extend(1.9)
    assert limits.progress_deadline == 2.0


def test_no_limit_exceeds_the_deadline():
    limits = AttemptLimits(make_route(), 0, 0.0, 1.0)
    assert limits.progress_deadline == 1.0
    limits.record_event(0.9)
    assert limits.progress_deadline == 1.0


@pytest.mark.parametrize(
    ("target_latency_s", "event_gap_s", "limit_s"),
    [(0.1, 0.1, 2.0), (0.8, 0.1, 3.2), (0.1, 0.4, 3.2), (0.1, 0.0, 2.0)],
)
def test_callers_leave_a_stream_after_the_longest_of_three_gaps(
    target_latency_s, event_gap_s, limit_s
):
    route = replace(make_route(), target_latency_s=target_latency_s, event_gap_s=event_gap_s)
    assert caller_gap_limit_s(route) == pytest.approx(limit_s)


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.UNSAFE])
def test_callers_wait_for_other_answers_until_their_deadline(kind):
    assert caller_gap_limit_s(replace(make_route(), kind=kind)) == float("inf")
