"""Selection of the caches that a gateway follows."""

import asyncio

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
