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


def ask(engine, prompt, **fields):
    return engine.post("/v1/completions", {"prompt": prompt, "cache_salt": SALT, **fields})


def test_continued_chat_equals_unbroken(start_standin):
    """Guards against a continuation that does not equal the unbroken answer."""
    engine = start_standin(config())
    question = {"role": "user", "content": "hello"}
    body = {"messages": [question], "max_tokens": 9}
    whole = engine.post("/v1/chat/completions", body)["choices"][0]["message"]["content"]
    assert verify_answer(body, whole) == ""
    trailing = [question, {"role": "assistant", "content": whole[:16]}]
    more = {"messages": trailing, "continue_final_message": True, "max_tokens": 5}
    rest = engine.post("/v1/chat/completions", more)["choices"][0]["message"]["content"]
    assert whole == whole[:16] + rest


def test_continued_prompt_equals_unbroken(start_standin):
    """Guards against tokens that depend on more than the text before them."""
    engine = start_standin(config(stop_one_in=50))
    whole = ask(engine, "a", max_tokens=40)["choices"][0]["text"]
    rest = ask(engine, "a" + whole[:12], max_tokens=37)["choices"][0]["text"]
    assert whole == whole[:12] + rest


def test_reuse_is_per_salt_and_incarnation(start_standin):
    """Guards against a reported reuse that is not what the cache did."""
    engine = start_standin(config())
    prompt = "x" * 48
    cached = []
    for salt in (SALT, SALT, OTHER_SALT):
        usage = ask(engine, prompt, cache_salt=salt, request_id="r", max_tokens=1)["usage"]
        cached.append(usage["prompt_tokens_details"]["cached_tokens"])
    assert cached == [0, 11, 0]
    before = engine.get("/load")["incarnation"]
    reused = engine.get("/audit?request_id=r")["requests"][1]["reused"]
    assert {(b["salt"], b["incarnation"], b["weights"]) for b in reused} == {(SALT, before, "w1")}
    engine.faults(crash_and_return={})
    usage = ask(engine, prompt, max_tokens=1)["usage"]
    assert usage["prompt_tokens_details"]["cached_tokens"] == 0
    assert engine.get("/audit")["incarnation"] != before


def test_events_match_cache(start_standin):
    """Guards against events that do not add up to the snapshot, also after evictions."""
    engine = start_standin(config(cache_blocks=3))
    for letter in "abc":
        ask(engine, letter * 32, max_tokens=1)
    seen: set[str] = set()
    events = engine.get("/cache/events?after=0")["events"]
    for event in events:
        change = set(event["hashes"])
        seen = seen | change if event["kind"] == "stored" else seen - change
    snapshot = engine.get("/cache/snapshot")
    assert seen == set(snapshot["hashes"])
    assert events[-1]["seq"] == snapshot["seq"]
    chain = chain_hashes(b"c" * 32, bytes.fromhex(SALT), 16)
    assert seen >= {h.hex() for h in chain}
    assert engine.get(f"/cache/events?after={snapshot['seq']}")["events"] == []


def test_dropped_events_leave_gaps(start_standin):
    """Guards against a loss that a reader could not see."""
    engine = start_standin(config())
    engine.faults(drop_events=1.0)
    ask(engine, "a" * 32, max_tokens=1)
    assert engine.get("/cache/events?after=0")["events"] == []
    engine.faults(drop_events=0.0, duplicate_events=1.0)
    ask(engine, "b" * 32, max_tokens=1)
    seqs = [e["seq"] for e in engine.get("/cache/events?after=0")["events"]]
    assert seqs[0] > 1
    assert len(seqs) == 2 * len(set(seqs))


async def read_stream(engine, body):
    """Return the raw bytes of a stream and whether it was closed properly."""
    got = b""
    async with ClientSession() as session:
        try:
            async with session.post(f"{engine.url}/v1/completions", json=body) as answer:
                async for data in answer.content.iter_any():
                    got += data
        except ClientError:
            return got, False
    return got, True


BODY = {"prompt": "p", "max_tokens": 50, "stream": True, "request_id": "s"}


def test_stream_is_whole(start_standin):
    """Guards against lost tokens when several are written at once."""
    engine = start_standin(config())
    got, closed = asyncio.run(read_stream(engine, BODY))
    assert closed
    assert got.count(b'"text":"') == 51
    assert got.endswith(b"data: [DONE]\n\n")
    assert b'"completion_tokens":50' in got


@pytest.mark.parametrize("fault", [{"die_mid_stream": {"after_tokens": 7}}, {"sse": {}}])
def test_stream_faults_hit_once(start_standin, fault):
    """Guards against stream faults that look like a sound end, or that stay on."""
    engine = start_standin(config())
    engine.faults(**fault)
    got, closed = asyncio.run(read_stream(engine, BODY))
    assert closed == ("sse" in fault)
    assert b"[DONE]" not in got
    got, _ = asyncio.run(read_stream(engine, BODY))
    assert b"[DONE]" in got


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
            got, closed = await task
            return got, closed, engine.server.core.busy

    got, closed, busy = asyncio.run(scenario())
    assert closed
    assert b'"finish_reason":"cancelled"' in got
    assert not busy


def test_fencing_refuses_old_orders(start_standin):
    """Guards against an engine that takes back a newer order."""
    order = {"kind": "load_weights", "model": "model-a"}
    for fencing, status in ((True, 409), (False, 200)):
        engine = start_standin(config(fencing=fencing, weight_load_s=0.0))
        engine.post("/orders", {**order, "fence": 5, "version": "w2"})
        code, _ = engine.call("POST", "/orders", b'{"fence":4,"kind":"set_role","role":"decode"}')
        assert code == status
        assert engine.server.core.weights == "w2"


def test_load_through_the_weight_store(start_standin):
    """Guards against loads that pass by the store's count."""
    store = start_standin(WeightStoreConfig(load_s=0.0))
    engine = start_standin(config(weight_store_url=store.url))
    engine.post("/orders", {"fence": 1, "kind": "load_weights", "version": "w2"})
    assert store.get("/stats")["served"] == 1
    assert ask(engine, "a", max_tokens=1)["usage"]["reused"]["weights"] == []
    assert engine.get("/audit")["requests"][0]["weights"] == "w2"


def test_blocks_move_between_engines(start_standin):
    """Guards against an import that hides where a block was computed."""
    first, second = start_standin(config(id="a")), start_standin(config(id="b"))
    ask(first, "x" * 33, max_tokens=1)
    hashes = first.get("/cache/snapshot")["hashes"]
    second.post("/cache/import", {"hashes": hashes, "source": first.url})
    assert ask(second, "x" * 33, request_id="r", max_tokens=1)["usage"]["reused"]["incarnations"]
    block = second.get("/audit?request_id=r")["requests"][0]["reused"][0]
    assert block["engine"] == "a"
    assert block["imported_by"] == second.server.core.incarnation


def test_hostile_texts_do_not_stop_the_engine(start_standin):
    """Guards against a request that ends the engine's batch loop."""
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
    assert ask(engine, "still there", max_tokens=1)


def test_audit_marks_credentials(start_standin):
    """Guards against a caller's key that reaches the engine unseen, by name or by value."""
    engine = start_standin(config())
    connection = http.client.HTTPConnection(engine.url.removeprefix("http://"))
    body = b'{"prompt":"my key is sk-123456789","metadata":{"note":"Bearer abc"},"max_tokens":1}'
    connection.request("POST", "/v1/completions", body, {"X-Api-Key": "k1", "Accept": "*/*"})
    connection.getresponse().read()
    connection.close()
    found = {(s["where"], s["name"], s["value"]) for s in engine.get("/audit")["suspects"]}
    assert found == {("header", "X-Api-Key", "k1"), ("body", "metadata.note", "Bearer abc")}


def test_watched_values_are_found_in_prompts(start_standin):
    """Guards against a caller's key that passes inside the text of a prompt."""
    engine = start_standin(config())
    engine.post("/audit/watch", {"values": ["plain secret"]})
    ask(engine, "this is my plain secret.", request_id="r", max_tokens=1)
    ask(engine, "this is not.", request_id="s", max_tokens=1)
    found = [(s["request_id"], s["where"]) for s in engine.get("/audit")["suspects"]]
    assert found == [("r", "text")]


def test_verify_answer_sees_each_fault():
    """Guards against a verifier that accepts a short, long or crossed answer."""
    body = {"prompt": "a", "max_tokens": 4}
    whole = "".join(expected_tokens(body))
    assert verify_answer(body, whole) == ""
    for wrong in (whole[:-4], whole + "abc ", whole[4:] + whole[:4]):
        assert verify_answer(body, wrong)


def test_old_weights_serve_during_a_load():
    """Guards against a load that stops the engine, or that switches before it is done."""

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


def test_frozen_engine_answers_nothing():
    """Guards against a freeze that lets calls through, or that loses them."""

    async def scenario():
        async with serve(config()) as engine, ClientSession() as session:
            await session.post(f"{engine.url}/faults", json={"freeze": True})
            task = asyncio.create_task(read_stream(engine, BODY))
            # Each of these calls takes as many turns of the event loop as one that is answered.
            for _ in range(20):
                await session.get(f"{engine.url}/faults")
            frozen = not task.done()
            await session.post(f"{engine.url}/faults", json={"freeze": False})
            return frozen, await task

    frozen, (got, closed) = asyncio.run(scenario())
    assert frozen
    assert closed
    assert b"[DONE]" in got


def test_load_report_lags(start_standin):
    """Guards against a load report that is fresh."""
    engine = start_standin(config(load_lag_s=1000.0))
    engine.server.core.weights = "w2"
    assert engine.get("/load")["weights"] == "w1"
