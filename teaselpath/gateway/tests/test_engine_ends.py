"""Engines that end are told from broken answers and from planned ends."""

import asyncio

import pytest

from teaselpath.gateway._engine_ends import BrokenRun, EngineEnd, EngineEndDetector
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway.tests.conftest import endpoint_record, removal_record
from teaselpath.http1 import HttpClient

RUNS = [BrokenRun("r1", ("m/p",), 0, 0.1), BrokenRun("r2", ("m/q",), 3, 0.5)]


async def open_server():
    """Listen on loopback; return the server and its address."""
    server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def detect(state, address, **fields):
    """Break off two answers of an engine; return what is reported and the verdicts on its end."""
    state.apply_endpoint_record(endpoint_record("e", 1, address=address, **fields), "store", 1.0)
    ends: list[EngineEnd] = []
    detector = EngineEndDetector(state, HttpClient(), GatewayMetrics("gw-0"), ends.append)
    view = state.views["e"]
    found = [await task for task in [detector.record_broken(view, run) for run in RUNS]]
    return ends, found, view


def test_engine_whose_address_refuses_connections_has_ended(state):
    async def scenario():
        server, address = await open_server()
        server.close()
        await server.wait_closed()
        return await detect(state, address)

    ends, found, view = asyncio.run(scenario())
    assert found == [True, True]
    assert [(end.number, end.runs) for end in ends] == [(view.endpoint.number, tuple(RUNS))]


def test_engine_that_listens_has_not_ended(state):
    async def scenario():
        server, address = await open_server()
        detected = await detect(state, address)
        server.close()
        return detected

    ends, found, _ = asyncio.run(scenario())
    assert (ends, found) == ([], [False, False])


@pytest.mark.parametrize("is_listed", [True, False])
def test_end_of_an_engine_that_was_to_leave_is_no_evidence(state, is_listed):
    async def scenario():
        server, address = await open_server()
        server.close()
        await server.wait_closed()
        state.apply_endpoint_record(endpoint_record("e", 1, address=address), "store", 1.0)
        ends: list[EngineEnd] = []
        detector = EngineEndDetector(state, HttpClient(), GatewayMetrics("gw-0"), ends.append)
        task = detector.record_broken(state.views["e"], RUNS[0])
        leaving = endpoint_record("e", 2, address=address, state="draining")
        removed = removal_record("e", 2)
        state.store_up = True
        state.apply_endpoint_record(leaving if is_listed else removed, "store", 100.0)
        return await task, ends

    assert asyncio.run(scenario()) == (False, [])


def test_end_of_an_engine_that_said_it_leaves_is_no_evidence(state):
    async def scenario():
        server, address = await open_server()
        server.close()
        await server.wait_closed()
        state.apply_endpoint_record(endpoint_record("e", 1, address=address), "store", 1.0)
        ends: list[EngineEnd] = []
        detector = EngineEndDetector(state, HttpClient(), GatewayMetrics("gw-0"), ends.append)
        task = detector.record_broken(state.views["e"], RUNS[0])
        state.views["e"].availability.record_leaving(100.0)
        return await task, ends

    assert asyncio.run(scenario()) == (False, [])
