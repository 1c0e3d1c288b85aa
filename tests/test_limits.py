"""End-to-end tests of endpoints that state how many requests a second they take."""

import asyncio
import itertools
import time
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.hosted import Caller, HostedSite

GATEWAYS = 3
CALLERS = 16
LIMIT_PER_S = 2.0
# Bounds of the users' rule: time after the first statement from which requests count, window and
# requests in it, in seconds.
SETTLED_S, WINDOW_S = 4.0, 4.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5


@asynccontextmanager
async def open_limited_site(folder, limit, limited=2):
    async with HostedSite(folder, Random(13)) as site:
        for number in range(2):
            await site.add_engine(f"llm-{number}", "llm", "ab"[number % 2], is_model=True)
            await site.add_engine(f"desk-{number}", "desk", "ab"[number % 2])
        for service in ("llm", "desk"):
            for number in range(limited):
                site.engines[f"{service}-{number}"].engine.limit = limit
        site.write_config()
        await site.start_gateways(GATEWAYS)
        yield site


async def send_load(site, path, seconds, answers, gateways=range(GATEWAYS)):
    """Send for a while, with more callers at a time than find room before their deadline."""
    stop_at = time.monotonic() + seconds
    callers = [
        Caller(f"{site.gateways[f'gw-{n}'].ip}:{site.ports['front']}", "key-1") for n in gateways
    ]
    numbers = itertools.count()

    async def send_one_after_another(caller):
        while time.monotonic() < stop_at:
            n = next(numbers)
            prefix = f"aa{n % 5}:100,ff{n:04x}:50" if path.startswith("/query") else ""
            answers.append(await caller.send(path, f"l{n}", prefix=prefix))
            await asyncio.sleep(0.1)

    await asyncio.gather(*(send_one_after_another(c) for c in callers for _ in range(CALLERS)))


def most_in_window(engine) -> int:
    """Return the most requests that reached an engine in a window that counts."""
    arrivals = [at for at in engine.arrivals if at > engine.arrivals[0] + SETTLED_S]
    return max((sum(at <= t < at + WINDOW_S for t in arrivals) for at in arrivals), default=0)


@pytest.fixture
def folder(tmp_path):
    return tmp_path


@pytest.mark.parametrize("path", ["/query/x", "/lookup/x"])
def test_endpoints_get_no_more_requests_than_they_state_from_all_gateways_together(folder, path):
    async def scenario():
        async with open_limited_site(folder, str(LIMIT_PER_S)) as site:
            answers = []
            await send_load(site, path, 10.0, answers)
            return site, answers

    site, answers = asyncio.run(scenario())
    service = "llm" if path.startswith("/query") else "desk"
    for number in range(2):
        assert most_in_window(site.engines[f"{service}-{number}"].engine) <= ALLOWED
    refused = [answer for answer in answers if answer.status != 200]
    assert {answer.status for answer in refused} == {503}
    assert all(answer.retry_after_s > 0 for answer in refused)
    served = len(answers) - len(refused)
    assert served >= 2 * LIMIT_PER_S * SETTLED_S


def test_limit_ends_with_answers_that_state_none(folder):
    async def scenario():
        async with open_limited_site(folder, "0.5") as site:
            limited, free = [], []
            await send_load(site, "/lookup/x", 3.0, limited)
            for number in range(2):
                site.engines[f"desk-{number}"].engine.limit = None
            # The parts of the limit still let a request through now and then, whose answer ends it.
            await send_load(site, "/lookup/x", 8.0, [])
            await send_load(site, "/lookup/x", 2.0, free)
            return limited, free

    limited, free = asyncio.run(scenario())
    assert any(answer.status == 503 for answer in limited)
    assert {answer.status for answer in free} == {200}


@pytest.mark.parametrize("text", ["nan", "-1", "inf", "1e3", "", "2,5", "9" * 40])
def test_text_that_is_no_rate_does_not_limit(folder, text):
    async def scenario():
        async with open_limited_site(folder, text) as site:
            answers = []
            await send_load(site, "/lookup/x", 1.5, answers)
            return answers, (folder / "gw-0.log").read_text()

    answers, log = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {200}
    assert "endpoint_limit_invalid" in log


def test_limit_holds_while_gateways_are_killed_and_start_again(folder):
    async def scenario():
        async with open_limited_site(folder, str(LIMIT_PER_S)) as site:
            answers = []
            load = asyncio.create_task(send_load(site, "/lookup/x", 12.0, answers))
            for n in (0, 1):
                await asyncio.sleep(3.0)
                gateway = site.gateways[f"gw-{n}"]
                gateway.process.kill()
                await gateway.process.wait()
                await site.start_gateway(f"gw-{n}", f"127.0.0.{n + 2}", "ab"[n % 2])
            await load
            return site

    site = asyncio.run(scenario())
    for number in range(2):
        assert most_in_window(site.engines[f"desk-{number}"].engine) <= ALLOWED
