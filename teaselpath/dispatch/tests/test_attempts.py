"""Retries: a request that is not idempotent runs at most once and is refused only if it did not."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.dispatch import (
    Answered,
    Broken,
    Cut,
    Fail,
    ForwardAnswer,
    NotRun,
    NotSent,
    Progress,
    Refuse,
    Resend,
    next_step,
    next_stream_step,
)
from teaselpath.dispatch.tests.conftest import make_route
from teaselpath.fleet import RequestKind

UNSAFE = make_route(RequestKind.UNSAFE)
SAFE = make_route(RequestKind.SAFE)
STREAM = make_route(RequestKind.STREAM)
RESUMABLE = make_route(RequestKind.STREAM, resumable=True)

OUTCOMES = st.one_of(
    st.just(NotSent()),
    st.sampled_from([NotRun(503), NotRun(421), NotRun(429)]),
    st.sampled_from([Answered(200), Answered(404), Answered(500), Answered(504)]),
    st.sampled_from([Broken(), Broken(is_timeout=True)]),
)


def ran(outcome) -> bool:
    return isinstance(outcome, Answered | Broken)


@pytest.mark.parametrize("route", [UNSAFE, STREAM], ids=["unsafe", "plain stream"])
@given(outcomes=st.lists(OUTCOMES, min_size=1, max_size=8))
def test_non_idempotent_request_runs_at_most_once_and_is_refused_only_if_not_run(route, outcomes):
    progress = Progress()
    for outcome in outcomes:
        progress.sends += not isinstance(outcome, NotSent)
        progress.runs += ran(outcome)
        step = next_step(route, outcome, progress, 0.0, 5.0)
        if isinstance(step, Resend):
            assert progress.runs == 0
            continue
        assert progress.runs <= 1
        if isinstance(step, Refuse):
            assert progress.runs == 0
        break


@pytest.mark.parametrize("route", [SAFE, RESUMABLE], ids=["safe", "resumable"])
@given(outcomes=st.lists(OUTCOMES, min_size=1, max_size=8))
def test_idempotent_request_runs_at_most_as_often_as_its_route_allows(route, outcomes):
    progress = Progress()
    for outcome in outcomes:
        progress.sends += not isinstance(outcome, NotSent)
        progress.runs += ran(outcome)
        step = next_step(route, outcome, progress, 0.0, 5.0)
        if isinstance(step, Refuse):
            assert progress.runs == 0
        if not isinstance(step, Resend):
            break
    assert progress.runs <= route.max_attempts


def test_error_answer_of_an_endpoint_is_forwarded_if_the_request_cannot_be_retried():
    progress = Progress(runs=1, sends=1)
    assert next_step(UNSAFE, Answered(500), progress, 0.0, 5.0) == ForwardAnswer()
    assert next_step(SAFE, Answered(500), progress, 0.0, 5.0) == Resend(True)


def test_first_send_after_a_failed_connection_is_not_a_retry():
    assert next_step(UNSAFE, NotSent(), Progress(), 0.0, 5.0) == Resend(False)


def test_broken_answer_past_the_deadline_is_a_timeout():
    assert next_step(UNSAFE, Broken(), Progress(1, 1), 5.0, 5.0) == Fail(504)


@pytest.mark.parametrize("route", [STREAM, RESUMABLE], ids=["plain stream", "resumable"])
@given(
    outcome=OUTCOMES,
    runs=st.integers(1, 3),
    now=st.sampled_from([0.0, 4.99, 6.0]),
    can_resume=st.booleans(),
)
def test_stream_of_which_the_caller_has_a_part_is_continued_or_cut(
    route, outcome, runs, now, can_resume
):
    """An answer, a refusal or a failure would arrive in the middle of the stream."""
    step = next_stream_step(route, outcome, Progress(runs, runs), now, 5.0, can_resume=can_resume)
    can_run = can_resume and route.is_idempotent and runs < route.max_attempts and now < 4.9
    assert step == Cut() or (can_run and step == Resend(True))


def test_broken_stream_is_continued_while_its_route_allows():
    def step(outcome):
        return next_stream_step(RESUMABLE, outcome, Progress(1, 1), 0.0, 5.0, can_resume=True)

    assert step(Broken()) == Resend(True)
    assert step(Answered(500)) == Resend(True)
    assert step(Answered(404)) == Cut()
