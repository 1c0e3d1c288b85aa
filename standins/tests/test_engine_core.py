"""Tests of batching and of the prefix cache, without HTTP."""

from random import Random

from standins.engine import EngineCore, Sequence
from standins.engine._cache import PrefixCache
from standins.testing import EngineConfig

CONFIG = EngineConfig(
    id="e",
    max_running=2,
    prefill_us_per_token=10.0,
    decode_us_per_token=100.0,
    step_us=1000.0,
    prefill_chunk_tokens=8,
    block_tokens=4,
)


def sequence(request_id, text="x" * 40, priority=0, tokens=1):
    return Sequence(request_id, text, bytes(16), tokens, priority, "model-a")


def run(core):
    """Run until idle; return the request ids in order of completion and the simulated time."""
    ended, total = [], 0.0
    while core.has_work:
        result = core.step(total)
        total += result.cost_s
        ended += [s.request_id for s in result.touched if s.finish_reason]
    return ended, total


def test_cost_model():
    """Guards against a step whose duration differs from the cost model."""
    core = EngineCore(CONFIG)
    core.submit(sequence("a", tokens=3))
    # Five steps: two chunks for the 10 prompt tokens, then three output tokens.
    _, total = run(core)
    assert abs(total - (5 * 1000 + 10 * 10 + 3 * 100) / 1e6) < 1e-9


def test_priority_goes_first():
    """Guards against a queue that ignores priorities."""
    core = EngineCore(CONFIG)
    for name, priority in (("long1", 5), ("long2", 5), ("late", 5), ("short", 1)):
        core.submit(sequence(name, name * 10, priority, tokens=1 if priority == 1 else 5))
    assert run(core)[0][:3] == ["short", "long1", "long2"]


def test_prefix_is_shared_during_prefill():
    """Guards against blocks that can be reused only after the whole prompt was prefilled."""
    core = EngineCore(CONFIG)
    core.submit(sequence("a"))
    core.step(0.0)
    second = sequence("b")
    core.submit(second)
    core.step(0.0)
    assert second.cached_tokens == 8


def test_eviction_keeps_the_roots():
    """Guards against the eviction of a block before its successors, which makes them useless."""
    core = EngineCore(EngineConfig(id="e", block_tokens=4, cache_blocks=4))
    for tail in ("a" * 32, "b" * 32):
        core.submit(sequence("s" + tail, "r" * 16 + tail))
        run(core)
    third = sequence("t", "r" * 16 + "c" * 32)
    core.submit(third)
    core.step(0.0)
    assert third.cached_tokens == 4


def test_delayed_events_become_visible():
    """Guards against a delay that loses events."""
    cache = PrefixCache(4, 10, Random(1))
    cache.faults.delay_s = 5.0
    cache.clear(0.0)
    assert cache.read_events(0, 4.9) == []
    assert [e["seq"] for e in cache.read_events(0, 5.0)] == [1]


def test_incarnations_differ_and_drop_the_cache():
    """Guards against cached blocks that survive a crash."""
    core = EngineCore(CONFIG, now=1.0)
    core.submit(sequence("a"))
    run(core)
    core.submit(sequence("b"))
    before = core.incarnation
    assert [s.finish_reason for s in core.restart(1.0)] == ["crashed"]
    assert core.incarnation != before
    assert not core.cache.blocks
    assert not core.has_work
