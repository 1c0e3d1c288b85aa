"""Times that refused callers are told."""

import pytest

from teaselpath.dispatch import ReturnTimes
from teaselpath.dispatch._return_times import MAX_OPENINGS


def test_refused_callers_are_told_different_times():
    times = ReturnTimes()
    booked = [times.book(0.4, 5.0, 10.0) for _ in range(4)]
    assert booked == pytest.approx([0.4, 0.6, 0.8, 1.0])
    assert times.book(0.4, 5.0, 20.0) == pytest.approx(0.4)


def test_callers_that_wait_for_different_openings_are_told_different_times():
    """Guards against callers that all return at once where each waits for other endpoints."""
    times = ReturnTimes()
    booked = [times.book_after_opening({opens_at: 5.0}, 0.0) for opens_at in (3.0, 4.0) * 5]
    assert len({round(wait_s, 6) for wait_s in booked}) == len(booked)


def test_bookings_of_past_openings_and_of_too_many_are_discarded():
    times = ReturnTimes()
    for number in range(2 * MAX_OPENINGS):
        times.book_after_opening({100.0 + number: 5.0}, 0.0)
    assert len(times.next_after_opening) == MAX_OPENINGS
    times.book_after_opening({2e3: 5.0}, 1e3)
    assert list(times.next_after_opening) == [2e3]


def test_callers_return_as_fast_as_the_endpoints_that_have_opened_can_serve_them():
    times = ReturnTimes()
    booked = [times.book_after_opening({3.0: 2.0, 4.0: 6.0}, 0.0) for _ in range(6)]
    assert booked == [3.0, 3.5, 4.0, 4.125, 4.25, 4.375]


def test_callers_are_told_different_times_if_endpoints_open_at_almost_the_same_time():
    """Guards against pairs of callers that return at once."""
    times = ReturnTimes()
    booked = [times.book_after_opening({3.0: 5.0, 3.001: 5.0}, 0.0) for _ in range(8)]
    assert booked == pytest.approx([3.0 + 0.1 * number for number in range(8)])


def test_caller_does_not_wait_for_a_slow_endpoint_if_another_opens_meanwhile():
    times = ReturnTimes()
    booked = [times.book_after_opening({3.0: 0.1, 4.0: 5.0}, 0.0) for _ in range(3)]
    assert booked == pytest.approx([3.0, 4.0, 4.0 + 1 / 5.1])
