"""Splitting of a stream into complete events."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.gateway._events import MAX_EVENT_BYTES, EventSplitter, EventTooLong

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
