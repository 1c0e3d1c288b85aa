"""Choice of an endpoint by caches, KV cache transfers, weights, load and distance."""

from dataclasses import replace

from teaselpath.dispatch import (
    Demand,
    ExpectedTimes,
    Load,
    NoEndpoint,
    Placed,
    Reservation,
    StoreView,
    choose_endpoint,
    scope_of,
)
from teaselpath.dispatch.tests.conftest import ENGINE, make_prompt, make_view
from teaselpath.fleet import CacheStore, EngineLimits, Prompt, PromptPart

NOW = 100.0


def choose(views, topology, **fields):
    fields.setdefault("prompt", make_prompt())
    return choose_endpoint(views, Demand(engine=ENGINE, **fields), topology, NOW)


def test_engine_that_has_the_prefix_is_preferred(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.record_stored(scope_of("", 1), "p1", 13_300)
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    assert placed.cached_tokens == 13_300


def test_idle_engine_fetches_the_prefix_from_a_busy_one(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.record_stored(scope_of("", 1), "p1", 13_300)
    views[1].own.pending_prefill_tokens = 80_000
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]
    assert placed.fetch_from == views[1].endpoint.address


def test_parts_are_never_fetched_across_weights_versions(topology):
    views = [make_view("e1", weights=2), make_view("e2", weights=1)]
    views[1].cache.record_stored(scope_of("", 1), "p1", 13_300)
    views[1].own.pending_prefill_tokens = 200_000
    placed = choose(views, topology, announced_weights=2)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]
    assert placed.fetch_from is None
    assert placed.scope == scope_of("", 2)


def test_engine_of_unknown_weights_runs_no_prompts_and_shares_no_parts(topology):
    unknown, known = make_view("e1"), make_view("e2")
    unknown.endpoint, unknown.weights = replace(unknown.endpoint, weights=()), {}
    unknown.cache.record_stored(scope_of("", 1), "p1", 13_300)
    placed = choose([unknown, known], topology)
    assert isinstance(placed, Placed)
    assert placed.view is known
    assert placed.fetch_from is None
    assert choose([unknown], topology) == NoEndpoint("none_listed", 1.0)
    assert isinstance(choose([unknown], topology, prompt=None), Placed)


def test_parts_of_another_workspace_do_not_count_for_an_isolated_one(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.record_stored(scope_of("", 1), "p1", 13_300)
    placed = choose(views, topology, scope_prefix="closed/")
    assert isinstance(placed, Placed)
    assert placed.cached_tokens == 0
    assert placed.fetch_from is None


def test_parts_are_fetched_from_a_cache_store(topology):
    store = StoreView(CacheStore("store", "10.9.9.9:80", "a", 48e9))
    store.cache.record_stored(scope_of("", 1), "p1", 13_300)
    placed = choose([make_view("e1")], topology, cache_stores=(store,))
    assert isinstance(placed, Placed)
    assert placed.fetch_from == "10.9.9.9:80"


def test_expected_parts_attract_requests_but_are_not_fetched(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.record_expected(scope_of("", 1), make_prompt().parts, NOW)
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    views[1].own.pending_prefill_tokens = 80_000
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.fetch_from is None


def test_engines_with_outdated_weights_get_no_requests(topology):
    views = [make_view("e1", weights=1)]
    assert choose(views, topology, oldest_weights=2) == NoEndpoint("switching", 0.5)


def test_loading_and_excluded_engines_are_left_out(topology):
    views = [make_view("e1"), make_view("e2"), make_view("e3")]
    views[0].loading_until = NOW + 1
    placed = choose(views, topology, excluded=frozenset({"e2"}))
    assert isinstance(placed, Placed)
    assert placed.view is views[2]


def test_full_engines_get_no_requests(topology):
    view = make_view("e1", slots=2)
    view.own.requests = 1
    view.peers["other"] = Load(requests=2)
    placed = choose([view], topology)
    assert isinstance(placed, NoEndpoint)
    assert placed.reason == "full"


def test_load_that_an_endpoint_states_counts_while_it_is_fresh(topology):
    """Its answers show requests of gateways whose messages have not arrived yet."""
    full, idle = make_view("e-full", slots=4), make_view("e-idle", slots=4)
    full.record_stated_requests(6, 10.0)
    demand = Demand(None)
    assert choose_endpoint([full], demand, topology, 10.1) == NoEndpoint("full", 0.5)
    chosen = choose_endpoint([full, idle], demand, topology, 10.1)
    assert isinstance(chosen, Placed)
    assert chosen.view is idle
    assert isinstance(choose_endpoint([full], demand, topology, 10.5), Placed)


def test_engine_that_refuses_with_free_slots_is_avoided_as_loading(topology):
    """It carries out an order late; each request to it would only spend the retry budget."""
    loading, other = make_view("e-loading", slots=4), make_view("e-other", domain="c", slots=4)
    loading.record_not_run(1, NOW)
    assert choose([loading, other], topology).view is other
    assert choose([loading], topology) == NoEndpoint("switching", 0.5)
    full = make_view("e-full", slots=4)
    full.record_not_run(6, NOW)
    assert isinstance(choose([full], topology), Placed)


def test_nearest_endpoint_is_chosen_if_all_else_is_equal(topology):
    views = [make_view("e1", "c"), make_view("e2", "b"), make_view("e3", "a")]
    placed = choose(views, topology, prompt=None)
    assert isinstance(placed, Placed)
    assert placed.view is views[2]


def test_failing_endpoint_is_avoided(topology):
    views = [make_view("e1"), make_view("e2", "b")]
    for _ in range(10):
        views[0].health.record_failure(NOW)
    placed = choose(views, topology, prompt=None)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]


def make_store(address="10.9.9.9:80", domain="a"):
    return StoreView(CacheStore("store", address, domain, 48e9))


def test_all_gateways_distribute_uncached_prompts_identically(topology):
    names = [f"e{n}" for n in range(8)]
    chosen = []
    for order in (names, names[::-1]):
        views = [make_view(name) for name in order]
        prompts = [make_prompt(f"p{n}") for n in range(24)]
        chosen.append(
            [choose(views, topology, prompt=p).view.endpoint.endpoint_id for p in prompts]
        )
    assert chosen[0] == chosen[1]
    assert len(set(chosen[0])) >= 6


def test_memory_for_cached_parts_is_not_used_for_running_prompts(topology):
    view = make_view("e1")
    view.own.held_tokens = 50_000
    view.peers["other"] = Load(requests=2, held_tokens=40_000)
    placed = choose([view], topology)
    assert placed == NoEndpoint("reading", 0.5)
    short = choose([view], topology, prompt=make_prompt("p2", 100, 200))
    assert isinstance(short, Placed)


def test_idle_engine_accepts_a_prompt_of_any_size(topology):
    placed = choose([make_view("e1")], topology, prompt=make_prompt("p1", 100_000, 50_000))
    assert isinstance(placed, Placed)


def test_store_is_preferred_as_a_source_to_an_engine_that_may_evict(topology):
    store, views = make_store(), [make_view("e1"), make_view("e22")]
    for cache in (store.cache, views[1].cache):
        cache.record_stored(scope_of("", 1), "p1", 13_300)
    views[1].own.pending_prefill_tokens = 80_000
    placed = choose(views, topology, cache_stores=(store,))
    assert isinstance(placed, Placed)
    assert placed.fetch_from == store.store.address


def test_store_with_a_long_queue_is_not_used(topology):
    store = make_store()
    store.cache.record_stored(scope_of("", 1), "p1", 13_300)
    store.link.add(1.5, NOW)
    placed = choose([make_view("e1")], topology, cache_stores=(store,))
    assert isinstance(placed, Placed)
    assert (placed.fetch_from, placed.save_to) == (None, None)


def test_computed_parts_are_saved_to_the_least_loaded_store_of_the_region(topology):
    stores = (
        make_store("10.9.9.1:80"),
        make_store("10.9.9.2:80", "b"),
        make_store("10.9.9.3:80", "c"),
    )
    stores[0].link.add(0.5, NOW)
    placed = choose([make_view("e1")], topology, cache_stores=stores)
    assert isinstance(placed, Placed)
    assert placed.save_to == "10.9.9.2:80"
    stores[0].cache.record_stored(scope_of("", 1), "p1", 13_300)
    placed = choose([make_view("e1")], topology, cache_stores=stores)
    assert isinstance(placed, Placed)
    assert placed.save_to is None


def test_uncached_prompt_is_computed_in_its_preferred_region(topology):
    views = [make_view(f"e{n}", "ac"[n % 2]) for n in range(8)]
    regions = set()
    for n in range(16):
        placed = choose(views, topology, prompt=make_prompt(f"p{n}"))
        assert isinstance(placed, Placed)
        regions.add(placed.view.endpoint.failure_domain)
    assert regions == {"a", "c"}


def test_engine_with_unknown_memory_is_not_limited_by_it(topology):
    view = make_view("e1")
    view.own.held_tokens = 90_000
    unknown = EngineLimits(0, 18_432, 0.8e-6)
    placed = choose_endpoint([view], Demand(make_prompt(), engine=unknown), topology, NOW)
    assert isinstance(placed, Placed)


def test_parts_are_not_saved_across_regions(topology):
    placed = choose([make_view("e1")], topology, cache_stores=(make_store(domain="c"),))
    assert isinstance(placed, Placed)
    assert placed.save_to is None


def limit_engine(view, rate, share=1.0, level=0.0):
    view.limit.record_statement(rate, NOW)
    view.limit.set_share(share, level, NOW)


def test_engine_without_a_limit_is_preferred_and_the_demand_for_the_other_is_known(topology):
    views = [make_view("e1"), make_view("e2")]
    views[0].cache.record_stored(scope_of("", 1), "p1", 13_300)
    limit_engine(views[0], 4.0, level=0.5)
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    assert placed.first_choice is views[0]


def test_limited_engine_takes_a_request_that_its_share_has_room_for(topology):
    views = [make_view("e1"), make_view("e2")]
    views[0].cache.record_stored(scope_of("", 1), "p1", 13_300)
    limit_engine(views[0], 4.0, level=1.0)
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]


def test_request_is_refused_with_the_time_of_the_next_room_if_all_engines_are_limited(topology):
    views = [make_view("e1"), make_view("e2")]
    limit_engine(views[0], 4.0, share=0.5, level=0.5)
    limit_engine(views[1], 1.0, share=0.5)
    choice = choose(views, topology)
    assert choice == NoEndpoint("limited", 0.25, choice.first_choice)


def test_request_that_may_end_its_engine_goes_to_one_with_few_others(topology):
    views = [make_view("e1"), make_view("e2")]
    views[0].cache.record_stored(scope_of("", 1), "p1", 13_300)
    views[0].own.requests = 12
    placed = choose(views, topology, endangers_engine=True)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]


def test_engine_that_leaves_is_used_only_while_no_other_takes_the_request(topology):
    views = [make_view("e1"), make_view("e2")]
    views[0].cache.record_stored(scope_of("", 1), "p1", 13_300)
    views[0].availability.record_leaving(NOW + 3.0)
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    views[1].own.requests = 100
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]


def test_engine_that_leaves_is_preferred_to_an_unreachable_one(topology):
    views = [make_view("e1"), make_view("e2")]
    views[0].availability.record_leaving(NOW + 3.0)
    views[1].health.record_unreachable(NOW)
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]


def test_engine_that_has_left_gets_no_request_though_no_other_takes_it(topology):
    """Guards against requests to an engine that leaves later than the drain time."""
    views = [make_view("e1"), make_view("e2")]
    views[0].availability.record_leaving(NOW)
    views[1].own.requests = 100
    assert choose(views, topology) == NoEndpoint("full", 0.5)
    assert choose(views[:1], topology) == NoEndpoint("none_listed", 1.0)


def test_engine_that_wants_no_requests_gets_none_until_the_end_of_the_time(topology):
    views = [make_view("e1"), make_view("e2")]
    views[0].cache.record_stored(scope_of("", 1), "p1", 13_300)
    views[0].availability.record_hold_off(NOW + 2.0)
    placed = choose(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    assert placed.fetch_from is None
    views[1].own.requests = 100
    assert choose(views, topology) == NoEndpoint("full", 0.5)


def test_earliest_end_is_known_if_all_engines_want_no_requests(topology):
    views = [make_view("e1"), make_view("e2"), make_view("e3")]
    for view, hold_off_s in zip(views, (2.0, 0.5, 0.25), strict=True):
        view.availability.record_hold_off(NOW + hold_off_s)
    # This engine will have left by then.
    views[2].availability.record_leaving(NOW + 0.25)
    assert choose(views, topology) == NoEndpoint("held_off", 0.5)
    assert choose(views, topology, excluded=frozenset({"e2"})) == NoEndpoint("held_off", 2.0)
    excluded = frozenset({"e1", "e2", "e3"})
    assert choose(views, topology, excluded=excluded) == NoEndpoint("unreachable", 0.5)


def test_engine_that_goes_on_refusing_is_avoided_longer_until_it_runs_a_request():
    """Where times are learned; each gateway would else ask it three times a second."""
    loading = make_view("e", slots=4)
    loading.times.service.is_learning = True
    waits = []
    for now in (0.0, 10.0, 20.0, 30.0):
        loading.record_not_run(1, now)
        # Answers to requests that were under way do not count as further refusals.
        loading.record_not_run(1, now + 0.01)
        waits.append(round(loading.loading_until - now, 2))
    assert waits == [0.31, 0.61, 0.91, 0.91]
    loading.record_accepted()
    loading.record_not_run(1, 40.0)
    assert round(loading.loading_until - 40.0, 2) == 0.3


def test_loaded_engine_is_used_as_soon_as_its_new_weights_are_known():
    loading = make_view("e")
    loading.times.service.is_learning = True
    loading.loading_until = NOW + 1.0
    loading.record_weights("m", 1)
    assert loading.loading_until > NOW
    loading.record_weights("m", 2)
    assert loading.loading_until == 0.0


def test_engine_that_keeps_callers_waiting_is_avoided(topology):
    """A dark engine has few prompts ahead, so that it would look as good as an idle one."""
    views = [make_view("e1"), make_view("e2")]
    for view in views:
        view.times.service.is_learning = True
    first = choose(views, topology)
    assert isinstance(first, Placed)
    reservation = Reservation(first.view)
    reservation.begin(NOW - 0.5)
    second = choose(views, topology)
    assert isinstance(second, Placed)
    assert second.view is not first.view
    reservation.end()
    assert choose(views, topology).view is first.view


def test_prompts_with_one_small_part_in_common_are_spread_where_times_are_learned(topology):
    """Load: 240 prompts at once of which one part of 90 tokens is the same."""
    views = [make_view(f"e{n}") for n in range(6)]
    for view in views:
        view.times.service.is_learning = True
        for _ in range(12):
            view.times.record_first_event(ExpectedTimes(prefill_s=0.1), 4_000, 0.1, NOW)
    counts = dict.fromkeys(range(6), 0)
    for n in range(240):
        prompt = Prompt("m", (PromptPart("p", 90), PromptPart(f"own-{n}", 200)), 290, 5)
        placed = choose(views, topology, prompt=prompt)
        assert isinstance(placed, Placed)
        counts[views.index(placed.view)] += 1
    assert max(counts.values()) < 1.4 * 240 / 6
