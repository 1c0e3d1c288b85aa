"""What counts as the time that requests take."""

import asyncio

import pytest

from teaselpath.exchange import Stop
from teaselpath.gateway.tests.front import Front, answer_headers, respond
from teaselpath.http1 import Exchange


async def reject(exchange: Exchange):
    exchange.respond(503, [(b"Not-Run", b"1"), *answer_headers(exchange)])


@pytest.mark.parametrize("is_rejected", [True, False])
def test_requests_that_no_endpoint_ran_say_nothing_about_times(is_rejected, monkeypatch):
    """Quick rejections, and refusals by the stop itself, counted as quick answers."""

    async def scenario():
        async with Front() as front:
            front.put_config()
            await front.add_endpoint("e", reject if is_rejected else respond)
            loop, forwarder = asyncio.get_running_loop(), front.forwarder
            if not is_rejected:
                # The time runs out between the admission and the send.
                now = loop.time()
                front.state.stop = Stop(now - 4.0, 8.0, now + 3.05)
                has_time = iter([True, False])
                monkeypatch.setattr(forwarder.admission, "has_time", lambda *_: next(has_time))
            response = await front.send()
            return response, forwarder.times.quantile_s(("r", False), 1.0, loop.time())

    response, observed_s = asyncio.run(scenario())
    assert response.startswith(b"HTTP/1.1 503 ")
    assert observed_s is None
