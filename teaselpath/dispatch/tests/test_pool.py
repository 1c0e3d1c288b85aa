"""Endpoints of one service, few or very many."""

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


def test_all_endpoints_of_a_small_service_are_offered_except_leaving_ones():
    pool = make_pool(5)
    leaving = make_view("e3")
    leaving.endpoint = replace(leaving.endpoint, state=EndpointState.LEAVING)
    pool.put(leaving)
    pool.remove("e4")
    assert sorted(names(pool.candidates(b"p"))) == ["e0", "e1", "e2"]


def test_part_of_a_large_service_is_the_same_for_a_key_in_any_order_of_arrival():
    pool, other = make_pool(2_000), EndpointPool()
    for number in reversed(range(2_000)):
        other.put(make_view(f"e{number}"))
    chosen = names(pool.candidates(b"p1"))
    assert chosen == names(other.candidates(b"p1"))
    assert len(set(chosen)) == MAX_CANDIDATES
    assert chosen != names(pool.candidates(b"p2"))
    assert not set(chosen) & set(names(pool.candidates(b"p1", subset=1)))


def test_endpoint_that_goes_changes_little_of_a_part():
    pool = make_pool(2_000)
    before = names(pool.candidates(b"p1"))
    pool.remove(before[10])
    after = names(pool.candidates(b"p1"))
    assert len(set(before) & set(after)) == MAX_CANDIDATES - 1


def test_keys_spread_over_a_large_service():
    pool = make_pool(1_000)
    seen = set()
    for number in range(300):
        seen.update(names(pool.candidates(f"p{number}".encode())))
    assert len(seen) >= 990
