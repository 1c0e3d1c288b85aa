"""Candidate endpoints of small and very large services."""

from dataclasses import replace

from teaselpath.dispatch import MAX_CANDIDATES, EndpointPool
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
