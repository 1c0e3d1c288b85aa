"""Splitting of a stream into complete events."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.gateway._events import MAX_EVENT_BYTES, EventOutOfOrder, EventSplitter, EventTooLong

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 9))


@given(st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_any_split_of_a_stream_returns_complete_events_only(cuts):
    splitter = EventSplitter()
    passed = b""
    edges = [0, *sorted(cuts), len(STREAM)]
    for start, end in pairwise(edges):
        complete_events = splitter.feed(STREAM[start:end])
        assert complete_events == b"" or complete_events.endswith(b"\n\n")
        passed += complete_events
    assert passed == STREAM
    assert splitter.last_id == b"8"
    assert splitter.count == 8


def test_partial_event_is_discarded_before_another_endpoint_resumes():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    splitter.restart()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("chunk", [b"x" * 1_000, b": comment\n" * 100], ids=["line", "comments"])
def test_event_without_end_is_rejected(chunk):
    """An engine in trouble may send bytes that never complete an event."""
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    for _ in range(MAX_EVENT_BYTES // len(chunk) - 1):
        assert splitter.feed(chunk) == b""
    with pytest.raises(EventTooLong):
        splitter.feed(chunk * 3)


def encode_events(*ids: int | None) -> bytes:
    return b"".join(b"data: x\n\n" if n is None else b"id: %d\ndata: x%d\n\n" % (n, n) for n in ids)


@pytest.mark.parametrize(
    ("before", "after", "is_in_order"),
    [
        ((1, 2), (3, 4), True),
        ((1, 2), (1, 2, 3), False),
        ((1, 2), (2, 3), False),
        ((1, 2), (4, 5), False),
        ((1, 2), (None, 3), False),
        # Numbers that have gaps anyway.
        ((1, 4), (9, 12), True),
        ((1, 4), (4, 9), False),
        ((10,), (11,), True),
        # The endpoint had sent nothing, so the other one begins the stream.
        ((), (1, 2), True),
        ((), (5, 8), True),
    ],
)
def test_stream_is_resumed_with_the_event_that_follows(before, after, is_in_order):
    """Guards against an event twice, or missing, where two answers meet."""
    splitter = EventSplitter()
    splitter.feed(encode_events(*before) + b"id: 99\nda")
    splitter.restart()
    passed = splitter.last_id
    if is_in_order:
        assert splitter.feed(encode_events(*after)) == encode_events(*after)
        return
    with pytest.raises(EventOutOfOrder):
        splitter.feed(encode_events(*after))
    assert splitter.last_id == passed
    assert splitter.count == len(before)


def test_caller_that_resumes_gets_later_events_only():
    splitter = EventSplitter()
    splitter.resume_after(b"12")
    splitter.restart()
    with pytest.raises(EventOutOfOrder):
        splitter.feed(encode_events(1))
    assert splitter.feed(encode_events(13)) == encode_events(13)


def test_event_twice_in_one_answer_is_not_passed_on():
    splitter = EventSplitter()
    splitter.feed(encode_events(1, 2))
    with pytest.raises(EventOutOfOrder):
        splitter.feed(encode_events(3, 2))
    assert splitter.last_id == b"2"


def test_stream_cannot_be_resumed_after_data_without_id():
    """Another endpoint would begin it again."""
    splitter = EventSplitter()
    splitter.feed(encode_events(1) + b": comment\n\n")
    assert splitter.can_resume
    splitter.feed(encode_events(None))
    assert not splitter.can_resume


@pytest.mark.parametrize("event_id", [b"a", b"9" * 5_000, b"-1", b""])
def test_id_that_is_no_number_is_not_compared(event_id):
    splitter = EventSplitter()
    for _ in range(2):
        event = b"id: %b\ndata: x\n\n" % event_id
        assert splitter.feed(event) == event
    splitter.restart()
    with pytest.raises(EventOutOfOrder):
        splitter.feed(event)


@pytest.mark.parametrize(
    ("rest", "is_missing"),
    [(b"id: 2\nda", True), (b"i", True), (b"", False), (b": alive", False)],
)
def test_stream_does_not_end_before_an_event_that_was_begun(rest, is_missing):
    """The endpoint that resumes it must send that event; one that sends nothing left it out."""
    splitter = EventSplitter()
    splitter.feed(encode_events(1) + rest)
    assert splitter.is_between_events == (not rest)
    splitter.restart()
    assert splitter.is_between_events != is_missing
    splitter.feed(b": alive\n\n")
    assert splitter.is_between_events != is_missing
    splitter.feed(encode_events(2))
    assert splitter.is_between_events


def test_event_that_an_engine_leaves_out_where_a_caller_takes_a_stream_up_is_noticed():
    splitter = EventSplitter()
    splitter.resume_after(b"5")
    splitter.require_next()
    # As each engine is begun with.
    splitter.restart()
    with pytest.raises(EventOutOfOrder):
        splitter.feed(b"id: 7\ndata: x\n\n")
    splitter = EventSplitter()
    splitter.resume_after(b"5")
    splitter.require_next()
    assert splitter.feed(b"id: 6\ndata: x\n\n")
    assert splitter.feed(b"id: 7\ndata: x\n\n")


@pytest.mark.parametrize(
    ("numbers", "expected"), [([1, 2, 3], True), ([1, 3], False), ([2], False)]
)
def test_streams_without_gaps_are_told_from_others(numbers, expected):
    splitter = EventSplitter()
    for number in numbers:
        splitter.feed(b"id: %d\ndata: x\n\n" % number)
    assert splitter.is_numbered_without_gaps == expected
