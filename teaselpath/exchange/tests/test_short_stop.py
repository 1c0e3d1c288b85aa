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


@pytest.mark.parametrize("has_ready_peer", [False, True])
@pytest.mark.parametrize("grace_s", [3.0, 4.0, 5.0])
def test_short_stop_takes_what_is_expected_before_its_end(grace_s, has_ready_peer):
    """Everything was taken, and cut."""
    stop = Stop(0.0, grace_s, grace_s - END_MARGIN_S, has_ready_peer=has_ready_peer)
    left_s = stop.ends_at - 0.5
    assert not stop.can_take(0.5, 10.0, left_s, is_long=False)
    assert stop.can_take(0.5, 10.0, 0.5 * left_s, is_long=False)
    # Its caller stops waiting before the end.
    assert stop.can_take(0.5, stop.ends_at, left_s, is_long=False)


def test_request_that_crosses_a_stop_is_taken_and_begins_at_once():
    stop = Stop(0.0, 8.0, 8.0 - END_MARGIN_S)
    assert stop.can_take(1.0, 20.0, 10.0, is_long=False)
    assert not stop.must_hold(1.0, 20.0)
