"""Admission by the aim: what can be in time waits, what cannot is rejected at once."""

import pytest

from teaselpath.dispatch import Reject, ReturnTimes, Wait, admit_by_aim


def test_request_waits_as_long_as_it_can_be_in_time():
    """Guards against answers that come late because the request was held too long."""
    assert admit_by_aim(10.0, 0.4, 14.0, 0.1, 0.2, 10.0) == Wait(10.3)


def test_request_that_would_come_late_is_rejected_at_once():
    """Guards against requests that wait in vain before those that could be in time."""
    assert admit_by_aim(10.0, 0.4, 14.0, 0.1, 0.35, 10.0) == Reject(0.35)


def test_request_that_is_late_already_is_rejected():
    """Guards against an attempt after an engine's refusal that delays new requests."""
    assert admit_by_aim(10.0, 0.4, 14.0, 0.1, 0.01, 10.5) == Reject(0.01)


def test_expected_first_event_beyond_the_aim_does_not_reject_everything():
    """Guards against a gateway that sends nothing any more and so learns no better times."""
    assert admit_by_aim(10.0, 0.4, 14.0, 5.0, 0.05, 10.0) == Wait(10.1)


def test_request_does_not_wait_beyond_its_deadline():
    """Guards against requests that are sent when their callers leave."""
    assert admit_by_aim(10.0, 1.0, 10.5, 0.2, 0.1, 10.0) == Wait(10.5)


def test_rejected_callers_return_one_after_the_other():
    """Guards against a second wave of all rejected callers at once."""
    returns = ReturnTimes()
    times = [returns.book(0.3, 10.0, 0.0, 3.0) for _ in range(40)]
    assert times[:3] == pytest.approx([0.3, 0.4, 0.5])
    assert max(times) == 3.0
    # What lies beyond the longest time is not booked, so that the places after it stay free.
    assert returns.book(0.3, 10.0, 3.0, 3.0) == pytest.approx(0.3, abs=0.2)
