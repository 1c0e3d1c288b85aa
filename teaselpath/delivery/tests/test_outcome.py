"""Tests that a request is resent, or reported as not run, only with proof that it did not run."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.delivery import (
    AgentLost,
    AgentReply,
    Completed,
    Delivered,
    Finished,
    NoRoute,
    Outcome,
    RequestOutcome,
    Routed,
    RouteRequested,
    SendCancel,
    SendStart,
    StopRequested,
    StreamCompleted,
)
from teaselpath.results import Code, Ran
from teaselpath.wire import Cancelled, Refused


def make_outcome(*, repeatable=False, continuable=False):
    outcome = RequestOutcome(
        repeatable=repeatable, continuable=continuable, first_byte_deadline=100.0
    )
    assert outcome.begin() == [RouteRequested(1)]
    assert outcome.handle(Routed("a", 7), 0.0) == [SendStart("a", 1, 7)]
    return outcome


def failed(code, ran, attempt=1, delivered=0):
    return StreamCompleted(attempt, Completed(code, ran, delivered))


def only(actions):
    (action,) = actions
    return action


def test_refusal_is_rerouted_and_at_last_reported_as_not_run():
    """Guards against a refusal to the caller although another endpoint has capacity."""
    outcome = make_outcome()
    for number, host in enumerate("abc", start=1):
        if number > 1:
            outcome.handle(Routed(host, 7), 0.0)
        refused = AgentReply(host, Refused("r", number, Code.QUEUE_FULL, "full", 50))
        action = only(outcome.handle(refused, 0.0))
    assert action == Finished(Outcome.NOT_RUN, Code.QUEUE_FULL, Ran.NOT_RUN, "full", 50)


def test_lost_start_is_fenced_and_rerouted():
    """Guards against a second run without proof and against failing a request that never ran."""
    outcome = make_outcome()
    assert outcome.handle(failed(Code.UNKNOWN_REQUEST, Ran.UNKNOWN), 0.0) == [SendCancel("a", 1, 7)]
    assert outcome.tick(0.3) == [SendCancel("a", 1, 7)]
    action = only(outcome.handle(AgentReply("a", Cancelled("r", 1, False, Ran.NOT_RUN)), 0.4))
    assert action == RouteRequested(2, ("a",))
    action = only(outcome.handle(NoRoute(Code.NO_ENDPOINT), 0.4))
    assert (action.outcome, action.ran) == (Outcome.NOT_RUN, Ran.NOT_RUN)


@pytest.mark.parametrize(
    "events",
    [
        [AgentLost("a")],
        [failed(Code.OUTCOME_UNKNOWN, Ran.UNKNOWN)],
        [
            failed(Code.UNKNOWN_REQUEST, Ran.UNKNOWN),
            AgentReply("a", Cancelled("r", 1, True, Ran.UNKNOWN)),
        ],
        [AgentReply("a", Refused("r", 1, Code.DUPLICATE_REQUEST, ""))],
    ],
)
def test_unproven_request_ends_as_unknown(events):
    """Guards against a second run, and "not run" for a request that may have run."""
    outcome = make_outcome()
    for event in events:
        actions = outcome.handle(event, 0.0)
    assert (only(actions).outcome, only(actions).ran) == (Outcome.UNKNOWN, Ran.UNKNOWN)


def test_fence_without_reply_ends_as_unknown():
    """Guards against a request that waits forever for an unreachable agent."""
    outcome = make_outcome()
    outcome.handle(failed(Code.UNKNOWN_REQUEST, Ran.UNKNOWN), 0.0)
    assert only(outcome.tick(3.0)).outcome is Outcome.UNKNOWN


def test_broken_stream_is_continued_where_allowed():
    """Guards against a lost answer when an engine crashes in the middle of its stream."""
    outcome = make_outcome(continuable=True)
    outcome.handle(Delivered(1), 0.0)
    actions = outcome.handle(failed(Code.ENDPOINT_FAILED, Ran.RAN, delivered=3), 0.0)
    assert actions == [SendCancel("a", 1, 7), RouteRequested(2, ("a",), True)]
    outcome.handle(Routed("b", 1), 0.0)
    action = only(outcome.handle(StreamCompleted(2, Completed(Code.OK, Ran.RAN, 2)), 0.0))
    assert action.outcome is Outcome.SERVED
    assert outcome.handle(AgentLost("b"), 0.0) == []


def test_broken_stream_without_continuation_fails():
    """Guards against a stream that restarts from its beginning after bytes were delivered."""
    outcome = make_outcome(repeatable=True)
    outcome.handle(Delivered(1), 0.0)
    action = only(outcome.handle(AgentLost("a"), 0.0))
    assert (action.outcome, action.code) == (Outcome.FAILED, Code.STREAM_INCOMPLETE)


def test_outcome_at_the_deadline_follows_the_cancel_reply():
    """Guards against "not run" at the deadline for a request that has started."""
    for started, expected in ((False, Outcome.NOT_RUN), (True, Outcome.FAILED)):
        outcome = make_outcome()
        assert outcome.tick(100.0) == [SendCancel("a", 1, 7)]
        ran = Ran.RAN if started else Ran.NOT_RUN
        action = only(outcome.handle(AgentReply("a", Cancelled("r", 1, started, ran)), 100.0))
        assert (action.outcome, action.code) == (expected, Code.DEADLINE_EXCEEDED)


def test_stop_before_routing_is_not_run():
    """Guards against a request that is sent after its caller has disconnected."""
    outcome = RequestOutcome(repeatable=True, continuable=True, first_byte_deadline=9.0)
    outcome.begin()
    action = only(outcome.handle(StopRequested(Code.CALLER_GONE), 0.0))
    assert action.outcome is Outcome.NOT_RUN
    assert outcome.handle(Routed("a", 7), 0.0) == []


EVENTS = st.one_of(
    st.builds(Routed, st.sampled_from("ab"), st.just(7)),
    st.builds(NoRoute, st.just(Code.NO_ENDPOINT)),
    st.builds(AgentLost, st.sampled_from("ab")),
    st.builds(
        lambda host, attempt, code: AgentReply(host, Refused("r", attempt, code, "")),
        st.sampled_from("ab"),
        st.integers(1, 3),
        st.sampled_from([Code.QUEUE_FULL, Code.DUPLICATE_REQUEST, Code.FENCED]),
    ),
    st.builds(
        lambda host, attempt, ran: AgentReply(
            host, Cancelled("r", attempt, ran is not Ran.NOT_RUN, ran)
        ),
        st.sampled_from("ab"),
        st.integers(1, 3),
        st.sampled_from(Ran),
    ),
    st.builds(
        failed,
        st.sampled_from([Code.ENDPOINT_FAILED, Code.UNKNOWN_REQUEST]),
        st.sampled_from([Ran.RAN, Ran.UNKNOWN]),
        st.integers(1, 3),
    ),
    st.just(StopRequested(Code.CALLER_GONE)),
)


@given(st.lists(EVENTS, max_size=20))
def test_next_start_needs_proof_for_each_earlier_one(events):
    """Guards against an order of replies that leads to a second run or a false "not run"."""
    outcome = make_outcome()
    proven = set()
    sent = 1
    for now, event in enumerate(events):
        match event:
            case AgentReply(host, message) if message.attempt <= sent:
                is_proof = isinstance(message, Refused) or not message.started
                if is_proof and outcome.attempts[message.attempt - 1].host == host:
                    proven.add(message.attempt)
        for action in [*outcome.handle(event, now * 0.01), *outcome.tick(now * 0.01)]:
            if isinstance(action, SendStart):
                assert proven >= set(range(1, sent + 1))
                sent += 1
            if isinstance(action, Finished) and action.ran == Ran.NOT_RUN:
                assert proven >= set(range(1, sent + 1))
