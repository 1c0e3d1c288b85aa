"""A store that returns from a copy, and has lost what it acknowledged since, end to end."""

import asyncio
import itertools
import json
import signal
import time
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.hosted import Caller, HostedSite, SiteRoute

OPERATORS = "keyed.op"
SERVERS = "keyed.servers"
WAIT_S = 15.0
NEW_ROUTE = SiteRoute("extra", "/extra/", "safe", "desk")


@asynccontextmanager
async def open_site(folder, gateways=2):
    async with HostedSite(folder, Random(7)) as site:
        for number in range(3):
            await site.add_engine(f"desk-{number}", "desk", "ab"[number % 2])
        site.write_config()
        await site.start_gateways(gateways)
        yield site


async def restore_after_outage(site, copied, away_s=0.5):
    """Let the store be away, return from a copy, and get the operators' records again."""
    site.store.faults.mode = "reset"
    await asyncio.sleep(away_s)
    site.store.restore(copied)
    site.store.faults.mode = "ok"
    site.repeat_config()


def callers_of(site, key="key-1") -> list[Caller]:
    port = site.ports["front"]
    return [Caller(f"{gateway.ip}:{port}", key) for gateway in site.gateways.values()]


numbers = itertools.count()


async def statuses(site, path, key="key-1") -> list[int]:
    """Return the status of one request at each gateway."""
    callers = callers_of(site, key)
    answers = [await caller.send(path, f"r{next(numbers)}") for caller in callers]
    return [answer.status for answer in answers]


async def wait_for(site, path, status, key="key-1") -> list[int]:
    """Send requests until each gateway gives them a status, and return the last ones."""
    deadline = time.monotonic() + WAIT_S
    while True:
        found = await statuses(site, path, key)
        if set(found) == {status} or time.monotonic() > deadline:
            return found
        await asyncio.sleep(0.1)


def applied_versions(gateway) -> list[int]:
    lines = [json.loads(line) for line in gateway.log.read_text().splitlines() if line[:1] == "{"]
    return [line["version"] for line in lines if line["message_type"] == "config_applied"]


@pytest.mark.parametrize("lost_versions", [0, 3])
def test_route_added_after_the_return_is_served_at_all_gateways(tmp_path, lost_versions):
    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            for _ in range(lost_versions):
                site.write_config()
            await asyncio.sleep(0.5)
            await restore_after_outage(site, copied)
            await asyncio.sleep(0.5)
            site.routes.append(NEW_ROUTE)
            site.write_config()
            return await wait_for(site, "/extra/x", 200)

    assert asyncio.run(scenario()) == [200, 200]


def test_records_before_the_old_cursor_are_not_skipped(tmp_path):
    """The silent case: when gateways read again, the new log is longer than the old one was."""

    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            site.write_config()
            await asyncio.sleep(0.5)
            site.store.faults.mode = "reset"
            site.store.faults.affected_gateways = set(site.gateways)
            await asyncio.sleep(0.5)
            site.store.restore(copied)
            site.routes.append(NEW_ROUTE)
            site.write_config()
            for number in range(5):
                site.store.put(OPERATORS, f"version/model-{number}", {"model": "x", "version": 1})
            site.store.faults.mode = "ok"
            return await wait_for(site, "/extra/x", 200)

    assert asyncio.run(scenario()) == [200, 200]


def test_revoked_key_stays_revoked_while_the_store_has_it_again(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            site.tenants[0].keys = ["key-2"]
            site.write_config()
            revoked = await wait_for(site, "/lookup/x", 401)
            site.store.restore(copied)
            await asyncio.sleep(2.0)
            later = await statuses(site, "/lookup/x")
            versions = [applied_versions(gateway) for gateway in site.gateways.values()]
            return revoked, later, versions

    revoked, later, versions = asyncio.run(scenario())
    assert revoked == [401, 401]
    assert later == [401, 401]
    assert all(applied == sorted(applied) for applied in versions)


def test_gateway_restarted_after_the_return_gets_the_lost_configuration_from_a_peer(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            site.routes.append(NEW_ROUTE)
            site.write_config()
            await wait_for(site, "/extra/x", 200)
            site.store.restore(copied)
            site.signal_gateway("gw-1", signal.SIGKILL)
            await site.gateways["gw-1"].process.wait()
            await site.wait_until_ready(await site.start_gateway("gw-1", "127.0.0.3", "b"))
            return await wait_for(site, "/extra/x", 200)

    assert asyncio.run(scenario()) == [200, 200]


def test_gateway_cut_off_from_the_store_during_the_return_catches_up(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            for _ in range(3):
                site.write_config()
            await asyncio.sleep(0.5)
            site.store.faults.affected_gateways = {"gw-1"}
            site.store.faults.mode = "reset"
            site.store.restore(copied)
            site.routes.append(NEW_ROUTE)
            site.write_config()
            while_cut_off = await wait_for(site, "/extra/x", 200)
            site.store.faults.mode = "ok"
            site.routes.append(SiteRoute("last", "/last/", "safe", "desk"))
            site.write_config()
            return while_cut_off, await wait_for(site, "/last/x", 200)

    assert asyncio.run(scenario()) == ([200, 200], [200, 200])


@pytest.mark.parametrize("leaves_first", [True, False])
def test_endpoint_that_left_does_not_come_back(tmp_path, leaves_first):
    """It left before the copy was made, or the store has lost that it did."""

    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            site.crash_engine("desk-0")
            if leaves_first:
                copied = site.store.copy_topics()
            await asyncio.sleep(2.0)
            await restore_after_outage(site, copied)
            await asyncio.sleep(2.5)
            for gateway in site.gateways.values():
                lines = gateway.log.read_text().splitlines()
                added = [line for line in lines if '"desk-0"' in line and "endpoint_added" in line]
                assert len(added) == 1
            return await statuses(site, "/lookup/x")

    assert asyncio.run(scenario()) == [200, 200]


def test_endpoints_that_the_copy_lacks_serve_until_they_are_listed_again(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            # The copy is older than the endpoints.
            copied = site.store.copy_topics()
            copied.pop(SERVERS)
            await asyncio.sleep(1.0)
            site.store.restore(copied)
            found = []
            for _ in range(30):
                found += await statuses(site, "/lookup/x")
                await asyncio.sleep(0.1)
            return set(found)

    assert asyncio.run(scenario()) == {200}


def test_several_returns_in_a_row(tmp_path):
    async def scenario():
        async with open_site(tmp_path) as site:
            copied = site.store.copy_topics()
            for number in range(3):
                site.write_config()
                await asyncio.sleep(0.3)
                await restore_after_outage(site, copied, away_s=0.2 * number)
            site.routes.append(NEW_ROUTE)
            site.write_config()
            return await wait_for(site, "/extra/x", 200)

    assert asyncio.run(scenario()) == [200, 200]
