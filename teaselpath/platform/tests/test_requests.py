"""Translation of the heads of answers."""

import pytest

from teaselpath.platform import PlatformRequests

CODEC = PlatformRequests()
NOT_RUN = [(b"Request-Id", b"r1"), (b"Not-Run", b"1")]


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
    assert info.hold_off_s is None
    assert info.invalid_hold_off is None


@pytest.mark.parametrize(
    ("text", "hold_off_s"),
    [
        (b"3", 3.0),
        (b" 0.25 ", 0.25),
        (b".5", 0.5),
        (b"2.", 2.0),
        (b"0", 0.0),
        (b"007", 7.0),
        (b"86400", 86_400.0),
        (b"9" * 400, 1e9),
    ],
)
def test_time_of_a_refusal_is_read(text, hold_off_s):
    info = decode(503, (b"Retry-After", text))
    assert info.hold_off_s == hold_off_s
    assert info.invalid_hold_off is None


@pytest.mark.parametrize(
    "text",
    [b"-1", b"soon", b"", b"1e3", b"nan", b"inf", b"2,5", b"Fri, 31 Dec 1999 23:59:59 GMT"],
)
def test_text_that_is_no_time_of_a_refusal_is_invalid(text):
    info = decode(503, (b"Retry-After", text))
    assert info.hold_off_s is None
    assert info.invalid_hold_off == repr(text[:32])


def test_longest_time_of_a_refusal_counts():
    assert decode(503, (b"Retry-After", b"2"), (b"Retry-After", b"1")).hold_off_s == 2.0


@pytest.mark.parametrize("status", [200, 421, 429, 500])
def test_time_of_other_answers_binds_nobody(status):
    assert decode(status, (b"Retry-After", b"2")).hold_off_s is None


@pytest.mark.parametrize("status", [200, 204, 302])
def test_success_is_no_proof_that_the_request_did_not_run(status):
    """Guards against a second run if an engine in trouble mixes two heads."""
    assert not CODEC.decode_answer(status, NOT_RUN).did_not_run


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_refusal_states_that_the_request_did_not_run(status):
    assert CODEC.decode_answer(status, NOT_RUN).did_not_run
    is_enough = status == 421
    assert CODEC.decode_answer(status, NOT_RUN[:1]).did_not_run == is_enough


def test_media_type_is_compared_without_parameters():
    headers = [(b"content-type", b"Text/Event-Stream; charset=utf-8")]
    assert CODEC.decode_answer(200, headers).media_type == b"text/event-stream"
    assert CODEC.decode_answer(200, []).media_type == b""


@pytest.mark.parametrize(
    ("text", "requests", "pace"),
    [
        (b"3,1,8", 4, None),
        (b"3, 1, 8, 100", 4, 1.0),
        (b"3,1,8,250", 4, 2.5),
        (b"3,1,8,62.5", 4, 0.625),
        (b"3,1,8,100,7,later", 4, 1.0),
    ],
)
def test_stated_load_is_read_with_or_without_further_figures(text, requests, pace):
    """Guards against a fourth figure that hides the counts."""
    info = decode(200, (b"Server-Load", text))
    assert (info.requests, info.pace, info.invalid_load) == (requests, pace, None)


@pytest.mark.parametrize("text", [b"", b"3", b"3,1", b"a,1,8", b"-1,0,8", b"3,1,8.5,100"])
def test_load_that_cannot_be_read_states_nothing(text):
    info = decode(200, (b"Server-Load", text))
    assert (info.requests, info.pace) == (None, None)
    assert info.invalid_load == repr(text)


@pytest.mark.parametrize("figure", [b"", b"fast", b"-5", b"nan", b"0", b"1e3"])
def test_counts_hold_beside_a_pace_that_cannot_be_read(figure):
    info = decode(200, (b"Server-Load", b"3,1,8," + figure))
    assert (info.requests, info.pace) == (4, None)
    assert info.invalid_load == repr(b"3,1,8," + figure)
