"""A request whose handling raises gets the response that its progress allows."""

import asyncio

import pytest

from teaselpath.fleet import FleetConfig
from teaselpath.gateway._placement import Placer
from teaselpath.gateway._quarantine import QuarantineGate
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.front import Front, answer_headers, respond
from teaselpath.http1 import Exchange

STREAM = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "stream", "service": "s"}


def fail(*_args, **_options):
    raise KeyError("removed")


def play(arrange, handler=respond, **config) -> bytes:
    """Send a request to a gateway that ``arrange`` has changed; return the response."""

    async def scenario():
        async with Front() as front:
            front.put_config(**config)
            await front.add_endpoint("e", handler)
            arrange(front)
            response = await front.send()
            assert front.forwarder.running == 0
            return response

    return asyncio.run(scenario())


BROKEN_STEPS = [
    (FleetConfig, "find_route"),
    (GatewayState, "retry_budget"),
    (GatewayState, "pool"),
    (QuarantineGate, "admit"),
    (Placer, "_reserve"),
]


@pytest.mark.parametrize(("owner", "step"), BROKEN_STEPS)
def test_request_that_was_not_sent_is_refused_as_not_run(monkeypatch, owner, step):
    """A lookup that a new configuration made fail ended the connection without an answer."""
    response = play(lambda front: monkeypatch.setattr(owner, step, fail))
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in response
    assert b"Request-Id: r" in response


def break_record_of_outcome(front):
    front.forwarder._record_outcome = fail


def test_request_that_may_have_run_fails():
    async def run_and_close(exchange: Exchange):
        exchange.abort()

    response = play(break_record_of_outcome, run_and_close)
    assert response.startswith(b"HTTP/1.1 502 ")
    assert b"Retry-After" not in response


def test_answer_that_had_arrived_is_forwarded():
    assert play(break_record_of_outcome).endswith(b"\r\n\r\ndone")


def test_stream_that_has_begun_is_cut():
    async def stream_and_break(exchange: Exchange):
        exchange.start(200, answer_headers(exchange))
        exchange.write(b"id: 1\ndata: x\n\n")
        exchange.abort()

    response = play(break_record_of_outcome, stream_and_break, routes=[STREAM])
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.count(b"HTTP/1.1") == 1
    assert not response.endswith(b"0\r\n\r\n")


def test_connection_goes_on_after_a_failed_handler(monkeypatch):
    """A handler that failed behind its response left the requests behind it without one."""

    async def scenario():
        async with Front() as front:
            front.put_config()
            await front.add_endpoint("e", respond)
            monkeypatch.setattr(front.forwarder, "_log", fail)
            host, _, port = front.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            request = b"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n"
            writer.write(request + request)
            async with asyncio.timeout(10):
                for _ in range(2):
                    await reader.readuntil(b"\r\n\r\n")
                    assert await reader.readexactly(4) == b"done"
            writer.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(("is_sent", "status"), [(True, b"502"), (False, b"503")])
def test_request_whose_handler_is_cancelled_gets_an_answer_while_its_caller_waits(
    monkeypatch, is_sent, status
):
    """Any cancellation counted as the leaving of the caller, whose connection was closed."""

    async def scenario():
        has_begun = asyncio.Event()

        async def wait(*_args):
            has_begun.set()
            await asyncio.Event().wait()

        async with Front() as front:
            front.put_config()
            await front.add_endpoint("e", wait)
            if not is_sent:
                monkeypatch.setattr(front.forwarder.gate, "admit", wait)
            caller = asyncio.create_task(front.send())
            await has_begun.wait()
            (handler,) = front.forwarder.tasks
            handler.cancel()
            return await caller

    response = asyncio.run(scenario())
    assert response.startswith(b"HTTP/1.1 %b " % status)
    assert (b"Retry-After" in response) is not is_sent
