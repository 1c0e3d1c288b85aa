"""Tests that the clients and hash formulas agree with those of the stand-ins."""

import asyncio

import pytest
from aiohttp import ClientSession
from hypothesis import given
from hypothesis import strategies as st

from standins import _text as engine
from standins.testing import (
    CacheStoreConfig,
    HostsConfig,
    LogConfig,
    WeightStoreConfig,
    serve,
)
from teaselpath import prefix
from teaselpath.clients import (
    CacheStoreClient,
    HostListClient,
    LogClient,
    Trimmed,
    WeightStoreClient,
)
from teaselpath.results import Code, Ran

CALL_S = 20.0
HASH = bytes(range(16))
MESSAGES = st.lists(
    st.fixed_dictionaries(
        {"role": st.sampled_from(["system", "user", "assistant"]), "content": st.text()}
    ),
    min_size=1,
)


def with_client(config, make_client, scenario):
    """Run a scenario with a client connected to a stand-in."""

    async def run():
        async with serve(config) as standin, ClientSession() as session:
            deadline = asyncio.get_running_loop().time() + CALL_S
            await scenario(make_client(session, standin.url), deadline, standin, session)

    asyncio.run(run())


async def set_faults(session, standin, **faults):
    async with session.post(f"{standin.url}/faults", json=faults) as answer:
        assert answer.status == 200


@given(MESSAGES)
def test_chat_chain_is_a_prefix_of_the_engine_chain(messages):
    """Guards against a router that computes other block hashes than the engine."""
    seed = prefix.chain_seed("workspace", "model", "w1")
    ours = prefix.render_prompt({"messages": messages})
    theirs = engine.encode_text(engine.render_prompt({"messages": messages}))
    assert theirs == ours + b"assistant\n"
    chain = prefix.chain_hashes(ours, seed, 8)
    assert engine.chain_hashes(theirs, seed, 8)[: len(chain)] == chain


@given(st.text())
def test_completion_chain_equals_the_engine_chain(prompt):
    """Guards against a router that computes other block hashes than the engine."""
    ours = prefix.render_prompt({"prompt": prompt})
    theirs = engine.encode_text(engine.render_prompt({"prompt": prompt}))
    assert ours == theirs
    assert prefix.chain_hashes(ours, HASH, 8) == engine.chain_hashes(theirs, HASH, 8)


def test_log_client():
    """Guards against treating a lost reply as a failed append."""

    async def scenario(log, deadline, standin, session):
        assert (await log.append("config", b"\xff\x00", deadline)).unwrap() == 0
        await set_faults(session, standin, lose_next_replies=1)
        lost = (await log.append("config", b"b", deadline)).unwrap_err()
        assert (lost.code, lost.ran) == (Code.APPEND_UNKNOWN, Ran.UNKNOWN)
        page = (await log.read("config", 0, deadline)).unwrap()
        assert [r.data for r in page.records] == [b"\xff\x00", b"b"]
        await set_faults(session, standin, trim={"stream": "config", "before": 1})
        assert (await log.read("config", 0, deadline)).unwrap() == Trimmed(1)
        await set_faults(session, standin, outage=True)
        refused = (await log.append("config", b"c", deadline)).unwrap_err()
        assert (refused.code, refused.ran) == (Code.LOG_UNAVAILABLE, Ran.NOT_RUN)

    with_client(LogConfig(), LogClient, scenario)


def test_log_client_over_the_rate():
    """Guards against a refusal without the time after which to retry."""

    async def scenario(log, deadline, standin, session):
        assert (await log.append("claims.pay", b"a", deadline)).is_ok()
        refused = (await log.append("claims.pay", b"b", deadline)).unwrap_err()
        assert refused.code is Code.LOG_RATE_LIMITED
        assert refused.retry_after_s >= 100.0

    config = LogConfig(appends_per_s=0.01, append_burst=1.0)
    with_client(config, LogClient, scenario)


@pytest.mark.parametrize("outage", [False, True])
def test_host_list_client(outage):
    """Guards against undecodable host entries, and against an outage read as an empty list."""
    entry = {
        "host": "a",
        "role": "agent",
        "region": "r1",
        "failure_domain": "d1",
        "address": "127.0.0.1",
        "control_port": 1,
    }

    async def scenario(hosts, deadline, standin, session):
        await set_faults(session, standin, outage=outage)
        found = await hosts.fetch(deadline)
        if outage:
            assert found.unwrap_err().code is Code.HOST_LIST_UNAVAILABLE
        else:
            assert [(h.host, h.state) for h in found.unwrap()] == [("a", "live")]

    config = HostsConfig(hosts=[entry])
    with_client(config, HostListClient, scenario)


def test_cache_store_client():
    """Guards against altered blocks, and against a lookup that reports missing blocks as found."""

    async def scenario(store, deadline, standin, session):
        assert (await store.fetch(HASH, deadline)).unwrap() is None
        assert (await store.put(HASH, b"kv", deadline)).is_ok()
        assert (await store.fetch(HASH, deadline)).unwrap() == b"kv"
        assert (await store.lookup([HASH, bytes(16)], deadline)).unwrap() == {HASH}

    with_client(CacheStoreConfig(), CacheStoreClient, scenario)


def test_weight_store_client_over_the_rate():
    """Guards against loads beyond the rate, and against a refusal without a retry time."""

    async def scenario(store, deadline, standin, session):
        assert (await store.fetch("m", "w2", deadline)).unwrap() == bytes(8)
        refused = (await store.fetch("m", "w2", deadline)).unwrap_err()
        assert refused.code is Code.STORE_UNAVAILABLE
        assert refused.retry_after_s > 0

    config = WeightStoreConfig(load_s=0.0, loads_per_s=0.01, load_burst=1.0, weight_bytes=8)
    with_client(config, WeightStoreClient, scenario)
