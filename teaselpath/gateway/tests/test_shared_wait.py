"""Requests that wait for the same finding about an engine do not depend on each other."""

import asyncio
from typing import Any, cast

import pytest

from teaselpath.dispatch import Broken, Outcome
from teaselpath.gateway._engine_ends import BrokenRun, EngineEnd, EngineEndDetector
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway.tests.conftest import endpoint_record
from teaselpath.gateway.tests.front import Front
from teaselpath.http1 import Exchange, HttpClient

ENGINE = {"name": "s", "engine": {"kvCapacityTokens": 100_000}}
REQUEST = (
    "POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nModel: m\r\nToken-Counts: 10,10\r\n"
    "Prompt-Prefix: a%d:10\r\nContent-Length: 0\r\n\r\n"
)
RUNS = [BrokenRun("r1", ("m/p",), 0, 0.1), BrokenRun("r2", ("m/q",), 0, 0.1)]


def test_caller_that_leaves_takes_the_answer_from_no_other_caller():
    """Both waited for one check of their engine, which was cancelled for both."""

    async def scenario():
        arrived, ending = [], asyncio.Event()

        async def break_off(exchange: Exchange):
            arrived.append(exchange)
            await ending.wait()
            exchange.abort()

        async with Front() as front:
            front.put_config(services=[ENGINE])
            await front.add_endpoint("e", break_off)
            host, _, port = front.address.rpartition(":")
            callers = []
            for number in (1, 2):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write((REQUEST % (number, number)).encode())
                callers.append((reader, writer))
            while len(arrived) < len(callers):
                await asyncio.sleep(0)
            ending.set()
            suspicions = front.forwarder.context.detector.suspicions
            while not any(len(s.runs) == len(callers) for s in suspicions.values()):
                await asyncio.sleep(0)
            callers[0][1].close()
            async with asyncio.timeout(5):
                return await callers[1][0].read(12)

    assert asyncio.run(scenario()) == b"HTTP/1.1 502"


def test_claim_of_a_trial_outlasts_the_check_of_its_engine_though_its_caller_leaves(monkeypatch):
    """It was released when the caller left, so that the next trial did not wait for a judgement."""

    async def scenario():
        order: list[str] = []

        async def end(exchange: Exchange):
            front.endpoints[0].close()
            exchange.abort()

        async with Front() as front:
            front.put_config(services=[ENGINE])
            await front.add_endpoint("e", end)
            gate = front.forwarder.gate

            async def claim(call):
                assert await gate._claim_trial(call, frozenset(call.request.prompt.shared_keys))

            monkeypatch.setattr(gate, "admit", claim)
            monkeypatch.setattr(gate, "may_send", lambda call: True)
            monkeypatch.setattr(gate, "_judge", lambda parts: order.append("judged"))
            monkeypatch.setattr(gate, "_release", lambda number: order.append("released"))
            host, _, port = front.address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write((REQUEST % (1, 1)).replace("a1:10", "b:5,a1:5").encode())
            while not front.forwarder.context.detector.suspicions:
                await asyncio.sleep(0)
            writer.close()
            async with asyncio.timeout(5):
                while len(order) < 2:
                    await asyncio.sleep(0.01)
            return order

    assert asyncio.run(scenario()) == ["judged", "released"]


@pytest.mark.parametrize("has_started", [False, True])
def test_request_that_is_cancelled_leaves_the_check_of_its_engine_to_others(state, has_started):
    """The check was cancelled; before its first step, each later request was cancelled as well."""

    async def wait(detector, run):
        return await detector.record_broken(state.views["e"], run)

    async def scenario():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        record = endpoint_record("e", 1, address=f"{host}:{port}")
        state.apply_endpoint_record(record, "store", 1.0)
        ends: list[EngineEnd] = []
        detector = EngineEndDetector(state, HttpClient(), GatewayMetrics("gw-0"), ends.append)
        first = asyncio.create_task(wait(detector, RUNS[0]))
        await asyncio.sleep(0.01 if has_started else 0)
        if has_started:
            second = asyncio.create_task(wait(detector, RUNS[1]))
            await asyncio.sleep(0)
            first.cancel()
        else:
            first.cancel()
            await asyncio.wait([first])
            second = asyncio.create_task(wait(detector, RUNS[1]))
        await asyncio.wait([second])
        return second.cancelled(), len(ends)

    assert asyncio.run(scenario()) == (False, 1)


def test_answer_that_broke_off_counts_in_a_rollout_though_its_caller_leaves():
    """Its request was kept as one in flight for good, and counted as slow later."""

    class Rollouts:
        """A rollout that records which requests have ended, and how."""

        def __init__(self) -> None:
            self.finished: list[tuple[object, Outcome | None]] = []

        def choices(self, _call, _now) -> list[None]:
            return [None]

        def begin(self, _call, _placed) -> str:
            return "flight"

        def finish(self, flight: object, outcome: Outcome | None, *, lost: bool = False) -> None:
            assert not lost
            self.finished.append((flight, outcome))

    async def scenario():
        async def break_off(exchange: Exchange):
            exchange.abort()

        async with Front() as front:
            front.put_config(services=[ENGINE])
            await front.add_endpoint("e", break_off)
            rollouts = Rollouts()
            front.forwarder.placer.rollouts = cast(Any, rollouts)
            host, _, port = front.address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write((REQUEST % (1, 1)).encode())
            while not front.forwarder.context.detector.suspicions:
                await asyncio.sleep(0)
            writer.close()
            async with asyncio.timeout(2):
                while not rollouts.finished:
                    await asyncio.sleep(0.01)
            return rollouts.finished

    assert asyncio.run(scenario()) == [("flight", Broken())]
