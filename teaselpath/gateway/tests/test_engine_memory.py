"""Claims on the memory of engines: reserved at once, withdrawn if they do not fit together."""

import asyncio
import json
from dataclasses import replace

import pytest

from teaselpath.dispatch import FairOrder, Load, NoEndpoint, Placed
from teaselpath.fleet import Position, Prompt, PromptPart, StoredRecord
from teaselpath.gateway._memory import START_S
from teaselpath.gateway._placement import Placer
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.gateway.tests.test_placement import make_call


@pytest.fixture
def contended(state):
    """Return the state of a gateway with one engine, for 100,000 tokens, in contended room."""
    state.settings = replace(SETTINGS, is_room_contended=True)
    state.apply_endpoint_record(endpoint_record("e", 1, slots=64), "store", 1.0)
    return state


async def acquire(state, others_tokens: int):
    """Place a prompt of 17,010 tokens while another gateway claims memory."""
    announced: list = []
    placer = Placer(state, announced.append)
    placer.memory.started_at -= START_S
    call = make_call(1.0)
    task = asyncio.create_task(placer.acquire(call, placer.loop.time()))
    await asyncio.sleep(0.01)
    view = state.views["e"]
    view.peers["gw-1"] = Load(requests=1, held_tokens=others_tokens)
    queue = asyncio.create_task(placer.run_queue())
    choice = await task
    queue.cancel()
    return choice, call, view.own, announced


def test_claim_that_fits_is_kept(contended):
    choice, _, own, announced = asyncio.run(acquire(contended, 80_000))
    assert isinstance(choice, Placed)
    assert (own.requests, own.held_tokens) == (1, 17_010)
    assert (announced[0].prompt_tokens, announced[0].output_tokens) == (17_000, 10)


def test_times_of_a_granted_claim_count_from_its_send(contended):
    """Guards against engines whose speed is learned with a claim's wait, or hardly at all."""
    choice, call, _, _ = asyncio.run(acquire(contended, 0))
    assert isinstance(choice, Placed)
    assert call.placed is choice
    assert choice.times.queue_s == 0.0
    times, s_per_token = choice.view.times, 50e-6
    elapsed_s = 17_000 * s_per_token + choice.times.fixed_s
    times.record_first_event(choice.times, 17_000, elapsed_s, 1.0)
    assert times.prefill.weight == pytest.approx(1.0)
    assert times.prefill.value_s == pytest.approx(s_per_token, rel=0.02)


def test_claim_beyond_the_memory_is_withdrawn(contended):
    """Guards against an engine that crashes since two gateways saw the same free memory."""
    choice, call, own, _ = asyncio.run(acquire(contended, 83_000))
    assert isinstance(choice, NoEndpoint)
    assert call.reservation is None
    assert (own.requests, own.held_tokens, own.pending_prefill_tokens) == (0, 0, 0)


def test_withdrawn_claims_cost_their_request_nothing(contended):
    """Guards against a workspace that pays, and a part of room that grows, with each claim."""
    config = {
        "version": 1,
        "services": [
            {"name": "s", "engine": {"slots": 64, "kvCapacityTokens": 100_000,
                                     "kvTokenBytes": 18_432, "linkMbps": 180_000,
                                     "models": [{"name": "m"}]}},
        ],
    }  # fmt: skip
    value = json.dumps(config).encode()
    contended.apply_operator_record(StoredRecord("config", value, Position(1, 2)), "store", 1.0)

    async def scenario():
        order = contended.fair_order = FairOrder()
        placer = Placer(contended, lambda message: None)
        placer.memory.started_at -= START_S
        call, view = make_call(2.0), contended.views["e"]
        # Over a quarter of the memory, so that each try is a claim.
        prompt = Prompt("m", (PromptPart("p", 26_000), PromptPart("o", 4_000)), 30_000, 10)
        call.request = replace(call.request, prompt=prompt)
        queue = asyncio.create_task(placer.run_queue())
        task = asyncio.create_task(placer.acquire(call, placer.loop.time()))
        claims = 0
        while not task.done():
            if view.own.requests and not view.peers:
                # Another gateway claims the memory at the same time, and withdraws its claim.
                claims += 1
                view.peers["gw-1"] = Load(requests=1, held_tokens=90_000)
            elif not view.own.requests:
                view.peers.clear()
            await asyncio.sleep(0.001)
        queue.cancel()
        return task.result(), claims, contended.room("s"), order.flows[""]

    choice, claims, room, flow = asyncio.run(scenario())
    assert isinstance(choice, NoEndpoint)
    assert claims == 3
    assert (list(room.in_flight.values()), len(room.arrivals)) == ([0], 1)
    assert flow.use == pytest.approx(0.0, abs=1.0)
    assert flow.finish_tag == pytest.approx(0.0, abs=1.0)


def test_gateway_that_has_just_started_uses_a_quarter_of_the_memory(contended):
    """Guards against a gateway that takes all of it since it knows of no other yet."""

    async def scenario():
        placer = Placer(contended, lambda message: None)
        contended.views["e"].own.held_tokens = 10_000
        call = make_call(0.2)
        queue = asyncio.create_task(placer.run_queue())
        choice = await placer.acquire(call, placer.loop.time())
        queue.cancel()
        return choice

    assert isinstance(asyncio.run(scenario()), NoEndpoint)


def test_gateway_that_stood_still_counts_as_started(contended):
    """Guards against load that others have placed meanwhile."""

    async def scenario():
        memory = Placer(contended, lambda message: None).memory
        memory.started_at -= START_S
        service = make_call().service
        before = memory.bound_of(service)
        memory.found_at = float("-inf")
        contended.standstill_ended_at = memory.loop.time
        after = memory.bound_of(service)
        assert before is not None
        assert after is not None
        assert (before.is_complete, after.is_complete) == (True, False)

    asyncio.run(scenario())


def test_cancelled_claim_leaves_nothing_reserved(contended):
    async def scenario():
        placer, call = Placer(contended, lambda message: None), make_call()
        task = asyncio.create_task(placer.acquire(call, placer.loop.time()))
        await asyncio.sleep(0.01)
        assert contended.views["e"].own.requests == 1
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(scenario())
    assert contended.views["e"].own.requests == 0


def test_without_contention_nothing_is_claimed(state):
    """Guards against changes at deployments that state neither contention nor a pace."""

    async def scenario():
        state.apply_endpoint_record(endpoint_record("e", 1, slots=64), "store", 1.0)
        placer, call = Placer(state, lambda message: None), make_call()
        choice = await placer.acquire(call, placer.loop.time())
        assert isinstance(choice, Placed)
        before = choice.must_claim, state.views["e"].own.held_tokens
        state.views["e"].record_pace(1.0, 0.0)
        await asyncio.sleep(0.3)
        assert placer.memory.bound_of(call.service) is not None
        return before

    assert asyncio.run(scenario()) == (False, 17_000)
