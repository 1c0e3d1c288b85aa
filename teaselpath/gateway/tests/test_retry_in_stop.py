"""A stopping gateway gives up no attempt for a retry that it will not make."""

import asyncio

from teaselpath.exchange import Stop
from teaselpath.gateway.tests.front import Front, answer_headers
from teaselpath.http1 import Exchange

ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/",
    "kind": "safe",
    "service": "s",
    "maxAttempts": 2,
    "targetLatencyMs": 200,
}


def test_attempt_is_not_ended_for_a_retry_that_the_stop_forbids():
    """Its answer was late; it was ended, then no time was left for another: 502."""

    async def answer_late(exchange: Exchange):
        await asyncio.sleep(0.8)
        exchange.respond(200, answer_headers(exchange), b"done")

    async def scenario():
        async with Front() as front:
            front.put_config(routes=[ROUTE])
            for name in ("e", "f"):
                await front.add_endpoint(name, answer_late)
            now = asyncio.get_running_loop().time()
            front.state.stop = Stop(now - 2.5, 8.0, now + 4.55, has_ready_peer=True)
            return await front.send()

    assert asyncio.run(scenario())[:12] == b"HTTP/1.1 200"
