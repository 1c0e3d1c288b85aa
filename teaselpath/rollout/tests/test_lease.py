"""Order lease: one holder at a time, increasing fencing tokens, handover time between holders.

The state machine pauses, partitions and restarts candidates, loses or delays their appends, and
restores the store from copies of any age.
"""

from itertools import pairwise

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from teaselpath.fleet import Position
from teaselpath.rollout import LeaseRecord, LeaseState, OrderLease, fence_of

HANDOVER_S = 3.0
STEP_S = 0.5
HOSTS = ("a", "b", "c")


class Topic:
    """Lease topic of a store that can be restored from a copy of any age.

    :ivar copies: all that the topic has ever held.
    :ivar late: appends that the store has received and not carried out: offset and record.
    """

    def __init__(self):
        self.era = 1
        self.records: tuple[LeaseRecord, ...] = ()
        self.copies: list[tuple[LeaseRecord, ...]] = [()]
        self.late = []

    def end(self):
        return Position(self.era, len(self.records))

    def last(self):
        """Return the newest record of this era, which has a key of its own."""
        own = [record for record in self.records if record.era == self.era]
        return own[-1] if own else None

    def append(self, offset, record):
        if offset != len(self.records):
            return False
        self.records += (record,)
        self.copies.append(self.records)
        return True

    def restore(self, copy):
        self.era += 1
        self.records = copy


class LeaseMachine(RuleBasedStateMachine):
    """Candidates that are paused, partitioned and restarted, at a store that loses what it had."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.topic = Topic()
        self.leases = {host: OrderLease(host, HANDOVER_S) for host in HOSTS}
        self.orders = []
        self.appends = 0
        self.orders_at_restoration = 0
        # Slow answers: handler by host.
        self.answers = {}

    @initialize()
    def begin_two_tenures(self):
        for host in ("a", "b"):
            self.act(host, 0, "ok")
            self.act(host, 11, "ok")

    def wait(self, steps):
        for _ in range(steps):
            self.now += STEP_S
            self.send_orders()

    def send_orders(self):
        """Let each holder send an order."""
        for host, lease in self.leases.items():
            if lease.is_held(self.now):
                self.orders.append((self.now, host, lease.fence))

    @rule(
        host=st.sampled_from(HOSTS),
        steps=st.sampled_from([0, 1, 4, 11]),
        fate=st.sampled_from(["ok", "ok", "slow", "lost", "late", "partitioned"]),
    )
    def act(self, host, steps, fate):
        """Read and append as planned, some time later."""
        self.wait(steps)
        if self.leases[host].plan(self.now, has_work=True, rank=0) is LeaseState.READ:
            self.call_store(host, "ok")
        self.call_store(host, fate)
        self.send_orders()

    @rule(host=st.sampled_from(HOSTS), fate=st.sampled_from(["ok", "slow", "lost", "late"]))
    def take_before_there_is_work(self, host, fate):
        """Read and append as planned for an era without a record."""
        for _ in range(2):
            self.call_store(host, fate, has_work=False, is_candidate=True)
        self.send_orders()

    def call_store(self, host, fate, **reason):
        if host in self.answers:
            return
        lease = self.leases[host]
        match lease.plan(self.now, rank=0, **(reason or {"has_work": True})):
            case LeaseState.READ if fate != "partitioned":
                end, last = self.topic.end(), self.topic.last()
                self._answer(host, fate, lambda: lease.handle_read(end, last, self.now))
            case LeaseState.APPEND:
                self._append(host, fate)
            case _:
                pass

    def _append(self, host, fate):
        self.appends += 1
        lease, sent_at = self.leases[host], self.now
        end, record = lease.end, lease.next_record(f"n{self.appends}")
        assert end is not None
        if fate == "late":
            self.topic.late.append((end.offset, record))
        is_appended = fate not in ("late", "partitioned") and self.topic.append(end.offset, record)
        if not is_appended or fate == "lost" or self.topic.era != end.era:
            self._answer(host, fate, lease.handle_append_unconfirmed)
            return
        new_end = self.topic.end()
        self._answer(host, fate, lambda: lease.handle_appended(record, new_end, sent_at))

    def _answer(self, host, fate, handle):
        if fate == "slow":
            self.answers[host] = handle
        else:
            handle()

    @rule(host=st.sampled_from(HOSTS))
    def receive_slow_answer(self, host):
        self.answers.pop(host, lambda: None)()
        self.send_orders()

    @rule()
    def apply_late_append(self):
        if self.topic.late:
            self.topic.append(*self.topic.late.pop(0))

    @precondition(lambda self: len(self.orders) > self.orders_at_restoration)
    @rule(age=st.sampled_from([0, 1, 2, 6]), first=st.sampled_from(HOSTS))
    def restore_store(self, age, first):
        self.orders_at_restoration = len(self.orders)
        self.topic.restore(self.topic.copies[max(0, len(self.topic.copies) - 1 - age)])
        self.see_era(first)
        self.act(first, 0, "ok")

    @rule(host=st.sampled_from(HOSTS))
    def see_era(self, host):
        self.leases[host].handle_era(self.topic.era, self.now)

    @rule(pair=st.permutations(HOSTS))
    def gossip(self, pair):
        sender, receiver = self.leases[pair[0]], self.leases[pair[1]]
        if sender.end is not None:
            receiver.observe(sender.end, sender.last, self.now)

    @precondition(lambda self: self.orders)
    @rule()
    def restart_last_holder(self):
        host = self.orders[-1][1]
        self.answers.pop(host, None)
        self.leases[host] = OrderLease(host, HANDOVER_S)

    @invariant()
    def orders_of_two_holders_are_separated_and_fencing_tokens_increase(self):
        for (t1, h1, f1), (t2, h2, f2) in pairwise(self.orders):
            assert f1 <= f2
            if h1 != h2:
                assert t2 - t1 >= HANDOVER_S
                assert f1 < f2


TestLease = LeaseMachine.TestCase
TestLease.settings = settings(max_examples=500, stateful_step_count=60, derandomize=True)


def make_lease(host: str, offset: int = 0, now: float = 0.0) -> OrderLease:
    """Return a lease that has seen an empty topic of the first era at ``now``."""
    lease = OrderLease(host, HANDOVER_S)
    lease.handle_read(Position(1, offset), None, now)
    return lease


def make_holder(host: str, now: float, *, era: int = 1, offset: int = 0) -> OrderLease:
    """Return a lease that has begun a tenure at ``now``."""
    lease = make_lease(host, offset)
    lease.handle_era(era, 0.0)
    lease.handle_read(Position(era, offset), None, 0.0)
    lease.handle_appended(lease.next_record("n"), Position(era, offset + 1), now)
    return lease


def test_candidate_acquires_a_lease_that_was_not_renewed_after_lease_and_handover_time():
    lease = OrderLease("b", HANDOVER_S)
    other = make_holder("a", 0.0)
    lease.handle_read(Position(1, 1), other.last, 0.5)
    assert lease.plan(1.0, has_work=True, rank=0) is LeaseState.WAIT
    assert lease.plan(6.0, has_work=True, rank=0) is LeaseState.APPEND


def test_candidates_with_lower_precedence_append_later():
    lease = make_lease("b")
    assert lease.plan(10.0, has_work=True, rank=2) is LeaseState.WAIT
    assert lease.plan(11.0, has_work=True, rank=2) is LeaseState.APPEND


def test_nothing_is_written_without_work():
    lease = OrderLease("a", HANDOVER_S)
    assert lease.plan(1.0, has_work=False, rank=0) is LeaseState.WAIT


def test_lease_without_a_record_is_taken_before_there_is_work():
    """Guards against gateways that wait anew for the first lease at each start."""
    lease = OrderLease("a", HANDOVER_S)
    lease.handle_era(0, 0.0)
    assert lease.plan(0.1, has_work=False, rank=0, is_candidate=True) is LeaseState.READ
    lease.handle_read(Position(0, 0), None, 0.1)
    assert lease.plan(5.2, has_work=False, rank=0, is_candidate=True) is LeaseState.WAIT
    assert lease.plan(5.4, has_work=False, rank=1, is_candidate=True) is LeaseState.WAIT
    assert lease.plan(5.4, has_work=False, rank=0, is_candidate=True) is LeaseState.APPEND
    record = lease.next_record("n")
    lease.handle_appended(record, Position(0, 1), 5.4)
    assert lease.plan(9.0, has_work=False, rank=0, is_candidate=True) is LeaseState.WAIT

    restarted = OrderLease("a", HANDOVER_S)
    restarted.handle_read(Position(0, 1), record, 9.0)
    assert restarted.plan(9.1, has_work=True, rank=3) is LeaseState.APPEND


def test_fence_rises_over_eras_though_offsets_fall():
    assert fence_of(Position(1, 500)) < fence_of(Position(2, 1)) < fence_of(Position(2, 2))
    assert fence_of(Position(2**20 - 1, 2**33 - 1)) < 2**53


def test_empty_topic_of_a_new_era_does_not_free_the_lease_at_once():
    lease = make_lease("b")
    lease.handle_read(Position(2, 0), None, 100.0)
    assert lease.plan(105.2, has_work=True, rank=0) is LeaseState.WAIT
    assert lease.plan(105.4, has_work=True, rank=0) is LeaseState.APPEND


def test_restored_own_record_does_not_entitle_to_the_lease():
    """The records that were lost may be those of another holder."""
    own = make_holder("a", 0.0).last
    lease = OrderLease("a", HANDOVER_S)
    lease.handle_read(Position(2, 1), own, 100.0)
    assert lease.plan(105.2, has_work=True, rank=0) is LeaseState.WAIT
    assert lease.plan(105.4, has_work=True, rank=0) is LeaseState.APPEND


def test_own_record_of_this_era_entitles_a_restarted_holder_at_once():
    own = make_holder("a", 0.0, era=2).last
    lease = OrderLease("a", HANDOVER_S)
    lease.handle_read(Position(2, 1), own, 100.0)
    assert lease.plan(100.1, has_work=True, rank=0) is LeaseState.APPEND


def test_holder_begins_a_new_tenure_in_a_new_era_at_once():
    """Its record is lost, and a later holder must not get its fencing token."""
    lease = make_holder("a", 0.0, offset=40)
    fence = lease.fence
    lease.handle_era(2, 0.5)
    assert lease.is_held(0.5)
    assert lease.plan(0.5, has_work=True, rank=0) is LeaseState.READ
    lease.handle_read(Position(2, 7), LeaseRecord("b", "n", 0, 1), 0.6)
    assert lease.is_held(0.6)
    assert lease.plan(0.6, has_work=True, rank=1) is LeaseState.APPEND
    record = lease.next_record("n2")
    assert record == LeaseRecord("a", "n2", 0, 2)
    lease.handle_appended(record, Position(2, 8), 0.7)
    assert lease.fence > fence


def test_tenure_ends_once_another_has_begun_in_the_new_era():
    lease = make_holder("a", 0.0)
    lease.observe(Position(2, 1), LeaseRecord("b", "n", 0, 2), 1.0)
    assert not lease.is_held(1.0)


def test_peer_in_an_older_era_is_ignored():
    lease = make_lease("b")
    newest = LeaseRecord("a", "n", 0, 2)
    lease.handle_read(Position(2, 3), newest, 10.0)
    lease.observe(Position(1, 900), LeaseRecord("c", "n", 0, 1), 11.0)
    assert (lease.end, lease.last) == (Position(2, 3), newest)


def test_late_append_of_the_old_era_does_not_delay_a_successor():
    """No gateway held the lease by it, and no order was given for twice the time of a handover."""
    lease = make_lease("c")
    lease.handle_era(2, 10.0)
    lease.handle_read(Position(2, 6), None, 10.1)
    lease.handle_read(Position(2, 7), None, 20.0)
    assert lease.plan(20.1, has_work=True, rank=0) is LeaseState.APPEND


def test_late_append_of_the_old_era_does_not_prolong_a_tenure():
    lease = make_lease("c")
    record = LeaseRecord("a", "n", 0, 2)
    lease.handle_read(Position(2, 6), record, 10.0)
    lease.handle_read(Position(2, 7), record, 14.0)
    assert lease.plan(15.2, has_work=True, rank=0) is LeaseState.WAIT
    assert lease.plan(15.4, has_work=True, rank=0) is LeaseState.APPEND


def test_success_of_an_append_of_the_old_era_begins_no_tenure_in_the_new_one():
    lease = make_lease("a")
    record = lease.next_record("n")
    lease.handle_era(2, 10.0)
    lease.handle_appended(record, Position(1, 1), 9.9)
    assert not lease.is_held(10.0)
