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
