"""Tests that each checker accepts a valid history and reports its violations."""

import pytest

from teaselpath.history import (
    CHECKERS,
    CacheReused,
    CandidatesChosen,
    ConfigAccepted,
    ConfigInForce,
    EndpointLeaving,
    EngineStarted,
    ExecutionEnded,
    ExecutionStarted,
    History,
    KeyGranted,
    KeyRevoked,
    LimitInForce,
    ProcessReady,
    ProcessStopped,
    QuotaCharged,
    RequestAnswered,
    RequestSent,
    StopStarted,
    StreamDelivered,
    StreamProduced,
    check_all,
    encode_event,
    read_history,
)
from teaselpath.results import Code


def sent(at, request_id, **fields):
    return RequestSent(at=at, node="e1", request_id=request_id, caller="c1", **fields)


def started(at, request_id, workspace="w1", node="g1", **fields):
    return ExecutionStarted(at=at, node=node, request_id=request_id, workspace=workspace, **fields)


def answered(at, request_id, code=Code.OK, ran="ran"):
    return RequestAnswered(at=at, node="e1", request_id=request_id, code=code, ran=ran)


def delivered(at, request_id, text, caller="c1", is_whole=True):
    return StreamDelivered(
        at=at, node="e1", request_id=request_id, caller=caller, text=text, is_whole=is_whole
    )


def produced(at, request_id, text, **fields):
    return StreamProduced(at=at, node="g1", request_id=request_id, text=text, **fields)


def reused(at, **fields):
    block = {"block_workspace": "w1", "block_incarnation": "i2", "block_weights": "v1"} | fields
    return CacheReused(
        at=at, node="g1", request_id="r1", workspace="w1", incarnation="i2", weights="v1", **block
    )


def charged(at, tokens, node="e1"):
    return QuotaCharged(at=at, node=node, workspace="w1", tokens=tokens)


def chosen(at, node, endpoints):
    return CandidatesChosen(at=at, node=node, prefix="p", context="v1", endpoints=endpoints)


VALID_EVENTS = [
    KeyGranted(at=0, node="op", key="secret-1", workspace="w1"),
    KeyGranted(at=0, node="op", key="secret-2", workspace="w2"),
    EngineStarted(at=0, node="g1", incarnation="i1"),
    EngineStarted(at=1, node="g1", incarnation="i2"),
    ProcessReady(at=1, node="e1", role="entry"),
    ProcessReady(at=1, node="g2", role="agent"),
    LimitInForce(at=1, node="op", workspace="w1", rate=10, burst=100),
    ConfigAccepted(at=2, node="log", version=1),
    ConfigInForce(at=3, node="e1", version=1),
    ConfigInForce(at=3, node="g2", version=1),
    chosen(3, "e1", ["g1", "g2"]),
    chosen(4, "e2", ["g1", "g2"]),
    sent(10, "r1", key="secret-1"),
    charged(10, 100),
    reused(10.5),
    started(10.5, "r1", received="prompt"),
    produced(11, "r1", "one ", is_whole=False),
    started(11, "r1", node="g2"),
    produced(12, "r1", "two", position=4),
    delivered(12, "r1", "one two"),
    answered(12, "r1"),
    charged(12, -40),
    sent(13, "r2", key="secret-1", repeatable=False, claim="w1/pay/k"),
    charged(13, 70, node="e2"),
    answered(14, "r2", Code.CLAIM_UNAVAILABLE, "not_run"),
    sent(15, "r3", key="secret-1", repeatable=False, claim="w1/pay/k"),
    started(15, "r3"),
    delivered(16, "r3", ""),
    produced(16, "r3", ""),
    answered(16, "r3"),
    sent(17, "r4", is_open=True),
    started(17, "r4", "public"),
    StopStarted(at=17.5, node="g1"),
    delivered(18, "r4", "x"),
    produced(18, "r4", "x"),
    answered(18, "r4"),
    ExecutionEnded(at=18, node="g1", request_id="r4"),
    ProcessStopped(at=18, node="g1"),
    KeyRevoked(at=19, node="op", key="secret-1"),
    EndpointLeaving(at=20, node="g2"),
    sent(20, "r5", key="secret-2"),
    started(22.9, "r5", "w2", node="g2"),
    produced(24, "r5", "abc"),
    delivered(24, "r5", "ab", is_whole=False),
    answered(24, "r5", Code.STREAM_INCOMPLETE),
    # All endpoints are unavailable, so no other entry serves requests either.
    sent(24.5, "r6", key="secret-2"),
    answered(24.5, "r6", Code.NO_ENDPOINT, "not_run"),
    ConfigAccepted(at=25, node="log", version=2),
]

VIOLATIONS = [
    ("P1", [reused(40, block_workspace="w2")]),
    ("P1", [reused(40, block_incarnation="i1")]),
    ("P1", [reused(40, block_weights="v0")]),
    ("P2", [delivered(40, "r1", "two one ", is_whole=False)]),
    ("P2", [delivered(40, "r5", "ab")]),
    ("P3", [chosen(40, "e1", ["g2", "g1"])]),
    ("P3", [sent(40, "x"), answered(40, "x", Code.NO_BUNDLE, "not_run")]),
    (
        "P3",
        [
            ProcessReady(at=5, node="e2", role="entry"),
            RequestSent(at=40, node="e2", request_id="x", caller="c1", is_open=True),
            answered(40, "x", Code.NO_ENDPOINT, "not_run"),
        ],
    ),
    ("P4", [sent(40, "x", key="secret-2"), started(41, "x", "w1")]),
    ("P4", [sent(40, "x"), started(41, "x", "w1")]),
    ("P4", [started(41, "nobody", "w1")]),
    ("P5", [sent(40, "x", key="secret-2"), started(41, "x", "w2", received="Bearer secret-2")]),
    ("P6", [sent(40, "x", key="secret-1"), started(41, "x")]),
    ("P6", [delivered(40, "r1", "one two")]),
    ("P7", [charged(40, 99), charged(40, 3, node="e2")]),
    ("P7", [QuotaCharged(at=40, node="e1", workspace="none", tokens=1)]),
    ("P8", [delivered(40, "r5", "abc", caller="c2")]),
    ("P8", [sent(40, "x"), answered(41, "x")]),
    ("P9", [answered(40, "r3", Code.FENCED, "not_run")]),
    ("P10", [started(17, "r3")]),
    ("P10", [sent(15, "x", key="secret-1", repeatable=False, claim="w1/pay/k"), started(15, "x")]),
    ("P11", [sent(22, "x", key="secret-2"), started(23.1, "x", "w2", node="g2")]),
    ("P12", [ExecutionEnded(at=17.9, node="g1", request_id="r4", is_cut=True)]),
    ("P12", [sent(17, "x", is_open=True), started(17.2, "x"), answered(18, "x", 4005)]),
    ("P12", [sent(17, "x", is_open=True), started(17.2, "x")]),
    ("P13", [ConfigInForce(at=40, node="e1", version=0)]),
    ("P13", [ConfigAccepted(at=26, node="log", version=1)]),
    ("P13", [sent(41, "x")]),
]


def test_valid_history_round_trips_and_has_no_violation():
    """Guards against false positives, and events that lose fields when encoded as JSON."""
    lines = [encode_event(event) for event in VALID_EVENTS]
    history = read_history([*lines, b'{"type": "Requ', b"\n"])
    assert history.skipped == 1
    assert history.events == History(VALID_EVENTS).events
    assert check_all(history) == []
    assert check_all(read_history(reversed(lines))) == []


@pytest.mark.parametrize(("invariant", "events"), VIOLATIONS)
def test_violation_is_reported(invariant, events):
    """Guards against a checker that never reports a violation."""
    (violation,) = CHECKERS[invariant](History([*VALID_EVENTS, *events]))
    assert violation.invariant == invariant
    assert invariant in str(violation)


def test_every_checker_is_tested_with_a_violation():
    """Guards against an invariant whose checker has no test."""
    assert {invariant for invariant, _ in VIOLATIONS} == set(CHECKERS)


def test_first_counterexample_is_returned():
    """Guards against reporting a later violation, a consequence, instead of the first one."""
    events = [answered(50, "r1", 4001, "not_run"), answered(45, "r3", 4001, "not_run")]
    (violation,) = CHECKERS["P9"](History([*VALID_EVENTS, *events]))
    assert violation.at == 45


def test_restarted_endpoint_may_execute_requests_before_it_is_polled_as_ready():
    """Guards against a false report about a restarted endpoint.

    Its start-up is detected only at the next poll, so it may execute requests before its
    ProcessReady event. Requests that start after the limit but before the old process stops still
    count as violations.
    """
    leaving = EndpointLeaving(at=50, node="g1")
    stopped = ProcessStopped(at=52, node="g1")
    restarted = [leaving, stopped, started(53.5, "x"), ProcessReady(at=54, node="g1", role="agent")]
    assert list(CHECKERS["P11"](History(restarted))) == []
    late = [leaving, started(53.5, "x"), ProcessStopped(at=54, node="g1")]
    assert len(list(CHECKERS["P11"](History(late)))) == 1
