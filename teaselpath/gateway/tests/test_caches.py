"""Selection of the caches that a gateway follows, and how it follows them."""

import asyncio
from typing import Any, cast

from teaselpath.fleet import CacheChange, CacheChanges
from teaselpath.gateway import _caches
from teaselpath.gateway._caches import MAX_FOLLOWED_ENGINES, CacheWatcher
from teaselpath.gateway.tests.conftest import endpoint_record
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformEngines


def followed(state, count: int) -> list[str]:
    async def scenario():
        for number in range(count):
            state.apply_endpoint_record(endpoint_record(f"e{number}", number + 1), "store", 1.0)
        watcher = CacheWatcher(state, PlatformEngines(HttpClient()))
        return [view.endpoint.endpoint_id for view in watcher._followed_engines(is_large=True)]

    return asyncio.run(scenario())


def test_all_engines_of_the_region_are_followed(state):
    state.apply_endpoint_record(endpoint_record("far", 1000, zone="b"), "store", 1.0)
    assert followed(state, 5) == [f"e{n}" for n in range(5)]


def test_number_of_followed_engines_is_limited(state):
    assert len(set(followed(state, 3 * MAX_FOLLOWED_ENGINES))) == MAX_FOLLOWED_ENGINES


class RestartedEngine:
    """Engine calls of one engine, which restarts after the first poll of its cache.

    Its history after the restart is longer than the one before.
    """

    def __init__(self):
        self.polls = 0
        self.read_to_end = asyncio.Event()

    async def poll_cache_changes(self, address, cursor, wait_s, deadline):
        self.polls += 1
        epoch, size = (1, 1) if self.polls == 1 else (2, 3)
        if cursor == size:
            self.read_to_end.set()
            await asyncio.sleep(wait_s)
        changes = [CacheChange("v1", f"p{epoch}{n}", 10) for n in range(cursor, size)]
        return CacheChanges(epoch, size, False, changes)


def test_history_of_a_restarted_engine_is_read_from_its_start(state, monkeypatch):
    monkeypatch.setattr(_caches, "MIN_POLL_INTERVAL_S", 0.0)

    async def scenario():
        state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        engine = RestartedEngine()
        task = asyncio.create_task(CacheWatcher(state, cast(Any, engine)).run())
        await engine.read_to_end.wait()
        task.cancel()
        return {part for _, part in state.views["e"].cache.parts}

    assert asyncio.run(scenario()) == {"p20", "p21", "p22"}
