"""Work that an engine or a link has still to do."""

import pytest

from teaselpath.dispatch import Backlog


@pytest.fixture
def backlog() -> Backlog:
    """Return a backlog of two pieces of work."""
    backlog = Backlog()
    backlog.add(0.3, 10.0)
    backlog.add(0.2, 10.1)
    return backlog


def test_work_is_done_in_turn(backlog):
    assert backlog.wait_s(10.1) == pytest.approx(0.4)
    assert backlog.wait_s(11.0) == 0.0


def test_end_of_work_corrects_the_expectation(backlog):
    mark = backlog.add(0.5, 10.1)
    later = backlog.add(0.1, 10.2)
    assert later > mark
    backlog.mark_done(mark, 10.3)
    assert backlog.wait_s(10.3) == pytest.approx(0.1)


def test_work_that_is_not_done_is_taken_back(backlog):
    backlog.drop(0.2)
    assert backlog.wait_s(10.1) == pytest.approx(0.2)
