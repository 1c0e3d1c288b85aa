"""What endpoints state on whether they take requests, over several views of one start."""

from teaselpath.dispatch import AvailabilityTable
from teaselpath.dispatch._availability import MAX_REMEMBERED_STARTS


def test_earliest_statement_of_an_endpoint_that_leaves_counts():
    availability = AvailabilityTable().get(7)
    assert availability.record_leaving(5.0)
    assert not availability.record_leaving(9.0)
    assert not availability.record_leaving(4.0)
    assert availability.is_leaving
    assert availability.takes_requests(3.9)
    assert not availability.takes_requests(4.0)


def test_latest_end_of_several_refusals_counts():
    availability = AvailabilityTable().get(7)
    assert availability.takes_requests(0.0)
    assert availability.record_hold_off(5.0)
    assert not availability.record_hold_off(2.0)
    assert availability.record_hold_off(6.0)
    assert not availability.takes_requests(5.9)
    assert availability.opens_at(5.9) == 6.0
    assert availability.takes_requests(6.0)
    assert availability.opens_at(6.5) == 6.5


def test_endpoint_that_leaves_before_it_wants_requests_again_never_opens():
    availability = AvailabilityTable().get(7)
    availability.record_leaving(5.0)
    availability.record_hold_off(4.0)
    assert availability.opens_at(1.0) == 4.0
    availability.record_hold_off(5.0)
    assert availability.opens_at(1.0) == float("inf")


def test_statement_outlasts_the_view_and_ends_with_the_start():
    table = AvailabilityTable()
    table.get(7).record_leaving(5.0)
    assert table.get(7).is_leaving
    assert not table.get(8).is_leaving


def test_number_of_remembered_starts_is_limited():
    table = AvailabilityTable()
    for number in range(MAX_REMEMBERED_STARTS + 1):
        table.get(number).record_leaving(5.0)
    assert len(table.by_number) == MAX_REMEMBERED_STARTS
    assert not table.get(0).is_leaving
