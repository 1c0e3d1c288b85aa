"""Rollouts of software that an operator asks for, with gateway processes."""

import asyncio
import itertools
import json
import signal
from contextlib import asynccontextmanager
from random import Random

from standins.hosted import EngineFaults, HostedSite
from tests.test_gateway import assert_whole, make_caller, wait_until

GATEWAYS = 3
DURATION_S = 12
SEND_INTERVAL_S = 0.02
FINAL = ("succeeded", "rolled_back")


@asynccontextmanager
async def open_rollout(folder, faults):
    """Yield a site under load, with an order and engines of its target, and the answers so far."""
    async with HostedSite(folder, Random(7), contracts=["rollout"]) as site:
        for number in range(4):
            await site.add_engine(f"old-{number}", "desk", "ab"[number % 2])
        site.write_config()
        await site.start_gateways(GATEWAYS)
        answers: list = []
        load = asyncio.create_task(send_load(site, answers))
        order = {"service": "desk", "target": "v2", "durationS": DURATION_S}
        site.store.put("keyed.op", "rollout/desk", order)
        for number in range(4):
            engine = await site.add_engine(f"new-{number}", "desk", "ab"[number % 2], software="v2")
            engine.faults = faults
        try:
            yield site, answers
        finally:
            load.cancel()


async def send_load(site, answers):
    callers = [make_caller(site, f"gw-{n}") for n in range(GATEWAYS)]
    tasks: set[asyncio.Task] = set()

    async def send(caller, number):
        answers.append(await caller.send("/lookup/x", f"r{number}"))

    for number in itertools.count():
        gateway = number % GATEWAYS
        if site.gateways[f"gw-{gateway}"].process.returncode is None:
            task = asyncio.create_task(send(callers[gateway], number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(SEND_INTERVAL_S / GATEWAYS)


def read_status(site) -> dict:
    records = dict(site.store._topic("keyed.status").records)
    return json.loads(records["rollout/desk"]) if records else {"state": None}


async def wait_for_end(site) -> dict:
    await wait_until(lambda: read_status(site)["state"] in FINAL, "the rollout has no end")
    return read_status(site)


def count_runs(site, software) -> int:
    return sum(run.software == software for run in site.runs)


def test_good_version_gets_all_requests_before_the_old_engines_stop(tmp_path):
    """Guards against answers that are lost as the old engines stop at once."""

    async def scenario():
        async with open_rollout(tmp_path, EngineFaults()) as (site, answers):
            status = await wait_for_end(site)
            for number in range(4):
                site.crash_engine(f"old-{number}")
            before = len(answers)
            await wait_until(lambda: len(answers) > before + 200, "no answers any more")
            return status, list(answers)

    status, answers = asyncio.run(scenario())
    assert (status["state"], status["target"], status["avoided"]) == ("succeeded", "v2", ["v1"])
    assert_whole(answers, is_stream=False)


def test_bad_version_is_rolled_back_though_its_decider_is_killed(tmp_path):
    """Guards against a verdict that is lost with the gateway that would write it."""

    async def scenario():
        async with open_rollout(tmp_path, EngineFaults(errors=0.4)) as (site, answers):
            await wait_until(lambda: count_runs(site, "v2") > 0, "the target gets nothing")
            _, lease = site.store._topic("keyed.lease").records[-1]
            site.signal_gateway(json.loads(lease)["holder"], signal.SIGKILL)
            status = await wait_for_end(site)
            exposed, sent = count_runs(site, "v2"), len(answers)
            await wait_until(lambda: len(answers) > sent + 200, "no answers any more")
            return status, exposed, count_runs(site, "v2"), len(site.runs)

    status, exposed, exposed_later, runs = asyncio.run(scenario())
    assert (status["state"], status["target"], status["avoided"]) == ("rolled_back", "v2", ["v2"])
    assert status["reason"]
    assert exposed_later == exposed
    assert exposed <= 0.1 * runs + 50
