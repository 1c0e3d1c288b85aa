"""Stateful property-based test of several quota cores under faults."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from teaselpath.quota import Bucket, ShareTable, _escrow, _ownership, _state
from teaselpath.quota.tests.cluster import Cluster

HOSTS = {"a1": "a", "a2": "a", "b1": "b"}
HOST = st.sampled_from(sorted(HOSTS))
INDEX = st.integers(0, 10_000)
QUOTAS = {"w": (100.0, 1000.0), "v": (10.0, 200.0)}


class QuotaMachine(RuleBasedStateMachine):
    """Crash, restart, pause, partition, log outage, table race, bundle change in any order."""

    cluster: Cluster

    @initialize(run=st.booleans())
    def start(self, run):
        self.cluster = Cluster(HOSTS, QUOTAS)
        if run:
            self.cluster.run(12, 1.0)

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.close()
            self.cluster.check_charges()

    @rule(host=HOST, workspace=st.sampled_from("wv"), fraction=st.floats(0.01, 1.0))
    def reserve(self, host, workspace, fraction):
        burst = self.cluster.quotas.get(workspace, (0.0, 100.0))[1]
        if host in self.cluster.running():
            self.cluster.reserve(host, workspace, float(int(fraction * burst) + 1))

    @precondition(lambda self: self.cluster.unsettled)
    @rule(index=INDEX, fraction=st.floats(0.0, 1.0))
    def settle(self, index, fraction):
        reservation_id = sorted(self.cluster.unsettled)[index % len(self.cluster.unsettled)]
        if self.cluster.unsettled[reservation_id] in self.cluster.running():
            self.cluster.settle(reservation_id, int(fraction * 10))

    @precondition(lambda self: self.cluster.queue)
    @rule(index=INDEX, duplicate=st.booleans())
    def deliver(self, index, duplicate):
        self.cluster.deliver(index % len(self.cluster.queue), duplicate)

    @precondition(lambda self: self.cluster.queue)
    @rule(index=INDEX)
    def lose_message(self, index):
        del self.cluster.queue[index % len(self.cluster.queue)]

    @rule(seconds=st.sampled_from([0.05, 0.5, 10.0, 70.0]), tick=st.booleans())
    def advance(self, seconds, tick):
        self.cluster.advance(seconds, tick)

    @rule(rounds=st.integers(1, 8), step=st.sampled_from([0.05, 0.5, 2.0]))
    def run_quietly(self, rounds, step):
        self.cluster.run(rounds, step)

    @rule()
    def run_long(self):
        """Let the lease expire, then give a proposer answers that are recent enough."""
        self.cluster.run(15, 50.0)
        self.cluster.run(14, 1.0)

    @rule(host=HOST, back_s=st.floats(0.0, 50.0))
    def clock_back(self, host, back_s):
        if host in self.cluster.running():
            self.cluster.call(host, None, back_s)

    @rule(host=HOST, restart=st.booleans(), read=st.booleans())
    def kill(self, host, restart, read):
        self.cluster.kill(host)
        if restart:
            self.cluster.delisted.discard(host)
            self.cluster.start(host)
            if read:
                self.cluster.read_log(host)

    @rule(borrower=HOST, lender=HOST, fraction=st.floats(0.4, 0.9))
    def restart_lender(self, borrower, lender, fraction):
        """Restart a host right after another one may have borrowed from it."""
        self.cluster.run(3, 3.0)
        self.reserve(borrower, "w", fraction)
        self.cluster.run(2, 0.05)
        self.kill(lender, True, True)

    @rule(host=HOST)
    def pause(self, host):
        if host in self.cluster.cores:
            self.cluster.paused.add(host)

    @rule(host=HOST)
    def resume(self, host):
        if host in self.cluster.cores:
            self.cluster.paused.discard(host)
            self.cluster.delisted.discard(host)

    @rule(host=HOST)
    def leave(self, host):
        if host in self.cluster.running():
            self.cluster.leave(host)

    @rule(host=HOST)
    def delist(self, host):
        if host not in self.cluster.running():
            self.cluster.delisted.add(host)

    @rule(host=HOST, planned=st.booleans(), back=st.booleans())
    def lose_host(self, host, planned, back):
        """Keep a host down for longer than its lease, so that it is removed from the table.

        If it is restarted, it is the first host to read the next table.
        """
        if planned:
            self.leave(host)
        self.cluster.kill(host)
        self.cluster.delisted.add(host)
        for other in sorted(HOSTS):
            self.list_hosts(other)
        self.run_long()
        if back:
            self.kill(host, True, True)
            for other in sorted(HOSTS):
                self.list_hosts(other)
            self.cluster.run_with_one_reader(host, 8, 1.0)

    @rule(host=HOST)
    def list_hosts(self, host):
        if host in self.cluster.running():
            self.cluster.list_hosts(host)

    @rule(one=HOST, two=HOST)
    def toggle_partition(self, one, two):
        self.cluster.partitions ^= {frozenset((one, two))}

    @rule(up=st.booleans())
    def log_outage(self, up):
        self.cluster.log_up = up

    @precondition(lambda self: self.cluster.appends)
    @rule(index=INDEX, duplicate=st.booleans())
    def append(self, index, duplicate):
        self.cluster.append(index % len(self.cluster.appends), duplicate)

    @rule(host=HOST)
    def read_log(self, host):
        if host in self.cluster.running():
            self.cluster.read_log(host)

    @rule(workspace=st.sampled_from("wv"), factor=st.sampled_from([0.0, 0.2, 1.0, 3.0]))
    def publish(self, workspace, factor):
        rate, burst = QUOTAS[workspace]
        self.cluster.quotas.pop(workspace, None)
        if factor:
            self.cluster.quotas[workspace] = (rate * factor, burst * factor)

    @rule(host=HOST)
    def apply_bundle(self, host):
        if host in self.cluster.running():
            self.cluster.apply_bundle(host)

    @invariant()
    def shares_are_conserved(self):
        if hasattr(self, "cluster"):
            self.cluster.check_shares()


def run_machine(examples, steps, phases=tuple(Phase)):
    run_state_machine_as_test(
        QuotaMachine,
        settings=settings(
            max_examples=examples, stateful_step_count=steps, deadline=None, phases=phases
        ),
    )


def test_no_overshoot_under_faults():
    """Guards against faults that create tokens, capacity or rate, in any sequence."""
    run_machine(150, 60)


def accept_every_transfer(self, number, oldest):
    return True


def keep_old_refunds(self):
    self.level = min(self.level, self.capacity)


def skip_predecessor_check(self, workspace):
    return True


install = ShareTable._install


def settle_without_confirmation(self, number, record, *, settled):
    return install(self, number, record, settled=True)


@pytest.mark.parametrize(
    ("owner", "name", "bug"),
    [
        (_state.PeerLink, "record_if_new", accept_every_transfer),
        (Bucket, "_enforce_capacity", keep_old_refunds),
        (_ownership.ShareOwnership, "_predecessor_loans_ended", skip_predecessor_check),
        (_escrow.Escrow, "discard_borrowed", lambda self, link: None),
        (ShareTable, "_install", settle_without_confirmation),
    ],
    ids=[
        "transfer-added-twice",
        "late-refund",
        "restart-owns-at-once",
        "loan-kept-for-ever",
        "table-in-force-at-once",
    ],
)
def test_machine_finds_seeded_bugs(monkeypatch, owner, name, bug):
    """Guards against a state machine that misses faults: each seeded bug must fail a check."""
    monkeypatch.setattr(owner, name, bug)
    with pytest.raises(AssertionError):
        run_machine(300, 60, phases=(Phase.generate,))
