"""Stateful tests of the cache index with a model of an engine and a faulty network."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.prefix import (
    CacheEvent,
    CacheEventKind,
    CacheIndex,
    EngineReported,
    EventBatch,
    Snapshot,
)
from teaselpath.prefix._hash_set import HashSet

BLOCKS = [bytes([number]) * 16 for number in range(1, 9)]
STORED, REMOVED, CLEARED = CacheEventKind


class Harness:
    """An engine and an index, with messages that may be lost, delayed, duplicated or reordered.

    ``states`` maps each event to the engine's cache after the event and the number of weights
    changes up to it.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.index = CacheIndex()
        self.starts = 0
        self.weights_changes = 0
        self.reported_weights_changes = 0
        self.network: list = []
        self.states: dict[tuple[str, int], tuple[frozenset[bytes], int]] = {}
        self.restart()
        self.report()

    def restart(self) -> None:
        self.starts += 1
        self.incarnation = f"i{self.starts}"
        self.seq, self.cache = 0, frozenset[bytes]()
        self.states[self.incarnation, 0] = (self.cache, self.weights_changes)

    def publish(self, kind: CacheEventKind, *hashes: bytes) -> None:
        caches = {STORED: self.cache | {*hashes}, REMOVED: self.cache - {*hashes}}
        self.cache = caches.get(kind, frozenset())
        self.seq += 1
        self.states[self.incarnation, self.seq] = (self.cache, self.weights_changes)
        event = CacheEvent(self.seq, kind, hashes)
        self.network.append(EventBatch(self.incarnation, (event,)))

    def change_weights(self) -> None:
        self.weights_changes += 1
        self.publish(CLEARED)

    def report(self) -> None:
        """Deliver the answer to a direct query; these answers arrive in order."""
        self.reported_weights_changes = self.weights_changes
        self._handle(EngineReported(self.incarnation, "ab"[self.weights_changes % 2]))

    def deliver(self, number: int, keep: bool = False) -> None:
        if self.network:
            number %= len(self.network)
            self._handle(self.network[number] if keep else self.network.pop(number))

    def lose(self, number: int) -> None:
        if self.network:
            self.network.pop(number % len(self.network))

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self._execute(self.index.tick(self.now))

    def _handle(self, message) -> None:
        self._execute(self.index.handle(message, self.now))

    def _execute(self, actions: list) -> None:
        for action in actions:
            content = tuple(sorted(self.cache))
            self.network.append(Snapshot(self.incarnation, self.seq, content, action.request))
        self.check()

    def check(self) -> None:
        index = self.index
        matched = {block for block in BLOCKS if index.match([block])}
        if matched:
            cache, weights_changes = self.states.get((index.incarnation, index.seq), (set(), -1))
            assert matched <= cache, "matches a block that was not cached after its last event"
            assert weights_changes >= self.reported_weights_changes, (
                "matches a block of older weights"
            )

    def step(self, step_name: str, number: int) -> None:
        block = BLOCKS[number % len(BLOCKS)]
        match step_name:
            case "store":
                self.publish(STORED, block)
            case "remove":
                self.publish(REMOVED, block)
            case "deliver":
                self.deliver(number)
            case "in order":
                self.deliver(0)
            case "duplicate":
                self.deliver(number, keep=True)
            case "wait":
                self.wait(number / 40)
            case _:
                getattr(self, step_name)(*([number] if step_name == "lose" else []))


COMMON = ["store", "remove", "in order", "in order", "wait"]
FAULTS = ["deliver", "duplicate", "lose", "restart", "change_weights", "report"]


@given(st.lists(st.tuples(st.sampled_from(COMMON * 3 + FAULTS), st.integers(0, 60)), max_size=80))
def test_matched_blocks_were_cached_after_the_last_confirmed_event(steps) -> None:
    """Guards against matches from another incarnation, older weights, or across a gap."""
    harness = Harness()
    for step in steps:
        harness.step(*step)


def run_random(loss: float, seed: int, steps: int = 4000) -> tuple[Harness, int]:
    """Run with message loss and rare faults; count the steps after which the index was current."""
    random, harness, current = Random(seed), Harness(), 0
    for _ in range(steps):
        harness.step(random.choice(COMMON), random.randrange(60))
        if random.random() < loss:
            harness.step("lose", random.randrange(60))
        if random.random() < 0.02:
            harness.step(random.choice(FAULTS), random.randrange(60))
        current += not harness.index.is_stale
    return harness, current


@pytest.mark.parametrize("loss", [0.01, 0.3])
def test_lossy_stream_is_repaired(loss) -> None:
    """Guards against an index that matches too much under loss, or that stays stale."""
    for seed in range(5):
        harness, current = run_random(loss, seed)
        assert current > 0
        while harness.network:
            harness.deliver(0)
        harness.report()
        for _ in range(10):
            harness.wait(2.1)
            while harness.network:
                harness.deliver(0)
        assert set(harness.index.blocks) == harness.cache
        assert not harness.index.is_stale


def start_with_block() -> Harness:
    harness = Harness()
    harness.publish(STORED, BLOCKS[0])
    while harness.network:
        harness.deliver(0)
    assert harness.index.match(BLOCKS[:2]) == 1
    return harness


def test_gap_prevents_matches_until_it_is_closed() -> None:
    """Guards against a match of a block whose removal event was lost."""
    harness = start_with_block()
    harness.publish(REMOVED, BLOCKS[0])
    harness.publish(STORED, BLOCKS[1])
    harness.deliver(1)
    assert harness.index.match(BLOCKS) == 0
    harness.deliver(0)
    assert not harness.index.is_stale
    assert harness.index.match([BLOCKS[1]]) == 1


def test_events_that_arrive_during_a_snapshot_are_applied_after_it() -> None:
    """Guards against a snapshot that restores a block that was removed after the snapshot."""
    harness = Harness()
    harness.publish(STORED, BLOCKS[0])
    harness.wait(3.0)
    harness.publish(REMOVED, BLOCKS[0])
    harness.deliver(3)
    harness.deliver(2)
    assert not harness.index.is_stale
    assert harness.index.match(BLOCKS) == 0


def late_snapshot(harness: Harness) -> None:
    """Deliver a snapshot from before a weights change after the change was reported."""
    harness.wait(6.0)
    harness.change_weights()
    harness.report()
    harness.deliver(0)


def late_incarnation(harness: Harness) -> None:
    """Deliver an event of the crashed engine after its successor was reported."""
    harness.publish(STORED, BLOCKS[1])
    harness.restart()
    harness.report()
    harness.deliver(0)


def test_outdated_blocks_are_not_matched() -> None:
    """Guards against matches of outdated blocks after a delayed message or a lost event."""
    for scenario in (late_snapshot, late_incarnation, lost_removal):
        harness = start_with_block()
        scenario(harness)
        assert harness.index.match(BLOCKS) == 0


def adopt_incarnation(self: CacheIndex, incarnation: str, now: float) -> None:
    """Reproduce a known bug: the blocks of the crashed engine are kept."""
    self.incarnation = incarnation


def ignore_gaps(self: CacheIndex, now: float) -> None:
    """Reproduce a known bug: events are applied as they arrive, across gaps."""
    for seq in sorted(self.held_events):
        self._apply(self.held_events.pop(seq))


def lost_removal(harness: Harness) -> None:
    """Lose a removal event and deliver the next event."""
    harness.publish(REMOVED, BLOCKS[0])
    harness.lose(0)
    harness.publish(STORED, BLOCKS[1])
    harness.deliver(0)


BUGS = [
    ({"_invalidate": lambda self, now: None}, late_snapshot, "older weights"),
    ({"_start_incarnation": adopt_incarnation}, late_incarnation, "not cached"),
    ({"_apply_held_events": ignore_gaps}, lost_removal, "not cached"),
]


@pytest.mark.parametrize(("patches", "scenario", "message"), BUGS)
def test_checks_find_known_bugs(monkeypatch, patches, scenario, message) -> None:
    """Checks that each assertion fails when the index has the bug that it guards against."""
    harness = start_with_block()
    for name, function in patches.items():
        monkeypatch.setattr(CacheIndex, name, function)
    with pytest.raises(AssertionError, match=message):
        scenario(harness)


def test_index_without_updates_matches_nothing() -> None:
    """Guards against matches after the event stream broke without a gap."""
    harness = start_with_block()
    harness.wait(5.1)
    assert harness.index.match(BLOCKS) == 0


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 400)), max_size=600))
def test_hash_set_equals_a_set(steps) -> None:
    """Guards against entries that are lost when a removal shifts the rest of its run."""
    table = HashSet()
    model: set[bytes] = set()
    for is_added, number in steps:
        # Few distinct home slots, so that runs are long and wrap around.
        value = (number % 5 + 60).to_bytes(8, "little") + (number + 1).to_bytes(8, "little")
        (table.add if is_added else table.discard)(value)
        (model.add if is_added else model.discard)(value)
    assert set(table) == model
    assert len(table) == len(model)
