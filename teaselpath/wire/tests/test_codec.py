"""Tests that the codec rejects malformed bytes and preserves every field."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.results import Code
from teaselpath.wire import Ack, Chunk, Probe, decode, encode


@given(st.binary(max_size=200))
def test_decode_never_raises_on_arbitrary_bytes(data):
    """Guards against a peer that stops a process with a malformed message."""
    result = decode(data)
    assert result.is_ok() or result.unwrap_err().code is Code.MALFORMED_MESSAGE


@given(st.integers(0, 80), st.binary(min_size=1, max_size=3))
def test_decode_survives_damaged_messages(position, patch):
    """Guards against a crash on a message that was cut or altered."""
    data = bytearray(encode(Probe(1, "w", "m", "interactive", [b"x" * 16], 100)))
    data[position : position + len(patch)] = patch
    result = decode(bytes(data))
    assert result.is_ok() or result.unwrap_err().code is Code.MALFORMED_MESSAGE


def test_round_trip_keeps_fields():
    """Guards against fields lost by array encoding with omitted defaults."""
    for message in (Chunk("r", 1, 1, b"\x00\xff", 200, [("a", "b")]), Ack("r", 2, 9, 64)):
        decoded = decode(encode(message)).unwrap()
        assert msgspec.structs.asdict(decoded) == msgspec.structs.asdict(message)
