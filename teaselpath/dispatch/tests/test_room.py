"""Room at engines: gateways together must not send more than engines run, nor leave them idle."""

import random

import pytest

from teaselpath.dispatch import EndpointView, ServiceRoom, share_of_demand
from teaselpath.dispatch.tests.conftest import make_view

HOSTS = [f"gw-{number}" for number in range(30)]
SLOTS = 12


@pytest.fixture
def views() -> list[EndpointView]:
    """Return the views that one gateway has of twenty engines."""
    return [make_view(f"e{n}", slots=SLOTS) for n in range(20)]


def crowded_room(host: str, views: list[EndpointView], demand: dict[str, float]) -> ServiceRoom:
    room = ServiceRoom()
    for _ in range(int(2 * demand[host])):
        room.record_arrival(0.0)
    peers = [name for name in demand if name != host]
    for name in peers:
        assert room.record_peer_demand(name, demand[name])
    for view in views:
        view.stated_requests, view.stated_at = SLOTS, 0.0
    room.update(host, views, peers, 0.1)
    return room


def test_parts_of_all_gateways_add_up_to_the_slots_whatever_their_demand(views):
    """Guards against engines that queue because each gateway fills them by its own view."""
    demand = {host: float(number % 7) for number, host in enumerate(HOSTS)}
    rooms = [crowded_room(host, views, demand) for host in HOSTS]
    slots = SLOTS * len(views)
    assert sum(room.part for room in rooms) == pytest.approx(1.1 * slots, rel=0.15)
    assert max(room.part for room in rooms) > 3 * min(room.part for room in rooms)


def test_places_of_all_gateways_at_an_engine_add_up_to_about_its_slots(views):
    """Guards against gateways that choose the same engine, which looks empty to each of them."""
    demand = dict.fromkeys(HOSTS, 10.0)
    places = dict.fromkeys((view.endpoint.endpoint_id for view in views), 0)
    for host in HOSTS:
        crowded_room(host, views, demand)
        for view in views:
            places[view.endpoint.endpoint_id] += view.own_places or 0
    assert sum(places.values()) == pytest.approx(1.1 * SLOTS * len(views), rel=0.15)
    assert max(places.values()) <= 2 * SLOTS


def test_gateway_uses_its_part_and_no_more_while_room_is_short(views):
    """Guards against one gateway that takes the room of the others."""
    room = crowded_room("gw-0", views, dict.fromkeys(HOSTS, 10.0))
    sent = 0
    while room.has_room(False, others_wait=False):
        room.record_sent(False)
        sent += 1
    assert sent == pytest.approx(room.part, abs=1.0)
    assert room.is_used_up()


def test_short_prompts_leave_long_ones_that_wait_some_room_and_the_other_way_round(views):
    """Guards against a kind of request that gets nothing in a crowd of the other."""
    for is_long in (False, True):
        room = crowded_room("gw-0", views, dict.fromkeys(HOSTS, 10.0))
        while room.has_room(is_long, others_wait=True):
            room.record_sent(is_long)
        assert not room.is_used_up()
        assert room.has_room(not is_long, others_wait=True)


def test_long_prompts_keep_within_their_share_while_short_ones_are_held_up(views):
    """Guards against long prompts that fill the engines while short ones come late."""
    room = crowded_room("gw-0", views, dict.fromkeys(HOSTS, 10.0))
    for _ in range(30):
        room.long_share.record_short(0.5, 0.4)
    room.record_sent(True)
    assert not room.has_room(True, others_wait=False)
    assert room.has_room(False, others_wait=False)


def test_room_that_is_not_short_bounds_nothing(views):
    """Guards against refusals while engines have free places."""
    room = ServiceRoom()
    room.update("gw-0", views, HOSTS[1:], 0.0)
    for _ in range(100):
        room.record_sent(False)
    assert room.has_room(False, others_wait=True)
    assert all(view.own_places is None for view in views)


@pytest.mark.parametrize("cut_off", [10, 29])
def test_gateways_that_are_cut_off_keep_their_part(views, cut_off):
    """Guards against both sides of a cut taking the whole of the engines."""
    demand = dict.fromkeys(HOSTS, 10.0)
    room = crowded_room("gw-0", views, demand)
    before = room.part
    for host in HOSTS[: 30 - cut_off]:
        if host != "gw-0":
            room.record_peer_demand(host, 10.0)
    # The others are still possible peers, with the demand that they last reported.
    room.update("gw-0", views, HOSTS[1:], 0.2)
    assert room.part == pytest.approx(before)
    # Once they no longer count, the engines are this side's.
    room.update("gw-0", views, HOSTS[1 : 30 - cut_off], 0.3)
    assert room.part > before


def test_engine_that_is_gone_leaves_the_parts_of_all(views):
    """Guards against room that is counted though its engine is lost in the crowd."""
    room = crowded_room("gw-0", views, dict.fromkeys(HOSTS, 10.0))
    before = room.part
    for view in views[:5]:
        view.health.record_unreachable(0.15)
    room.update("gw-0", views, HOSTS[1:], 0.2)
    assert room.part == pytest.approx(before * 15 / 20)


def test_gateway_that_has_just_started_in_the_crowd_gets_some_room():
    """Guards against a gateway that can never show demand because it may send nothing."""
    share = share_of_demand(0.0, dict.fromkeys(HOSTS[1:], 20.0))
    assert 0.0 < share < 1.0 / len(HOSTS)
    assert share_of_demand(0.0, {}) == 1.0


@pytest.mark.parametrize("demand", [float("nan"), float("inf"), -1.0, 1e300])
def test_demand_that_cannot_be_true_is_ignored(demand):
    """Guards against one gateway's message that takes the room of all others."""
    room = ServiceRoom()
    assert not room.record_peer_demand("gw-1", demand)
    assert room.peer_demand == {}


def simulate_crowd(*, with_parts: bool) -> tuple[int, int]:
    """Play gateways that know the load of the others half a second late.

    Returns the largest number of requests at an engine and the requests sent.
    """
    rng, most, sent = random.Random(1), 0, 0
    hosts = HOSTS[:12]
    engines = [f"e{n}" for n in range(8)]
    run_s, step_s, late_steps = 0.3, 0.02, 25
    running: dict[str, list[tuple[float, str]]] = {engine: [] for engine in engines}
    history: list[dict[str, int]] = []
    views = {h: {e: make_view(e, slots=SLOTS) for e in engines} for h in hosts}
    rooms = {host: ServiceRoom() for host in hosts}
    for step in range(250):
        now = step * step_s
        for engine, requests in running.items():
            # An engine runs its slots; what is beyond them waits there.
            for index, (ends_at, host) in enumerate(requests[:]):
                if index < SLOTS and ends_at <= now:
                    requests.remove((ends_at, host))
                    views[host][engine].own.requests -= 1
                    rooms[host].record_ended(False, run_s, 0.05)
        history.append({engine: len(requests) for engine, requests in running.items()})
        stale = history[max(0, step - late_steps)]
        for host in hosts:
            room = rooms[host]
            for engine, view in views[host].items():
                view.stated_requests, view.stated_at = stale[engine], now
            for peer in hosts:
                if peer != host:
                    room.record_peer_demand(peer, 50.0)
            room.update(host, views[host].values(), [h for h in hosts if h != host], now)
            # Each gateway has more requests than its part all the time.
            for _ in range(2):
                room.record_arrival(now)
                if with_parts and not room.has_room(False, others_wait=False):
                    continue
                view = min(
                    views[host].values(),
                    key=lambda v: (
                        max(0, v.own.requests + 1 - (v.own_places or 0)) if with_parts else 0,
                        v.requests(now),
                        rng.random(),
                    ),
                )
                running[view.endpoint.endpoint_id].append((now + run_s, host))
                view.own.requests += 1
                room.record_sent(False)
                sent += 1
        most = max(most, *(len(requests) for requests in running.values()))
    return most, sent


def test_engines_keep_within_their_queue_though_gateways_see_each_other_late():
    """Guards against engines that reject requests as full: they run 12 and queue 36."""
    most, sent = simulate_crowd(with_parts=True)
    most_without, _ = simulate_crowd(with_parts=False)
    assert most <= SLOTS + 36
    assert most_without > SLOTS + 36
    # Eight engines of twelve slots run about 320 requests a second for five seconds.
    assert sent >= 0.8 * 8 * SLOTS / 0.3 * 5.0
