"""Order lease: one holder at a time, increasing fencing tokens, handover time between holders.

The state machine pauses, partitions and restarts candidates and loses or delays their appends.
"""

from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from teaselpath.fleet import Position
from teaselpath.rollout import LeaseState, OrderLease

HANDOVER_S = 3.0
HOSTS = ("a", "b", "c")


class Topic:
    """Lease topic of the store, with conditional appends."""

    def __init__(self):
        self.records = []
        self.late = []

    def append(self, end, record):
        if end != self.end():
            return None
        self.records.append(record)
        return self.end()

    def end(self):
        return Position(1, len(self.records))


class LeaseMachine(RuleBasedStateMachine):
    """Candidates that are paused, partitioned and restarted, with lost and delayed appends."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.topic = Topic()
        self.leases = {host: OrderLease(host, HANDOVER_S) for host in HOSTS}
        self.orders = []
        self.appends = 0

    @rule(seconds=st.sampled_from([0.05, 0.5, 1.0, 2.5, 6.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        host=st.sampled_from(HOSTS),
        fate=st.sampled_from(["ok", "ok", "lost", "late", "partitioned"]),
    )
    def step(self, host, fate):
        lease = self.leases[host]
        match lease.plan(self.now, has_work=True, rank=0):
            case LeaseState.READ if fate != "partitioned":
                records = self.topic.records
                last = records[-1] if records else None
                lease.handle_read(self.topic.end(), last, self.now)
            case LeaseState.APPEND:
                self._append(lease, fate)
            case _:
                pass

    def _append(self, lease, fate):
        self.appends += 1
        end, record = lease.end, lease.next_record(f"n{self.appends}")
        if fate == "partitioned":
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
    def apply_late_append(self):
        if self.topic.late:
            self.topic.append(*self.topic.late.pop(0))

    @rule(sender=st.sampled_from(HOSTS), receiver=st.sampled_from(HOSTS))
    def gossip(self, sender, receiver):
        lease = self.leases[sender]
        if sender != receiver and lease.end is not None and self.leases[receiver].end is not None:
            self.leases[receiver].observe(lease.end, lease.last, self.now)

    @rule(host=st.sampled_from(HOSTS))
    def restart(self, host):
        self.leases[host] = OrderLease(host, HANDOVER_S)

    @rule(host=st.sampled_from(HOSTS))
    def order(self, host):
        lease = self.leases[host]
        if lease.is_held(self.now):
            self.orders.append((self.now, host, lease.fence))

    @invariant()
    def orders_of_two_holders_are_separated_and_fencing_tokens_increase(self):
        for (t1, h1, f1), (t2, h2, f2) in pairwise(self.orders):
            assert f1 <= f2
            if h1 != h2:
                assert t2 - t1 >= HANDOVER_S
                assert f1 < f2


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(max_examples=200, stateful_step_count=60, derandomize=True)


def test_candidate_acquires_a_lease_that_was_not_renewed_after_lease_and_handover_time():
    lease = OrderLease("b", HANDOVER_S)
    other = OrderLease("a", HANDOVER_S)
    other.handle_read(Position(1, 0), None, 0.0)
    other.handle_appended(other.next_record("n"), Position(1, 1), 0.0)
    lease.handle_read(Position(1, 1), other.last, 0.5)
    assert lease.plan(1.0, has_work=True, rank=0) is LeaseState.WAIT
    assert lease.plan(6.0, has_work=True, rank=0) is LeaseState.APPEND


def test_candidates_with_lower_precedence_append_later():
    lease = OrderLease("b", HANDOVER_S)
    lease.handle_read(Position(1, 0), None, 0.0)
    assert lease.plan(1.0, has_work=True, rank=2) is LeaseState.WAIT
    assert lease.plan(2.0, has_work=True, rank=2) is LeaseState.APPEND


def test_nothing_is_written_without_work():
    lease = OrderLease("a", HANDOVER_S)
    assert lease.plan(1.0, has_work=False, rank=0) is LeaseState.WAIT
