"""End-to-end tests of engines that state in their answers that they leave."""

import asyncio
import itertools
import signal
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.hosted import Caller, HostedSite

GATEWAYS = 3
DRAIN_S = 0.8
# Time within which all gateways know of a statement, in seconds.
KNOWN_S = 1.0
PATHS = ["/query/x", "/lookup/x"]


@asynccontextmanager
async def open_site(folder, engines=2):
    bounds = {"drainMs": DRAIN_S * 1000}
    async with HostedSite(folder, Random(17), bounds=bounds) as site:
        for number in range(engines):
            await site.add_engine(f"llm-{number}", "llm", "ab"[number % 2], is_model=True)
            await site.add_engine(f"desk-{number}", "desk", "ab"[number % 2])
        site.write_config()
        await site.start_gateways(GATEWAYS)
        yield site


def make_callers(site):
    return [Caller(f"{g.ip}:{site.ports['front']}") for g in site.gateways.values()]


async def send_each(callers, path, count, numbers):
    """Send requests through each of the gateways, on kept connections, and return the answers."""

    async def send_through(caller):
        answers = []
        for _ in range(count):
            n = next(numbers)
            prefix = f"aa{n % 5}:100,ff{n:04x}:50" if path.startswith("/query") else ""
            answers.append(await caller.send(path, f"r{n}", prefix=prefix))
        return answers

    return list(itertools.chain(*await asyncio.gather(*map(send_through, callers))))


def engine_of(site, path, number=0):
    service = "llm" if path.startswith("/query") else "desk"
    return site.engines[f"{service}-{number}"].engine


@pytest.fixture
def folder(tmp_path):
    return tmp_path


@pytest.mark.parametrize("store_mode", ["ok", "reset", "silent"])
@pytest.mark.parametrize("path", PATHS)
def test_engine_that_leaves_gets_no_request_after_the_drain_time(folder, path, store_mode):
    async def scenario():
        async with open_site(folder) as site:
            callers, numbers = make_callers(site), itertools.count()
            engine = engine_of(site, path)
            site.store.faults.mode = store_mode
            # The others refuse nothing, so each gateway has had an answer of this engine.
            engine.leaving = "1"
            await send_each(callers, path, 8, numbers)
            await asyncio.sleep(DRAIN_S + KNOWN_S)
            before = len(engine.arrivals)
            answers = await send_each(callers, path, 10, numbers)
            log = (folder / "gw-0.log").read_text()
            return answers, before, len(engine.arrivals), log

    answers, before, after, log = asyncio.run(scenario())
    assert after == before
    assert {answer.status for answer in answers} == {200}
    assert "endpoint_leaving" in log


def test_engine_that_leaves_gets_no_request_when_a_stale_record_lists_it_again(folder):
    async def scenario():
        async with open_site(folder) as site:
            callers, numbers = make_callers(site), itertools.count()
            engine = engine_of(site, "/lookup/x")
            engine.leaving = "1"
            await send_each(callers, "/lookup/x", 8, numbers)
            site.drain_engine("desk-0")
            await asyncio.sleep(KNOWN_S)
            site.store.put("keyed.servers", "desk-0", None)
            await asyncio.sleep(DRAIN_S + KNOWN_S)
            # The heartbeats list it again, by now as ready.
            engine.state = "ready"
            await asyncio.sleep(KNOWN_S)
            before = len(engine.arrivals)
            answers = await send_each(callers, "/lookup/x", 10, numbers)
            return answers, before, len(engine.arrivals)

    answers, before, after = asyncio.run(scenario())
    assert after == before
    assert {answer.status for answer in answers} == {200}


def test_only_engine_of_a_service_serves_while_it_drains_and_no_longer(folder):
    async def scenario():
        async with open_site(folder, engines=1) as site:
            callers, numbers = make_callers(site), itertools.count()
            engine = engine_of(site, "/lookup/x")
            engine.leaving = "1"
            draining = await send_each(callers, "/lookup/x", 2, numbers)
            await asyncio.sleep(DRAIN_S + KNOWN_S)
            before = len(engine.arrivals)
            left = await send_each(callers, "/lookup/x", 3, numbers)
            site.end_engine_process("desk-0")
            await site.restart_engine("desk-0")
            await asyncio.sleep(KNOWN_S)
            return (
                draining,
                left,
                before,
                len(engine.arrivals),
                await send_each(callers, "/lookup/x", 2, numbers),
            )

    draining, left, before, after, restarted = asyncio.run(scenario())
    assert after == before
    assert {answer.status for answer in draining} == {200}
    assert {answer.status for answer in left} == {503}
    assert all(answer.retry_after_s > 0 for answer in left)
    assert {answer.status for answer in restarted} == {200}


def test_gateway_that_starts_again_learns_from_its_peers_which_engines_leave(folder):
    async def scenario():
        async with open_site(folder) as site:
            callers, numbers = make_callers(site), itertools.count()
            engine = engine_of(site, "/lookup/x")
            engine.leaving = "1"
            await send_each(callers, "/lookup/x", 8, numbers)
            site.signal_gateway("gw-1", signal.SIGKILL)
            await site.gateways["gw-1"].process.wait()
            restarted = await site.start_gateway("gw-1", "127.0.0.3", "b")
            await site.wait_until_ready(restarted)
            await asyncio.sleep(DRAIN_S + KNOWN_S)
            before = len(engine.arrivals)
            await send_each(make_callers(site)[1:2], "/lookup/x", 10, numbers)
            return before, len(engine.arrivals), restarted.log.read_text()

    before, after, log = asyncio.run(scenario())
    assert after == before
    assert "peer gw-" in log


@pytest.mark.parametrize("text", ["0", "true"])
def test_other_text_does_not_keep_requests_away(folder, text):
    async def scenario():
        async with open_site(folder, engines=1) as site:
            callers, numbers = make_callers(site), itertools.count()
            engine_of(site, "/lookup/x").leaving = text
            await send_each(callers, "/lookup/x", 2, numbers)
            await asyncio.sleep(DRAIN_S + KNOWN_S)
            answers = await send_each(callers, "/lookup/x", 3, numbers)
            return answers, (folder / "gw-0.log").read_text()

    answers, log = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {200}
    assert "endpoint_leaving_invalid" in log
