"""Translation of the heads of answers."""

import pytest

from teaselpath.platform import PlatformRequests

NOT_RUN = [(b"Request-Id", b"r1"), (b"Not-Run", b"1")]


@pytest.mark.parametrize("status", [200, 204, 302])
def test_success_is_no_proof_that_the_request_did_not_run(status):
    """Guards against a second run if an engine in trouble mixes two heads."""
    assert not PlatformRequests().decode_answer(status, NOT_RUN).did_not_run


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_refusal_states_that_the_request_did_not_run(status):
    assert PlatformRequests().decode_answer(status, NOT_RUN).did_not_run
    is_enough = status == 421
    assert PlatformRequests().decode_answer(status, NOT_RUN[:1]).did_not_run == is_enough


def test_media_type_is_compared_without_parameters():
    headers = [(b"content-type", b"Text/Event-Stream; charset=utf-8")]
    assert PlatformRequests().decode_answer(200, headers).media_type == b"text/event-stream"
    assert PlatformRequests().decode_answer(200, []).media_type == b""
