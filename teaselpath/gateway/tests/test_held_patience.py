"""An answer that is held back is worth something only while its caller waits."""

import asyncio

from teaselpath.exchange import Stop
from teaselpath.gateway.tests.front import Front, answer_headers
from teaselpath.http1 import Exchange

ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/",
    "kind": "stream",
    "service": "s",
    "targetLatencyMs": 500,
    "gapAimMs": 100,
}
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n"
# Callers abandon a stream without an event for the longest of two seconds, four times the
# objective and eight times the longest pause.
CALLER_PATIENCE_S = 2.0


def test_caller_of_a_held_stream_receives_something_before_it_leaves():
    """The engine made an event each 0.2 s, and all were held back until the caller had left."""

    async def stream_slowly(exchange: Exchange):
        exchange.start(200, answer_headers(exchange))
        for number in range(12):
            exchange.write(b"id: %d\ndata: x\n\n" % (number + 1))
            await asyncio.sleep(0.2)
        exchange.finish()

    async def scenario():
        async with Front() as front:
            front.put_config(routes=[ROUTE])
            await front.add_endpoint("e", stream_slowly)
            now = asyncio.get_running_loop().time()
            front.state.stop = Stop(now - 4.0, 8.0, now + 3.05)
            host, _, port = front.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(REQUEST)
            try:
                async with asyncio.timeout(CALLER_PATIENCE_S):
                    return await reader.read(12)
            except TimeoutError:
                return b""
            finally:
                writer.close()

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 ")


def play(handler, routes, observed_s=None) -> bytes:
    """Send a request four seconds after SIGTERM, and three before the end; return the response."""

    async def scenario():
        async with Front() as front:
            front.put_config(routes=routes)
            await front.add_endpoint("e", handler)
            now = asyncio.get_running_loop().time()
            front.state.stop = Stop(now - 4.0, 8.0, now + 3.05)
            if observed_s is not None:
                times = front.forwarder.times
                number = times.begin(("r", False), now - observed_s)
                times.end(("r", False), number, now, was_sent=True)
            return await front.send()

    return asyncio.run(scenario())


async def finish_late(exchange: Exchange):
    exchange.start(200, answer_headers(exchange))
    exchange.write(b"id: 1\ndata: x\n\n")
    await asyncio.sleep(CALLER_PATIENCE_S + 0.2)
    exchange.finish()


def test_stream_that_is_expected_after_its_caller_has_left_is_refused_as_not_run():
    """Its caller can still go elsewhere; it fitted into the stop, and was taken."""
    response = play(finish_late, [ROUTE], observed_s=1.4)
    assert response.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After" in response


def test_answer_that_is_no_stream_is_held_as_long_as_the_stop_lasts():
    """Its caller waits until its deadline."""
    response = play(finish_late, [{**ROUTE, "kind": "unsafe"}])
    assert response.startswith(b"HTTP/1.1 200 ")


def test_large_stream_that_its_caller_does_not_wait_for_gets_a_failure_before_it_leaves():
    """Beyond 256 KiB it began without a look at when it would end, and was cut by the stop."""

    async def stream_much(exchange: Exchange):
        exchange.start(200, answer_headers(exchange))
        events = [b"id: %d\ndata: %b\n\n" % (n, b"x" * 1000) for n in range(1, 400)]
        exchange.write(b"".join(events))
        await asyncio.sleep(CALLER_PATIENCE_S + 0.2)
        exchange.finish()

    response = play(stream_much, [ROUTE])
    assert response.startswith(b"HTTP/1.1 502 ")
    assert response.endswith(b"\r\n\r\n")
