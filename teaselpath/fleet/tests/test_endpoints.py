"""Endpoint table over eras of the store: a copied record is not newer for its position."""

from teaselpath.fleet import (
    Endpoint,
    EndpointEntry,
    EndpointState,
    EndpointTable,
    Position,
    Revision,
    StoredRecord,
)
from teaselpath.fleet._endpoints import LAPSE_GRACE_S


def entry(era, offset, sequence=1, started_at_ms=1, state=EndpointState.READY):
    """Return an entry of the endpoint ``e``; without a sequence number, it has no revision."""
    endpoint = Endpoint("e", "s", "10.0.0.1:80", "a", 1, state, started_at_ms, ())
    revision = None if sequence is None else Revision(started_at_ms, sequence)
    value = f"{state} {started_at_ms}.{sequence}".encode()
    return EndpointEntry(StoredRecord("e", value, Position(era, offset)), endpoint, revision)


def removal(era, offset):
    return EndpointEntry(StoredRecord("e", b"", Position(era, offset)), None)


def table_of(*entries):
    """Return a table to which entries were applied in a calm store."""
    table = EndpointTable()
    for item in entries:
        table.apply(item, 0.0, may_be_lapse=False)
    return table


def test_later_record_of_the_next_era_is_applied_though_its_offset_is_lower():
    table = table_of(entry(1, 9, sequence=3), entry(2, 4, 4, state=EndpointState.LEAVING))
    assert table.get("e").state is EndpointState.LEAVING


def test_copied_record_does_not_make_a_leaving_endpoint_ready():
    table = table_of(entry(1, 9, 3, state=EndpointState.LEAVING), entry(2, 4, sequence=2))
    assert table.get("e").state is EndpointState.LEAVING
    assert table.position == Position(2, 4)


def test_copied_record_does_not_bring_back_an_endpoint_that_left():
    table = table_of(entry(1, 8, sequence=3), removal(1, 9), entry(2, 4, sequence=3))
    assert table.get("e") is None


def test_copied_record_does_not_bring_back_an_earlier_incarnation():
    table = table_of(entry(1, 9, 1, started_at_ms=8), entry(2, 4, sequence=7, started_at_ms=5))
    assert table.get("e").started_at_ms == 8


def test_endpoint_that_was_removed_returns_with_a_later_statement():
    table = table_of(entry(1, 8, sequence=3), removal(1, 9), entry(2, 4, sequence=4))
    assert table.get("e") is not None


def test_endpoint_written_again_in_the_new_era_is_accepted_whatever_it_counts():
    copied, written = entry(2, 4, sequence=3), entry(2, 5, sequence=3)
    table = table_of(entry(1, 8, sequence=3), removal(1, 9), copied, written)
    assert table.get("e") is not None


def test_removal_of_an_earlier_era_is_ignored():
    table = table_of(entry(2, 4, sequence=3), removal(1, 9))
    assert table.get("e") is not None


def test_later_statement_of_an_earlier_era_is_applied_and_keeps_the_newer_position():
    table = table_of(entry(2, 4, sequence=3), entry(1, 9, 5, state=EndpointState.LEAVING))
    assert table.get("e").state is EndpointState.LEAVING
    assert table.entries["e"].position == Position(2, 4)


def test_unknown_endpoint_of_an_earlier_era_is_ignored():
    table = table_of(EndpointEntry(StoredRecord("other", b"x", Position(2, 0)), None), entry(1, 9))
    assert table.get("e") is None


def test_without_sequence_numbers_the_position_decides():
    table = table_of(entry(1, 9, None, state=EndpointState.LEAVING), entry(2, 4, sequence=None))
    assert table.get("e").state is EndpointState.READY


def test_entry_missing_from_the_copy_is_removed_once_the_grace_period_has_passed():
    table = table_of(entry(1, 9))
    table.remove_unlisted(set(), Position(2, 4), 10.0, may_be_lapse=False)
    assert table.expire(10.0 + 0.9 * LAPSE_GRACE_S) == []
    assert table.get("e") is not None
    assert table.expire(10.0 + LAPSE_GRACE_S) == ["e"]
    assert table.get("e") is None


def test_entry_missing_from_the_copy_is_kept_if_it_is_written_again():
    table = table_of(entry(1, 9, sequence=3))
    table.remove_unlisted(set(), Position(2, 4), 10.0, may_be_lapse=False)
    table.apply(entry(2, 4, sequence=3), 11.0, may_be_lapse=True)
    assert table.expire(20.0) == []
    assert table.get("e") is not None


def test_invalid_copied_record_does_not_remove_an_endpoint_at_once():
    table = table_of(entry(1, 9, sequence=3))
    invalid = EndpointEntry(StoredRecord("e", b"{", Position(2, 4)), None)
    assert table.apply(invalid, 10.0, may_be_lapse=True) == "lapsed"
    assert table.get("e") is not None


def test_lapsed_entry_that_the_copy_lists_is_handed_on_with_a_value():
    table = table_of(entry(1, 8, sequence=3))
    table.apply(removal(1, 9), 10.0, may_be_lapse=True)
    table.apply(entry(2, 4, sequence=2), 11.0, may_be_lapse=True)
    assert table.expire(20.0) == []
    assert all(record.value for record in table.records_after(Position(1, 9)))


def test_removals_before_a_listing_are_not_known():
    table = table_of(entry(2, 6))
    table.remove_unlisted({"e"}, Position(2, 7), 10.0, may_be_lapse=False)
    assert not table.knows_removals_after(Position(1, 9))
    assert not table.knows_removals_after(Position(2, 3))
    assert table.knows_removals_after(Position(2, 6))


def test_endpoint_that_a_listing_lacked_is_not_taken_from_a_peer():
    table = table_of()
    table.remove_unlisted(set(), Position(2, 4), 10.0, may_be_lapse=False)
    assert table.apply(entry(2, 1), 11.0, may_be_lapse=False) == "outdated"
    assert table.get("e") is None
    # A peer that still has it learns from the position that this table knows more.
    assert table.position == Position(2, 3)


def test_endpoint_that_starts_again_with_a_clock_set_back_returns_after_a_listing():
    """Guards against an endpoint that is never used again: its record follows the listing."""
    table = table_of(entry(1, 8, sequence=3, started_at_ms=9), removal(1, 9))
    table.remove_unlisted(set(), Position(2, 4), 10.0, may_be_lapse=False)
    table.apply(entry(2, 4, sequence=1, started_at_ms=7), 11.0, may_be_lapse=False)
    assert table.get("e") is not None


def test_endpoint_that_was_removed_for_its_silence_returns_with_the_same_statement():
    """Guards against an endpoint that is never used again: its record follows the listing."""
    table = table_of(entry(1, 8, sequence=3), removal(1, 9))
    table.remove_unlisted(set(), Position(2, 4), 10.0, may_be_lapse=False)
    table.apply(entry(2, 4, sequence=3), 11.0, may_be_lapse=False)
    assert table.get("e") is not None
