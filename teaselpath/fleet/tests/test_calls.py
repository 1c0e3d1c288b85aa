"""Digests of requests: what equal requests of a caller have in common."""

from dataclasses import replace

import pytest

from teaselpath.fleet import CallerRequest, Prompt, PromptPart


@pytest.fixture
def request_of_caller() -> CallerRequest:
    """Return a request with a prompt and a body."""
    return CallerRequest(
        method=b"POST",
        target=b"/pay/1?n=2",
        host="a.example",
        path="/pay/1",
        request_id="r1",
        key="key-1",
        time_left_s=2.0,
        last_event_id=None,
        prompt=Prompt("m", (PromptPart("aa", 10), PromptPart("bb", 5)), 15, 10),
        tokens=25,
        forwarded_headers=[],
        body=b"{}",
    )


def test_digest_is_that_of_each_repeat(request_of_caller):
    repeat = replace(request_of_caller, request_id="r2", time_left_s=1.0, last_event_id=b"3")
    assert repeat.digest("office") == request_of_caller.digest("office")


@pytest.mark.parametrize(
    "changes",
    [
        {"body": b"{} "},
        {"body": b""},
        {"target": b"/pay/1?n=3"},
        {"method": b"GET"},
        {"host": "b.example"},
        {"prompt": None},
        {"prompt": Prompt("m", (PromptPart("aa", 10), PromptPart("cc", 5)), 15, 10)},
        {"target": b"/pay/1?n=2a.", "host": "example"},
    ],
)
def test_digest_of_another_request_differs(request_of_caller, changes):
    other = replace(request_of_caller, **changes)
    assert other.digest("office") != request_of_caller.digest("office")


def test_equal_requests_of_two_callers_differ(request_of_caller):
    digests = {request_of_caller.digest(caller) for caller in ("office", "drivers", None)}
    assert len(digests) == 3
