"""Retry times, share tables, handover and remote reservations."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpath.quota import Bucket, Denied, FromPeer, Granted, ShareTable
from teaselpath.quota._table import ShareRecord, encode_settled, encode_table
from teaselpath.quota.tests.cluster import Cluster
from teaselpath.results import Code
from teaselpath.wire import QuotaReserve

HOSTS = {"a1": "a", "a2": "a", "b1": "b"}


@pytest.fixture
def cluster():
    running = Cluster(HOSTS, {"w": (100.0, 1000.0)})
    running.run(12, 2.0)
    yield running
    running.close()


@given(
    st.lists(st.tuples(st.sampled_from(sorted(HOSTS)), st.integers(1, 600)), max_size=6),
    st.sampled_from(sorted(HOSTS)),
    st.integers(1, 1000),
)
@settings(max_examples=60)
def test_retry_after_is_true(before, host, tokens):
    """Guards against a caller that comes back at the stated time and is refused again."""
    cluster = Cluster(HOSTS, {"w": (100.0, 1000.0)})
    try:
        cluster.run(12, 2.0)
        for other, amount in before:
            cluster.reserve(other, "w", float(amount))
            cluster.run(8)
        first = cluster.reserve(host, "w", float(tokens))
        cluster.run(8)
        answer = cluster.answers[first]
        if isinstance(answer, Denied):
            assert answer.retry_after_s > 0.0
            # The answer came no later than 0.8 s ago; nothing else arrives until the retry.
            cluster.run(20, answer.retry_after_s / 20.0)
            second = cluster.reserve(host, "w", float(tokens))
            cluster.run(8)
            assert cluster.answers[second] == Granted(second)
    finally:
        cluster.close()


def test_request_above_burst_is_refused_without_retry_time(cluster):
    """Guards against a retry time for a request that can never be granted."""
    name = cluster.reserve("a1", "w", 1001.0)
    assert cluster.answers[name] == Denied(name, Code.LARGER_THAN_BURST, 0.0)


def test_whole_burst_is_granted_at_one_shareholder(cluster):
    """Guards against refusing a request within the burst, but above the share of the host."""
    name = cluster.reserve("b1", "w", 990.0)
    cluster.run(8)
    assert cluster.answers[name] == Granted(name)


def test_planned_shutdown_transfers_the_balance(cluster):
    """Guards against losing a third of the tokens at each planned shutdown."""
    cluster.leave("a1")
    cluster.run(15)
    buckets = [cluster.cores[host].state.shares["w"].bucket for host in ("a2", "b1")]
    for host, bucket in zip(("a2", "b1"), buckets, strict=True):
        bucket.accrue(cluster.now + cluster.offsets[host])
    assert sum(bucket.level for bucket in buckets) >= 990.0
    assert cluster.cores["a1"].state.shares["w"].spendable_fraction == 0.0


@pytest.mark.parametrize(("leaves", "rounds"), [(True, 3), (False, 16)])
def test_share_of_a_failed_host_is_released(cluster, leaves, rounds):
    """Guards against losing a share forever, and against release while its owner may run."""
    if leaves:
        cluster.leave("a1")
        cluster.run(2)
    cluster.kill("a1")
    cluster.delisted.add("a1")
    for host in ("a2", "b1"):
        cluster.list_hosts(host)
    cluster.run(10, 50.0 if not leaves else 0.05)
    assert cluster.cores["a2"].state.table.slots.keys() == {"a1", "a2", "b1"}
    cluster.run(rounds, 50.0)
    # A proposal requires answers that are at most a few seconds old.
    cluster.run(30, 0.5)
    fractions = [cluster.cores[host].state.shares["w"].spendable_fraction for host in ("a2", "b1")]
    assert sum(fractions) == pytest.approx(1.0)
    cluster.check_shares()


def test_expired_lease_refuses_until_confirmed(cluster):
    """Guards against a paused host spending a share that was reassigned to others."""
    cluster.paused.add("a1")
    cluster.run(15, 50.0)
    cluster.paused.clear()
    cluster.queue.clear()
    name = cluster.reserve("a1", "w", 10.0, wait_s=0.1)
    cluster.advance(0.2)
    assert cluster.answers[name] == Denied(name, Code.QUOTA_UNCONFIRMED, 0.0)
    cluster.read_log("a1")
    again = cluster.reserve("a1", "w", 10.0)
    cluster.run(3)
    assert cluster.answers[again] == Granted(again)


def test_duplicate_remote_reservation_is_charged_once():
    """Guards against charging a resent reservation twice at the shareholder."""
    hosts = {f"e{i}": "ab"[i % 2] for i in range(8)}
    cluster = Cluster(hosts, {"w": (100.0, 1000.0)})
    try:
        cluster.run(12, 2.0)
        shareholders = cluster.cores["e0"].state.table.shareholders("w")
        other = next(host for host in hosts if host not in shareholders)
        name = cluster.reserve(other, "w", 100.0)
        cluster.run(3)
        assert cluster.answers[name] == Granted(name)
        shareholder = cluster.cores[other].remote.granted[name][1]
        before = cluster.cores[shareholder].state.shares["w"].bucket.level
        message = QuotaReserve(name, "w", other, 100, 500)
        cluster.call(shareholder, FromPeer(other, message))
        assert cluster.cores[shareholder].state.shares["w"].bucket.level == before
    finally:
        cluster.close()


def test_table_races_are_decided_by_log_order():
    """Guards against nodes with different tables after a race between proposers."""
    table = ShareTable()
    assert table.handle(0, encode_table(0, {"a": "r"}))
    assert not table.handle(1, encode_table(0, {"b": "r"}))
    assert table.handle(2, encode_table(1, {"a": "r", "b": "r"}))
    assert not table.handle(3, b"not a record")
    assert table.slots == {"a": "r", "b": "r"}


def test_settled_record_overrides_a_late_proposal_in_a_trimmed_log():
    """Guards against adopting a late proposal of the first table from a trimmed log."""
    old = ShareTable()
    old.handle(0, encode_table(0, {"a": "r"}))
    table = ShareTable()
    assert table.handle(7, encode_table(0, {"z": "r"}))
    assert table.handle(8, encode_settled(old))
    assert table.slots == {"a": "r"}
    assert table.settled


@given(st.sets(st.integers(0, 40), min_size=5), st.sets(st.integers(0, 40), min_size=5))
def test_cached_shareholders_equal_those_of_a_new_node(before, after):
    """Guards against nodes that disagree on the shareholders after a join or leave."""
    changed, fresh = ShareTable(), ShareTable()
    for table in (changed, fresh):
        slots = {f"e{i}": f"r{i % 3}" for i in before}
        table.handle(0, encode_table(0, slots))
        if table is changed:
            assert [changed.shareholders(f"w{i}") for i in range(30)]
        table.handle(1, encode_table(1, {f"e{i}": f"r{i % 3}" for i in after}))
    workspaces = [f"w{i}" for i in range(30)]
    assert [set(changed.shareholders(w)) for w in workspaces] == [
        set(fresh.shareholders(w)) for w in workspaces
    ]
    assert ShareRecord("table").base == 0


def test_clock_that_goes_back_creates_no_tokens():
    """Guards against accruing an interval twice after the clock went back."""
    bucket = Bucket(0.0)
    bucket.resize(100.0, 1.0, 0.0)
    for now in (10.0, 5.0, 10.0, 5.0, 10.0):
        bucket.accrue(now)
    assert bucket.level == 10.0
