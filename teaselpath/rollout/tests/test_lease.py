"""Lease on orders: one holder, fencing tokens that rise, turns apart, lost and late appends."""

from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from teaselpath.rollout import LeaseState, OrderLease

TURN_S = 3.0
HOSTS = ("a", "b", "c")


class Topic:
    """Lease topic of the store, with conditional appends."""

    def __init__(self):
        self.records = []
        self.late = []

    def append(self, end, record):
        if end != len(self.records):
            return None
        self.records.append(record)
        return len(self.records)


class LeaseMachine(RuleBasedStateMachine):
    """Candidates that are paused, cut off and lose answers at any moment."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.topic = Topic()
        self.leases = {host: OrderLease(host, TURN_S) for host in HOSTS}
        self.orders = []
        self.appends = 0

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.0, 2.5, 6.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(host=st.sampled_from(HOSTS), fate=st.sampled_from(["ok", "ok", "lost", "late", "cut"]))
    def step(self, host, fate):
        lease = self.leases[host]
        match lease.plan(self.now, has_work=True, rank=0):
            case LeaseState.READ if fate != "cut":
                records = self.topic.records
                lease.handle_read(len(records), records[-1] if records else None, self.now)
            case LeaseState.APPEND:
                self._append(lease, fate)
            case _:
                pass

    def _append(self, lease, fate):
        self.appends += 1
        end, record = lease.end, lease.next_record(f"n{self.appends}")
        if fate == "cut":
            lease.handle_append_unconfirmed()
            return
        if fate == "late":
            self.topic.late.append((end, record))
            lease.handle_append_unconfirmed()
            return
        new_end = self.topic.append(end, record)
        if new_end is None or fate == "lost":
            lease.handle_append_unconfirmed()
        else:
            lease.handle_appended(record, new_end, self.now)

    @rule()
    def land_late_append(self):
        if self.topic.late:
            self.topic.append(*self.topic.late.pop(0))

    @rule(teller=st.sampled_from(HOSTS), hearer=st.sampled_from(HOSTS))
    def gossip(self, teller, hearer):
        lease = self.leases[teller]
        if teller != hearer and lease.end is not None and self.leases[hearer].end is not None:
            self.leases[hearer].observe(lease.end, lease.last, self.now)

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        self.leases[host] = OrderLease(host, TURN_S)

    @rule(host=st.sampled_from(HOSTS))
    def order(self, host):
        lease = self.leases[host]
        if lease.is_held(self.now):
            self.orders.append((self.now, host, lease.fence))

    @invariant()
    def orders_of_two_holders_are_apart_and_their_tokens_rise(self):
        for (t1, h1, f1), (t2, h2, f2) in pairwise(self.orders):
            assert f1 <= f2
            if h1 != h2:
                assert t2 - t1 >= TURN_S
                assert f1 < f2


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(max_examples=200, stateful_step_count=60, derandomize=True)


def test_candidate_takes_an_idle_lease_after_the_turn_time():
    lease = OrderLease("b", TURN_S)
    other = OrderLease("a", TURN_S)
    other.handle_read(0, None, 0.0)
    other.handle_appended(other.next_record("n"), 1, 0.0)
    lease.handle_read(1, other.last, 0.5)
    assert lease.plan(1.0, has_work=True, rank=0) is LeaseState.WAIT
    assert lease.plan(6.0, has_work=True, rank=0) is LeaseState.APPEND


def test_better_placed_candidates_go_first():
    lease = OrderLease("b", TURN_S)
    lease.handle_read(0, None, 0.0)
    assert lease.plan(1.0, has_work=True, rank=2) is LeaseState.WAIT
    assert lease.plan(2.0, has_work=True, rank=2) is LeaseState.APPEND


def test_nothing_is_written_without_work():
    lease = OrderLease("a", TURN_S)
    assert lease.plan(1.0, has_work=False, rank=0) is LeaseState.WAIT
