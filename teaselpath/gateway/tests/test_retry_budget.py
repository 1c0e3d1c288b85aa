"""Retries of a service stay within its budget at the moment at which they reach its endpoints."""

import asyncio

from teaselpath.dispatch import SlidingRetryBudget
from teaselpath.gateway.tests.front import Front, answer_headers
from teaselpath.http1 import Exchange

ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/",
    "kind": "safe",
    "service": "s",
    "maxAttempts": 2,
    "timeoutMs": 12_000,
}
# Retries allowed in any window, and its length in seconds.
RETRIES, WINDOW_S = 10, 0.5


async def reject(exchange: Exchange) -> None:
    exchange.respond(503, [*answer_headers(exchange)[1:], (b"Not-Run", b"1")])


class Recorder:
    """Endpoint that records when requests arrive."""

    def __init__(self) -> None:
        self.arrivals: list[float] = []

    async def answer(self, exchange: Exchange) -> None:
        self.arrivals.append(asyncio.get_running_loop().time())
        exchange.respond(200, answer_headers(exchange), b"done")

    def most_in_window(self) -> int:
        """Return the most arrivals within one window."""
        return max(
            sum(start <= at < start + WINDOW_S for at in self.arrivals) for start in self.arrivals
        )


def test_retries_that_waited_for_an_endpoint_do_not_exceed_the_budget_when_it_opens():
    async def scenario():
        loop, recorder = asyncio.get_running_loop(), Recorder()
        async with Front() as front:
            front.put_config(routes=[ROUTE])
            await front.add_endpoint("busy", reject)
            await front.add_endpoint("held-off", recorder.answer)
            front.state.views["held-off"].availability.record_hold_off(loop.time() + 2.5)
            front.state.retry_budgets["s"] = SlidingRetryBudget(0.0, float(RETRIES), WINDOW_S)
            queue = asyncio.create_task(front.forwarder.placer.run_queue())
            waiting = []
            for number in range(80):
                send = front.send(fields="Deadline-Ms: 12000\r\n", request_id=f"r{number}")
                waiting.append(asyncio.create_task(send))
                await asyncio.sleep(0.03)
            answers = await asyncio.gather(*waiting)
            queue.cancel()
        return recorder, [int(answer.split()[1]) for answer in answers]

    recorder, statuses = asyncio.run(scenario())
    assert 0 < recorder.most_in_window() <= RETRIES
    assert set(statuses) == {200, 503}
