"""Header fields of answers on whether the endpoint takes requests."""

import pytest

from teaselpath.platform import PlatformRequests

CODEC = PlatformRequests()


def decode(status: int, *headers: tuple[bytes, bytes]):
    return CODEC.decode_answer(status, list(headers))


@pytest.mark.parametrize("status", [200, 500, 503])
def test_statement_that_an_endpoint_leaves_is_read_and_not_forwarded(status):
    info = decode(status, (b"Server-Leaving", b" 1 "), (b"X-Kept", b"yes"))
    assert info.is_leaving
    assert info.invalid_leaving is None
    assert info.forwarded_headers == [(b"X-Kept", b"yes")]


@pytest.mark.parametrize("text", [b"0", b"true", b"", b"01", b"1, 1", b"x" * 100])
def test_other_text_does_not_state_that_an_endpoint_leaves(text):
    info = decode(200, (b"Server-Leaving", text))
    assert not info.is_leaving
    assert info.invalid_leaving == repr(text[:32])
    assert info.forwarded_headers == []


def test_answer_without_the_field_states_nothing():
    info = decode(200)
    assert not info.is_leaving
    assert info.invalid_leaving is None
