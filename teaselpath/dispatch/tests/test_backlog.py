"""Estimate of the pending work of an engine or a link."""

import pytest

from teaselpath.dispatch import Backlog


@pytest.fixture
def backlog() -> Backlog:
    """Return a backlog with two items of work."""
    backlog = Backlog()
    backlog.add(0.3, 10.0)
    backlog.add(0.2, 10.1)
    return backlog


def test_work_is_processed_in_order(backlog):
    assert backlog.wait_s(10.1) == pytest.approx(0.4)
    assert backlog.wait_s(11.0) == 0.0


def test_completed_work_corrects_the_estimate(backlog):
    mark = backlog.add(0.5, 10.1)
    later = backlog.add(0.1, 10.2)
    assert later > mark
    backlog.mark_done(mark, 10.3)
    assert backlog.wait_s(10.3) == pytest.approx(0.1)


def test_cancelled_work_is_subtracted(backlog):
    backlog.cancel(0.2)
    assert backlog.wait_s(10.1) == pytest.approx(0.2)
