"""Where fair shares of contended room take effect, and what their state learns."""

import asyncio
import dataclasses
import json

from teaselpath.dispatch import Placed
from teaselpath.fleet import EngineLimits, Position, Service, StoredRecord, Workspace
from teaselpath.gateway._placement import Placer
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.gateway.tests.test_placement import make_call
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformStore


def contended_state():
    settings = dataclasses.replace(SETTINGS, is_room_contended=True)
    return GatewayState(settings, PlatformStore("127.0.0.1:9", HttpClient()), 1)


def test_deployment_without_contended_room_is_served_as_before(state):
    """Guards against shares where nobody asked for them."""
    assert state.fair_order is None


def test_rates_of_the_configuration_are_the_weights():
    """Guards against shares that take all workspaces for equally large."""
    state = contended_state()
    tenants = [
        {"name": name, "apiKeys": [f"{name}-{n}" for n in range(2)], "ratePerS": rate, "burst": 1}
        for name, rate in (("large", 3000), ("small", 1000))
    ]
    value = json.dumps({"version": 1, "tenants": tenants}).encode()
    state.apply_operator_record(StoredRecord("config", value, Position(1, 1)), "store", 1.0)
    assert state.fair_order.weights == {"large": 1.5, "small": 0.5}


def test_workspace_below_its_share_is_placed_first():
    """Guards against a queue that does not learn what is placed, here or elsewhere."""

    async def scenario():
        state, placed, is_full = contended_state(), [], asyncio.Event()
        state.apply_endpoint_record(endpoint_record("e", 1, slots=100), "store", 1.0)
        placer = Placer(state, lambda _: None)

        async def ask(name):
            call = make_call()
            call.workspace = Workspace(name, 1e6, 1e6, 10, None, False)
            # Without stated memory no request waits for a claim, which ends at any time.
            call.service = Service("s", EngineLimits(0, 18_432, 1e-6))
            assert isinstance(await placer.acquire(call, placer.loop.time()), Placed)
            placed.append(name)
            # Its engine has room for others once the queue is full.
            await is_full.wait()
            placer.release(call)

        waiting = []
        while len(placer.queue.queued) < 2:
            waiting.append(asyncio.create_task(ask("large")))
            await asyncio.sleep(0)
        at_once = len(placed)
        waiting += [asyncio.create_task(ask(name)) for name in ("small", "other")]
        await asyncio.sleep(0)
        state.fair_order.record_others({"other": 10_000.0}, placer.loop.time())
        is_full.set()
        queue = asyncio.create_task(placer.run_queue())
        await asyncio.gather(*waiting)
        queue.cancel()
        return placed[at_once:]

    assert asyncio.run(scenario()) == ["small", "other", "large", "large"]
