"""End-to-end tests: answers, refusals, invalid input, credentials, disconnecting callers."""

import asyncio
import json

import aiohttp
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from standins.testing import verify_answer
from teaselpath.results import Code
from tests.conftest import HEADERS, KEY, MAX_BODY_BYTES, MODEL


def read_events(body: bytes) -> tuple[str, bool]:
    """Return the text of an event stream and whether it ends with ``[DONE]``."""
    text, done = "", False
    for line in body.split(b"\n"):
        if line == b"data: [DONE]":
            done = True
        elif line.startswith(b"data: "):
            for choice in json.loads(line[6:]).get("choices", ()):
                text += choice.get("text") or choice.get("delta", {}).get("content") or ""
    return text, done


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("path", ["/v1/completions", "/v1/chat/completions"])
def test_answers_are_complete(installation, path, stream):
    """Guards against answers that are truncated, reordered or altered."""
    body = {"model": MODEL, "max_tokens": 30, "stream": stream}
    if path == "/v1/completions":
        body["prompt"] = "Which benches are free at the wadi?"
    else:
        body["messages"] = [{"role": "user", "content": "Draft a plaque for two sisters."}]
    answer = installation.call("POST", path, json=body, headers=HEADERS)
    assert answer.status == 200
    if stream:
        text, done = read_events(answer.body)
        assert done
    else:
        choice = json.loads(answer.body)["choices"][0]
        text = choice.get("text") or choice["message"]["content"]
    assert verify_answer(body, text) == ""


GOOD = {"model": MODEL, "prompt": "x", "max_tokens": 4}
BAD_BODIES = [
    (b"{", Code.MALFORMED_JSON),
    (b"[]", Code.INVALID_FIELD),
    (json.dumps({**GOOD, "model": 3}).encode(), Code.INVALID_FIELD),
    (json.dumps({**GOOD, "model": "other"}).encode(), Code.UNKNOWN_MODEL),
    (json.dumps({**GOOD, "prompt": ["x"]}).encode(), Code.INVALID_FIELD),
    (json.dumps({**GOOD, "max_tokens": -1}).encode(), Code.INVALID_FIELD),
    (json.dumps({**GOOD, "stream": "yes"}).encode(), Code.INVALID_FIELD),
    (json.dumps({**GOOD, "n": 2}).encode(), Code.INVALID_FIELD),
    (b"x" * (MAX_BODY_BYTES + 1), Code.BODY_TOO_LARGE),
]


@pytest.mark.parametrize(("body", "code"), BAD_BODIES)
def test_invalid_bodies_are_rejected_with_a_code(installation, body, code):
    """Guards against invalid input that reaches an engine or causes an internal error."""
    answer = installation.call("POST", "/v1/completions", data=body, headers=HEADERS)
    assert (answer.error["result_code"], answer.error["ran"]) == (code, "not_run")
    assert 400 <= answer.status < 500


@settings(
    max_examples=40, suppress_health_check=[HealthCheck.function_scoped_fixture], deadline=None
)
@given(body=st.binary(max_size=300), path=st.sampled_from(["/v1/completions", "/bookings"]))
def test_arbitrary_bytes_never_break_the_entry(installation, body, path):
    """Guards against a caller whose input stops the process or ends in an internal error."""
    answer = installation.call("POST", path, data=body, headers=HEADERS)
    assert answer.status != 500
    assert answer.status in (201, 400) or "error" in json.loads(answer.body)


@pytest.mark.parametrize(
    ("headers", "code"),
    [
        ({}, Code.MISSING_KEY),
        ({"Authorization": "Bearer nobody"}, Code.UNKNOWN_KEY),
        ({"Authorization": "Basic " + KEY}, Code.MISSING_KEY),
    ],
)
def test_calls_without_a_valid_key_are_rejected(installation, headers, code):
    """Guards against serving callers without a valid key."""
    answer = installation.call("POST", "/v1/completions", json=GOOD, headers=headers)
    assert (answer.status, answer.error["result_code"]) == (401, code)
    assert installation.call("GET", "/v1/models", headers=headers).status == 401


def test_routes_and_methods_are_checked(installation):
    """Guards against a path that reaches a service without a route."""
    unknown = installation.call("GET", "/executions", headers=HEADERS)
    assert (unknown.status, unknown.error["result_code"]) == (404, Code.UNKNOWN_ROUTE)
    wrong = installation.call("DELETE", "/bookings", headers=HEADERS)
    assert (wrong.status, wrong.error["result_code"]) == (405, Code.METHOD_NOT_ALLOWED)


def test_open_route_needs_no_key(installation):
    """Guards against an open route that requires a key."""
    assert installation.call("GET", "/schedule/3").status == 200


def test_no_key_reaches_an_endpoint(installation):
    """Guards against forwarding a caller's key to an endpoint in a header, query or body."""
    for endpoint in ("engine-1", "service-1"):
        url = installation.endpoint_url(endpoint) + "/audit/watch"
        installation.run(_post(url, {"values": [KEY]}))
    spread = {**HEADERS, "X-Api-Key": KEY, "Cookie": f"key={KEY}", "X-Other": KEY}
    ok = installation.call("POST", "/v1/completions", json=GOOD, headers=spread)
    booked = installation.call("POST", "/bookings", json={"by": "x"}, headers=spread)
    assert (ok.status, booked.status) == (200, 201)
    leaks = [
        installation.call("POST", "/v1/completions", json={**GOOD, "user": KEY}, headers=HEADERS),
        installation.call("POST", f"/bookings?key={KEY}", json={}, headers=HEADERS),
        installation.call(
            "POST", "/bookings", json={}, headers={**HEADERS, "Idempotency-Key": KEY}
        ),
    ]
    assert [answer.error["result_code"] for answer in leaks] == [Code.INVALID_FIELD] * 3
    for endpoint in ("engine-1", "service-1"):
        audit = installation.run(
            installation.fleet.get(installation.endpoint_url(endpoint) + "/audit")
        )
        assert [row for row in audit["suspects"] if KEY in row["value"]] == []


async def _post(url: str, body: dict) -> None:
    async with aiohttp.ClientSession() as session, session.post(url, json=body) as answer:
        assert answer.status == 200


def test_retried_booking_runs_once(installation):
    """Guards against two executions for one idempotency key."""
    headers = {**HEADERS, "Idempotency-Key": "visit-7"}
    answers = [
        installation.call("POST", "/bookings", json={"visit": 7}, headers=headers) for _ in range(3)
    ]
    assert {answer.status for answer in answers} == {201}
    assert len({answer.body for answer in answers}) == 1


def test_slow_body_times_out(installation):
    """Guards against a caller that occupies a connection with a body that never ends."""

    async def scenario():
        reader, writer = await asyncio.open_connection(*_address(installation.url))
        head = f"POST /bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        writer.write(f"{head}Content-Length: 10\r\n\r\n123".encode())
        line = await reader.readline()
        writer.close()
        return line

    assert b" 408 " in installation.run(scenario())


def _address(url: str) -> tuple[str, int]:
    host, _, port = url.removeprefix("http://").partition(":")
    return host, int(port)


def test_disconnected_caller_frees_the_engine(installation):
    """Guards against an engine that continues to generate after its caller disconnected."""

    async def scenario():
        body = {"model": MODEL, "prompt": "long", "max_tokens": 20_000, "stream": True}
        url = installation.url + "/v1/completions"
        async with aiohttp.ClientSession() as session:
            answer = await session.post(url, json=body, headers=HEADERS)
            await answer.content.readline()
            answer.close()
        load_url = installation.endpoint_url("engine-1") + "/load"
        while (await installation.fleet.get(load_url))["running"]:
            await asyncio.sleep(0.02)

    installation.run(scenario())


@pytest.mark.parametrize(
    "fault", [{"die_mid_stream": {"after_tokens": 5}}, {"sse": {"after_tokens": 5}}]
)
def test_broken_stream_ends_with_an_error(installation, fault):
    """Guards against a broken stream that looks complete."""
    installation.run(installation.fleet.set_faults(installation.endpoint_url("engine-1"), fault))
    answer = installation.call(
        "POST",
        "/v1/completions",
        json={"model": MODEL, "prompt": "break", "max_tokens": 40, "stream": True},
        headers={**HEADERS, "X-Teaselpath-Class": "once"},
    )
    assert b"[DONE]" not in answer.body
    last = json.loads(answer.body.strip().split(b"\n")[-1].removeprefix(b"data: "))
    assert last["error"]["ran"] == "ran"


def test_health_and_metrics(installation):
    """Guards against missing health checks and metrics, and against a key in the metrics."""
    assert installation.call("GET", "/healthz").status == 200
    assert installation.call("GET", "/readyz").status == 200
    metrics = installation.call("GET", "/metrics").body.decode()
    for name in ("first_token_seconds_bucket", "request_seconds_bucket", "requests_total"):
        assert f"teaselpath_{name}" in metrics
    assert 'workspace="office"' in metrics
    assert KEY not in metrics


def test_agents_export_histograms_too(installation):
    """Guards against a time to first token that cannot be split between entry and endpoint."""
    installation.call("POST", "/v1/completions", json=GOOD, headers=HEADERS)
    url = installation.fleet.nodes["agent-engine-1"].http_url
    metrics = installation.call("GET", "/metrics", url=url).body.decode()
    assert 'teaselpath_first_token_seconds_bucket{class="interactive"' in metrics
    assert 'role="agent"' in metrics
