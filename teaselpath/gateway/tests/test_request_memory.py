"""Bodies of requests have a limit for all together, which small requests do not run into first."""

import asyncio

from teaselpath.gateway.tests.front import Front, answer_headers
from teaselpath.http1 import Exchange, RequestMemory

LARGE = b"x" * 150_000
LIMIT_BYTES = 200_000


def test_large_request_beyond_the_memory_is_refused_and_small_ones_are_served():
    """Engines that read slowly made the gateway exceed the memory of its machine."""
    release = asyncio.Event()

    async def answer_late(exchange: Exchange):
        if len(exchange.request.body) == len(LARGE):
            await release.wait()
        exchange.respond(200, answer_headers(exchange), b"done")

    async def scenario():
        async with Front(RequestMemory(LIMIT_BYTES)) as front:
            front.put_config()
            await front.add_endpoint("e", answer_late)
            waiting = asyncio.create_task(front.send(request_id="r1", body=LARGE))
            while front.bodies.held_bytes < len(LARGE):
                await asyncio.sleep(0.01)
            refused = await front.send(request_id="r2", body=LARGE)
            small = await front.send(request_id="r3", body=b"x" * 60_000)
            held = front.bodies.held_bytes
            release.set()
            served = await waiting
            return refused, small, held, served, front.bodies.held_bytes

    refused, small, held, served, left = asyncio.run(scenario())
    assert refused.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in refused
    assert b"Request-Id: r2" in refused
    assert small.startswith(b"HTTP/1.1 200 ")
    assert served.startswith(b"HTTP/1.1 200 ")
    assert held <= LIMIT_BYTES
    assert left == 0


def test_memory_is_free_after_callers_that_leave_in_the_middle_of_a_body():
    async def scenario():
        async with Front(RequestMemory(LIMIT_BYTES)) as front:
            host, _, port = front.address.rpartition(":")
            held = []
            for _ in range(3):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n\r\n")
                writer.write(LARGE[:100_000])
                await writer.drain()
                await asyncio.sleep(0.1)
                held.append(front.bodies.held_bytes)
                writer.transport.abort()
                await asyncio.sleep(0.1)
            return held, front.bodies.held_bytes

    held, left = asyncio.run(scenario())
    assert held == [100_000] * 3
    assert left == 0
