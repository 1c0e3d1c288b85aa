"""Tests that at most one request runs for each idempotency key under faults."""

from collections import Counter
from random import Random

import pytest

from teaselpath.delivery import (
    AppendDone,
    AppendFailed,
    ClaimFinished,
    ClaimGranted,
    ClaimRefused,
    ClaimRequested,
    ClaimTable,
    ReadProgress,
    RecordRead,
    StoredAnswer,
)
from teaselpath.results import Code, Ran
from teaselpath.wire import Append

KEY = b"k" * 16


@pytest.fixture
def table():
    table = ClaimTable("pay", "h1", 1, window_s=100.0)
    assert table.handle(ReadProgress(0), 0.0) == []
    return table


def request_claim(table, request_id="r", now=0.0, attempt=1):
    return table.handle(ClaimRequested(KEY, request_id, attempt, now + 2.0), now)


def only(actions, kind):
    (action,) = [action for action in actions if isinstance(action, kind)]
    return action


def test_claims_share_an_append_and_the_first_record_wins(table):
    """Guards against one append per claim and against two grants for a key in one append."""
    first = only(request_claim(table, "r1"), Append)
    assert first.stream == "claims.pay"
    assert request_claim(table, "r2") == []
    assert request_claim(table, "r3") == []
    actions = table.handle(AppendDone(0), 0.0)
    assert only(actions, ClaimGranted).request_id == "r1"
    actions = table.handle(AppendDone(1), 0.0)
    assert [(a.request_id, a.code) for a in actions] == [
        ("r2", Code.DUPLICATE_CLAIM),
        ("r3", Code.DUPLICATE_CLAIM),
    ]


def test_append_behind_unread_records_waits_for_them(table):
    """Guards against a grant before an earlier claim of another agent was read."""
    data = only(request_claim(table), Append).data
    assert table.handle(AppendDone(1), 0.0) == []
    other = ClaimTable("pay", "h2", 1)
    other.handle(ReadProgress(0), 0.0)
    other_data = only(request_claim(other, "x"), Append).data
    assert table.handle(RecordRead(0, other_data), 0.0) == []
    refused = only(table.handle(RecordRead(1, data), 0.0), ClaimRefused)
    assert (refused.code, refused.ran) == (Code.DUPLICATE_CLAIM, Ran.UNKNOWN)


def test_lost_reply_is_resolved_by_reading(table):
    """Guards against a second record or a refusal for a claim that was appended."""
    data = only(request_claim(table), Append).data
    assert table.handle(AppendFailed(may_have_applied=True), 0.0) == []
    assert only(table.handle(RecordRead(0, data), 0.01), ClaimGranted).request_id == "r"
    assert table.tick(1.0) == []


def test_log_outage_refuses_as_not_run(table):
    """Guards against a run without a claim during an outage of the log."""
    request_claim(table)
    refused = only(table.handle(AppendFailed(may_have_applied=False), 0.0), ClaimRefused)
    assert (refused.code, refused.ran) == (Code.CLAIM_UNAVAILABLE, Ran.NOT_RUN)


def test_rate_limited_append_waits(table):
    """Guards against refused requests when the log rate-limits an append."""
    data = only(request_claim(table), Append).data
    assert table.handle(AppendFailed(False, retry_after_s=0.5), 0.0) == []
    assert table.tick(0.4) == []
    assert only(table.tick(0.5), Append).data == data


def test_claim_that_arrives_after_its_refusal_is_released(table):
    """Guards against a key that stays blocked by a request that was refused as not run."""
    data = only(request_claim(table), Append).data
    table.handle(AppendFailed(may_have_applied=True), 0.0)
    assert only(table.tick(2.0), ClaimRefused).ran == Ran.NOT_RUN
    release = only(table.handle(RecordRead(0, data), 2.1), Append)
    table.handle(AppendDone(1), 2.2)
    assert isinstance(release, Append)
    request_claim(table, "again", 3.0)
    assert only(table.handle(AppendDone(2), 3.0), ClaimGranted).request_id == "again"


def test_late_copy_of_a_claim_never_releases_a_key_that_ran(table):
    """Guards against a release by a duplicate record of a claim with an unknown outcome."""
    data = only(request_claim(table), Append).data
    table.handle(AppendDone(0), 0.0)
    table.handle(ClaimFinished(KEY, "r", 1, Ran.UNKNOWN), 1.0)
    assert table.handle(RecordRead(1, data), 1.0) == []
    assert only(request_claim(table, "again", 2.0), ClaimRefused).code == Code.DUPLICATE_CLAIM


def test_duplicate_gets_stored_answer_and_restarted_table_reports_ran(table):
    """Guards against an unknown outcome although the answer or the run is recorded."""
    records = [only(request_claim(table), Append).data]
    table.handle(AppendDone(0), 0.0)
    answer = StoredAnswer(200, [], b"paid")
    records.append(only(table.handle(ClaimFinished(KEY, "r", 1, "ran", answer), 1.0), Append).data)
    assert only(request_claim(table, "again", 1.0), ClaimRefused).answer == answer
    restarted = ClaimTable("pay", "h1", 2, window_s=100.0)
    assert only(request_claim(restarted, "again", 2.0), ClaimRefused).code == Code.CLAIM_UNAVAILABLE
    for offset, data in enumerate(records):
        restarted.handle(RecordRead(offset, data, 1.0), 2.0)
    restarted.handle(ReadProgress(2), 2.0)
    refused = only(request_claim(restarted, "again", 2.0), ClaimRefused)
    assert (refused.code, refused.ran) == (Code.DUPLICATE_CLAIM, Ran.RAN)
    assert only(request_claim(restarted, "late", 101.1), Append)


def test_next_attempt_of_the_same_request_acquires_the_key(table):
    """Guards against a rerouted request that is refused because of its earlier attempt."""
    request_claim(table, "r", attempt=1)
    table.handle(AppendDone(0), 0.0)
    request_claim(table, "r", attempt=2)
    assert only(table.handle(AppendDone(1), 0.0), ClaimGranted).attempt == 2
    assert only(request_claim(table, "r", attempt=1), ClaimRefused).code == Code.DUPLICATE_CLAIM


def test_earlier_attempt_ends_after_the_later_one_released_the_key(table):
    """Guards against an agent that fails because the holder of its key was removed."""
    records = [only(request_claim(table, "r", attempt=1), Append).data]
    table.handle(AppendDone(0), 0.0)
    other = ClaimTable("pay", "h2", 1, window_s=100.0)
    other.handle(RecordRead(0, records[0]), 0.0)
    other.handle(ReadProgress(1), 0.0)
    records.append(only(request_claim(other, "r", attempt=2), Append).data)
    other.handle(AppendDone(1), 0.0)
    records.append(only(other.handle(ClaimFinished(KEY, "r", 2, "not_run"), 0.0), Append).data)
    for offset in (1, 2):
        table.handle(RecordRead(offset, records[offset]), 0.0)
    assert table.handle(ClaimFinished(KEY, "r", 1, "not_run"), 0.0) == []


def test_key_of_a_run_longer_than_the_window_stays_held(table):
    """Guards against a second run while the first one is running beyond the window."""
    request_claim(table)
    table.handle(AppendDone(0), 0.0)
    table.tick(200.0)
    assert only(request_claim(table, "again", 200.0), ClaimRefused).code == Code.DUPLICATE_CLAIM


def test_trimmed_records_inside_the_window_refuse_claims():
    """Guards against a second run for a key whose claim was trimmed before it was read."""
    for age_s, is_ready in ((99.0, False), (100.0, True)):
        table = ClaimTable("pay", "h1", 1, window_s=100.0)
        table.handle(RecordRead(5, b"", age_s), 0.0)
        table.handle(ReadProgress(6), 0.0)
        assert table.is_ready(0.0) is is_ready
    assert table.handle(ReadProgress(9), 0.0) == []
    assert not table.is_ready(99.0)
    assert table.is_ready(100.0)


def test_answers_are_evicted_but_keys_are_not():
    """Guards against unbounded memory use by answers and against eviction of keys."""
    table = ClaimTable("pay", "h1", 1, max_claims=3, max_answer_bytes=10)
    table.handle(ReadProgress(0), 0.0)
    for number, key in enumerate((b"1", b"2", b"3")):
        table.handle(ClaimRequested(key, "r", 1, 9.0), 0.0)
        table.handle(AppendDone(2 * number), 0.0)
        table.handle(ClaimFinished(key, "r", 1, Ran.RAN, StoredAnswer(200, [], b"paid!")), 0.0)
        table.handle(AppendDone(2 * number + 1), 0.0)
    refused = [
        only(table.handle(ClaimRequested(key, "s", 1, 9.0), 0.0), ClaimRefused)
        for key in (b"1", b"3", b"4")
    ]
    codes = [Code.DUPLICATE_CLAIM, Code.DUPLICATE_CLAIM, Code.CLAIM_UNAVAILABLE]
    assert [r.code for r in refused] == codes
    assert [r.answer for r in refused] == [None, StoredAnswer(200, [], b"paid!"), None]


class ClaimWorld:
    """Two agents that share a log with lost replies, delayed appends and outages."""

    def __init__(self, seed, table_class):
        self.random = Random(seed)
        self.table_class = table_class
        self.now = 0.0
        self.log = []
        self.delayed = []
        self.incarnation = 0
        self.tables = {}
        self.runs: Counter[bytes] = Counter()
        for host in ("a", "b"):
            self.restart(host)

    def restart(self, host):
        self.incarnation += 1
        self.tables[host] = self.table_class(
            "pay", host, self.incarnation, window_s=1e6, retry_s=0.0
        )
        self.read(host, len(self.log))
        self.apply_actions(host, self.tables[host].handle(ReadProgress(len(self.log)), self.now))

    def read(self, host, limit):
        table = self.tables[host]
        for offset in range(table.next_offset, min(limit, len(self.log))):
            self.apply_actions(host, table.handle(RecordRead(offset, self.log[offset]), self.now))

    def apply_actions(self, host, actions):
        for action in actions:
            if isinstance(action, ClaimGranted):
                self.runs[action.key] += 1
                ran = self.random.choice([Ran.RAN, Ran.UNKNOWN])
                done = ClaimFinished(action.key, action.request_id, 1, ran)
                self.apply_actions(host, self.tables[host].handle(done, self.now))
            elif isinstance(action, Append):
                self.append(host, action.data)

    def append(self, host, data):
        outcome = self.random.choice(["applied", "applied", "lost reply", "delayed", "outage"])
        if outcome in ("applied", "lost reply"):
            self.log.append(data)
        if outcome == "delayed":
            self.delayed.append(data)
        done = AppendDone(len(self.log) - 1)
        event = done if outcome == "applied" else AppendFailed(outcome != "outage")
        self.apply_actions(host, self.tables[host].handle(event, self.now))

    def step(self, number):
        self.now += 0.1
        host = self.random.choice("ab")
        match self.random.randrange(8):
            case 0:
                self.restart(host)
            case 1 | 2:
                self.read(host, len(self.log))
            case 3:
                self.apply_actions(host, self.tables[host].tick(self.now))
            case 4 if self.delayed:
                self.log.append(self.delayed.pop())
            case _:
                key = bytes([self.random.randrange(6)])
                request = ClaimRequested(key, str(number), 1, self.now + 1.0)
                self.apply_actions(host, self.tables[host].handle(request, self.now))


def max_runs_per_key(seed, table_class=ClaimTable):
    world = ClaimWorld(seed, table_class)
    for number in range(150):
        world.step(number)
    return max(world.runs.values(), default=0)


def test_no_key_runs_twice_under_restarts_outages_and_lost_replies():
    """Guards against a second run for a key under any mix of faults; some keys must run."""
    assert {max_runs_per_key(seed) for seed in range(150)} <= {0, 1}
    assert any(max_runs_per_key(seed) for seed in range(5))


class EarlyGrantTable(ClaimTable):
    """Faulty: grants a claim when its append succeeds, before earlier records are read."""

    def _handle_append_done(self, offset, now, actions):
        self.next_offset = offset
        super()._handle_append_done(offset, now, actions)


def test_simulation_detects_double_runs():
    """Guards against a simulation that detects no fault."""
    assert any(max_runs_per_key(seed, EarlyGrantTable) > 1 for seed in range(150))
