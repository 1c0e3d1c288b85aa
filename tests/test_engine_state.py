"""Tests of weight rollouts under load and of the KV cache store, against stand-in engines."""

import asyncio

import aiohttp
import msgspec
import pytest

from standins.fleet import Fleet, FleetPlan
from standins.testing import CacheStoreConfig, EngineConfig, serve
from teaselpath.agent import CacheTransfers
from teaselpath.clients import CacheStoreClient
from teaselpath.prefix import CacheIndex, chain_hashes, chain_seed
from tests.conftest import HEADERS, MODEL, make_bundle

BLOCK_BYTES = 8192
PROMPT = "Benches along the wadi, with stone and donor. " * 400


async def _complete(session, url, number):
    body = {"model": MODEL, "prompt": PROMPT + str(number), "max_tokens": 4}
    async with session.post(url + "/v1/completions", json=body, headers=HEADERS) as answer:
        assert answer.status == 200, await answer.text()


async def _roll_out_weights_under_load(fleet):
    bundle = make_bundle(fleet)
    await fleet.publish(bundle)
    await fleet.wait_ready()
    url = fleet.entries()[0].http_url
    engine_url = fleet.nodes["agent-engine-1"].endpoint_url
    new = msgspec.convert(msgspec.to_builtins(bundle), type(bundle))
    new.version, new.parent, new.change_id = 2, 1, "test-2"
    new.models[0].weights = "w2"
    async with aiohttp.ClientSession() as session:
        for number in range(8):
            await _complete(session, url, number)
        await fleet.publish(new)
        number = 100
        async with asyncio.timeout(30.0):
            while (await fleet.get(engine_url + "/load"))["weights"] != "w2":
                await asyncio.gather(*(_complete(session, url, number + n) for n in range(4)))
                number += 4
        for number in range(1000, 1008):
            await _complete(session, url, number)
    return (await fleet.get(engine_url + "/audit"))["requests"]


@pytest.mark.parametrize("fencing", [True, False])
def test_no_request_reuses_blocks_of_older_weights(tmp_path, fencing):
    """Guards against answers computed from KV cache blocks of replaced weights."""
    options = {"step_us": 1000.0, "fencing": fencing, "cache_blocks": 64}
    plan = FleetPlan(engines=("region-a",), entries=("region-a",), engine_options=options)
    fleet = Fleet(tmp_path, plan)
    fleet.prepare()

    async def scenario():
        try:
            await fleet.start()
            return await _roll_out_weights_under_load(fleet)
        finally:
            await fleet.stop()

    requests = asyncio.run(scenario())
    assert {request["weights"] for request in requests} == {"w1", "w2"}
    for request in requests:
        assert {block["weights"] for block in request["reused"]} <= {request["weights"]}
    for weights in ("w1", "w2"):
        # Without this, the check above would also pass if the cache were never used.
        assert any(r["reused"] for r in requests if r["weights"] == weights)


def test_shared_blocks_are_saved_and_imported_by_another_engine():
    """Guards against engines that recompute a shared prefix although the store has it."""
    chain = chain_hashes(PROMPT.encode(), chain_seed("office", MODEL, "w1"), BLOCK_BYTES)

    async def scenario():
        engine = EngineConfig(step_us=0.0, prefill_us_per_token=1.0, kv_block_bytes=64)
        async with (
            serve(CacheStoreConfig()) as store,
            serve(engine) as first,
            serve(engine) as second,
            aiohttp.ClientSession() as session,
        ):
            client = CacheStoreClient(session, store.url)
            caches = [CacheTransfers(client, e.url, session, CacheIndex()) for e in (first, second)]
            body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 1}
            body["cache_salt"] = chain_seed("office", MODEL, "w1").hex()
            async with session.post(first.url + "/v1/completions", json=body) as answer:
                assert answer.status == 200
            for _ in range(3):
                await caches[0].export_shared(chain)
            await caches[1].import_missing(chain, prefill_s_per_block=0.5)
            async with session.post(second.url + "/v1/completions", json=body) as answer:
                usage = (await answer.json())["usage"]
            return caches[1].imported_blocks, usage["prompt_tokens_details"]["cached_tokens"]

    imported, cached_tokens = asyncio.run(scenario())
    assert imported == len(chain) == 2
    assert cached_tokens == 2 * 2048


def test_cheap_prefill_skips_the_store():
    """Guards against a lookup that costs more than it saves, and a failure if the store is down."""

    async def scenario():
        async with aiohttp.ClientSession() as session:
            client = CacheStoreClient(session, "http://127.0.0.1:1")
            kept = CacheTransfers(client, "http://127.0.0.1:1", session, CacheIndex())
            await kept.import_missing([b"x" * 16] * 4, prefill_s_per_block=0.001)
            await kept.import_missing([b"x" * 16] * 4, prefill_s_per_block=1.0)
            return kept.imported_blocks

    assert asyncio.run(scenario()) == 0
