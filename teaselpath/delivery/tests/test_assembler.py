"""Tests that the assembler delivers each byte once and in order over a faulty channel."""

from hypothesis import given
from hypothesis import strategies as st

from teaselpath.delivery import AckDue, Completed, Deliver, ResumeDue, StreamAssembler
from teaselpath.results import Code, Ran
from teaselpath.wire import Chunk, End

CHUNKS = [Chunk("r", 1, number, b"%d," % number) for number in range(1, 7)]
END = End("r", 1, 6, Code.OK, Ran.RAN)
STREAM: list[Chunk | End] = [*CHUNKS, END]


def delivered(actions):
    return b"".join(action.chunk.data for action in actions if isinstance(action, Deliver))


@given(st.lists(st.sampled_from(STREAM), max_size=30))
def test_duplicates_in_any_order_give_the_stream(messages):
    """Guards against lost, duplicated or reordered bytes and an end before the last chunk."""
    assembler = StreamAssembler("r", 1, 0.0)
    actions = [action for message in messages for action in assembler.handle(message, 0.0)]
    actions += [action for message in STREAM for action in assembler.handle(message, 0.0)]
    assert delivered(actions) == b"1,2,3,4,5,6,"
    assert [a for a in actions if isinstance(a, Completed)] == [Completed(Code.OK, Ran.RAN, 6)]


def test_chunks_of_other_attempts_and_requests_are_ignored():
    """Guards against an answer that is delivered to the caller of another request."""
    assembler = StreamAssembler("r", 2, 0.0)
    assert assembler.handle(CHUNKS[0], 0.0) == []
    assert assembler.handle(Chunk("other", 2, 1, b"x"), 0.0) == []
    assert assembler.handle(End("other", 2, 0, Code.OK, Ran.RAN), 0.0) == []


def test_gap_and_stall_are_resumed():
    """Guards against a stream that waits forever for a lost chunk or a lost end."""
    assembler = StreamAssembler("r", 1, 0.0, stall_s=2.0, gap_s=0.1)
    assembler.handle(CHUNKS[0], 1.0)
    assembler.handle(CHUNKS[2], 1.0)
    assert assembler.tick(1.05) == []
    assert assembler.tick(1.2) == [ResumeDue(1)]
    assert assembler.tick(3.3) == [ResumeDue(1)]


def test_acks_are_sent_each_quarter_of_the_window_and_for_the_end():
    """Guards against a sender blocked at its window and a buffer that is kept after the end."""
    assembler = StreamAssembler("r", 1, 0.0, window=8)
    actions = [action for message in STREAM for action in assembler.handle(message, 0.0)]
    assert [a.number for a in actions if isinstance(a, AckDue)] == [2, 4, 6, 7]
    assert assembler.handle(END, 9.0) == [AckDue(7, 8)]


def test_chunks_outside_the_window_are_not_buffered():
    """Guards against unbounded memory use by chunks outside the window."""
    assembler = StreamAssembler("r", 1, 0.0, window=4)
    for number in range(2, 100):
        assembler.handle(Chunk("r", 1, number, b"x"), 0.0)
    assert sorted(assembler._pending) == [2, 3, 4]


def test_discarded_buffer_ends_only_a_stream_that_needs_it():
    """Guards against a late reply to an earlier resume that ends an intact stream."""
    assembler = StreamAssembler("r", 1, 0.0)
    assembler.handle(CHUNKS[0], 0.0)
    assert assembler.handle(End("r", 1, 1, Code.BUFFER_EXPIRED, Ran.RAN), 0.0) == []
    (completed,) = assembler.handle(End("r", 1, 2, Code.BUFFER_EXPIRED, Ran.RAN, detail="d"), 0.0)
    assert completed == Completed(Code.BUFFER_EXPIRED, Ran.RAN, 1, "d")


def test_unknown_request_fails_at_the_second_reply():
    """Guards against a stream that fails because its resume overtook its start."""
    assembler = StreamAssembler("r", 1, 0.0)
    unknown = End("r", 1, 0, Code.UNKNOWN_REQUEST, Ran.UNKNOWN)
    assert assembler.handle(unknown, 0.0) == [ResumeDue(0)]
    assembler.handle(CHUNKS[0], 0.0)
    assert assembler.handle(unknown, 0.0) == [ResumeDue(1)]
    assert assembler.handle(unknown, 0.0) == [Completed(Code.UNKNOWN_REQUEST, Ran.RAN, 1)]


def test_end_with_too_few_chunks_breaks_the_protocol():
    """Guards against a stream that completes although the agent reports fewer chunks."""
    assembler = StreamAssembler("r", 1, 0.0)
    assembler.handle(CHUNKS[0], 0.0)
    assembler.handle(CHUNKS[1], 0.0)
    actions = assembler.handle(End("r", 1, 1, Code.OK, Ran.RAN), 0.0)
    assert [a.code for a in actions if isinstance(a, Completed)] == [Code.ENDPOINT_PROTOCOL]
