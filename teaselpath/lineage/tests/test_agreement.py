"""Versions on which the gateways agree when the store cannot be asked."""

import pytest

from teaselpath.lineage import OriginReply, find_version


def unknown(*versions, can_tell=True):
    return OriginReply(1, False, None, 0, list(versions) if can_tell else None)


KNOWN = OriginReply(1, True, "v2", 100)


@pytest.mark.parametrize(
    ("replies", "is_complete", "expected"),
    [
        ([unknown("v1"), KNOWN], False, "v2"),
        ([unknown("v1"), unknown("v1")], True, "v1"),
        ([], True, "v1"),
        ([unknown("v1")], False, None),
        ([unknown("v1"), unknown("v1", "v2")], True, None),
        ([unknown("v2")], True, None),
        ([unknown("v1"), unknown(can_tell=False)], True, None),
        ([unknown(None)], True, None),
    ],
)
def test_version_is_told_by_one_that_knows_the_stream_or_by_all_that_may(
    replies, is_complete, expected
):
    found = find_version(["v1"], replies, is_complete=is_complete)
    assert (found.version if found else None) == expected


def test_version_that_cannot_be_read_is_no_agreement():
    assert find_version([None], [unknown(None)], is_complete=True) is None
