"""Reservations and queueing: cancelled and refused requests must leave no reserved load."""

import asyncio

import pytest

from teaselpath.dispatch import MAX_CANDIDATES, NoEndpoint, Placed, affinity_key
from teaselpath.fleet import (
    UNKNOWN_ERA,
    Backend,
    CallerRequest,
    EngineLimits,
    Prompt,
    PromptPart,
    RequestKind,
    Route,
    Service,
)
from teaselpath.gateway._call import Call
from teaselpath.gateway._entities import AnnouncedWeights
from teaselpath.gateway._placement import Placer
from teaselpath.gateway.tests.conftest import endpoint_record

ENGINE = EngineLimits(100_000, 18_432, 1e-6)
ROUTE = Route("r", "h", "/", RequestKind.STREAM, (Backend("s", 1.0),), 8.0, 0.8, 0, 1, False, False)


def make_call(time_left_s: float = 5.0) -> Call:
    prompt = Prompt("m", (PromptPart("p", 13_000), PromptPart("o", 4_000)), 17_000, 10)
    request = CallerRequest(
        b"POST", b"/", "h", "/", "r1", None, time_left_s, None, prompt, 17_010, [], b""
    )
    now = asyncio.get_running_loop().time()
    service = Service("s", ENGINE)
    return Call(request, ROUTE, service, None, now, now + time_left_s, tokens=17_010)


@pytest.fixture
def engine(state):
    """Return the view of the only engine."""
    state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
    return state.views["e"]


@pytest.fixture
def announced() -> list:
    """Return the list of placements announced to other gateways."""
    return []


def load_of(engine) -> tuple[int, int]:
    return engine.own.requests, engine.own.pending_prefill_tokens


def test_reservation_is_counted_and_released(state, engine, announced):
    async def scenario():
        placer, call = Placer(state, announced.append), make_call()
        choice = await placer.acquire(call, placer.loop.time())
        assert isinstance(choice, Placed)
        reserved = load_of(engine)
        assert engine.backlog.wait_s(placer.loop.time()) > 0.4
        placer.release(call)
        assert engine.backlog.wait_s(placer.loop.time()) == 0.0
        return reserved

    assert asyncio.run(scenario()) == (1, 17_000)
    assert load_of(engine) == (0, 0)
    assert engine.own.held_tokens == 0
    assert [(p.endpoint_id, p.unread_tokens) for p in announced] == [("e", 17_000)]


def test_long_prompt_waits_until_the_engine_has_prefilled_enough(state, engine, announced):
    async def scenario():
        placer, call = Placer(state, announced.append), make_call()
        engine.own.pending_prefill_tokens = 50_000
        task = asyncio.create_task(placer.acquire(call, placer.loop.time()))
        await asyncio.sleep(0)
        placer.place_queued()
        assert not task.done()
        engine.own.pending_prefill_tokens = 0
        placer.place_queued()
        return await task

    assert isinstance(asyncio.run(scenario()), Placed)


def test_queued_request_is_not_placed_at_an_engine_that_has_left_meanwhile(
    state, engine, announced
):
    async def scenario():
        placer, call = Placer(state, announced.append), make_call()
        engine.own.pending_prefill_tokens = 50_000
        task = asyncio.create_task(placer.acquire(call, placer.loop.time()))
        await asyncio.sleep(0)
        engine.own.pending_prefill_tokens = 0
        engine.availability.record_leaving(placer.loop.time())
        placer.place_queued()
        was_placed = task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return was_placed

    assert not asyncio.run(scenario())


def test_cancelled_caller_releases_the_reservation_made_for_it(state, engine, announced):
    async def scenario():
        placer, call = Placer(state, announced.append), make_call()
        engine.own.pending_prefill_tokens = 50_000
        task = asyncio.create_task(placer.acquire(call, placer.loop.time()))
        await asyncio.sleep(0)
        engine.own.pending_prefill_tokens = 0
        placer.place_queued()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return placer.queue.queued

    assert asyncio.run(scenario()) == {}
    assert load_of(engine) == (0, 0)


def test_queued_request_is_refused_at_its_time_limit(state, engine, announced):
    async def scenario():
        placer, call = Placer(state, announced.append), make_call(time_left_s=4.0)
        engine.own.pending_prefill_tokens = 60_000
        call.deadline = call.arrived_at + 4.0
        choice = await placer.acquire(call, placer.loop.time() - 3.9)
        return choice, placer.queued_calls

    choice, queued_calls = asyncio.run(scenario())
    assert isinstance(choice, NoEndpoint)
    assert choice.reason == "queue"
    assert queued_calls == {}


def test_request_without_listed_endpoints_is_refused_without_queueing(state, announced):
    async def scenario():
        placer = Placer(state, announced.append)
        return await placer.acquire(make_call(), placer.loop.time())

    assert asyncio.run(scenario()) == NoEndpoint("none_listed", 1.0)


def test_requests_beyond_a_limit_are_refused_at_once_with_times_of_their_own(
    state, engine, announced
):
    async def scenario():
        placer = Placer(state, announced.append)
        now = placer.loop.time()
        engine.limit.record_statement(0.5, now)
        engine.limit.set_share(1.0, 0.0, now)
        return [await placer.acquire(make_call(2.0), now) for _ in range(3)]

    refusals = asyncio.run(scenario())
    assert [refusal.reason for refusal in refusals] == ["limited"] * 3
    first, second, third = (refusal.retry_after_s for refusal in refusals)
    assert first == pytest.approx(2.0, abs=0.1)
    assert second - first == pytest.approx(2.0, abs=0.1)
    assert third - second == pytest.approx(2.0, abs=0.1)


def test_request_waits_for_a_limit_that_has_room_in_time(state, engine, announced):
    async def scenario():
        placer = Placer(state, announced.append)
        now = placer.loop.time()
        engine.limit.record_statement(5.0, now)
        engine.limit.set_share(1.0, 0.9, now)
        queue = asyncio.create_task(placer.run_queue())
        choice = await placer.acquire(make_call(2.0), now)
        queue.cancel()
        return choice

    assert isinstance(asyncio.run(scenario()), Placed)


def test_requests_that_no_engine_wants_are_refused_at_once_with_times_of_their_own(
    state, engine, announced
):
    async def scenario():
        placer = Placer(state, announced.append)
        now = placer.loop.time()
        engine.availability.record_hold_off(now + 3.0)
        refusals = [await placer.acquire(make_call(2.0), now) for _ in range(3)]
        return refusals, placer.retry_after_s(make_call(2.0), now)

    refusals, retry_after_s = asyncio.run(scenario())
    assert [refusal.reason for refusal in refusals] == ["held_off"] * 3
    # The engine has four slots, and a request takes 0.8 s.
    expected = [3.0, 3.2, 3.4, 3.6]
    assert [*(r.retry_after_s for r in refusals), retry_after_s] == pytest.approx(expected)
    assert load_of(engine) == (0, 0)


def test_bookings_end_with_the_time_that_they_were_made_for(state, engine, announced):
    async def scenario():
        placer = Placer(state, announced.append)
        now = placer.loop.time()
        engine.availability.record_hold_off(now + 3.0)
        for _ in range(20):
            await placer.acquire(make_call(2.0), now)
        engine.availability.record_hold_off(now + 4.0)
        return await placer.acquire(make_call(2.0), now)

    assert asyncio.run(scenario()).retry_after_s == pytest.approx(4.0)


def test_callers_are_not_told_to_return_in_the_distant_future(state, engine, announced):
    async def scenario():
        placer = Placer(state, announced.append)
        now = placer.loop.time()
        engine.availability.record_hold_off(now + 1e9)
        return await placer.acquire(make_call(2.0), now)

    assert asyncio.run(scenario()) == NoEndpoint("held_off", 60.0)


def test_request_waits_for_an_engine_that_wants_requests_again_in_time(state, engine, announced):
    async def scenario():
        placer, call = Placer(state, announced.append), make_call(8.0)
        now = placer.loop.time()
        engine.availability.record_hold_off(now + 1.0)
        task = asyncio.create_task(placer.acquire(call, now))
        await asyncio.sleep(0)
        placer.place_queued()
        was_placed = task.done()
        engine.availability.held_off_until = now
        placer.place_queued()
        return was_placed, await task

    was_placed, choice = asyncio.run(scenario())
    assert not was_placed
    assert isinstance(choice, Placed)


def test_queued_request_is_refused_once_no_engine_wants_it_in_time(state, engine, announced):
    async def scenario():
        placer, call = Placer(state, announced.append), make_call(8.0)
        now = placer.loop.time()
        engine.own.pending_prefill_tokens = 50_000
        task = asyncio.create_task(placer.acquire(call, now))
        await asyncio.sleep(0)
        engine.availability.record_hold_off(now + 20.0)
        placer.place_queued()
        return await task, placer.queued_calls

    choice, queued_calls = asyncio.run(scenario())
    assert isinstance(choice, NoEndpoint)
    assert choice.reason == "held_off"
    assert choice.retry_after_s > 8.0
    assert queued_calls == {}


@pytest.mark.parametrize("era_before", [UNKNOWN_ERA, 0, 1])
def test_older_weights_stay_usable_while_a_restored_store_delays_the_rollout(
    state, announced, era_before
):
    """All engines were refused as outdated, although none could be given an order."""

    async def scenario():
        now = asyncio.get_running_loop().time()
        record = endpoint_record("e", 1, models=[{"name": "m", "version": 1}])
        state.apply_endpoint_record(record, "store", now - 60.0)
        state.announced["m"] = AnnouncedWeights(2, {1: now - 60.0, 2: now - 10.0})
        state.era = era_before
        state.observe_era(2, "store", now - 5.0)
        return Placer(state, announced.append)._place(make_call(), now)

    # A gateway that has just started does not know when the store returned.
    expected = NoEndpoint if era_before == UNKNOWN_ERA else Placed
    assert isinstance(asyncio.run(scenario()), expected)


def test_request_waits_for_a_full_engine_though_the_next_ones_want_no_requests(state, announced):
    """Guards against a refusal because of the second subset of a large service."""

    async def scenario():
        for number in range(2 * MAX_CANDIDATES):
            state.apply_endpoint_record(endpoint_record(f"e{number}", number + 1), "store", 1.0)
        placer, call = Placer(state, announced.append), make_call(8.0)
        now = placer.loop.time()
        assert call.request.prompt is not None
        key = affinity_key(call.request.prompt, "")
        for view in state.pool("s").candidates(key):
            view.own.requests = 100
        for view in state.pool("s").candidates(key, subset=1):
            view.availability.record_hold_off(now + 20.0)
        task = asyncio.create_task(placer.acquire(call, now))
        await asyncio.sleep(0)
        was_queued = bool(placer.queued_calls)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return was_queued

    assert asyncio.run(scenario())


def test_weights_that_were_unusable_before_the_store_returned_stay_unusable(state, announced):
    """Guards against requests on weights that were replaced long before the store was away."""

    async def scenario():
        now = asyncio.get_running_loop().time()
        record = endpoint_record("e", 1, models=[{"name": "m", "version": 1}])
        state.apply_endpoint_record(record, "store", now - 200.0)
        state.announced["m"] = AnnouncedWeights(2, {1: now - 200.0, 2: now - 100.0})
        state.observe_era(1, "store", now - 200.0)
        state.record_store_success(now - 200.0)
        placer = Placer(state, announced.append)
        before = placer._place(make_call(), now - 8.0)
        state.record_store_failure("unreachable", now - 7.0)
        state.record_store_success(now - 5.0)
        state.observe_era(2, "store", now - 5.0)
        return before, placer._place(make_call(), now)

    before, after = asyncio.run(scenario())
    assert isinstance(before, NoEndpoint)
    assert isinstance(after, NoEndpoint)


def test_weights_whose_time_ends_while_the_store_is_away_stay_usable_after_its_return(
    state, announced
):
    """Guards against refusals by all engines, although none could be given an order."""

    async def scenario():
        now = asyncio.get_running_loop().time()
        record = endpoint_record("e", 1, models=[{"name": "m", "version": 1}])
        state.apply_endpoint_record(record, "store", now - 200.0)
        state.observe_era(1, "store", now - 200.0)
        state.record_store_success(now - 200.0)
        state.announced["m"] = AnnouncedWeights(2, {1: now - 200.0, 2: now - 14.0})
        state.record_store_failure("unreachable", now - 13.0)
        state.record_store_success(now - 2.0)
        state.observe_era(2, "store", now - 2.0)
        return Placer(state, announced.append)._place(make_call(), now)

    assert isinstance(asyncio.run(scenario()), Placed)


def test_request_is_placed_at_an_open_engine_though_those_of_two_subsets_want_none(
    state, announced
):
    """Guards against a refusal while a third of the engines of a large service are idle."""

    async def scenario():
        for number in range(3 * MAX_CANDIDATES):
            state.apply_endpoint_record(endpoint_record(f"e{number}", number + 1), "store", 1.0)
        placer, call = Placer(state, announced.append), make_call()
        now = placer.loop.time()
        assert call.request.prompt is not None
        key = affinity_key(call.request.prompt, "")
        for subset in range(2):
            for view in state.pool("s").candidates(key, subset=subset):
                view.availability.record_hold_off(now + 20.0)
        return await placer.acquire(call, now)

    assert isinstance(asyncio.run(scenario()), Placed)


def test_request_that_waits_for_its_last_engine_does_not_keep_others_from_an_idle_one(
    state, announced
):
    """Guards against callers that wait though an engine is idle."""

    async def scenario():
        state.apply_endpoint_record(endpoint_record("tried", 1), "store", 1.0)
        state.apply_endpoint_record(endpoint_record("held-off", 2), "store", 1.0)
        placer, first, second = Placer(state, announced.append), make_call(8.0), make_call(8.0)
        now = placer.loop.time()
        state.views["held-off"].availability.record_hold_off(now + 1.5)
        first.tried.add("tried")
        waiting = asyncio.create_task(placer.acquire(first, now))
        await asyncio.sleep(0)
        task = asyncio.create_task(placer.acquire(second, now))
        await asyncio.sleep(0)
        placer.place_queued()
        await asyncio.sleep(0)
        was_placed = task.done()
        waiting.cancel()
        task.cancel()
        await asyncio.gather(waiting, task, return_exceptions=True)
        return was_placed

    assert asyncio.run(scenario())


def test_callers_return_no_faster_than_the_engines_that_open_can_serve_them(state, announced):
    """Guards against callers that are refused again: most engines open only much later."""

    async def scenario():
        placer = Placer(state, announced.append)
        now = placer.loop.time()
        for number in range(10):
            state.apply_endpoint_record(endpoint_record(f"e{number}", number + 1), "store", 1.0)
            wait_s = 3.0 if number == 0 else 50.0
            state.views[f"e{number}"].availability.record_hold_off(now + wait_s)
        return [await placer.acquire(make_call(2.0), now) for _ in range(20)]

    refusals = asyncio.run(scenario())
    # The engine that opens first has four slots, and a request takes 0.8 s.
    assert refusals[-1].retry_after_s >= 3.0 + 19 / 5.0 - 0.1


def test_request_waits_for_engines_of_the_second_subset_that_want_requests_again_in_time(
    state, announced
):
    """Guards against a refusal for as long as only the first subset wants no requests."""

    async def scenario():
        for number in range(2 * MAX_CANDIDATES):
            state.apply_endpoint_record(endpoint_record(f"e{number}", number + 1), "store", 1.0)
        placer, call = Placer(state, announced.append), make_call(8.0)
        now = placer.loop.time()
        assert call.request.prompt is not None
        key = affinity_key(call.request.prompt, "")
        for subset, wait_s in enumerate((50.0, 1.0)):
            for view in state.pool("s").candidates(key, subset=subset):
                view.availability.record_hold_off(now + wait_s)
        task = asyncio.create_task(placer.acquire(call, now))
        await asyncio.sleep(0)
        was_queued = bool(placer.queued_calls)
        task.cancel()
        return was_queued, await asyncio.gather(task, return_exceptions=True)

    was_queued, outcome = asyncio.run(scenario())
    assert was_queued, outcome
