"""End-to-end tests of engines that refuse requests for a stated time."""

import asyncio
import itertools
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.hosted import Caller, HostedSite

GATEWAYS = 2
# Longer than a test sends requests, in seconds.
LONG_S = 30.0
# Bounds of the users' rule: requests of one gateway that may reach an engine later than this time
# after its refusal, in seconds.
LATE_REQUESTS, LATE_S = 2, 0.5
PATHS = ["/query/x", "/review/x", "/pay/x", "/lookup/x"]


@asynccontextmanager
async def open_site(folder, engines=2, gateways=GATEWAYS):
    async with HostedSite(folder, Random(19)) as site:
        for number in range(engines):
            await site.add_engine(f"llm-{number}", "llm", "ab"[number % 2], is_model=True)
            await site.add_engine(f"desk-{number}", "desk", "ab"[number % 2])
        site.write_config()
        await site.start_gateways(gateways)
        yield site


def engine_of(site, path, number=0):
    service = "llm" if path.startswith(("/query", "/review")) else "desk"
    return site.engines[f"{service}-{number}"].engine


async def send_burst(site, path, numbers, *, count=8, timeout_s=8.0):
    """Send requests through each gateway at the same time and return the answers."""
    callers = [Caller(f"{g.ip}:{site.ports['front']}") for g in site.gateways.values()]

    async def send(gateway, caller):
        n = next(numbers)
        prefix = f"aa{n % 5}:100,ff{n:04x}:50" if path[1] in "qr" else ""
        return await caller.send(path, f"{gateway}-{n}", prefix=prefix, timeout_s=timeout_s)

    answers = await asyncio.gather(*(send(*c) for c in enumerate(callers) for _ in range(count)))
    for caller in callers:
        caller.close()
    return answers


def most_late_requests(engine) -> int:
    """Return the most requests of one gateway that reached an engine in a time without requests."""
    arrivals = list(zip(engine.arrivals, engine.arrival_ids, strict=True))
    return max(
        sum(
            refusal.at + LATE_S < at < refusal.at + float(refusal.retry_after)
            and gateway_of(request_id) == gateway_of(refusal.request_id)
            for at, request_id in arrivals
        )
        for refusal in engine.refusals
    )


def gateway_of(request_id: str) -> str:
    return request_id.partition("-")[0]


@pytest.fixture
def folder(tmp_path):
    return tmp_path


@pytest.mark.parametrize("store_mode", ["ok", "reset"])
@pytest.mark.parametrize("path", PATHS)
def test_engine_gets_no_requests_for_the_time_that_it_states(folder, path, store_mode):
    async def scenario():
        async with open_site(folder) as site:
            numbers, engine = itertools.count(), engine_of(site, path)
            site.store.faults.mode = store_mode
            engine.hold_offs.extend([str(LONG_S)] * 1000)
            answers = []
            for _ in range(4):
                answers += await send_burst(site, path, numbers)
                await asyncio.sleep(LATE_S)
            return answers, engine

    answers, engine = asyncio.run(scenario())
    assert most_late_requests(engine) <= LATE_REQUESTS
    assert {answer.status for answer in answers} == {200}
    assert not any(answer.fault(is_stream=path[1] in "qr") for answer in answers)


def test_engine_takes_requests_again_when_the_time_has_passed(folder):
    async def scenario():
        async with open_site(folder, engines=1) as site:
            numbers, engine = itertools.count(), engine_of(site, "/lookup/x")
            engine.hold_offs.append("0.6")
            # The requests wait, because the time ends well before their deadline.
            answers = await send_burst(site, "/lookup/x", numbers, count=3)
            return answers, len(engine.hold_offs)

    answers, left = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {200}
    assert left == 0


@pytest.mark.parametrize("path", ["/query/x", "/lookup/x"])
def test_callers_are_refused_at_once_if_no_engine_of_the_service_wants_requests(folder, path):
    async def scenario():
        async with open_site(folder, gateways=1) as site:
            numbers = itertools.count()
            for number in range(2):
                engine_of(site, path, number).hold_offs.extend(["20"] * 1000)
            first = await send_burst(site, path, numbers, timeout_s=4.0)
            await asyncio.sleep(LATE_S)
            before = [len(engine_of(site, path, number).arrivals) for number in range(2)]
            second = await send_burst(site, path, numbers, timeout_s=4.0)
            after = [len(engine_of(site, path, number).arrivals) for number in range(2)]
            return first, second, before, after

    first, second, before, after = asyncio.run(scenario())
    assert after == before
    assert {answer.status for answer in first + second} == {503}
    times = [answer.retry_after_s for answer in second]
    # True, and different for each of them.
    assert min(times) > 10.0
    assert len(set(times)) == len(times)
    assert min(answer.retry_after_s for answer in first) > 10.0


def test_restarted_engine_is_not_bound_by_what_the_process_before_stated(folder):
    async def scenario():
        async with open_site(folder, engines=1) as site:
            numbers = itertools.count()
            engine_of(site, "/lookup/x").hold_offs.extend([str(LONG_S)] * 1000)
            await send_burst(site, "/lookup/x", numbers, timeout_s=4.0)
            site.end_engine_process("desk-0")
            await site.restart_engine("desk-0")
            await asyncio.sleep(1.0)
            return await send_burst(site, "/lookup/x", numbers)

    assert {answer.status for answer in asyncio.run(scenario())} == {200}


@pytest.mark.parametrize("text", ["-1", "soon", "Fri, 31 Dec 1999 23:59:59 GMT"])
def test_text_that_is_no_time_keeps_no_requests_away(folder, text):
    async def scenario():
        async with open_site(folder, engines=1, gateways=1) as site:
            numbers = itertools.count()
            engine_of(site, "/lookup/x").hold_offs.append(text)
            await send_burst(site, "/lookup/x", numbers, count=1)
            answers = await send_burst(site, "/lookup/x", numbers)
            # The log is written after a moment.
            await asyncio.sleep(1.0)
            return answers, (folder / "gw-0.log").read_text()

    answers, log = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {200}
    assert "endpoint_hold_off_invalid" in log
