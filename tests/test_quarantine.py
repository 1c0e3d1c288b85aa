"""End-to-end tests of gateways whose engines end when they begin to answer on a prompt part."""

import asyncio
import itertools
import json

import pytest
from click.testing import CliRunner

from teaselpath.cli import main
from tests.crashing import (
    GATEWAYS,
    MAX_ENDS,
    MAX_LATE_SENDS,
    open_crashing_site,
    restart_gateways,
)

DEADLY = "dead01"
# Time in which gateways write verdicts again that the store has lost.
VERDICT_RETURN_S = 8.0


async def send_sound_load(crashing, stop, answers):
    for n in itertools.count():
        if stop.is_set():
            return
        answers.append(await crashing.send(n % GATEWAYS, "aa11", f"bb{n % 4}"))
        await asyncio.sleep(0.02)


@pytest.fixture
def folder(tmp_path):
    return tmp_path


def test_part_that_crashes_engines_is_not_sent_to_engine_after_engine(folder):
    async def scenario():
        async with open_crashing_site(folder, [DEADLY]) as crashing:
            stop, sound = asyncio.Event(), []
            load = asyncio.create_task(send_sound_load(crashing, stop, sound))
            deadly = []
            for n in range(24):
                deadly.append(await crashing.send(n % GATEWAYS, "aa11", DEADLY))
                await asyncio.sleep(0.1)
            before = len(sound)
            late = [await crashing.send(n % GATEWAYS, "aa11", f"bb{n % 4}") for n in range(12)]
            stop.set()
            await load
            return crashing, deadly, late, len(sound) - before

    crashing, deadly, late, _ = asyncio.run(scenario())
    assert len(crashing.ends) <= MAX_ENDS
    assert crashing.deadly_sends() <= MAX_ENDS + MAX_LATE_SENDS
    assert {answer.status for answer in late} == {200}
    refused = deadly[-6:]
    assert {answer.status for answer in refused} == {503}
    assert all(answer.retry_after_s > 60 for answer in refused)


async def send_until_refused(crashing):
    for n in range(40):
        answer = await crashing.send(n % GATEWAYS, "aa11", DEADLY)
        if answer.retry_after_s and answer.retry_after_s > 60:
            return
        await asyncio.sleep(0.1)
    pytest.fail("no verdict after 40 requests")


def test_verdict_survives_the_restart_of_every_gateway(folder):
    async def scenario():
        async with open_crashing_site(folder, [DEADLY]) as crashing:
            await send_until_refused(crashing)
            site = crashing.site
            await asyncio.sleep(0.5)
            await restart_gateways(site)
            ends = len(crashing.ends)
            answers = [await crashing.send(n % GATEWAYS, "aa11", DEADLY) for n in range(6)]
            return answers, len(crashing.ends) - ends

    answers, ends = asyncio.run(scenario())
    assert [answer.status for answer in answers] == [503] * 6
    assert ends == 0


def test_verdict_is_written_again_when_the_store_has_lost_it(folder):
    async def scenario():
        async with open_crashing_site(folder, [DEADLY]) as crashing:
            site = crashing.site
            copied = site.store.copy_topics()
            await send_until_refused(crashing)
            await asyncio.sleep(0.5)
            site.store.restore(copied)
            site.repeat_config()
            await asyncio.sleep(VERDICT_RETURN_S)
            await restart_gateways(site)
            ends = len(crashing.ends)
            answers = [await crashing.send(n % GATEWAYS, "aa11", DEADLY) for n in range(6)]
            return answers, len(crashing.ends) - ends

    answers, ends = asyncio.run(scenario())
    assert [answer.status for answer in answers] == [503] * 6
    assert ends == 0


def test_operator_lists_and_lifts_a_verdict(folder):
    async def scenario():
        async with open_crashing_site(folder, [DEADLY]) as crashing:
            await send_until_refused(crashing)
            site = crashing.site
            address = f"{site.gateways['gw-0'].ip}:{site.ports['peer']}"
            runner = CliRunner()
            arguments = ["verdicts", "list", "--json", "--gateway", address]
            listed = await asyncio.to_thread(runner.invoke, main, arguments)
            verdict = json.loads(listed.output)[0]
            arguments = ["verdicts", "lift", verdict["verdict"], "--gateway", address]
            lifted = await asyncio.to_thread(runner.invoke, main, arguments)
            crashing.deadly.clear()
            await asyncio.sleep(0.5)
            answers = [await crashing.send(n % GATEWAYS, "aa11", DEADLY) for n in range(6)]
            again = await asyncio.to_thread(runner.invoke, main, arguments)
            return verdict, lifted, answers, again

    verdict, lifted, answers, again = asyncio.run(scenario())
    assert any(part.endswith(DEADLY) for part in verdict["parts"])
    assert lifted.exit_code == 0
    assert [answer.status for answer in answers] == [200] * 6
    assert again.exit_code == 1


@pytest.mark.parametrize("mode", ["reset", "silent"])
def test_part_is_judged_at_all_gateways_while_the_store_is_away(folder, mode):
    async def scenario():
        async with open_crashing_site(folder, [DEADLY]) as crashing:
            crashing.site.store.faults.mode = mode
            await send_until_refused(crashing)
            await asyncio.sleep(0.5)
            answers = [await crashing.send(n % GATEWAYS, "aa11", DEADLY) for n in range(6)]
            return answers, len(crashing.ends)

    answers, ends = asyncio.run(scenario())
    assert [answer.status for answer in answers] == [503] * 6
    assert ends <= MAX_ENDS
