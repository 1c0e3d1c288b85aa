"""Streams in an engine's answer with neither length nor chunks, ended by its connection."""

import asyncio
import socket
import struct
from typing import Any

import pytest

from teaselpath.gateway.tests.front import Front, answer_headers
from teaselpath.http1 import Exchange, encode_head

EVENTS = [b"id: 1\ndata: one\n\n", b": still there\n\n", b"id: 2\ndata: two\ndata: lines\n\n"]
STREAM = b"".join(EVENTS)
# Positions between two events, at which an engine that has finished and one that has ended look
# alike. Before the first event nothing has begun.
BOUNDARIES = {len(EVENTS[0]), len(EVENTS[0]) + len(EVENTS[1]), len(STREAM)}
LAST_CHUNK = b"0\r\n\r\n"
ROUTE = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "stream", "service": "s"}


def end_after(size: int, *, is_reset: bool):
    """Return a handler that sends a part of the stream and ends its connection."""

    async def answer(exchange: Exchange) -> None:
        headers = [*answer_headers(exchange), (b"Content-Type", b"text/event-stream")]
        connection = exchange.connection
        connection.write(encode_head(200, headers) + STREAM[:size])
        transport = connection.transport
        if is_reset and transport is not None:
            await asyncio.sleep(0.02)
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            transport.abort()
        exchange.abort()

    return answer


async def ask(size: int, *, is_reset: bool) -> bytes:
    async with Front() as front:
        front.put_config(routes=[ROUTE])
        await front.add_endpoint("e", end_after(size, is_reset=is_reset))
        return await front.send()


@pytest.mark.parametrize("is_reset", [False, True])
def test_stream_that_ends_at_any_byte_is_complete_only_between_events(is_reset):
    async def scenario():
        sizes = range(len(STREAM) + 1)
        return await asyncio.gather(*(ask(size, is_reset=is_reset) for size in sizes))

    for size, response in enumerate(asyncio.run(scenario())):
        looks_complete = response.startswith(b"HTTP/1.1 200") and response.endswith(LAST_CHUNK)
        assert looks_complete == (size in BOUNDARIES and not is_reset), (size, response)
        if looks_complete:
            assert STREAM[:size].endswith(b"\n\n")


@pytest.mark.parametrize("size", [0, 5, len(EVENTS[0]) + 3, len(STREAM) - 1])
def test_engine_whose_stream_ends_inside_an_event_is_looked_into(size):
    """Guards against requests that end engine after engine without evidence against them."""

    async def scenario():
        async with Front() as front:
            front.put_config(routes=[ROUTE])
            await front.add_endpoint("e", end_after(size, is_reset=False))
            detector: Any = front.forwarder.context.detector
            runs = []
            record_broken = detector.record_broken

            def record(view, run):
                runs.append((view.endpoint.endpoint_id, run.events))
                return record_broken(view, run)

            detector.record_broken = record
            await front.send()
            return runs

    assert asyncio.run(scenario()) == [("e", STREAM[:size].count(b"\n\n"))]
