"""Weights orders: the queue of an engine drains before the order is sent."""

import asyncio
import json
from typing import Any, cast

import pytest

from teaselpath.exchange import CROSS_REGION_INTERVAL_S
from teaselpath.fleet import Position, RecordPage, StoredRecord
from teaselpath.gateway._orders import WeightsKeeper, boot_clock, lease_key
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway.tests.conftest import endpoint_record
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformEngines
from teaselpath.rollout import LeaseState, OrderLease


@pytest.fixture
def overloaded_engine(state):
    """Return an engine with more requests than slots."""
    state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
    state.views["e"].own.requests = 9
    return state.views["e"]


def make_keeper(state) -> WeightsKeeper:
    lease, http = OrderLease("gw-0", 3.0), HttpClient()
    peers = PeerExchange(state, lease, http, boot_clock)
    return WeightsKeeper(state, PlatformEngines(http), lease, peers)


def test_order_waits_until_the_engine_has_started_all_requests(state, overloaded_engine):
    async def scenario():
        keeper = make_keeper(state)
        task = asyncio.create_task(keeper._drain("e", keeper.loop.time() + 60.0))
        await asyncio.sleep(0)
        waited = not task.done()
        is_avoided = overloaded_engine.loading_until > keeper.loop.time()
        overloaded_engine.own.requests = overloaded_engine.endpoint.slots
        await task
        return waited, is_avoided

    assert asyncio.run(scenario()) == (True, True)


def test_order_waits_no_longer_than_its_deadline(state, overloaded_engine):
    async def scenario():
        keeper = make_keeper(state)
        await keeper._drain("e", keeper.loop.time())
        return overloaded_engine.requests()

    assert asyncio.run(scenario()) == 9


def test_order_does_not_wait_for_a_removed_engine(state):
    async def scenario():
        keeper = make_keeper(state)
        await keeper._drain("e", keeper.loop.time() + 60.0)

    asyncio.run(scenario())


def test_engine_that_leaves_gets_no_weights_order(state):
    async def scenario():
        state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        state.apply_endpoint_record(endpoint_record("f", 2), "store", 1.0)
        keeper = make_keeper(state)
        state.views["e"].availability.record_leaving(100.0)
        return [engine.key for engine in keeper._engines()]

    assert asyncio.run(scenario()) == ["f"]


def test_engine_of_a_service_that_the_configuration_does_not_name_gets_no_weights_order(state):
    """Guards against entries of another writer that hold all places for loads."""
    value = json.dumps({"version": 1, "services": [{"name": "s"}]}).encode()
    state.apply_operator_record(StoredRecord("config", value, Position(1, 1)), "store", 1.0)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
    state.apply_endpoint_record(endpoint_record("f", 2, service="stray"), "store", 1.0)

    async def scenario():
        return [engine.key for engine in make_keeper(state)._engines()]

    assert asyncio.run(scenario()) == ["e"]


def test_engine_that_wants_no_calls_is_ordered_later(state):
    async def scenario():
        state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        keeper = make_keeper(state)
        now = keeper.loop.time()
        state.views["e"].availability.record_hold_off(now + 5.0)
        return keeper._is_held_off("e", now), keeper._is_held_off("e", now + 5.0)

    assert asyncio.run(scenario()) == (True, False)


class UnreadableStore:
    """Store whose newest lease record is of another format."""

    async def poll(self, topic, start, wait_s):
        """Return a listing."""
        record = StoredRecord(lease_key(1), b"?", Position(1, 4))
        return RecordPage([record], Position(1, 5), is_listing=True)


def test_unreadable_lease_record_counts_as_that_of_another_holder(state):
    """Taken for an empty topic, it would free the lease at once."""

    async def scenario():
        state.store = cast(Any, UnreadableStore())
        keeper = make_keeper(state)
        now = boot_clock()
        keeper.lease.handle_era(1, now - 60.0)
        await keeper._read_lease()
        return keeper.lease.plan(now, has_work=True, rank=0)

    assert asyncio.run(scenario()) is LeaseState.WAIT


def test_first_rollout_does_not_wait_if_the_store_states_no_era(state):
    """The lease knew the era only from its first read, and waited a handover from there on."""

    async def scenario():
        keeper = make_keeper(state)
        state.observe_era(0, "store", keeper.loop.time())
        keeper._step()
        return keeper.lease.era

    assert asyncio.run(scenario()) == 0


@pytest.mark.parametrize("is_learning", [False, True])
def test_notice_of_a_load_outlasts_the_interval_between_statuses_to_other_regions(
    state, overloaded_engine, is_learning
):
    """Gateways of other regions would else send to the engine between two statuses."""

    async def scenario():
        keeper = make_keeper(state)
        overloaded_engine.times.service.is_learning = is_learning
        keeper._send_loading_notice("e")
        return overloaded_engine.loading_until - keeper.loop.time()

    assert (asyncio.run(scenario()) > CROSS_REGION_INTERVAL_S) is is_learning
