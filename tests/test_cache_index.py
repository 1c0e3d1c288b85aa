"""Test of the cache index against the stand-in engine's events."""

from random import Random

import pytest

from standins.engine import EngineCore, Sequence
from standins.engine._cache import PrefixCache
from standins.testing import EngineConfig
from teaselpath.prefix import (
    CacheEvent,
    CacheEventKind,
    CacheIndex,
    EngineReported,
    EventBatch,
    Snapshot,
)

ROUNDS = 150
CONFIG = EngineConfig(id="e", block_tokens=4, cache_blocks=12, event_ring=40)


class RecordedCache(PrefixCache):
    """Cache that remembers what it held after each event."""

    def _emit(self, kind, hashes, now):
        before = self.held_after[self.seq] if self.seq else frozenset()
        change = {bytes.fromhex(h) for h in hashes}
        super()._emit(kind, hashes, now)
        self.held_after[self.seq] = before | change if kind == "stored" else before - change


class RecordedCore(EngineCore):
    """Engine with a recorded cache."""

    def restart(self, now):
        lost = super().restart(now)
        self.cache = RecordedCache(
            CONFIG.cache_blocks, CONFIG.event_ring, self.random, self.event_faults
        )
        self.cache.held_after = {0: frozenset()}
        return lost


def request(core, random, now):
    text = "".join(random.choice("ab") * 16 for _ in range(random.randint(1, 6)))
    core.submit(Sequence(f"{now}", text, bytes(16), 1, 0, "model-a"))
    while core.busy:
        core.step(now)


def read_events(core, index, random, now):
    events = [
        CacheEvent(e["seq"], CacheEventKind(e["kind"]), tuple(map(bytes.fromhex, e["hashes"])))
        for e in core.cache.read_events(index.seq, now)
    ]
    random.shuffle(events)
    return EventBatch(core.incarnation, tuple(events))


def check_claims(core, index):
    if not index.is_stale and index.incarnation == core.incarnation:
        assert set(index.blocks) == core.cache.held_after[index.seq]


@pytest.mark.parametrize("seed", range(8))
def test_claims_hold_under_event_faults(seed):
    """Guards against a claim for a block that was not there after the last known event."""
    random = Random(seed)
    core, index, claims = RecordedCore(CONFIG), CacheIndex(), 0
    faults = core.event_faults
    for step in range(ROUNDS):
        now = float(step)
        faults.drop_fraction = random.choice([0.0, 0.0, 0.3])
        faults.duplicate_fraction = random.choice([0.0, 0.5])
        faults.delay_s = random.choice([0.0, 2.5])
        if random.random() < 0.03:
            core.restart(now)
        request(core, random, now)
        wanted = index.handle(EngineReported(core.incarnation, core.weights), now)
        wanted += index.handle(read_events(core, index, random, now), now)
        for need in wanted:
            hashes = tuple(core.cache.blocks)
            snapshot = Snapshot(core.incarnation, core.cache.seq, hashes, need.request)
            index.handle(snapshot, now)
        check_claims(core, index)
        claims += not index.is_stale
    assert claims > ROUNDS / 4
