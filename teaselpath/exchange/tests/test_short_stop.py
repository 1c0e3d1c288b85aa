"""Stops whose grace period is shorter than the time in which everything is taken."""

import pytest

from teaselpath.exchange import Stop

# Time before SIGKILL at which requests in flight are ended, in seconds.
END_MARGIN_S = 0.95


@pytest.mark.parametrize("grace_s", [1.0, 2.0, 3.0])
def test_nothing_is_taken_once_requests_in_flight_are_ended(grace_s):
    """The process is about to exit, and the answer is cut."""
    stop = Stop(0.0, grace_s, grace_s - END_MARGIN_S)
    now = stop.ends_at + 0.1
    assert not stop.can_take(now, now + 5.0, None, is_long=False)


@pytest.mark.parametrize("grace_s", [3.0, 4.0, 5.0])
def test_stream_that_is_cut_before_the_last_sixth_of_the_stop_is_held(grace_s):
    """Only engines still at work in the last sixth excuse a cut."""
    stop = Stop(0.0, grace_s, grace_s - END_MARGIN_S)
    assert stop.ends_at < grace_s * 5 / 6
    now = min(2.0, stop.ends_at - 0.1)
    taken = stop.can_take(now, now + 10.0, None, is_long=False)
    assert not taken or stop.must_hold(now, now + 10.0)
