"""Candidate endpoints of small and very large services."""

from dataclasses import replace

from teaselpath.dispatch import MAX_CANDIDATES, EndpointPool
from teaselpath.dispatch._pool import SEARCH_INTERVAL_S
from teaselpath.dispatch.tests.conftest import make_view
from teaselpath.fleet import EndpointState


def make_pool(count: int) -> EndpointPool:
    pool = EndpointPool()
    for number in range(count):
        pool.put(make_view(f"e{number}"))
    return pool


def names(views) -> list[str]:
    return [view.endpoint.endpoint_id for view in views]


def test_all_endpoints_of_a_small_service_are_candidates_except_leaving_ones():
    pool = make_pool(5)
    leaving = make_view("e3")
    leaving.endpoint = replace(leaving.endpoint, state=EndpointState.LEAVING)
    pool.put(leaving)
    pool.remove("e4")
    assert sorted(names(pool.candidates(b"p"))) == ["e0", "e1", "e2"]


def test_subset_of_a_large_service_depends_on_the_key_and_not_on_insertion_order():
    pool, other = make_pool(2_000), EndpointPool()
    for number in reversed(range(2_000)):
        other.put(make_view(f"e{number}"))
    chosen = names(pool.candidates(b"p1"))
    assert chosen == names(other.candidates(b"p1"))
    assert len(set(chosen)) == MAX_CANDIDATES
    assert chosen != names(pool.candidates(b"p2"))
    assert not set(chosen) & set(names(pool.candidates(b"p1", subset=1)))


def test_removal_of_an_endpoint_replaces_one_candidate():
    pool = make_pool(2_000)
    before = names(pool.candidates(b"p1"))
    pool.remove(before[10])
    after = names(pool.candidates(b"p1"))
    assert len(set(before) & set(after)) == MAX_CANDIDATES - 1


def test_keys_cover_a_large_service():
    pool = make_pool(1_000)
    seen = set()
    for number in range(300):
        seen.update(names(pool.candidates(f"p{number}".encode())))
    assert len(seen) >= 990


def test_only_open_endpoints_of_a_large_service_are_found():
    pool = make_pool(2_000)
    for name, view in pool.views.items():
        view.availability.record_hold_off(9.0 if name == "e7" else 20.0)
    for name in ("e3", "e4", "e5"):
        pool.put(make_view(name))
    pool.views["e4"].availability.record_leaving(0.0)
    leaving = make_view("e5")
    leaving.endpoint = replace(leaving.endpoint, state=EndpointState.LEAVING)
    pool.put(leaving)
    assert names(pool.open_candidates(b"p1", 1.0)) == ["e3"]
    openings = pool.openings(frozenset(), 1.0)
    assert len(openings) == MAX_CANDIDATES
    assert openings[:2] == [(9.0, 16), (20.0, 16)]
    assert pool.openings(frozenset({"e7"}), 1.0)[0] == (20.0, 16)


def test_open_candidates_are_as_few_as_those_of_a_subset_and_depend_on_the_key():
    pool = make_pool(2_000)
    chosen = names(pool.open_candidates(b"p1", 0.0))
    assert chosen == names(pool.candidates(b"p1"))
    assert chosen != names(pool.open_candidates(b"p2", 0.0))
    for name in chosen:
        pool.views[name].availability.record_hold_off(20.0)
    assert names(pool.open_candidates(b"p1", 1.0)) == names(pool.candidates(b"p1", subset=1))
    assert len(set(names(pool.open_candidates(max(chosen).encode(), 1.0)))) == MAX_CANDIDATES


def test_large_service_is_searched_once_an_interval_and_not_for_each_request():
    pool = make_pool(2_000)
    for view in pool.views.values():
        view.availability.record_hold_off(20.0)
    assert pool.open_candidates(b"p1", 1.0) == []
    pool.put(make_view("e3"))
    assert pool.open_candidates(b"p1", 1.0 + SEARCH_INTERVAL_S / 2) == []
    assert names(pool.open_candidates(b"p1", 1.0 + SEARCH_INTERVAL_S)) == ["e3"]
    pool.remove("e3")
    assert pool.open_candidates(b"p1", 1.0 + SEARCH_INTERVAL_S) == []
