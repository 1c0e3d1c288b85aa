"""Usage parsing of endpoint answers; headers and cache salt of endpoint requests."""

import orjson
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.agent._endpoint import Usage, parse_usage
from teaselpath.agent._endpoint_request import endpoint_headers, model_body
from teaselpath.wire import Start

USAGE = {
    "prompt_tokens": 9,
    "completion_tokens": 4,
    "prompt_tokens_details": {"cached_tokens": 8},
}


def make_start(body=b'{"model":"m"}', **changes):
    values = {
        "request_id": "r",
        "attempt": 1,
        "workspace": "office",
        "request_class": "c",
        "model": "m",
        "remaining_ms": 1000,
        "bundle_version": 1,
        "weights": "w1",
        "chain": [],
        "prompt_tokens": 1,
        "output_cap": 1,
        "repeatable": True,
        "claim_key": b"",
        "method": "POST",
        "path": "/v1/completions",
        "headers": [],
        "body": body,
        "stream": True,
    }
    return Start(**{**values, **changes})


def test_usage_is_found_in_streams_and_plain_answers():
    """Guards against missed usage, which charges a workspace for the full output cap."""
    last = b"data: " + orjson.dumps({"choices": [], "usage": USAGE}) + b"\n\ndata: [DONE]\n\n"
    plain = orjson.dumps({"choices": [], "usage": USAGE})
    assert parse_usage(b'data: {"x": 1}\n\n' + last) == parse_usage(plain) == Usage(9, 8, 4)


@given(st.binary(max_size=200))
def test_hostile_usage_never_raises(data):
    """Guards against an endpoint whose answer stops its agent."""
    parse_usage(b'data: {"usage": ' + data)
    parse_usage(data + b'"usage"')


def test_only_listed_headers_reach_the_endpoint():
    """Guards against credentials forwarded in a header."""
    headers = [("authorization", "Bearer k"), ("cookie", "k"), ("content-type", "text/plain")]
    sent = dict(endpoint_headers(make_start(headers=headers, claim_key=b"\x01")))
    assert sent == {"content-type": "text/plain", "x-request-id": "r", "idempotency-key": "01"}


def test_salt_depends_on_workspace_weights_and_confirmation():
    """Guards against blocks reused across workspaces or weights, or while weights are loaded."""

    def salt(start, weights, is_confirmed=True):
        return orjson.loads(model_body(start, weights, is_confirmed, 0))["cache_salt"]

    start, other = make_start(), make_start(workspace="shop")
    salts = {salt(start, "w1"), salt(start, "w2"), salt(other, "w1"), salt(start, "w1", False)}
    assert len(salts) == 4
    assert salt(start, "w1") == salt(make_start(request_id="s"), "w1")
    assert salt(start, "w1", False) != salt(make_start(request_id="s"), "w1", False)
