"""Distribution of the configuration under loss, reordering, partitions, outages and forgeries.

A reference state that reads the whole log determines the accepted bundle at each offset.
"""

from functools import partial
from random import Random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from hypothesis.stateful import run_state_machine_as_test as run_machine

from teaselpath.bundle import (
    BundleState,
    Rejected,
    RevocationSpec,
    mark_renewal,
    sign_record,
    sign_revocation,
)
from teaselpath.bundle import _state as state_module
from teaselpath.bundle.tests.conftest import OPERATORS, OTHER_KEY, PRIVATE_KEY, document
from teaselpath.cli.tests.cluster import MemoryLog, Node, make_nodes
from teaselpath.wire import ConfigPush, SignedRecord

NODES = 4
FORGERIES = ["other_key", "altered", "garbage", "old"]
PUSHES = ["old", "forged", "superseded", "rejected"]
hosts = st.sampled_from([f"n{i}" for i in range(NODES)])


def bundle_data(version, parent, change_id, key=PRIVATE_KEY):
    """Return a signed bundle record."""
    payload = msgspec.json.encode(document(version, parent, change_id=change_id))
    return sign_record("bundle", payload, key)


class Reference(BundleState):
    """Bundle state whose methods stay original when a test seeds a bug into BundleState."""

    _decide = BundleState._decide
    _install_other = BundleState._install_other
    _defer = BundleState._defer


class Rollout(RuleBasedStateMachine):
    """State machine with random steps of the operators, the network, the log and the nodes."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.log = MemoryLog()
        self.nodes = make_nodes(NODES, OPERATORS)
        self.reference = Reference(OPERATORS)
        self.reference_at = []
        self.reference_codes = {}
        self.in_flight = []
        self.isolated = set()
        self.changes = 0
        self.positions = {}
        self.incarnations = 1

    def append(self, data):
        """Append a record to the log and pass it to the reference."""
        offset = self.log.append(data)
        for event in self.reference.handle(SignedRecord(offset, data), 0.0):
            if isinstance(event, Rejected):
                self.reference_codes[offset] = event.failure.code
        self.reference_at.append((self.reference.version, self.reference.digest))

    def send(self, messages):
        """Put messages on the network; it drops those that cross the partition."""
        self.in_flight += [
            m for m in messages if (m[0] in self.isolated) == (m[1] in self.isolated)
        ]

    @initialize(is_started=st.booleans())
    def start(self, is_started):
        """Start with or without a bundle in force."""
        if is_started:
            self.publish(0, 1, PRIVATE_KEY)
            for host in self.nodes:
                self.read(host, 10)

    @rule(lag=st.integers(0, 2), step=st.integers(1, 3), key=st.sampled_from([PRIVATE_KEY] * 3))
    def publish(self, lag, step, key):
        """An operator publishes a version, possibly with an outdated parent as in a race."""
        if self.log.is_up:
            parent = max(0, self.reference.version - lag)
            self.changes += 1
            self.append(bundle_data(parent + step, parent, f"c{self.changes}", key))

    @rule(order=st.permutations([f"n{i}" for i in range(NODES)]), count=st.integers(1, NODES))
    def publish_and_read(self, order, count):
        """An operator publishes a version and several nodes read it at the same time."""
        self.publish(0, 1, PRIVATE_KEY)
        for host in order[:count]:
            self.read(host, 100)

    @rule(kind=st.sampled_from(FORGERIES), pick=st.integers(0, 99))
    def append_forged(self, kind, pick):
        """A forged, malformed or old record is appended to the log."""
        version = self.reference.version
        data = {
            "other_key": bundle_data(version + 1, version, "forged", OTHER_KEY),
            "altered": bundle_data(version + 1, version, "forged")[:-70] + b"x" * 70,
            "garbage": b"garbage",
            "old": self.log.records[pick % len(self.log.records)] if self.log.records else b"",
        }[kind]
        self.append(data)

    @rule()
    def renew(self):
        """The accepted bundle is appended again as a renewal."""
        if self.reference.record is not None and self.log.is_up:
            self.append(mark_renewal(self.reference.record.data))

    @rule(host=hosts, digest=st.sampled_from(["ab", "cd", "ef"]))
    def revoke(self, host, digest):
        """An operator revokes a key at one node, without the log."""
        spec = RevocationSpec(key_digest=digest * 32, version=10**6)
        node = self.nodes[host]
        actions = node.revoke(sign_revocation(spec, PRIVATE_KEY), self.now)
        self.send(node.extract_messages(actions + node.report_config(self.now)))

    @rule(host=hosts, limit=st.integers(1, 10))
    def read(self, host, limit):
        """A node reads the log."""
        self.send(self.nodes[host].read_log(self.log, limit, self.now))

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0, 40.0]))
    def advance_time(self, seconds):
        """Time passes at every node."""
        self.now += seconds
        for node in self.nodes.values():
            self.send(node.tick(self.now))

    @rule(pick=st.integers(0, 999), count=st.integers(1, 8), is_duplicated=st.booleans())
    def deliver(self, pick, count, is_duplicated):
        """Messages arrive in any order, possibly duplicated."""
        for _ in range(min(count, len(self.in_flight))):
            message = self.in_flight.pop(pick % len(self.in_flight))
            if is_duplicated:
                self.in_flight.append(message)
            self.send(self.nodes[message[1]].receive(message[2], self.now))

    @precondition(lambda self: self.in_flight)
    @rule(kept=st.integers(0, 3))
    def drop_messages(self, kept):
        """The network drops all but a few messages in flight."""
        del self.in_flight[kept:]

    @rule(host=hosts, kind=st.sampled_from(PUSHES), offset=st.integers(0, 99))
    def push_invalid(self, host, kind, offset):
        """A peer pushes a record that the node must not install."""
        state = self.nodes[host].state
        version = state.version
        if kind == "rejected":
            self.push_rejected(host, offset)
            return
        record = {
            "old": bundle_data(max(1, version), 0, "old"),
            "forged": bundle_data(version + 5, version, "forged", OTHER_KEY),
            "superseded": bundle_data(max(1, version), max(1, version) - 1, "superseded"),
        }[kind]
        if kind == "forged" or version > 0:
            push = ConfigPush("n0", [SignedRecord(offset, record, 1000)])
            self.send(self.nodes[host].receive(push, self.now))

    def push_rejected(self, host, pick):
        """A peer pushes a record that lost a race and that this node rejected on the log."""
        state = self.nodes[host].state
        rejected = [o for o in self.reference_codes if o < state.next_offset and not state.has_gap]
        if rejected:
            offset = rejected[pick % len(rejected)]
            push = ConfigPush("n0", [SignedRecord(offset, self.log.records[offset], offset + 1)])
            self.send(self.nodes[host].receive(push, self.now))

    @rule(is_available=st.booleans())
    def set_log_available(self, is_available):
        """The log becomes unavailable or available."""
        self.log.is_up = is_available

    @rule(count=st.integers(1, 5))
    def trim(self, count):
        """The log trims its oldest records."""
        self.log.first = min(len(self.log.records), self.log.first + count)

    @rule(isolated=st.sets(hosts, max_size=2))
    def partition(self, isolated):
        """A network partition starts, or ends if no host is isolated."""
        self.isolated = isolated

    @rule(host=hosts)
    def restart(self, host):
        """A node restarts without its state."""
        self.incarnations += 1
        random = Random(self.incarnations)
        self.nodes[host] = Node(host, list(self.nodes), OPERATORS, self.incarnations, random)
        self.positions.pop(host, None)

    @invariant()
    def never_reverts(self):
        """Neither the offset nor the version of a node decreases until it restarts."""
        for host, node in self.nodes.items():
            position = (node.state.offset, node.state.version)
            before = self.positions.get(host, (-1, 0))
            assert position[0] >= before[0]
            assert position[1] >= before[1]
            self.positions[host] = position

    @invariant()
    def agrees_with_the_log(self):
        """At each offset every node has the reference's accepted bundle and rejection codes."""
        for node in self.nodes.values():
            state = node.state
            in_force = (state.version, state.digest)
            if state.version:
                assert in_force in self.reference_at[state.offset : state.offset + 1]
            if state.decided_to and not state.has_gap:
                last = state.decided_to - 1
                assert in_force in self.reference_at[last : last + 1]
            for offset, code in node.rejections.items():
                assert code == self.reference_codes.get(offset)

    def teardown(self):
        """After all faults end, all nodes agree if at least one of them has no gap."""
        self.log.is_up, self.isolated, self.in_flight = True, set(), []
        for _ in range(20):
            self.now += 1.0
            for node in self.nodes.values():
                self.send(node.read_log(self.log, 1000, self.now) + node.tick(self.now))
            for _ in range(4):
                in_flight, self.in_flight = self.in_flight, []
                for _, target, message in in_flight:
                    self.send(self.nodes[target].receive(message, self.now))
            self.never_reverts()
            self.agrees_with_the_log()
        states = [node.state for node in self.nodes.values()]
        if self.reference.version and any(not state.has_gap for state in states):
            assert {s.digest for s in states} == {self.reference.digest}
            assert not any(state.has_gap for state in states)
        if len({s.version for s in states}) == 1:
            assert len({s.revocations.digest for s in states}) == 1


PROFILE = settings(max_examples=30, stateful_step_count=40, deadline=None, derandomize=True)


def random_walk(seed, steps=150):
    """Run random steps of the state machine, weighted so that most nodes stay up to date."""
    random = Random(seed)
    machine = Rollout()
    host = partial(random.choice, list(machine.nodes))
    number = partial(random.randrange, 100)
    moves = [
        (
            6,
            lambda: machine.publish(
                random.choice([0, 0, 0, 1, 2]), random.choice([1, 1, 4]), PRIVATE_KEY
            ),
        ),
        (3, lambda: machine.append_forged(random.choice(FORGERIES), number())),
        (1, machine.renew),
        (1, lambda: machine.revoke(host(), random.choice(["ab", "cd", "ef"]))),
        (10, lambda: machine.read(host(), random.choice([1, 3, 10]))),
        (6, lambda: machine.advance_time(random.choice([0.5, 1.0, 3.0, 40.0]))),
        (10, lambda: machine.deliver(number(), 8, random.random() < 0.2)),
        (2, lambda: machine.drop_messages(random.randrange(4))),
        (3, lambda: machine.push_invalid(host(), random.choice(PUSHES), number())),
        (2, lambda: machine.set_log_available(random.random() < 0.7)),
        (1, lambda: machine.trim(random.randrange(1, 5))),
        (1, lambda: machine.partition(set(random.sample(list(machine.nodes), 2)))),
        (1, lambda: machine.partition(set())),
        (1, lambda: machine.restart(host())),
    ]
    weights = [weight for weight, _ in moves]
    for _, move in random.choices(moves, weights, k=steps):
        move()
        machine.never_reverts()
        machine.agrees_with_the_log()
    machine.teardown()
    return machine


def test_rollout_never_reverts_and_agrees():
    """Guards against a node that differs from the log at the same offset (P13)."""
    run_machine(Rollout, settings=PROFILE)


def test_random_walks_never_revert_and_agree():
    """Guards against the same fault in long runs in which nodes accept many versions."""
    versions = [random_walk(seed).reference.version for seed in range(30)]
    assert sum(version > 5 for version in versions) > 20


def _install_any(self, record, opened, now):
    checked = state_module.check_bundle(opened.payload).unwrap()
    return self._accept(record, opened, checked, now, 0.0)


def _ignore_parent(self, record, opened, now, age_s):
    checked = state_module.check_bundle(opened.payload)
    if checked.is_err() or checked.unwrap().version <= self.version:
        return []
    return self._accept(record, opened, checked.unwrap(), now, age_s)


def _ignore_gap(self, record):
    opened = state_module.open_record(record.data, self.operator_keys)
    self.decided_to = record.offset + 1
    return self._decide(record, opened.unwrap(), 0.0, 0.0) if opened.is_ok() else []


@pytest.mark.parametrize(
    ("method", "bug"),
    [("_install_other", _install_any), ("_decide", _ignore_parent), ("_defer", _ignore_gap)],
)
def test_random_walk_detects_a_seeded_bug(monkeypatch, method, bug):
    """Guards against invariants that cannot fail."""
    monkeypatch.setattr(BundleState, method, bug)
    with pytest.raises(AssertionError):
        [random_walk(seed) for seed in range(30)]
