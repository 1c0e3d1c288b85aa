"""Tests of the model engine over HTTP."""

import asyncio
import http.client

import pytest
from aiohttp import ClientError, ClientSession

from standins._text import chain_hashes, expected_tokens, verify_answer
from standins.testing import EngineConfig, WeightStoreConfig, serve

FAST = {"prefill_us_per_token": 0.0, "decode_us_per_token": 0.0, "step_us": 0.0}
SALT = "0f" * 16
OTHER_SALT = "aa" * 16


def config(**changes):
    return EngineConfig(**{"id": "e1", "block_tokens": 4, **FAST, **changes})


def complete(engine, prompt, **fields):
    return engine.post("/v1/completions", {"prompt": prompt, "cache_salt": SALT, **fields})


def test_continued_chat_equals_uninterrupted(start_standin):
    """Guards against a continuation that differs from the uninterrupted answer."""
    engine = start_standin(config())
    question = {"role": "user", "content": "hello"}
    body = {"messages": [question], "max_tokens": 9}
    full_text = engine.post("/v1/chat/completions", body)["choices"][0]["message"]["content"]
    assert verify_answer(body, full_text) == ""
    trailing = [question, {"role": "assistant", "content": full_text[:16]}]
    continued_body = {"messages": trailing, "continue_final_message": True, "max_tokens": 5}
    continuation = engine.post("/v1/chat/completions", continued_body)["choices"][0]["message"][
        "content"
    ]
    assert full_text == full_text[:16] + continuation


def test_continued_prompt_equals_uninterrupted(start_standin):
    """Guards against tokens that depend on more than the preceding text."""
    engine = start_standin(config(stop_one_in=50))
    full_text = complete(engine, "a", max_tokens=40)["choices"][0]["text"]
    continuation = complete(engine, "a" + full_text[:12], max_tokens=37)["choices"][0]["text"]
    assert full_text == full_text[:12] + continuation


def test_reuse_is_per_salt_and_incarnation(start_standin):
    """Guards against a reported reuse that differs from the cache's actual hits."""
    engine = start_standin(config())
    prompt = "x" * 48
    cached = []
    for salt in (SALT, SALT, OTHER_SALT):
        usage = complete(engine, prompt, cache_salt=salt, request_id="r", max_tokens=1)["usage"]
        cached.append(usage["prompt_tokens_details"]["cached_tokens"])
    assert cached == [0, 11, 0]
    before = engine.get("/load")["incarnation"]
    reused = engine.get("/audit?request_id=r")["requests"][1]["reused"]
    assert {(b["salt"], b["incarnation"], b["weights"]) for b in reused} == {(SALT, before, "w1")}
    engine.faults(crash_and_return={})
    usage = complete(engine, prompt, max_tokens=1)["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] == 0
    assert engine.get("/audit")["incarnation"] != before


def test_events_match_cache(start_standin):
    """Guards against events that, applied in order, do not yield the snapshot after evictions."""
    engine = start_standin(config(cache_blocks=3))
    for letter in "abc":
        complete(engine, letter * 32, max_tokens=1)
    cached_hashes: set[str] = set()
    events = engine.get("/cache/events?after=0")["events"]
    for event in events:
        change = set(event["hashes"])
        cached_hashes = (
            cached_hashes | change if event["kind"] == "stored" else cached_hashes - change
        )
    snapshot = engine.get("/cache/snapshot")
    assert cached_hashes == set(snapshot["hashes"])
    assert events[-1]["seq"] == snapshot["seq"]
    chain = chain_hashes(b"c" * 32, bytes.fromhex(SALT), 16)
    assert cached_hashes >= {h.hex() for h in chain}
    assert engine.get(f"/cache/events?after={snapshot['seq']}")["events"] == []


def test_dropped_events_leave_gaps(start_standin):
    """Guards against dropped events that a reader cannot detect by a gap in the numbers."""
    engine = start_standin(config())
    engine.faults(drop_events=1.0)
    complete(engine, "a" * 32, max_tokens=1)
    assert engine.get("/cache/events?after=0")["events"] == []
    engine.faults(drop_events=0.0, duplicate_events=1.0)
    complete(engine, "b" * 32, max_tokens=1)
    seqs = [e["seq"] for e in engine.get("/cache/events?after=0")["events"]]
    assert seqs[0] > 1
    assert len(seqs) == 2 * len(set(seqs))


async def read_stream(engine, body):
    """Return the raw bytes of a stream, and whether it ended without a connection error."""
    received = b""
    async with ClientSession() as session:
        try:
            async with session.post(f"{engine.url}/v1/completions", json=body) as answer:
                async for data in answer.content.iter_any():
                    received += data
        except ClientError:
            return received, False
    return received, True


BODY = {"prompt": "p", "max_tokens": 50, "stream": True, "request_id": "s"}


def test_stream_is_complete(start_standin):
    """Guards against lost tokens when several are written together."""
    engine = start_standin(config())
    received, closed = asyncio.run(read_stream(engine, BODY))
    assert closed
    assert received.count(b'"text":"') == 51
    assert received.endswith(b"data: [DONE]\n\n")
    assert b'"completion_tokens":50' in received


@pytest.mark.parametrize("fault", [{"die_mid_stream": {"after_tokens": 7}}, {"sse": {}}])
def test_stream_faults_apply_once(start_standin, fault):
    """Guards against stream faults that look like a regular end, or that affect later streams."""
    engine = start_standin(config())
    engine.faults(**fault)
    received, closed = asyncio.run(read_stream(engine, BODY))
    assert closed == ("sse" in fault)
    assert b"[DONE]" not in received
    received, _ = asyncio.run(read_stream(engine, BODY))
    assert b"[DONE]" in received


def test_cancel_ends_a_running_request():
    """Guards against a cancelled request that keeps its slot."""

    async def scenario():
        async with serve(config(step_us=1e5)) as engine, ClientSession() as session:
            task = asyncio.create_task(read_stream(engine, BODY))
            cancelled = False
            while not cancelled:
                url = f"{engine.url}/cancel"
                async with session.post(url, json={"request_id": "s"}) as answer:
                    cancelled = (await answer.json())["cancelled"]
            received, closed = await task
            return received, closed, engine.server.core.has_work

    received, closed, busy = asyncio.run(scenario())
    assert closed
    assert b'"finish_reason":"cancelled"' in received
    assert not busy


def test_fencing_refuses_old_orders(start_standin):
    """Guards against an older order that overrides a newer one."""
    order = {"kind": "load_weights", "model": "model-a"}
    for fencing, status in ((True, 409), (False, 200)):
        engine = start_standin(config(fencing=fencing, weight_load_s=0.0))
        engine.post("/orders", {**order, "fence": 5, "version": "w2"})
        code, _ = engine.call("POST", "/orders", b'{"fence":4,"kind":"set_role","role":"decode"}')
        assert code == status
        assert engine.server.core.weights == "w2"


def test_load_uses_the_weight_store(start_standin):
    """Guards against loads that bypass the weight store."""
    store = start_standin(WeightStoreConfig(load_s=0.0))
    engine = start_standin(config(weight_store_url=store.url))
    engine.post("/orders", {"fence": 1, "kind": "load_weights", "version": "w2"})
    assert store.get("/stats")["served"] == 1
    assert complete(engine, "a", max_tokens=1)["usage"]["reused"]["weights"] == []
    assert engine.get("/audit")["requests"][0]["weights"] == "w2"


def test_blocks_are_transferred_between_engines(start_standin):
    """Guards against an import that loses the origin of a block."""
    first, second = start_standin(config(id="a")), start_standin(config(id="b"))
    complete(first, "x" * 33, max_tokens=1)
    hashes = first.get("/cache/snapshot")["hashes"]
    second.post("/cache/import", {"hashes": hashes, "source": first.url})
    assert complete(second, "x" * 33, request_id="r", max_tokens=1)["usage"]["reused"][
        "incarnations"
    ]
    block = second.get("/audit?request_id=r")["requests"][0]["reused"][0]
    assert block["engine"] == "a"
    assert block["imported_by"] == second.server.core.incarnation


def test_malformed_requests_do_not_stop_the_engine(start_standin):
    """Guards against a malformed request that terminates the engine's batch loop."""
    engine = start_standin(config())
    for body in (
        b'{"prompt":"\\ud800"}',
        b'{"prompt":[1]}',
        b'{"prompt":"a","max_tokens":-1}',
        b'{"prompt":"a","cache_salt":"zz"}',
        b'{"messages":[3]}',
        b"[",
    ):
        assert engine.call("POST", "/v1/completions", body)[0] in (200, 400)
        assert engine.call("POST", "/v1/chat/completions", body)[0] == 400
    assert complete(engine, "still there", max_tokens=1)


def test_audit_marks_credentials(start_standin):
    """Guards against a credential that the audit misses, by its name or by its value."""
    engine = start_standin(config())
    connection = http.client.HTTPConnection(engine.url.removeprefix("http://"))
    body = b'{"prompt":"my key is sk-123456789","metadata":{"note":"Bearer abc"},"max_tokens":1}'
    connection.request("POST", "/v1/completions", body, {"X-Api-Key": "k1", "Accept": "*/*"})
    connection.getresponse().read()
    connection.close()
    found = {(s["where"], s["name"], s["value"]) for s in engine.get("/audit")["suspects"]}
    assert found == {("header", "X-Api-Key", "k1"), ("body", "metadata.note", "Bearer abc")}


def test_watched_values_are_found_in_prompts(start_standin):
    """Guards against a watched value that the audit misses within the text of a prompt."""
    engine = start_standin(config())
    engine.post("/audit/watch", {"values": ["plain secret"]})
    complete(engine, "this is my plain secret.", request_id="r", max_tokens=1)
    complete(engine, "this is not.", request_id="s", max_tokens=1)
    found = [(s["request_id"], s["where"]) for s in engine.get("/audit")["suspects"]]
    assert found == [("r", "text")]


def test_verify_answer_detects_each_fault():
    """Guards against a verifier that accepts a truncated, too long or reordered answer."""
    body = {"prompt": "a", "max_tokens": 4}
    full_text = "".join(expected_tokens(body))
    assert verify_answer(body, full_text) == ""
    for wrong in (full_text[:-4], full_text + "abc ", full_text[4:] + full_text[:4]):
        assert verify_answer(body, wrong)


def test_old_weights_serve_during_a_load():
    """Guards against a load that blocks the engine, or takes effect before it has completed."""

    async def scenario():
        async with serve(config(weight_load_s=1e6)) as engine, ClientSession() as session:
            order = {"fence": 1, "kind": "load_weights", "version": "w2"}
            task = asyncio.create_task(session.post(f"{engine.url}/orders", json=order))
            orders: list = []
            while not orders:
                async with session.get(f"{engine.url}/orders") as answer:
                    orders = (await answer.json())["orders"]
            await read_stream(engine, BODY)
            task.cancel()
            return engine.server.audited[0].weights

    assert asyncio.run(scenario()) == "w1"


def test_frozen_engine_does_not_respond():
    """Guards against a freeze that does not hold back calls, or that loses them."""

    async def scenario():
        async with serve(config()) as engine, ClientSession() as session:
            await session.post(f"{engine.url}/faults", json={"freeze": True})
            task = asyncio.create_task(read_stream(engine, BODY))
            # Each of these calls takes as many event loop iterations as one that is answered.
            for _ in range(20):
                await session.get(f"{engine.url}/faults")
            frozen = not task.done()
            await session.post(f"{engine.url}/faults", json={"freeze": False})
            return frozen, await task

    frozen, (received, closed) = asyncio.run(scenario())
    assert frozen
    assert closed
    assert b"[DONE]" in received


def test_load_report_lags(start_standin):
    """Guards against a load report without the configured lag."""
    engine = start_standin(config(load_lag_s=1000.0))
    engine.server.core.weights = "w2"
    assert engine.get("/load")["weights"] == "w1"
