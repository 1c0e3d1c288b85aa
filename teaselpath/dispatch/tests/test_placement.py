"""Choice of an endpoint: caches, copies, weights, load, distance."""

from teaselpath.dispatch import Demand, NoPlace, Placed, StoreView, choose_endpoint, scope_of
from teaselpath.dispatch.tests.conftest import ENGINE, make_prompt, make_view
from teaselpath.fleet import CacheStore

NOW = 100.0


def place(views, topology, **fields):
    fields.setdefault("prompt", make_prompt())
    return choose_endpoint(views, Demand(engine=ENGINE, **fields), topology, NOW)


def test_engine_that_has_the_prefix_is_preferred(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.store(scope_of("", 1), "p1", 13_300)
    placed = place(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    assert placed.cached_tokens == 13_300


def test_busy_engine_with_the_prefix_gives_a_copy_to_an_idle_one(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.store(scope_of("", 1), "p1", 13_300)
    views[1].own.unread_tokens = 80_000
    placed = place(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]
    assert placed.fetch_from == views[1].endpoint.address


def test_copy_is_never_taken_across_weights(topology):
    views = [make_view("e1", weights=2), make_view("e2", weights=1)]
    views[1].cache.store(scope_of("", 1), "p1", 13_300)
    views[1].own.unread_tokens = 200_000
    placed = place(views, topology, wanted_weights=2)
    assert isinstance(placed, Placed)
    assert placed.view is views[0]
    assert placed.fetch_from is None
    assert placed.scope == scope_of("", 2)


def test_parts_of_another_workspace_do_not_count_for_an_isolated_one(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.store(scope_of("", 1), "p1", 13_300)
    placed = place(views, topology, scope_prefix="closed/")
    assert isinstance(placed, Placed)
    assert placed.cached_tokens == 0
    assert placed.fetch_from is None


def test_store_of_kept_parts_is_a_source(topology):
    store = StoreView(CacheStore("kept", "10.9.9.9:80", "a", 3_000_000, 48e9))
    store.cache.store(scope_of("", 1), "p1", 13_300)
    placed = place([make_view("e1")], topology, sources=(store,))
    assert isinstance(placed, Placed)
    assert placed.fetch_from == "10.9.9.9:80"


def test_expected_parts_attract_but_are_no_source_of_copies(topology):
    views = [make_view("e1"), make_view("e2")]
    views[1].cache.expect(scope_of("", 1), make_prompt(), NOW)
    placed = place(views, topology)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
    views[1].own.unread_tokens = 80_000
    placed = place(views, topology)
    assert isinstance(placed, Placed)
    assert placed.fetch_from is None


def test_engines_with_weights_past_their_time_run_nothing(topology):
    views = [make_view("e1", weights=1)]
    assert place(views, topology, oldest_weights=2) == NoPlace("switching", 0.5)


def test_switching_and_tried_engines_are_left_out(topology):
    views = [make_view("e1"), make_view("e2"), make_view("e3")]
    views[0].switching_until = NOW + 1
    placed = place(views, topology, excluded=frozenset({"e2"}))
    assert isinstance(placed, Placed)
    assert placed.view is views[2]


def test_full_engines_refuse(topology):
    view = make_view("e1", slots=2)
    view.own.requests = 1
    view.peers["other"] = view.own
    view.own.requests = 3
    placed = place([view], topology)
    assert isinstance(placed, NoPlace)
    assert placed.reason == "full"


def test_nearer_endpoint_is_taken_when_all_else_is_equal(topology):
    views = [make_view("e1", "c"), make_view("e2", "b"), make_view("e3", "a")]
    placed = place(views, topology, prompt=None)
    assert isinstance(placed, Placed)
    assert placed.view is views[2]


def test_failing_endpoint_is_avoided(topology):
    views = [make_view("e1"), make_view("e2", "b")]
    for _ in range(10):
        views[0].health.record_failure(NOW)
    placed = place(views, topology, prompt=None)
    assert isinstance(placed, Placed)
    assert placed.view is views[1]
