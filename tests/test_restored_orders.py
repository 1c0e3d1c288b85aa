"""Orders to engines around the return of the store from a copy, end to end."""

import asyncio
import time
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.hosted import HostedSite
from standins.soak import check_guarantees

HANDOVER_S = 0.6
WAIT_S = 20.0
LOST_RECORDS = 9


@asynccontextmanager
async def open_site(folder, gateways=2):
    async with HostedSite(folder, Random(5)) as site:
        for number in range(3):
            await site.add_engine(f"llm-{number}", "llm", "ab"[number % 2], is_model=True)
        site.write_config()
        await site.start_gateways(gateways)
        yield site


async def wait_for_weights(site) -> set[int]:
    """Wait until all engines have the newest weights, and return their versions."""
    deadline = time.monotonic() + WAIT_S
    while True:
        versions = {engine.version for engine in site.all_engines}
        if versions == {site.weights} or time.monotonic() > deadline:
            return versions
        await asyncio.sleep(0.05)


async def wait_for_order(site) -> None:
    """Wait until an engine has received an order, so that a rollout is under way."""
    async with asyncio.timeout(WAIT_S):
        while not any(engine.orders for engine in site.all_engines):
            await asyncio.sleep(0.01)


def restore(site, copied) -> None:
    """Let the store return from a copy, and get the operators' records again."""
    site.store.restore(copied)
    site.repeat_config()
    site.repeat_weights()


@pytest.mark.parametrize("is_away", [False, True])
def test_fence_does_not_fall_after_the_return(tmp_path, is_away):
    """The offsets of the lease topic, from which fencing tokens come, are given out again."""

    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            for number in range(LOST_RECORDS):
                site.store.put("keyed.lease", f"other-{number}", {})
            site.announce_weights()
            await wait_for_weights(site)
            site.store.faults.mode = "reset" if is_away else "ok"
            await asyncio.sleep(0.5 if is_away else 0.0)
            site.store.faults.mode = "ok"
            restore(site, copied)
            site.announce_weights()
            versions = await wait_for_weights(site)
            return versions, site.weights, check_guarantees(site, [], HANDOVER_S)

    versions, newest, broken = asyncio.run(scenario())
    assert broken == []
    assert versions == {newest}


def test_orders_stay_with_one_holder_if_the_store_returns_during_a_rollout(tmp_path):
    """The record of the holder is lost, and the topic names nobody."""

    async def scenario():
        async with open_site(tmp_path, gateways=3) as site:
            copied = site.store.copy_topics()
            site.announce_weights()
            for _ in range(3):
                await wait_for_order(site)
                restore(site, copied)
                await asyncio.sleep(0.7)
                site.announce_weights()
            versions = await wait_for_weights(site)
            return versions, site.weights, check_guarantees(site, [], HANDOVER_S)

    versions, newest, broken = asyncio.run(scenario())
    assert broken == []
    assert versions == {newest}
