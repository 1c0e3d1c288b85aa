"""Tests that the ledger runs a request at most once and reports "not run" only with proof."""

import pytest

from teaselpath.delivery import (
    Accept,
    CancelRun,
    Deliver,
    DeliveryLimits,
    EntryLost,
    FromEntry,
    LeaveStarted,
    PauseRun,
    RequestLedger,
    ResumeRun,
    RunChunk,
    RunEnd,
    RunStarting,
    StreamAssembler,
)
from teaselpath.results import Code, Ran
from teaselpath.wire import Ack, Cancel, Cancelled, Chunk, End, Refused, Resume, Send, Start

LIMITS = DeliveryLimits(window_chunks=4, window_bytes=1000, finished_retention_s=100)


def make_start(request_id="r", attempt=1, *, sequence=1, repeatable=False, incarnation=7):
    return Start(
        request_id=request_id,
        attempt=attempt,
        workspace="w",
        request_class="interactive",
        model="m",
        remaining_ms=1000,
        bundle_version=1,
        weights="v",
        chain=[],
        prompt_tokens=1,
        output_cap=1,
        repeatable=repeatable,
        claim_key=b"",
        method="POST",
        path="/",
        headers=[],
        body=b"",
        stream=True,
        agent_incarnation=incarnation,
        entry_incarnation=1,
        sequence=sequence,
    )


def make_cancel(request_id="r", attempt=1, *, sequence=1, incarnation=7, fence=True):
    return Cancel(request_id, attempt, fence, incarnation, 1, sequence)


def sent(actions):
    """Return the messages that a list of actions sends."""
    return [action.message for action in actions if isinstance(action, Send)]


@pytest.fixture
def ledger():
    return RequestLedger(7, LIMITS)


@pytest.fixture
def ledger_with_run(ledger):
    ledger.handle(FromEntry("a", make_start()), 0.0)
    assert ledger.handle(RunStarting("r", 1), 0.0) == []
    return ledger


def test_chunks_are_numbered_and_attempt_is_finished_after_the_last_ack(ledger_with_run):
    """Guards against wrong chunk numbers and a drain that waits for a delivered stream."""
    first = sent(ledger_with_run.handle(RunChunk("r", 1, b"a", 200, [("k", "v")]), 0.0))
    assert first == [Chunk("r", 1, 1, b"a", 200, [("k", "v")])]
    end = sent(ledger_with_run.handle(RunEnd("r", 1, Code.OK, Ran.RAN, 1, 2, 3), 0.0))
    assert end == [End("r", 1, 1, Code.OK, Ran.RAN, 1, 2, 3)]
    ledger_with_run.handle(FromEntry("a", Ack("r", 1, 1, 4)), 0.0)
    assert not ledger_with_run.is_drained
    ledger_with_run.handle(FromEntry("a", Ack("r", 1, 2, 4)), 0.0)
    assert ledger_with_run.is_drained


def test_window_pauses_reading_and_acks_resume_it(ledger_with_run):
    """Guards against an unbounded buffer for a slow entry."""
    actions = [ledger_with_run.handle(RunChunk("r", 1, b"x"), 0.0) for _ in range(4)]
    assert [len(sent(step)) for step in actions] == [1, 1, 1, 1]
    assert actions[3][-1] == PauseRun("r", 1)
    assert ledger_with_run.handle(FromEntry("a", Ack("r", 1, 1, 4)), 0.0) == []
    assert ledger_with_run.handle(FromEntry("a", Ack("r", 1, 2, 4)), 0.0) == [ResumeRun("r", 1)]


def test_bytes_limit_pauses_reading(ledger_with_run):
    """Guards against excessive memory use by large chunks within the chunk window."""
    assert ledger_with_run.handle(RunChunk("r", 1, b"x" * 1000), 0.0)[-1] == PauseRun("r", 1)


def test_start_through_two_entries_runs_once(ledger):
    """Guards against a second run of a start that arrives again or through another entry."""
    assert isinstance(ledger.handle(FromEntry("a", make_start()), 0.0)[0], Accept)
    assert ledger.handle(FromEntry("a", make_start()), 0.0) == []
    (end,) = sent(ledger.handle(FromEntry("b", make_start()), 0.0))
    assert (end.code, end.ran) == (Code.DUPLICATE_REQUEST, Ran.UNKNOWN)
    (refused,) = sent(ledger.handle(FromEntry("b", make_start(attempt=2)), 0.0))
    assert isinstance(refused, Refused)
    assert refused.code == Code.DUPLICATE_REQUEST


def test_refused_attempt_stays_refused(ledger):
    """Guards against a duplicate of a refused start that runs after the first attempt is fenced."""
    ledger.handle(FromEntry("a", make_start()), 0.0)
    second = make_start(attempt=2, sequence=2)
    (refused,) = sent(ledger.handle(FromEntry("b", second), 0.0))
    ledger.handle(FromEntry("a", make_cancel()), 0.0)
    assert sent(ledger.handle(FromEntry("b", second), 0.0)) == [refused]


def test_claimed_request_is_never_repeatable(ledger):
    """Guards against two runs for an idempotency key on a route with repeatable requests."""
    for attempt in (1, 2):
        start = make_start(attempt=attempt, sequence=attempt, repeatable=True)
        start.claim_key = b"key"
        actions = ledger.handle(FromEntry("a", start), 0.0)
    assert sent(actions)[0].code == Code.DUPLICATE_REQUEST


def test_next_attempt_runs_after_a_fence(ledger):
    """Guards against a refusal of an attempt although the previous one is proven not run."""
    assert sent(ledger.handle(FromEntry("a", make_cancel()), 0.0)) == [
        Cancelled("r", 1, False, Ran.NOT_RUN)
    ]
    (refused,) = sent(ledger.handle(FromEntry("a", make_start()), 0.0))
    assert refused.code == Code.FENCED
    assert isinstance(
        ledger.handle(FromEntry("a", make_start(attempt=2, sequence=2)), 0.0)[0], Accept
    )


def test_cancel_in_the_queue_wins_over_the_start_of_the_run(ledger):
    """Guards against a run of a request for which the reply to the cancel was "not run"."""
    ledger.handle(FromEntry("a", make_start()), 0.0)
    actions = ledger.handle(FromEntry("a", make_cancel()), 0.0)
    assert actions == [CancelRun("r", 1), Send("a", Cancelled("r", 1, False, Ran.NOT_RUN))]
    assert ledger.handle(RunStarting("r", 1), 0.0) == [CancelRun("r", 1)]


def test_cancel_of_a_running_request_stops_it(ledger_with_run):
    """Guards against a run that continues after its cancel or is reported as not run."""
    actions = ledger_with_run.handle(FromEntry("a", make_cancel()), 0.0)
    assert actions == [CancelRun("r", 1), Send("a", Cancelled("r", 1, True, Ran.RAN))]
    assert ledger_with_run.handle(RunChunk("r", 1, b"late"), 0.0) == []
    (end,) = sent(ledger_with_run.handle(RunEnd("r", 1, Code.OK, Ran.RAN), 0.0))
    assert (end.code, end.ran, end.chunks) == (Code.CANCELLED, Ran.RAN, 0)


def test_newest_entry_gets_the_stream(ledger_with_run):
    """Guards against a former entry that acknowledges or cancels a stream resumed elsewhere."""
    ledger_with_run.handle(RunChunk("r", 1, b"1"), 0.0)
    assert [
        m.number for m in sent(ledger_with_run.handle(FromEntry("b", Resume("r", 1, "w", 0)), 0.0))
    ]
    assert ledger_with_run.handle(FromEntry("a", Ack("r", 1, 1, 9)), 0.0) == []
    ledger_with_run.handle(FromEntry("a", make_cancel()), 0.0)
    assert ledger_with_run.handle(RunChunk("r", 1, b"2"), 0.0) == [
        Send("b", Chunk("r", 1, 2, b"2"))
    ]
    assert len(sent(ledger_with_run.handle(FromEntry("a", Resume("r", 1, "w", 0)), 0.0))) == 2


def test_resume_by_request_id_finds_the_attempt(ledger_with_run):
    """Guards against an entry that cannot resume a stream without the attempt number."""
    ledger_with_run.handle(RunChunk("r", 1, b"1"), 0.0)
    (chunk,) = sent(ledger_with_run.handle(FromEntry("b", Resume("r", 0, "w", 0)), 0.0))
    assert chunk == Chunk("r", 1, 1, b"1")
    assembler = StreamAssembler("r", 0, 0.0)
    assert assembler.handle(chunk, 0.0) == [Deliver(chunk)]
    assert assembler.attempt == 1


def test_resume_by_request_id_does_not_deliver_a_continuation(ledger):
    """Guards against a continuation that is delivered as the complete answer."""
    start = make_start(attempt=2)
    start.resume_after = 5
    ledger.handle(FromEntry("a", start), 0.0)
    ledger.handle(RunStarting("r", 2), 0.0)
    (end,) = sent(ledger.handle(FromEntry("b", Resume("r", 0, "w", 0)), 0.0))
    assert (end.code, end.attempt) == (Code.BUFFER_EXPIRED, 2)
    ledger.handle(RunEnd("r", 2, Code.OK, Ran.RAN), 0.0)
    ledger.handle(FromEntry("a", Ack("r", 2, 1, 4)), 0.0)
    (end,) = sent(ledger.handle(FromEntry("b", Resume("r", 0, "w", 0)), 0.0))
    assert (end.code, end.chunks) == (Code.BUFFER_EXPIRED, 1)


def test_stored_answer_is_delivered_without_a_run(ledger):
    """Guards against a run, or a lost answer, for a duplicate of a claimed request."""
    ledger.handle(FromEntry("a", make_start()), 0.0)
    assert sent(ledger.handle(RunChunk("r", 1, b"paid", 200), 0.0))[0].data == b"paid"
    (end,) = sent(ledger.handle(RunEnd("r", 1, Code.OK, Ran.RAN), 0.0))
    assert (end.chunks, end.ran) == (1, Ran.RAN)
    assert ledger.handle(RunStarting("r", 1), 0.0) == [CancelRun("r", 1)]


def test_resume_checks_the_workspace(ledger_with_run):
    """Guards against an answer that is delivered to another workspace by request id."""
    ledger_with_run.handle(RunChunk("r", 1, b"secret"), 0.0)
    (end,) = sent(ledger_with_run.handle(FromEntry("b", Resume("r", 1, "other", 0)), 0.0))
    assert end.code == Code.WRONG_WORKSPACE
    assert ledger_with_run.handle(RunChunk("r", 1, b"more"), 0.0)[0].host == "a"
    ledger_with_run.handle(RunEnd("r", 1, Code.OK, Ran.RAN), 0.0)
    ledger_with_run.handle(FromEntry("a", Ack("r", 1, 3, 4)), 0.0)
    (end,) = sent(ledger_with_run.handle(FromEntry("b", Resume("r", 1, "other", 2)), 0.0))
    assert end.code == Code.WRONG_WORKSPACE


def test_buffer_is_discarded_at_its_deadline(ledger_with_run):
    """Guards against buffers that never expire and against a stream resumed with a gap."""
    ledger_with_run.handle(RunChunk("r", 1, b"1"), 0.0)
    ledger_with_run.handle(EntryLost("a"), 10.0)
    ledger_with_run.handle(RunEnd("r", 1, Code.OK, Ran.RAN), 20.0)
    assert ledger_with_run.tick(79.0) == []
    assert len(sent(ledger_with_run.handle(FromEntry("b", Resume("r", 1, "w", 0)), 79.0))) == 2
    ledger_with_run.tick(79.0 + LIMITS.buffer_retention_s)
    assert ledger_with_run.is_drained
    (end,) = sent(ledger_with_run.handle(FromEntry("b", Resume("r", 1, "w", 0)), 140.0))
    assert (end.code, end.ran) == (Code.BUFFER_EXPIRED, Ran.RAN)


def test_run_that_is_not_repeatable_continues_after_expiry(ledger_with_run):
    """Guards against a run, such as a payment, that is stopped midway when its entry crashes."""
    for _ in range(4):
        ledger_with_run.handle(RunChunk("r", 1, b"x"), 0.0)
    assert ledger_with_run.tick(60.0) == [ResumeRun("r", 1)]


def test_queued_request_expires_without_its_entry(ledger):
    """Guards against a run for an entry that has been unreachable for the retention period."""
    ledger.handle(FromEntry("a", make_start()), 0.0)
    assert ledger.tick(60.0) == [CancelRun("r", 1)]


def test_leaving_refuses_new_and_queued_requests_and_finishes_runs(ledger_with_run):
    """Guards against new runs at a leaving endpoint and against an interrupted stream."""
    ledger_with_run.handle(FromEntry("a", make_start("q", sequence=2)), 0.0)
    actions = ledger_with_run.handle(LeaveStarted(), 0.0)
    assert actions[0] == CancelRun("q", 1)
    assert sent(actions)[0].code == Code.ENDPOINT_LEAVING
    (refused,) = sent(ledger_with_run.handle(FromEntry("a", make_start("n", sequence=3)), 0.0))
    assert refused.code == Code.ENDPOINT_LEAVING
    assert ledger_with_run.handle(RunChunk("r", 1, b"x"), 0.0) != []


@pytest.mark.parametrize("first", [make_start(), make_cancel()])
def test_expired_id_never_runs_and_is_never_reported_as_not_run(ledger, first):
    """Guards against a duplicate of an old start that runs after its attempt was removed."""
    ledger.handle(FromEntry("a", first), 0.0)
    ledger.handle(RunStarting("r", 1), 0.0)
    ledger.handle(RunEnd("r", 1, Code.OK, Ran.RAN), 0.0)
    ledger.handle(FromEntry("a", Ack("r", 1, 1, 4)), 0.0)
    ledger.tick(100.0)
    assert ledger.finished.attempts == {}
    (end,) = sent(ledger.handle(FromEntry("a", make_start(repeatable=True)), 101.0))
    assert (end.code, end.ran) == (Code.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    (cancelled,) = sent(ledger.handle(FromEntry("a", make_cancel()), 101.0))
    assert cancelled == Cancelled("r", 1, True, Ran.UNKNOWN)
    newer = make_start("n", sequence=2)
    assert isinstance(ledger.handle(FromEntry("a", newer), 101.0)[0], Accept)


def test_restarted_agent_reports_unknown_for_an_earlier_incarnation(ledger):
    """Guards against "not run" for a request that ran before the agent restarted."""
    (end,) = sent(ledger.handle(FromEntry("a", make_start(incarnation=6)), 0.0))
    assert (end.code, end.ran) == (Code.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    (cancelled,) = sent(ledger.handle(FromEntry("a", make_cancel(incarnation=6)), 0.0))
    assert cancelled.ran == Ran.UNKNOWN
    (end,) = sent(ledger.handle(FromEntry("a", Resume("r", 1, "w", 0)), 0.0))
    assert (end.code, end.ran) == (Code.UNKNOWN_REQUEST, Ran.UNKNOWN)


def test_memory_of_finished_ids_is_bounded():
    """Guards against memory use that grows with the number of requests."""
    ledger = RequestLedger(7, DeliveryLimits(max_finished=10))
    for sequence in range(1, 101):
        cancel = make_cancel(str(sequence), sequence=sequence)
        ledger.handle(FromEntry("a", cancel), 0.0)
        ledger.tick(0.0)
    assert len(ledger.finished.attempts) == 10
    assert ledger.finished.floors == {"a": (1, 90)}
