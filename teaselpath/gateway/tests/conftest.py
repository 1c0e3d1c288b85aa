"""Fixtures and records for tests of a gateway without sockets."""

import json

import pytest

from teaselpath.fleet import Bounds, GatewaySettings, Position, StoredRecord
from teaselpath.gateway._state import GatewayState
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformStore

SETTINGS = GatewaySettings(
    host="gw-0",
    ip="127.0.0.2",
    failure_domain="a",
    region="north",
    regions={"a": "north", "b": "south"},
    caller_address="127.0.0.2:1",
    readiness_address="127.0.0.2:2",
    peer_port=3,
    seed_ips=(),
    store_address="127.0.0.1:9",
    entry_expiry_s=3.6,
    # In the order of the fields, from shutdown_grace_s to drain_s.
    bounds=Bounds(8.0, 0.2, 50.0, 10.0, 0.0, 3.0, 10.0, 4.0, 3.0),
)


@pytest.fixture
def state() -> GatewayState:
    """Return the state of a newly started gateway."""
    return GatewayState(SETTINGS, PlatformStore("127.0.0.1:9", HttpClient()), 1)


def config_record(version: int, offset: int, era: int = 1) -> StoredRecord:
    """Return a configuration record without routes."""
    value = json.dumps({"version": version, "tenants": []}).encode()
    return StoredRecord("config", value, Position(era, offset))


def removal_record(key: str, offset: int, era: int = 1) -> StoredRecord:
    """Return a record that removes a key."""
    return StoredRecord(key, b"", Position(era, offset))


def endpoint_record(key: str, offset: int, era: int = 1, **fields) -> StoredRecord:
    """Return an endpoint record; ``fields`` override its defaults."""
    entry = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "state": "ready",
        "version": "v1",
        "slots": 4,
        "born": 1,
        "models": [{"name": "m", "version": 1}],
        **fields,
    }
    return StoredRecord(key, json.dumps(entry).encode(), Position(era, offset))
