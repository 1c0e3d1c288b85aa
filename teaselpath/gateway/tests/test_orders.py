"""Orders of new weights: the queue of an engine empties first."""

import asyncio

import pytest

from teaselpath.gateway._orders import WeightsKeeper, boot_clock
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway.tests.conftest import endpoint_record
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformEngines
from teaselpath.rollout import OrderLease


@pytest.fixture
def crowded(state):
    """Return an engine with more requests than slots."""
    state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
    state.views["e"].own.requests = 9
    return state.views["e"]


def make_keeper(state) -> WeightsKeeper:
    lease, http = OrderLease("gw-0", 3.0), HttpClient()
    peers = PeerExchange(state, lease, http, boot_clock)
    return WeightsKeeper(state, PlatformEngines(http), lease, peers)


def test_order_waits_until_the_engine_has_started_all_requests(state, crowded):
    async def scenario():
        keeper = make_keeper(state)
        task = asyncio.create_task(keeper._drain("e", keeper.loop.time() + 60.0))
        await asyncio.sleep(0)
        waited = not task.done()
        is_left_out = crowded.loading_until > keeper.loop.time()
        crowded.own.requests = crowded.endpoint.slots
        await task
        return waited, is_left_out

    assert asyncio.run(scenario()) == (True, True)


def test_order_does_not_wait_for_ever(state, crowded):
    async def scenario():
        keeper = make_keeper(state)
        await keeper._drain("e", keeper.loop.time())
        return crowded.requests()

    assert asyncio.run(scenario()) == 9


def test_engine_that_is_gone_needs_no_wait(state):
    async def scenario():
        keeper = make_keeper(state)
        await keeper._drain("e", keeper.loop.time() + 60.0)

    asyncio.run(scenario())
