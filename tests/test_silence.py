"""End-to-end tests of sound engines that send nothing for a second or so and go on."""

import asyncio
import time
from collections import Counter
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.hosted import Caller, HostedSite

SILENCE_S = 1.2
PATHS = ["/query/x", "/review/x", "/pay/x", "/lookup/x"]


@asynccontextmanager
async def open_site(folder):
    async with HostedSite(folder, Random(23)) as site:
        for number in range(2):
            await site.add_engine(f"llm-{number}", "llm", "ab"[number % 2], is_model=True)
            await site.add_engine(f"desk-{number}", "desk", "ab"[number % 2])
        site.write_config()
        gateway = await site.start_gateway("gw-0", "127.0.0.2")
        await site.wait_until_ready(gateway)
        yield site


def fall_silent(site, service):
    for listed_engine in site.engines.values():
        if listed_engine.engine.service == service:
            listed_engine.engine.silent_until = time.monotonic() + SILENCE_S


def start_requests(caller, path):
    """Send a few requests at the same time and return their tasks."""

    async def send(n):
        prefix = f"aa{n % 5}:100,ff{n:04x}:50" if path[1] in "qr" else ""
        return await caller.send(path, f"r{n}", prefix=prefix)

    return [asyncio.create_task(send(n)) for n in range(6)]


@pytest.fixture
def folder(tmp_path):
    return tmp_path


# Silent before the request arrives, before the head of the answer, and between its events.
@pytest.mark.parametrize("silent_after_s", [None, 0.002, 0.02])
@pytest.mark.parametrize("path", PATHS)
def test_silence_of_a_sound_engine_breaks_no_request_and_runs_none_twice(
    folder, path, silent_after_s
):
    async def scenario():
        async with open_site(folder) as site:
            caller = Caller(f"127.0.0.2:{site.ports['front']}")
            service = "llm" if path[1] in "qr" else "desk"
            if silent_after_s is None:
                fall_silent(site, service)
            tasks = start_requests(caller, path)
            if silent_after_s is not None:
                await asyncio.sleep(silent_after_s)
                fall_silent(site, service)
            answers = await asyncio.gather(*tasks)
            runs = Counter(run.request_id for run in site.runs)
            return answers, runs, (folder / "gw-0.log").read_text()

    answers, runs, log = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {200}
    assert all(answer.is_complete for answer in answers)
    assert not any(answer.fault(is_stream=path[1] in "qr") for answer in answers)
    assert set(runs.values()) == {1}
    assert "engine_ended" not in log


def test_silent_engines_are_used_again_and_load_weights_once(folder):
    async def scenario():
        async with open_site(folder) as site:
            fall_silent(site, "llm")
            version = site.announce_weights()
            engines = [site.engines[f"llm-{n}"].engine for n in range(2)]
            async with asyncio.timeout(20.0):
                while any(engine.version != version for engine in engines):
                    await asyncio.sleep(0.05)
            caller = Caller(f"127.0.0.2:{site.ports['front']}")
            return engines, await asyncio.gather(*start_requests(caller, "/query/x"))

    engines, answers = asyncio.run(scenario())
    assert [engine.accepted_orders for engine in engines] == [1, 1]
    assert {answer.status for answer in answers} == {200}
