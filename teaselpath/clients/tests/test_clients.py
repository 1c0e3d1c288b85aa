"""Tests of the platform clients against a test server."""

import asyncio

import pytest

from teaselpath.clients import (
    CacheStoreClient,
    HostListClient,
    LogClient,
    Trimmed,
    WeightStoreClient,
)
from teaselpath.clients.tests.servers import FakePlatform, run_with
from teaselpath.results import Code, Ran


@pytest.fixture
def platform():
    """Return an empty platform."""
    return FakePlatform()


def append(platform, seconds=10.0):
    """Append one record."""

    async def call(session, url, deadline):
        return await LogClient(session, url).append("config", b"\x00raw", deadline - 10.0 + seconds)

    return run_with(platform, call)


def read(platform, offset=0, seconds=10.0, **options):
    """Read from the log."""

    async def call(session, url, deadline):
        client = LogClient(session, url)
        return await client.read("claims.van s", offset, deadline - 10.0 + seconds, **options)

    return run_with(platform, call)


def test_append_and_read_preserve_bytes(platform):
    """Guards against records that the client changes when appending or reading."""
    assert append(platform).unwrap() == 0
    page = read(platform).unwrap()
    assert (page.first, page.next, page.records[0].data) == (0, 1, b"\x00raw")
    assert page.records[0].age_ms == 5


@pytest.mark.parametrize(
    ("mode", "code", "ran", "retry_after_s"),
    [
        ("reply lost", Code.APPEND_UNKNOWN, Ran.UNKNOWN, 0.0),
        ("limited", Code.LOG_RATE_LIMITED, Ran.NOT_RUN, 2.0),
        ("down", Code.LOG_UNAVAILABLE, Ran.NOT_RUN, 0.0),
    ],
)
def test_append_failures(platform, mode, code, ran, retry_after_s):
    """Guards against treating a lost reply as a failed append, and the reverse."""
    platform.mode = mode
    failure = append(platform).unwrap_err()
    assert (failure.code, failure.ran, failure.retry_after_s) == (code, ran, retry_after_s)
    assert len(platform.records) == (1 if mode == "reply lost" else 0)


def test_calls_end_at_their_deadline(platform):
    """Guards against a task that waits forever for a log that does not respond."""
    platform.mode = "hang"
    assert read(platform, seconds=0.2).unwrap_err().code is Code.LOG_UNAVAILABLE
    assert append(platform, seconds=-1.0).unwrap_err().code is Code.LOG_UNAVAILABLE
    assert not platform.records


def test_read_waits_and_reports_trimming(platform):
    """Guards against a long poll past its deadline and a reader stuck below the first offset."""
    read(platform, wait_ms=60_000)
    assert 0 < platform.waited_ms < 8500
    platform.first = 7
    assert read(platform).unwrap() == Trimmed(7)


def test_unreachable_log_appended_nothing():
    """Guards against APPEND_UNKNOWN where no connection was made."""

    async def call(session, url, deadline):
        return await LogClient(session, "http://127.0.0.1:1").append("config", b"x", deadline)

    failure = run_with(FakePlatform(), call).unwrap_err()
    assert (failure.code, failure.ran) == (Code.LOG_UNAVAILABLE, Ran.NOT_RUN)


def test_host_list(platform):
    """Guards against treating a failed read as an empty host list."""
    platform.hosts = [
        {
            "host": "h",
            "role": "agent",
            "region": "r",
            "failure_domain": "f",
            "address": "127.0.0.1",
            "control_port": 1,
            "state": "leaving",
            "rack": "not part of the protocol",
        }
    ]

    async def call(session, url, deadline):
        client = HostListClient(session, url)
        good = await client.fetch(deadline)
        failures = []
        for platform.mode in ("down", "garbage"):
            failures.append(await client.fetch(deadline))
        return good, failures

    good, failures = run_with(platform, call)
    assert [(host.host, host.state) for host in good.unwrap()] == [("h", "leaving")]
    assert {f.unwrap_err().code for f in failures} == {Code.HOST_LIST_UNAVAILABLE}


def test_stores(platform):
    """Guards against treating a missing block as a failure, and the reverse."""

    async def call(session, url, deadline):
        store, weights = CacheStoreClient(session, url), WeightStoreClient(session, url)
        assert (await store.fetch(b"a" * 16, deadline)).unwrap() is None
        assert (await store.put(b"a" * 16, b"block", deadline)).is_ok()
        assert (await store.fetch(b"a" * 16, deadline)).unwrap() == b"block"
        found = (await store.lookup([b"a" * 16, b"b" * 16], deadline)).unwrap()
        assert found == {b"a" * 16}
        assert (await weights.fetch("m", "1", deadline)).unwrap() == b"weights"
        platform.mode = "limited"
        failure = (await weights.fetch("m", "1", deadline)).unwrap_err()
        assert (failure.code, failure.retry_after_s) == (Code.STORE_UNAVAILABLE, 1.5)
        assert asyncio.get_running_loop().time() < deadline

    run_with(platform, call)
