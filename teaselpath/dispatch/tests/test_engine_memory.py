"""No engine is given more than its memory holds, whatever gateways place in the same moment."""

from dataclasses import replace
from random import Random

import pytest

from teaselpath.dispatch import (
    Demand,
    EndpointPool,
    Load,
    MemoryBound,
    NoEndpoint,
    Placed,
    choose_endpoint,
    choose_from_service,
    is_within_memory,
)
from teaselpath.dispatch.tests.conftest import make_prompt, make_view
from teaselpath.fleet import EngineLimits

NOW = 100.0
CAPACITY = 171_662
LIMITS = EngineLimits(CAPACITY, 18_432, 0.8e-6)
HOSTS = tuple(f"gw-{n:02}" for n in range(31))


def bound_of(host="gw-00", heard=1.0) -> MemoryBound:
    return MemoryBound(host, tuple(other for other in HOSTS if other != host), heard)


def demand_of(own_tokens: int, memory: MemoryBound | None) -> Demand:
    return Demand(make_prompt("p", 100, own_tokens - 120), engine=LIMITS, memory=memory)


def choose(view, topology, own_tokens, memory):
    return choose_endpoint([view], demand_of(own_tokens, memory), topology, NOW)


@pytest.mark.parametrize("sizes", [(17_000,), (17_000, 93_000), (40_000,), (17_000, 40_000, 3_000)])
@pytest.mark.parametrize("held", [0, 60_000, 120_000, 150_000])
def test_gateways_that_place_in_the_same_moment_do_not_overfill_an_engine(topology, sizes, held):
    """Guards against engines that crash since each gateway saw the same free memory."""
    random = Random(held + len(sizes))
    claimed = []
    sent = held
    for host in HOSTS:
        view = make_view("e", slots=64)
        view.peers["earlier"] = Load(requests=1, held_tokens=held)
        view.largest.record(17_000, NOW)
        tokens = random.choice(sizes)
        choice = choose(view, topology, tokens, bound_of(host))
        if isinstance(choice, Placed):
            if choice.must_claim:
                claimed.append((host, tokens))
            else:
                sent += tokens
    assert sent <= CAPACITY
    # All claims were announced before any of them is checked.
    view = make_view("e", slots=64)
    view.own.held_tokens = sent + sum(tokens for _, tokens in claimed)
    view.peers["other"] = Load(requests=1, held_tokens=1)
    is_within = is_within_memory(view, demand_of(1_000, bound_of()), NOW)
    assert is_within == (view.held_tokens() <= CAPACITY)


def test_one_gateway_fills_an_engine_with_what_fits(topology):
    """Guards against room that is refused though nobody else uses it."""
    view, placed = make_view("e", slots=64), 0
    while isinstance(choice := choose(view, topology, 17_000, bound_of()), Placed):
        assert choice.view is view
        view.own.held_tokens += 17_000
        view.own.requests += 1
        placed += 1
    assert placed == CAPACITY // 17_000
    for _ in range(20):
        if isinstance(choose(view, topology, 400, bound_of()), NoEndpoint):
            break
        view.own.held_tokens += 400
        view.own.requests += 1
    assert view.held_tokens() <= CAPACITY


def test_output_tokens_count(topology):
    view = make_view("e")
    view.peers["other"] = Load(requests=1, held_tokens=CAPACITY - 17_019)
    assert isinstance(choose(view, topology, 17_020, bound_of()), NoEndpoint)


def test_requests_that_only_the_engine_states_count(topology):
    """Guards against short requests of gateways whose messages have not arrived."""
    view = make_view("e", slots=64)
    view.record_stated_requests(80, NOW)
    assert isinstance(choose(view, topology, 17_000, bound_of()), NoEndpoint)


def test_request_that_never_fits_is_refused_at_once(topology):
    pool = EndpointPool()
    pool.put(make_view("e"))
    choice = choose_from_service(pool, b"k", demand_of(CAPACITY + 1, bound_of()), topology, NOW)
    assert choice == NoEndpoint("too_large", 0.0)


def test_each_side_of_a_cut_uses_half_of_the_memory(topology):
    view = make_view("e", slots=64)
    view.own.held_tokens = 70_000
    assert isinstance(choose(view, topology, 17_000, bound_of(heard=0.1)), NoEndpoint)
    view.own.held_tokens = 60_000
    assert isinstance(choose(view, topology, 17_000, bound_of(heard=0.1)), Placed)


def test_engine_that_was_just_learned_of_gets_no_long_prompt(topology):
    """Guards against load of others whose announcements came before the engine was known."""
    view = make_view("e")
    view.known_since = NOW - 0.5
    assert isinstance(choose(view, topology, 17_000, bound_of()), NoEndpoint)
    assert isinstance(choose(view, topology, 400, bound_of()), Placed)
    view.known_since = NOW - 2.0
    assert isinstance(choose(view, topology, 17_000, bound_of()), Placed)


def test_gateway_that_has_just_started_uses_a_quarter(topology):
    """Guards against gateways that start together and do not know of each other yet."""
    view, alone = make_view("e"), MemoryBound("gw-00", (), 1.0, is_complete=False)
    view.known_since = NOW - 0.5
    assert isinstance(choose(view, topology, 40_000, alone), Placed)
    assert isinstance(choose(view, topology, 44_000, alone), NoEndpoint)


def test_claim_of_a_gateway_that_stood_still_is_not_kept_since_it_hears_nobody():
    """Guards against an engine that others have filled while a gateway did not run."""
    view = make_view("e", slots=64)
    view.own = Load(requests=1, held_tokens=100_000)
    # Only the gateway that ranks first may hold more than its fraction, alone at an idle engine.
    kept = {
        (heard, is_complete): [
            host
            for host in HOSTS
            if is_within_memory(
                view,
                demand_of(100_000, replace(bound_of(host, heard), is_complete=is_complete)),
                NOW,
            )
        ]
        for heard, is_complete in ((1.0, True), (0.1, True), (0.1, False))
    }
    assert len(kept[1.0, True]) == len(HOSTS)
    assert len(kept[0.1, True]) == 1
    assert kept[0.1, False] == []


def test_deployment_without_the_bound_is_served_as_before(topology):
    """Only long prompts beyond 0.6 of the memory wait, and nothing is claimed."""
    view = make_view("e", slots=64)
    view.own.held_tokens = 90_000
    choice = choose(view, topology, 13_000, None)
    assert isinstance(choice, Placed)
    assert not choice.must_claim
    assert isinstance(choose(view, topology, 14_000, None), NoEndpoint)
    view.own.held_tokens = 0
    assert isinstance(choose(view, topology, CAPACITY + 1, None), Placed)
