"""Retries of a service stay within its budget at the moment at which they reach its endpoints."""

import asyncio

import pytest

from teaselpath.dispatch import SlidingRetryBudget
from teaselpath.gateway.tests.conftest import SETTINGS
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
            budget = SlidingRetryBudget(0.0, float(RETRIES), WINDOW_S, loop.time() - 60.0)
            front.state.retry_budgets["s"] = budget
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


def send_all(budget: SlidingRetryBudget, now: float, gateways: int) -> int:
    """Send all retries that a budget grants at a time; return their number."""
    sent = 0
    while grant := budget.try_acquire(now, gateways):
        budget.record_sent(grant, now)
        sent += 1
    return sent


def test_gateways_that_are_killed_again_and_again_stay_within_the_extra_retries():
    gateways, extra, window_s = 4, 88.0, 10.0
    budgets = [SlidingRetryBudget(0.0, extra, window_s, 0.0) for _ in range(gateways)]
    sent = []
    for step in range(800):
        now = step * 0.05
        for number, budget in enumerate(budgets):
            sent += [now] * send_all(budget, now, gateways)
            if step and step % 40 == number % 3:
                budgets[number] = SlidingRetryBudget(0.0, extra, window_s, now)
    assert sent
    for start in range(30):
        assert sum(start <= at < start + window_s for at in sent) <= extra


def test_gateway_that_does_not_know_the_others_takes_no_share_of_the_extra_retries(state):
    budget = state.retry_budget("s", 100.0)
    alone = send_all(budget, 160.0, state.count_retry_shares(160.0))
    state.record_member_list(160.0, is_restart=True)
    state.record_member("gw-1", "10.0.0.1", 1, 160.0)
    later = send_all(budget, 170.0, state.count_retry_shares(170.0))
    assert alone == 0
    assert 0 < later <= SETTINGS.bounds.retry_extra / 2


def test_share_of_a_gateway_that_is_cut_off_for_a_minute_is_not_used_by_others(state):
    state.record_member_list(100.0, is_restart=False)
    member = state.record_member("gw-1", "10.0.0.1", 1, 100.0)
    member.last_contact_at = 100.0
    assert state.count_retry_shares(160.0) == 2


@pytest.mark.parametrize("is_restart", [False, True])
def test_gateway_that_has_restarted_does_not_spend_its_extra_retries_again(state, is_restart):
    state.record_member_list(100.0, is_restart=is_restart)
    at_once = send_all(state.retry_budget("s", 100.0), 100.0, state.count_retry_shares(100.0))
    assert (at_once == 0) == is_restart
