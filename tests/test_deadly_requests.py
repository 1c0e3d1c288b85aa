"""End-to-end tests of gateways whose engines end when they begin to run one request."""

import asyncio
import itertools

import pytest

from tests.crashing import (
    GATEWAYS,
    MAX_ENDS,
    MAX_LATE_SENDS,
    open_crashing_site,
    restart_gateways,
)

DEADLY_BODY = b'{"visit": "deadly"}'
HOT_PART = "aa11"
INTERVAL_S = 0.1
# Shortest Retry-After of a request that is refused for good, in seconds.
MIN_VERDICT_S = 60.0


async def send_deadly(crashing, kind: str, gateway: int):
    if kind == "prompt":
        return await crashing.send(gateway, HOT_PART, own_part="0ead", body=DEADLY_BODY)
    return await crashing.send_plain(gateway, f"/{kind}/x", DEADLY_BODY)


async def send_sound(crashing, kind: str, number: int):
    if kind == "prompt":
        return await crashing.send(number % GATEWAYS, HOT_PART)
    return await crashing.send_plain(number % GATEWAYS, f"/{kind}/x", b'{"visit": %d}' % number)


async def send_sound_load(crashing, kind, stop):
    for number in itertools.count():
        if stop.is_set():
            return
        await send_sound(crashing, kind, number)
        await asyncio.sleep(0.02)


async def send_until_refused(crashing, kind):
    for n in range(60):
        answer = await send_deadly(crashing, kind, n % GATEWAYS)
        if answer.retry_after_s and answer.retry_after_s > MIN_VERDICT_S:
            return
        await asyncio.sleep(INTERVAL_S)
    pytest.fail("no verdict after 60 requests")


@pytest.mark.parametrize("kind", ["lookup", "pay", "prompt"])
def test_request_that_crashes_engines_is_not_sent_to_engine_after_engine(tmp_path, kind):
    async def scenario():
        async with open_crashing_site(tmp_path, deadly_bodies=[DEADLY_BODY]) as crashing:
            stop = asyncio.Event()
            load = asyncio.create_task(send_sound_load(crashing, kind, stop))
            refused = []
            for n in range(40):
                refused.append(await send_deadly(crashing, kind, n % GATEWAYS))
                await asyncio.sleep(INTERVAL_S)
            stop.set()
            await load
            sound = [await send_sound(crashing, kind, 1000 + n) for n in range(12)]
            return crashing, refused[-6:], sound

    crashing, refused, sound = asyncio.run(scenario())
    assert crashing.deadly_sends() <= MAX_ENDS + MAX_LATE_SENDS
    assert {answer.status for answer in sound} == {200}
    assert {answer.status for answer in refused} == {503}
    assert all(answer.retry_after_s > MIN_VERDICT_S for answer in refused)


def test_verdict_on_a_request_survives_the_restart_of_every_gateway(tmp_path):
    async def scenario():
        async with open_crashing_site(tmp_path, deadly_bodies=[DEADLY_BODY]) as crashing:
            await send_until_refused(crashing, "pay")
            await asyncio.sleep(0.5)
            await restart_gateways(crashing.site)
            ends = len(crashing.ends)
            answers = [await send_deadly(crashing, "pay", n % GATEWAYS) for n in range(6)]
            return answers, len(crashing.ends) - ends

    answers, ends = asyncio.run(scenario())
    assert [answer.status for answer in answers] == [503] * 6
    assert ends == 0


@pytest.mark.parametrize("mode", ["reset", "silent"])
def test_request_is_judged_at_all_gateways_while_the_store_is_away(tmp_path, mode):
    async def scenario():
        async with open_crashing_site(tmp_path, deadly_bodies=[DEADLY_BODY]) as crashing:
            crashing.site.store.faults.mode = mode
            await send_until_refused(crashing, "lookup")
            await asyncio.sleep(0.5)
            answers = [await send_deadly(crashing, "lookup", n % GATEWAYS) for n in range(6)]
            return answers, crashing.deadly_sends()

    answers, sends = asyncio.run(scenario())
    assert [answer.status for answer in answers] == [503] * 6
    assert sends <= MAX_ENDS + MAX_LATE_SENDS
