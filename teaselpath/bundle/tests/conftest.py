"""Bundles, keys and fixtures shared by the tests."""

import msgspec
import pytest

from teaselpath.bundle import operator_public_key, sign_record
from teaselpath.wire import SignedRecord

PRIVATE_KEY = b"\x01" * 32
OTHER_KEY = b"\x02" * 32
OPERATORS = [operator_public_key(PRIVATE_KEY)]


def document(version=1, parent=0, **fields):
    """Return a small valid bundle as a dict."""
    base = {
        "version": version,
        "parent": parent,
        "change_id": f"change-{version}-of-{parent}",
        "workspaces": [
            {"id": "w", "rate": 10.0, "burst": 100.0, "keys": [{"id": "k", "digest": "ab" * 32}]}
        ],
        "models": [{"id": "m", "weights": "1"}],
        "endpoints": [
            {"id": "e1", "kind": "engine", "models": ["m"]},
            {"id": "s1", "kind": "service", "service": "booking"},
        ],
        "classes": [{"id": "interactive", "priority": 0, "deadline_ms": 1000, "max_wait_ms": 500}],
        "routes": [{"prefix": "/bookings", "service": "booking"}],
        "orders": [{"endpoint": "e1", "kind": "load_weights", "model": "m", "version": "1"}],
    }
    return base | fields


def signed(offset, version=1, parent=0, key=PRIVATE_KEY, **fields):
    """Return a signed record with a small bundle."""
    payload = msgspec.json.encode(document(version, parent, **fields))
    return SignedRecord(offset, sign_record("bundle", payload, key))


@pytest.fixture
def bundle_document():
    """A small valid bundle as a dict."""
    return document()
