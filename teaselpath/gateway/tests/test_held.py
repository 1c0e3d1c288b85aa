"""Answers that may outlast a stop begin once they are complete."""

import asyncio

import pytest

from teaselpath.exchange import Stop
from teaselpath.gateway._held import HeldMemory
from teaselpath.gateway.tests.front import Front, answer_headers
from teaselpath.http1 import Exchange

STREAM = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "stream", "service": "s"}
EVENT = b"id: 1\ndata: x\n\n"
# Time between SIGTERM and SIGKILL, and until requests in flight are ended, in seconds.
GRACE_S = 8.0
ENDS_AFTER_S = 7.05


def play(stream, age_s, first=EVENT) -> bytes:
    """Send a request so long after SIGTERM, to an endpoint that goes on after the first event."""
    has_begun = asyncio.Event()

    async def answer(exchange: Exchange):
        exchange.start(200, answer_headers(exchange))
        exchange.write(first)
        has_begun.set()
        await stream(exchange)

    async def scenario():
        async with Front() as front:
            front.put_config(routes=[STREAM])
            await front.add_endpoint("e", answer)
            now = asyncio.get_running_loop().time()
            front.state.stop = Stop(now - age_s, GRACE_S, now - age_s + ENDS_AFTER_S)
            caller = asyncio.create_task(front.send())
            await has_begun.wait()
            while not any(call for call in front.forwarder.tasks):
                await asyncio.sleep(0)
            # The gateway has read the first event.
            await asyncio.sleep(0.2)
            front.forwarder.end_unfinished()
            return await caller

    return asyncio.run(scenario())


async def go_on_forever(exchange: Exchange):
    await asyncio.Event().wait()


async def finish(exchange: Exchange):
    exchange.finish()


def test_stream_that_outlasts_the_stop_gets_a_failure():
    """It had begun, and was cut."""
    response = play(go_on_forever, age_s=4.0)
    assert response.startswith(b"HTTP/1.1 502 ")
    assert response.count(b"HTTP/1.1") == 1
    assert b"Request-Id: r" in response


def test_stream_of_a_request_that_crossed_the_stop_begins_at_once():
    response = play(go_on_forever, age_s=1.0)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert EVENT in response
    assert not response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("age_s", [1.0, 4.0])
def test_complete_stream_is_the_same_held_or_not(age_s):
    response = play(finish, age_s)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.endswith(b"\r\n\r\nf\r\n" + EVENT + b"\r\n0\r\n\r\n")


def many_events(size: int) -> bytes:
    events = [b"id: %d\ndata: %b\n\n" % (n, b"x" * 1000) for n in range(1, 2 + size // 1000)]
    return b"".join(events)


def test_large_stream_that_outlasts_the_stop_gets_a_failure():
    """Beyond 256 KiB it began, and was cut."""
    response = play(go_on_forever, 4.0, many_events(600_000))
    assert response.startswith(b"HTTP/1.1 502 ")
    assert response.endswith(b"\r\n\r\n")


def test_large_stream_that_ends_in_time_is_whole():
    response = play(finish, 4.0, many_events(600_000))
    assert response.startswith(b"HTTP/1.1 200 ")
    assert response.endswith(b"0\r\n\r\n")
    assert len(response) > 600_000


def test_stream_for_which_no_memory_is_left_gets_a_failure_and_frees_what_it_had(monkeypatch):
    monkeypatch.setattr(HeldMemory.__init__, "__defaults__", (200_000,))
    held = []
    monkeypatch.setattr(HeldMemory, "free", lambda memory, size: held.append(size))
    response = play(go_on_forever, 4.0, many_events(300_000))
    assert response.startswith(b"HTTP/1.1 502 ")
    assert max(held) <= 200_000


def test_memory_of_a_held_stream_is_free_after_its_end():
    """Its caller may have left, or the stream may have ended in any other way."""

    async def answer(exchange: Exchange):
        exchange.start(200, answer_headers(exchange))
        exchange.write(many_events(100_000))
        await asyncio.Event().wait()

    async def scenario():
        async with Front() as front:
            front.put_config(routes=[STREAM])
            await front.add_endpoint("e", answer)
            now = asyncio.get_running_loop().time()
            front.state.stop = Stop(now - 4.0, GRACE_S, now - 4.0 + ENDS_AFTER_S)
            caller = asyncio.create_task(front.send())
            await asyncio.sleep(0.3)
            before = front.forwarder.held.held_bytes
            caller.cancel()
            await asyncio.sleep(0.3)
            return before, front.forwarder.held.held_bytes

    before, after = asyncio.run(scenario())
    assert before >= 100_000
    assert after == 0
