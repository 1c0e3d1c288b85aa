"""Learned times of engines: speeds that differ, neighbours, lies, restarts, cut-off peers."""

from dataclasses import replace
from random import Random

import pytest

from teaselpath.dispatch import (
    Demand,
    EngineTimes,
    ExpectedTimes,
    Placed,
    ServiceTimes,
    Topology,
)
from teaselpath.dispatch._engine_times import REFRESH_S
from teaselpath.dispatch._placement import choose_endpoint
from teaselpath.dispatch.tests.conftest import ENGINE, make_prompt, make_view

FAST_S, SLOW_S, FIXED_S = 1 / 112_000, 1 / 56_000, 0.03


def make_times() -> EngineTimes:
    return EngineTimes(ServiceTimes(is_learning=True))


def serve(times, s_per_token, now, tokens=4_000, factor=1.0, stated=None):
    """Have an engine answer a prompt in the time that its speed gives."""
    if stated is not None:
        times.record_pace(stated, now)
    expected = ExpectedTimes(prefill_s=times.prefill_s(tokens, now))
    elapsed_s = (FIXED_S + tokens * s_per_token) * factor
    times.record_first_event(expected, tokens, elapsed_s, now)


def learn(times, s_per_token, samples=60, factor_of=lambda n: 1.0, start=0.0, stated=None):
    now = start
    for n in range(samples):
        serve(times, s_per_token, now, tokens=(4_000, 300)[n % 2], factor=factor_of(n))
        now += 0.1
    return now


@pytest.mark.parametrize("s_per_token", [FAST_S, SLOW_S])
def test_speed_is_learned_although_some_answers_are_far_off(s_per_token):
    # Preempted prompts take five times as long, and wrongly guessed caches a tenth.
    random = Random(1)
    times = make_times()
    factors = [random.choice((5.0, 0.1)) if random.random() < 0.15 else 1.0 for _ in range(200)]
    now = learn(times, s_per_token, 200, factors.__getitem__)
    expected_s = FIXED_S + 4_000 * s_per_token
    assert times.fixed_s(now) + times.prefill_s(4_000, now) == pytest.approx(expected_s, rel=0.2)


def test_neighbour_of_the_moment_leaves_the_long_term_speed():
    times = make_times()
    now = learn(times, FAST_S)
    before_s = times.prefill_s(4_000, now)
    for n in range(4):
        serve(times, FAST_S, now + 0.05 * n, factor=2.0, stated=2.0)
    now += 0.2
    assert times.prefill_s(4_000, now) > 1.3 * before_s
    assert times.prefill_s(4_000, now + 2.0) == pytest.approx(before_s, rel=0.15)


@pytest.mark.parametrize(("stated", "factor"), [(9.0, 1.0), (1.0, 3.0), (0.01, 1.0)])
def test_lying_engine_is_soon_judged_by_its_answers(stated, factor):
    # A well engine states 900, a slow one states 100, and one states next to nothing.
    times = make_times()
    now = 0.0
    for _ in range(80):
        serve(times, FAST_S, now, factor=factor, stated=stated)
        now += 0.05
    times.record_pace(stated, now)
    actual_s = (FIXED_S + 4_000 * FAST_S) * factor
    assert times.fixed_s(now) + times.prefill_s(4_000, now) == pytest.approx(actual_s, rel=0.25)


def test_statement_that_stops_loses_its_effect():
    times = make_times()
    times.record_pace(2.5, 0.0)
    assert times.pace_effect(0.0) == pytest.approx(2.5)
    assert times.pace_effect(0.5) < 1.3
    assert times.pace_effect(5.0) == 1.0


def test_gateway_without_answers_begins_with_what_peers_know_and_forgets_cut_off_ones():
    service = ServiceTimes(is_learning=True)
    used, unused = EngineTimes(service), EngineTimes(ServiceTimes(is_learning=True))
    now = learn(used, FAST_S)
    statement = used.statement()
    assert statement is not None
    unused.record_peer(statement, now)
    assert unused.prefill_s(4_000, now) == pytest.approx(used.prefill_s(4_000, now), rel=0.1)
    # Its own answers win over statements that no longer come.
    later = learn(unused, SLOW_S, samples=40, start=now + 60.0)
    assert unused.prefill_s(4_000, later) == pytest.approx(4_000 * SLOW_S, rel=0.2)


@pytest.mark.parametrize(
    "statement",
    [(2**63, 1, 12), (1, 2**63, 12), (-1, 1, 12), (1, -1, 12), (1, 1, 0), (1, 1, 10**6)],
)
def test_statement_of_a_peer_that_no_engine_fits_is_ignored(statement):
    """Guards against one malformed message that keeps requests from a good engine."""
    times = EngineTimes(ServiceTimes(is_learning=True))
    now = learn(times, FAST_S)
    before = times.prefill_s(4_000, now), times.fixed_s(now)
    assert not times.record_peer(statement, now)
    later = now + 2 * REFRESH_S
    assert (times.prefill_s(4_000, later), times.fixed_s(later)) == before
    assert times.record_peer((25_000, 200, 12), now)


def test_engine_of_which_nothing_is_known_has_the_typical_times_of_its_service():
    service = ServiceTimes(is_learning=True)
    for _ in range(3):
        learn(EngineTimes(service), FAST_S)
    assert EngineTimes(service).prefill_s(4_000, 10.0) == pytest.approx(4_000 * FAST_S, rel=0.25)


def test_nothing_is_learned_or_stated_where_learning_is_off():
    times = EngineTimes()
    learn(times, FAST_S)
    times.record_peer((1, 1, 12), 0.0)
    assert times.prefill_s(40_000, 1.0) == pytest.approx(1.0)
    assert times.tokens_in(0.25, 1.0) == 10_000
    assert times.statement() is None


def test_costs_are_as_before_where_learning_is_off(topology):
    # 17,000 tokens behind 2,000 with two requests in flight, next door.
    view = make_view("e1", domain="b")
    view.own.requests, view.own.pending_prefill_tokens = 2, 2_000
    placed = choose_endpoint([view], Demand(make_prompt(), engine=ENGINE), topology, 0.0)
    assert isinstance(placed, Placed)
    hash_cost_s = placed.times.penalty_s
    assert 0.0 <= hash_cost_s <= 0.03
    prefill_s = 19_000 / 40_000 * 1.04 + 0.004
    assert placed.cost_s == pytest.approx(0.003 + prefill_s + hash_cost_s)
    assert placed.first_event_s == pytest.approx(0.003 + prefill_s)


def test_expected_first_event_has_no_penalties(topology):
    view = make_view("e1")
    placed = choose_endpoint([view], Demand(make_prompt(), engine=ENGINE), topology, 0.0)
    assert isinstance(placed, Placed)
    dearer = replace(placed.times, penalty_s=5.0)
    assert dearer.first_event_s == placed.first_event_s


def simulate(is_learning: bool, now_of=lambda n: n * 0.0075) -> tuple[float, list[int]]:
    """Return the mean first event, and prompts by engine, of engines that differ in speed.

    One engine is slowed down by a neighbour for half a second out of two and states so.
    """
    service = ServiceTimes(is_learning=is_learning)
    views = [make_view(f"e{n}", slots=64) for n in range(6)]
    speeds = [1 / 112_000 * (1.0 + 0.06 * n) for n in range(6)]
    free_at, counts, total_s, requests = [0.0] * 6, [0] * 6, 0.0, 1_500
    running: list[tuple[float, int, float, Placed, float]] = []
    for view in views:
        view.times = EngineTimes(service)
    random = Random(7)

    topology = Topology("a", {"a": "north"})
    for n in range(requests):
        now = now_of(n)
        for entry in [r for r in running if r[0] <= now]:
            running.remove(entry)
            done_at, number, mark, done, started_at = entry
            views[number].backlog.mark_done(mark, done_at)
            views[number].own.requests -= 1
            if is_learning:
                if number == 0:
                    views[0].record_pace(2.5 if done_at % 2.0 < 0.5 else 1.0, done_at)
                views[number].times.record_first_event(
                    done.times, 3_000, done_at - started_at, done_at
                )
        prompt = make_prompt(f"p{random.randrange(10_000)}", 100, 2_900)
        placed = choose_endpoint(views, Demand(prompt, engine=ENGINE), topology, now)
        if not isinstance(placed, Placed):
            continue
        number = views.index(placed.view)
        factor = 2.5 if number == 0 and now % 2.0 < 0.5 else 1.0
        free_at[number] = max(now, free_at[number]) + 3_000 * speeds[number] * factor
        done_at = free_at[number] + FIXED_S
        mark = placed.view.backlog.add(placed.view.times.prefill_s(3_000, now), now)
        placed.view.own.requests += 1
        running.append((done_at, number, mark, placed, now))
        counts[number] += 1
        total_s += done_at - now
    return total_s / requests, counts


def test_fleet_of_different_speeds_with_a_neighbour_answers_sooner_when_it_learns():
    # Load: prompts without common parts, at 70% of what the engines can prefill.
    assumed_s, _ = simulate(is_learning=False)
    learned_s, counts = simulate(is_learning=True)
    assert learned_s < assumed_s
    assert max(counts) < 1.4 * sum(counts) / len(counts)
