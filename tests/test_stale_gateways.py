"""End-to-end tests of streams that are taken up at a gateway which is out of step in a release."""

import asyncio
import signal
from contextlib import asynccontextmanager

import pytest

from standins.hosted import Caller
from tests.test_joined_streams import (
    ENGINES,
    PREFIX,
    STREAMS,
    begin_streams,
    joined_streams,
    open_site,
    take_up,
)

STOPPED = "gw-1"
STOPPED_S = 4.0


async def release(site, version="v2"):
    """Add engines of another version, and let those before leave."""
    for number in range(ENGINES):
        name = f"{version}-{number}"
        await site.add_engine(name, "llm", "ab"[number // 3], is_model=True, software=version)
    for number in range(ENGINES):
        site.drain_engine(f"llm-{number}")
    async with asyncio.timeout(5.0):
        while site.gateways["gw-0"].log.read_text().count(f'"software":"{version}"') < ENGINES:
            await asyncio.sleep(0.05)


async def connect(site, gateway):
    """Return callers with an open connection to a gateway."""
    callers = [Caller(f"{site.gateways[gateway].ip}:{site.ports['front']}") for _ in range(STREAMS)]
    answers = await asyncio.gather(
        *(caller.send("/lookup/x", f"open{n}") for n, caller in enumerate(callers))
    )
    assert {answer.status for answer in answers} == {200}
    return callers


async def take_up_on(callers, begun):
    """Take streams up on open connections."""
    taken_up = []
    for number, (first, event_id) in enumerate(begun.items()):
        send = callers[number].send(
            "/review/x", f"again-{first}", prefix=PREFIX.format(number), tokens="150,10",
            last_event_id=event_id, resumes=first,
        )  # fmt: skip
        taken_up.append(send)
    return await asyncio.gather(*taken_up)


@asynccontextmanager
async def open_stopped_gateway(folder):
    """Run a site of one version; yield it and callers of a gateway that is then stopped."""
    async with open_site(folder, ["v1"]) as site:
        await site.add_engine("desk-0", "desk")
        await asyncio.sleep(1.5)
        callers = await connect(site, STOPPED)
        site.signal_gateway(STOPPED, signal.SIGSTOP)
        yield site, callers


@pytest.mark.parametrize("is_first_killed", [False, True])
def test_stream_that_was_taken_up_at_a_stopped_gateway_is_not_joined(tmp_path, is_first_killed):
    """Guards against versions that were the only ones before the gateway stood still."""

    async def scenario():
        async with open_stopped_gateway(tmp_path) as (site, callers):
            stopped_until = asyncio.get_running_loop().time() + STOPPED_S
            await release(site)
            begun = await begin_streams(site, 0)
            if is_first_killed:
                site.gateways["gw-0"].process.kill()
            waiting = asyncio.create_task(take_up_on(callers, begun))
            await asyncio.sleep(stopped_until - asyncio.get_running_loop().time())
            site.signal_gateway(STOPPED, signal.SIGCONT)
            return site, await waiting

    site, answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    assert [answer.status for answer in answers] == [200] * STREAMS


@pytest.mark.parametrize("is_first_killed", [False, True])
def test_stream_goes_on_at_a_stopped_gateway_which_the_store_no_longer_answers(
    tmp_path, is_first_killed
):
    """Guards against a version that is believed, and against a refusal although others know."""

    async def scenario():
        async with open_stopped_gateway(tmp_path) as (site, callers):
            await release(site)
            begun = await begin_streams(site, 0)
            # The gateway that is silent towards the store learns of the engines from its peers.
            site.store.faults.affected_gateways = {STOPPED}
            site.store.faults.mode = "silent"
            if is_first_killed:
                site.gateways["gw-0"].process.kill()
            waiting = asyncio.create_task(take_up_on(callers, begun))
            await asyncio.sleep(2.0)
            site.signal_gateway(STOPPED, signal.SIGCONT)
            return site, await waiting

    site, answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    # Its peers name the version at once, and its engines a little later.
    assert {answer.status for answer in answers} <= {200, 503}


def test_stream_of_the_only_version_goes_on_while_the_store_is_away(tmp_path):
    """Guards against refusals of all that is taken up in an outage."""

    async def scenario():
        async with open_site(tmp_path, ["v1"]) as site:
            begun = await begin_streams(site, 0)
            site.store.faults.mode = "reset"
            await asyncio.sleep(1.0)
            return site, await take_up(site, 1, begun)

    site, answers = asyncio.run(scenario())
    assert joined_streams(site) == []
    assert [answer.status for answer in answers] == [200] * STREAMS
