"""Tests of the plain service, the log, the host list and the stores."""

from http.client import RemoteDisconnected
from urllib.request import Request, urlopen

import msgspec
import pytest

from standins import verify_call
from standins.log import LogCore
from standins.testing import (
    CacheStoreConfig,
    HostsConfig,
    LogConfig,
    ServiceConfig,
    WeightStoreConfig,
)

RECORDS = "/streams/config/records"


def test_service_counts_each_execution(start_standin):
    """Guards against a wrong count after a crash before or after the execution."""
    service = start_standin(ServiceConfig())
    for when, count in (("before", 0), ("after", 1)):
        service.faults(crash={"when": when})
        with pytest.raises((RemoteDisconnected, ConnectionResetError)):
            service.call("POST", "/payments", b'{"amount":5}')
        assert service.get("/executions")["count"] == count
    headers = {"X-Request-Id": "r1", "Idempotency-Key": "k1"}
    for _ in range(2):
        urlopen(Request(f"{service.url}/bookings/7", b'{"at":"noon"}', headers)).close()
    counts = service.get("/executions")
    assert (counts["by_request"]["r1"], counts["by_key"]["k1"]) == (2, 2)
    assert service.get("/bookings/7")["value"] == {"at": "noon"}
    assert service.call("GET", "/bookings/8")[0] == 404


def test_log_reads_what_was_appended(start_standin):
    """Guards against offsets that change after a trim, and reads of trimmed records."""
    log = start_standin(LogConfig())
    offsets = [log.post(RECORDS, data=data)["offset"] for data in (b"a", b"b", b"\xff")]
    assert offsets == [0, 1, 2]
    log.faults(trim={"stream": "config", "before": 1})
    body = log.get(f"{RECORDS}?from=1&limit=1")
    assert (body["first"], body["next"], body["records"][0]["data"]) == (1, 3, "Yg==")
    status, body = log.call("GET", f"{RECORDS}?from=0")
    assert (status, body["first"]) == (410, 1)
    assert log.get(f"{RECORDS}?from=3&wait_ms=1")["records"] == []


def test_log_faults(start_standin):
    """Guards against a lost reply whose append has no effect, and replies during an outage."""
    log = start_standin(LogConfig(appends_per_s=0.0, append_burst=2.0))
    log.faults(lose_next_replies=1)
    with pytest.raises((RemoteDisconnected, ConnectionResetError)):
        log.call("POST", RECORDS, b"a")
    assert log.get(f"{RECORDS}?from=0")["next"] == 1
    log.post(RECORDS, data=b"b")
    assert log.call("POST", RECORDS, b"c")[0] == 429
    log.faults(outage=True)
    assert log.call("GET", f"{RECORDS}?from=0")[0] == 503


def test_log_retention():
    """Guards against records retained beyond the limit of count or age."""
    core = LogCore(keep_records=2, keep_s=10.0, appends_per_s=1.0, burst=1.0, now=0.0)
    for now in (0.0, 1.0, 2.0):
        core.stream("s", now).append(b"", now)
    assert core.stream("s", 3.0).first == 1
    assert core.stream("s", 11.5).first == 2
    assert core.stream("s", 20.0).first == 3


def test_host_list_lags(start_standin):
    """Guards against a change that is visible before the lag has passed."""
    hosts = start_standin(HostsConfig(lag_s=1000.0, hosts=[{"host": "a"}]))
    hosts.call("PUT", "/hosts/a", b'{"state":"leaving"}')
    assert hosts.get("/hosts")["hosts"] == [{"state": "live", "host": "a"}]
    hosts.server.core.read_hosts(1e12)
    assert hosts.get("/hosts")["hosts"][0]["state"] == "leaving"


def test_cache_store_keeps_recent_blocks(start_standin):
    """Guards against a store that grows beyond its capacity."""
    store = start_standin(CacheStoreConfig(capacity_bytes=2))
    for name in ("aa", "bb", "cc"):
        store.call("PUT", f"/blocks/{name}", b"x")
    assert store.post("/blocks/lookup", {"hashes": ["cc", "aa", "bb"]}) == {"hashes": ["cc", "bb"]}
    assert store.call("GET", "/blocks/aa")[0] == 404


def test_weight_store_refuses_over_its_rate(start_standin):
    """Guards against a store without a rate limit for loads."""
    store = start_standin(WeightStoreConfig(load_s=0.0, loads_per_s=0.0, load_burst=2.0))
    server = store.server
    for _ in range(2):
        with urlopen(f"{store.url}/weights/m/w1", timeout=30) as answer:
            assert len(answer.read()) == server.config.weight_bytes
    assert store.call("GET", "/weights/m/w1")[0] == 429
    assert server.counts == {"active": 0, "peak": 1, "served": 2, "refused": 1}


def test_verify_call_compares_the_record(start_standin):
    """Guards against a verifier that accepts the answer of another call."""
    service = start_standin(ServiceConfig(records=2))
    posted = msgspec.json.encode(service.post("/bookings", {"n": 1})).decode()
    read = msgspec.json.encode(service.get("/schedule/1")).decode()
    assert verify_call("/bookings", {"n": 1}, posted) == ""
    assert verify_call("/schedule/1", None, read) == ""
    assert verify_call("/bookings", {"n": 2}, posted)
    assert verify_call("/schedule/0", None, read)
    assert verify_call("/schedule/1", None, read[:-1])
