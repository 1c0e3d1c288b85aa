"""Test of the cache index against the events of the stand-in engine."""

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


class RecordingCache(PrefixCache):
    """Cache that records its blocks after each event."""

    def _emit(self, kind, hashes, now):
        before = self.blocks_after[self.seq] if self.seq else frozenset()
        change = {bytes.fromhex(h) for h in hashes}
        super()._emit(kind, hashes, now)
        self.blocks_after[self.seq] = before | change if kind == "stored" else before - change


class RecordingCore(EngineCore):
    """Engine with a recording cache."""

    def restart(self, now):
        lost = super().restart(now)
        self.cache = RecordingCache(
            CONFIG.cache_blocks, CONFIG.event_ring, self.random, self.event_faults
        )
        self.cache.blocks_after = {0: frozenset()}
        return lost


def request(core, random, now):
    text = "".join(random.choice("ab") * 16 for _ in range(random.randint(1, 6)))
    core.submit(Sequence(f"{now}", text, bytes(16), 1, 0, "model-a"))
    while core.has_work:
        core.step(now)


def read_events(core, index, random, now):
    events = [
        CacheEvent(e["seq"], CacheEventKind(e["kind"]), tuple(map(bytes.fromhex, e["hashes"])))
        for e in core.cache.read_events(index.seq, now)
    ]
    random.shuffle(events)
    return EventBatch(core.incarnation, tuple(events))


def check_index(core, index):
    if not index.is_stale and index.incarnation == core.incarnation:
        assert set(index.blocks) == core.cache.blocks_after[index.seq]


@pytest.mark.parametrize("seed", range(8))
def test_index_matches_the_cache_under_event_faults(seed):
    """Guards against an index that lists a block the engine had already evicted.

    Events are dropped, duplicated, delayed and reordered; an index that is not marked as stale must
    equal the cache after the last event that it has applied.
    """
    random = Random(seed)
    core, index, valid_rounds = RecordingCore(CONFIG), CacheIndex(), 0
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
        check_index(core, index)
        valid_rounds += not index.is_stale
    assert valid_rounds > ROUNDS / 4
