"""Requests that compete for room: those that can be in time are served, the others rejected."""

import asyncio
from dataclasses import replace

import msgspec
import pytest

from teaselpath.dispatch import Load, NoEndpoint, Placed, Reservation
from teaselpath.fleet import (
    Backend,
    CallerRequest,
    EngineLimits,
    FleetConfig,
    Prompt,
    PromptPart,
    RequestKind,
    Route,
    Service,
)
from teaselpath.gateway._call import Call
from teaselpath.gateway._peer_messages import Status
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._placement import Placer
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformStore
from teaselpath.rollout import OrderLease

SERVICE = Service("s", EngineLimits(100_000, 18_432, 1e-6))
AIMS = {"short": 0.4, "long": 1.2}
ROUTES = {
    name: Route(
        name,
        "h",
        f"/{name}/",
        RequestKind.STREAM,
        (Backend("s", 1.0),),
        6.0,
        aim,
        0,
        1,
        False,
        False,
    )
    for name, aim in AIMS.items()
}
SLOTS = 4


def make_state(*, is_room_contended: bool) -> GatewayState:
    settings = replace(SETTINGS, is_room_contended=is_room_contended)
    state = GatewayState(settings, PlatformStore("127.0.0.1:9", HttpClient()), 1)
    state.config = FleetConfig(1, {"h": list(ROUTES.values())}, {"s": SERVICE})
    state.apply_endpoint_record(endpoint_record("e", 1, slots=SLOTS), "store", 1.0)
    return state


@pytest.fixture
def contended() -> GatewayState:
    """Return the state of a gateway whose settings say that room is contended."""
    return make_state(is_room_contended=True)


def make_call(kind: str, time_left_s: float = 4.0, part: str = "p") -> Call:
    tokens = 17_000 if kind == "long" else 400
    prompt = Prompt("m", (PromptPart(part, tokens - 100), PromptPart("o", 100)), tokens, 10)
    request = CallerRequest(
        b"POST", b"/", "h", "/", "r1", None, time_left_s, None, prompt, tokens, [], b""
    )
    now = asyncio.get_running_loop().time()
    return Call(request, ROUTES[kind], SERVICE, None, now, now + time_left_s, tokens=tokens)


def make_status(host: str) -> Status:
    return Status(
        host, "::1", "a", 1, 1, 0, {}, 1, (1, 0), {}, True, [], None, True, False, False, {}, None,
        None,
    )  # fmt: skip


async def fill(placer: Placer, kind: str = "short") -> list[Call]:
    """Place requests until the next one would wait."""
    calls: list[Call] = []
    while True:
        call = make_call(kind)
        task = asyncio.create_task(placer.acquire(call, placer.loop.time()))
        await asyncio.sleep(0)
        if not task.done() or isinstance(task.result(), NoEndpoint):
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return calls
        calls.append(call)
        placer.rooms.updated_until.clear()


def test_request_that_would_come_late_is_rejected_at_once_with_a_time_of_its_own(contended):
    """Guards against late answers that delay those which could be in time."""

    async def scenario():
        placer = Placer(contended, lambda placement: None)
        await fill(placer)
        room = contended.rooms["s"]
        room.run_s[False], room.first_event_s[False] = 4.0, 0.1
        started_at = placer.loop.time()
        refusals = [await placer.acquire(make_call("short"), started_at) for _ in range(3)]
        return refusals, placer.loop.time() - started_at, placer.queued_calls

    refusals, duration_s, queued_calls = asyncio.run(scenario())
    assert [refusal.reason for refusal in refusals] == ["late"] * 3
    assert duration_s < 0.04
    assert len({refusal.retry_after_s for refusal in refusals}) == 3
    assert queued_calls == {}


def test_request_that_can_be_in_time_waits_for_room(contended):
    """Guards against refusals where a short wait would have done."""

    async def scenario():
        placer = Placer(contended, lambda placement: None)
        calls = await fill(placer)
        contended.rooms["s"].run_s[False] = 0.4
        task = asyncio.create_task(placer.acquire(make_call("short"), placer.loop.time()))
        await asyncio.sleep(0)
        placer.place_queued()
        was_done = task.done()
        placer.release(calls[0])
        placer.release(calls[1])
        placer.place_queued()
        return was_done, await task

    was_done, choice = asyncio.run(scenario())
    assert not was_done
    assert isinstance(choice, Placed)


def test_waiting_request_is_rejected_when_it_can_no_longer_be_in_time(contended):
    """Guards against requests that wait till their deadline."""

    async def scenario():
        placer, call = Placer(contended, lambda placement: None), make_call("short")
        await fill(placer)
        contended.rooms["s"].run_s[False] = 0.2
        call.arrived_at = placer.loop.time()
        choice = await placer.acquire(call, call.arrived_at)
        return choice, placer.loop.time() - call.arrived_at, call.room

    choice, waited_s, described = asyncio.run(scenario())
    assert isinstance(choice, NoEndpoint)
    assert choice.reason == "late"
    assert waited_s == pytest.approx(AIMS["short"], abs=0.1)
    assert described["is_crowded"]


def test_request_that_waits_long_for_its_aim_competes_with_the_highest_priority(contended):
    """Guards against long prompts that starve: their wait ends at the aim, before the deadline."""

    async def scenario():
        placer = Placer(contended, lambda placement: None)
        await fill(placer)
        low = make_call("long")
        low.route = replace(low.route, priority=1)
        started_at = low.arrived_at
        contended.rooms["s"].run_s[False] = contended.rooms["s"].run_s[True] = 0.2
        tasks = [
            asyncio.create_task(placer.acquire(call, started_at))
            for call in (low, make_call("short", time_left_s=30.0))
        ]
        await asyncio.sleep(0)
        order = [
            [request.tokens for request in placer.queue.in_order(started_at + waited_s)]
            for waited_s in (0.1, 0.95 * AIMS["long"])
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return order

    assert asyncio.run(scenario()) == [[400, 17_000], [17_000, 400]]


def test_stream_that_goes_on_is_not_rejected_for_its_aim(contended):
    """Guards against callers that lose an answer of which they have a part."""

    async def scenario():
        placer, call = Placer(contended, lambda placement: None), make_call("short")
        await fill(placer)
        contended.rooms["s"].run_s[False] = 4.0
        call.has_begun = True
        return await placer.acquire(call, placer.loop.time())

    assert isinstance(asyncio.run(scenario()), Placed)


def test_long_prompts_that_wait_for_prefill_do_not_hold_up_short_ones(contended):
    """Guards against short requests that wait behind long ones though engines have slots."""

    async def scenario():
        placer = Placer(contended, lambda placement: None)
        first = make_call("long")
        assert isinstance(await placer.acquire(first, placer.loop.time()), Placed)
        waiting = asyncio.create_task(
            placer.acquire(make_call("long", part="q"), placer.loop.time())
        )
        await asyncio.sleep(0)
        choice = await placer.acquire(make_call("short"), placer.loop.time())
        placer.place_queued()
        is_waiting = not waiting.done()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        return is_waiting, choice

    is_waiting, choice = asyncio.run(scenario())
    assert is_waiting
    assert isinstance(choice, Placed)


def test_request_that_an_engine_rejected_does_not_keep_others_from_its_free_slots(contended):
    """Guards against a queue that stands while engines have room for all but its first request."""

    async def scenario():
        endpoint = endpoint_record("full", 2, slots=SLOTS, address="10.0.0.2:80")
        contended.apply_endpoint_record(endpoint, "store", 1.0)
        placer = Placer(contended, lambda placement: None)
        contended.views["full"].peers["gw-1"] = Load(requests=2 * SLOTS)
        retry, other = make_call("short"), make_call("short")
        retry.tried.add("e")
        retry.attempts.append(("e", "NotRun 503", 0.01))
        tasks = [
            asyncio.create_task(placer.acquire(call, placer.loop.time())) for call in (retry, other)
        ]
        await asyncio.sleep(0)
        placer.place_queued()
        await asyncio.sleep(0)
        is_placed = [task.done() for task in tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return is_placed

    assert asyncio.run(scenario()) == [False, True]


def test_room_is_given_back_whatever_ends_a_request(contended):
    """Guards against room that nobody uses after cancelled and refused requests."""

    async def scenario():
        placer = Placer(contended, lambda placement: None)
        calls = await fill(placer)
        task = asyncio.create_task(placer.acquire(make_call("short"), placer.loop.time()))
        await asyncio.sleep(0)
        placer.release(calls.pop())
        placer.place_queued()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        for call in calls:
            placer.release(call)
            placer.release(call)
        return contended.rooms["s"].in_flight

    assert sum(asyncio.run(scenario()).values()) == 0


def test_gateways_without_contended_room_place_as_before():
    """Guards against refusals for aims in deployments that did not ask for them."""

    async def scenario(state):
        placer = Placer(state, lambda placement: None)
        calls = await fill(placer)
        reservation = calls[0].reservation
        assert isinstance(reservation, Reservation)
        task = asyncio.create_task(placer.acquire(make_call("short", 1.0), placer.loop.time()))
        await asyncio.sleep(AIMS["short"] + 0.05)
        is_waiting = not task.done()
        return len(calls), reservation.room, is_waiting, await task

    state = make_state(is_room_contended=False)
    placed, room, is_waiting, choice = asyncio.run(scenario(state))
    # Six requests at an engine of four slots, as before, and a wait of half the time left.
    assert placed == 6
    assert room is None
    assert is_waiting
    assert choice == NoEndpoint("queue", 0.5)
    assert state.rooms == {}


def test_status_of_a_gateway_of_the_version_before_names_no_demand():
    """Guards against gateways that cannot read each other during an update."""
    status = make_status("gw-1")
    data = msgspec.msgpack.decode(msgspec.msgpack.encode(status))
    assert msgspec.convert(data[:-1], Status).demand == {}


def test_demand_of_a_silent_gateway_counts_until_it_cannot_be_cut_off_only(contended):
    """Guards against both sides of a cut, or all others after a kill, taking its room at once."""
    contended.record_member("gw-1", "127.0.0.3", 7, 100.0, "a")
    contended.members["gw-1"].last_contact_at = 100.0
    room = contended.room("s")
    views = contended.pool("s").views.values()
    assert room.record_peer_demand("gw-1", 20.0)
    parts = []
    for now in (100.5, 109.0, 111.0):
        for _ in range(40):
            room.record_arrival(now)
        room.update("gw-0", views, contended.possible_peers(now), now)
        parts.append(room.part)
    assert parts[0] == pytest.approx(parts[1])
    assert parts[2] == pytest.approx(2 * parts[1], rel=0.1)


def test_impossible_demand_of_a_peer_costs_itself_only(contended):
    """Guards against a gateway whose message takes the room of all others."""

    async def scenario():
        peers = PeerExchange(contended, OrderLease("gw-0", 3.0), HttpClient(), lambda: 0.0)
        for host, demand in (("gw-1", float("nan")), ("gw-2", 20.0)):
            status = msgspec.structs.replace(
                make_status(host), demand={"s": demand, "unknown": 1.0}
            )
            peers.datagram_received(msgspec.msgpack.encode(status), ("127.0.0.3", 3))

    asyncio.run(scenario())
    assert contended.rooms["s"].peer_demand == {"gw-2": 20.0}
    assert set(contended.rooms) == {"s"}


def test_request_that_the_best_engine_would_answer_late_leaves_it_to_others_in_a_crowd(contended):
    """Guards against room that goes to answers which come too late to be of use."""

    async def scenario():
        placer = Placer(contended, lambda placement: None)
        view, now = contended.views["e"], placer.loop.time()
        # A first event that is overdue for longer than the aim of short requests.
        view.awaited[-1] = now - 2.0
        room = contended.room("s")
        room.first_event_s[False] = 10.0
        outcomes = []
        for is_crowded in (True, False):
            # The state of the room is not computed anew.
            placer.rooms.updated_until["s"] = now + 60.0
            room.is_crowded, room.part, room.slots = is_crowded, 4.0, SLOTS
            call = make_call("short")
            outcomes.append(await asyncio.wait_for(placer.acquire(call, now), 1.0))
            placer.release(call)
        return outcomes

    late, sent = asyncio.run(scenario())
    assert isinstance(late, NoEndpoint)
    assert late.reason == "late"
    assert isinstance(sent, Placed)
