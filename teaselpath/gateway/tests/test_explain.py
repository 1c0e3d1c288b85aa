"""Where a request would go now: as a real one, and without any change of state."""

import asyncio
import copy
import json

import msgspec
import pytest

from teaselpath.dispatch import ExpectedTimes, Load, Placed
from teaselpath.fleet import Position, StoredRecord
from teaselpath.gateway._explain import ExplainedRequest, Explainer
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._placement import Placer
from teaselpath.gateway._quarantine import QuarantineGate
from teaselpath.gateway.tests.conftest import endpoint_record
from teaselpath.gateway.tests.front import NoPeers
from teaselpath.gateway.tests.test_room import fill, make_call, make_state

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "r", "host": "h", "pathPrefix": "/", "kind": "stream", "service": "s",
         "timeoutMs": 5000, "targetLatencyMs": 1000},
    ],
    "services": [
        {"name": "s", "engine": {"slots": 8, "kvCapacityTokens": 100_000, "kvTokenBytes": 18_432,
                                 "linkMbps": 180_000, "models": [{"name": "m"}]}},
    ],
    "tenants": [
        {"name": "office", "apiKeys": ["key-1"], "plainTokens": 200, "ratePerS": 1000,
         "burst": 20_000},
    ],
}  # fmt: skip
REQUEST = {
    "host": "h", "path": "/x", "workspace": "office", "model": "m",
    "parts": [["aa", 13_000], ["bb", 4_000]], "output_tokens": 10,
}  # fmt: skip


@pytest.fixture
def site(state):
    """Return the state of a gateway with three engines."""
    record = StoredRecord("config", json.dumps(CONFIG).encode(), Position(1, 1))
    state.apply_operator_record(record, "test", 0.0)
    for number in range(3):
        endpoint = endpoint_record(
            f"e{number}", 2 + number, address=f"10.0.0.{number}:80", zone="aab"[number]
        )
        state.apply_endpoint_record(endpoint, "test", 1.0)
    return state


def open_explainer(site) -> Explainer:
    gate = QuarantineGate("gw-0", site.store, GatewayMetrics("gw-0"), NoPeers())
    return Explainer(site, Placer(site, lambda _: None), gate)


def explain(site, prepare=lambda site: None, **fields) -> dict:
    async def scenario():
        explainer = open_explainer(site)
        prepare(site)
        return explainer.explain(msgspec.json.encode({**REQUEST, **fields}))

    return asyncio.run(scenario())


def test_explained_endpoint_is_that_of_a_real_request(site):
    async def scenario():
        explainer = open_explainer(site)
        site.views["e1"].own.pending_prefill_tokens = 90_000
        found = explainer.explain(msgspec.json.encode(REQUEST))
        now = asyncio.get_running_loop().time()
        request = msgspec.json.decode(msgspec.json.encode(REQUEST), type=ExplainedRequest)
        route, service = site.config.routes["h"][0], site.config.services["s"]
        workspace = site.config.workspaces["key-1"]
        call = explainer._call(request, route, service, workspace, now)
        return found, await explainer.placer.acquire(call, now)

    found, placed = asyncio.run(scenario())
    assert isinstance(placed, Placed)
    assert found["decision"] == "send"
    assert found["endpoint"] == placed.view.endpoint.endpoint_id
    listed = found["candidates"]
    assert listed[0]["endpoint"] == found["endpoint"]
    costs = [candidate["cost_s"] for candidate in listed if candidate["left_out"] is None]
    assert costs == sorted(costs)
    assert {c["endpoint"]: c["left_out"] for c in listed}["e1"] == "reading"


def test_summands_of_a_cost_are_shown(site):
    """Guards against a cost of which operators cannot see what makes it large."""

    def load(site):
        site.views["e0"].own.pending_prefill_tokens = 4_000
        site.views["e0"].own.requests = 5

    listed = {c["endpoint"]: c for c in explain(site, load)["candidates"]}
    names = set(ExpectedTimes.__dataclass_fields__)
    for candidate in listed.values():
        assert set(candidate["times"]) == names
        assert sum(candidate["times"].values()) == pytest.approx(candidate["cost_s"], abs=1e-3)
    assert listed["e0"]["times"]["queue_s"] > listed["e1"]["times"]["queue_s"] == 0.0
    assert listed["e0"]["times"]["ahead_s"] > listed["e1"]["times"]["ahead_s"] == 0.0
    assert listed["e1"]["times"]["prefill_s"] == pytest.approx(17_000 / 40_000)


def test_explaining_changes_nothing(site):
    """Guards against a tool that takes room, quota or places in the queue from callers."""

    async def scenario():
        explainer = open_explainer(site)
        site.quota.charge(site.config.workspaces["key-1"], 100, asyncio.get_running_loop().time())

        def snapshot():
            return (
                copy.deepcopy([(v.own, v.peers, v.cache.pending) for v in site.views.values()]),
                copy.deepcopy((site.quota.buckets, site.quota.used)),
                list(explainer.placer.queue.queued),
                explainer.placer.return_times,
                explainer.placer.opening_times,
            )

        before = snapshot()
        for path in ("/x", "/y"):
            explainer.explain(msgspec.json.encode({**REQUEST, "path": path}))
        return before, snapshot()

    before, after = asyncio.run(scenario())
    assert before == after


def test_request_over_its_rate_is_refused_as_a_real_one(site):
    def spend(site):
        site.quota.charge(site.config.workspaces["key-1"], 20_000, 0.0)
        site.quota.buckets["office"].updated_at = asyncio.get_running_loop().time()

    found = explain(site, spend)
    assert (found["decision"], found["code"]) == ("refuse", "RATE_EXCEEDED")
    assert found["retry_after_s"] == 8.0


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"host": "other"}, "UNKNOWN_ROUTE"),
        ({"workspace": "nobody"}, "UNKNOWN_KEY"),
    ],
)
def test_refusals_before_placement(site, fields, code):
    found = explain(site, **fields)
    assert (found["decision"], found["code"]) == ("refuse", code)


def test_request_that_waits_names_the_reason(site):
    def fill(site):
        for view in site.views.values():
            view.peers["gw-1"] = Load(requests=1, held_tokens=90_000)

    found = explain(site, fill)
    assert (found["decision"], found["reason"]) == ("queue", "reading")
    assert found["queue"] == {"ahead": 0, "expected_wait_s": 0.0}


@pytest.mark.parametrize("body", [b"", b"{}", b'{"host": 1, "path": "/"}', b'{"key": "k"}'])
def test_malformed_questions_are_rejected(site, body):
    async def scenario():
        with pytest.raises(msgspec.DecodeError):
            open_explainer(site).explain(body)

    asyncio.run(scenario())


def test_quarantine_is_part_of_the_explanation(site):
    async def scenario():
        explainer = open_explainer(site)
        now = asyncio.get_running_loop().time()
        for number in range(2):
            explainer.gate.quarantine.record_end(number, now - number, ("m/aa",), is_trial=False)
        return explainer.explain(msgspec.json.encode(REQUEST))

    assert asyncio.run(scenario())["quarantine"] == "sent as a trial"


def test_request_that_cannot_be_in_time_is_refused_as_a_real_one():
    """Guards against "queue" for a request that is rejected, and a Retry-After it never gets."""

    async def scenario():
        contended = make_state(is_room_contended=True)
        placer = Placer(contended, lambda _: None)
        await fill(placer)
        room = contended.rooms["s"]
        room.run_s[False], room.first_event_s[False] = 40.0, 0.1
        gate = QuarantineGate("gw-0", contended.store, GatewayMetrics("gw-0"), NoPeers())
        explainer = Explainer(contended, placer, gate)
        request = {"host": "h", "path": "/short/x", "model": "m", "parts": [["p", 400]]}
        found = explainer.explain(msgspec.json.encode(request))
        return found, await placer.acquire(make_call("short"), placer.loop.time())

    found, refusal = asyncio.run(scenario())
    assert refusal.reason == "late"
    assert (found["decision"], found.get("code")) == ("refuse", "OVERLOADED")
    assert found["reason"] == "late"
    assert found["retry_after_s"] == pytest.approx(refusal.retry_after_s, abs=2e-3)
