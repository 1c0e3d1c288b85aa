"""Tests of operator requests, the key index and the differences between bundles."""

import msgspec

from teaselpath.bundle import (
    Bundle,
    ControlRequest,
    KeyIndex,
    NonceCache,
    RevocationSet,
    RevocationSpec,
    diff_bundles,
    key_digest,
    open_control,
    sign_control,
    sign_revocation,
)
from teaselpath.bundle.tests.conftest import OPERATORS, OTHER_KEY, PRIVATE_KEY, document
from teaselpath.results import Code


def control(key=PRIVATE_KEY, expires_ms=1000, nonce="n" * 16, **arguments):
    """Return a signed operator request."""
    request = ControlRequest(
        command="drain", arguments=arguments, expires_ms=expires_ms, nonce=nonce
    )
    return sign_control("r1", request, key)


def code_of(message, nonces, now_ms, host="h1"):
    """Return the result code of an operator request."""
    opened = open_control(message, OPERATORS, nonces, now_ms, host)
    return opened.unwrap_err().code if opened.is_err() else Code.OK


def test_request_is_accepted_once():
    """Guards against a replayed request, for instance a second drain."""
    nonces = NonceCache()
    assert code_of(control(), nonces, 0) is Code.OK
    assert code_of(control(), nonces, 1) is Code.DUPLICATE_REQUEST
    assert code_of(control(), nonces, 1001) is Code.REQUEST_TIMEOUT


def test_request_is_rejected():
    """Guards against requests by untrusted operators, for other hosts, or expiring too late."""
    nonces = NonceCache(limit=0)
    assert code_of(control(OTHER_KEY), nonces, 0) is Code.UNTRUSTED_OPERATOR
    assert code_of(control(expires_ms=10**9), nonces, 0) is Code.REQUEST_TIMEOUT
    assert code_of(control(host="h2"), nonces, 0) is Code.INVALID_FIELD
    assert code_of(control(), nonces, 0) is Code.OVERLOADED
    altered = control()
    altered.payload = altered.payload.replace(b"drain", b"other")
    assert code_of(altered, nonces, 0) is Code.BAD_SIGNATURE


def test_only_expired_nonces_are_evicted():
    """Guards against expired nonces that fill the set, and against evicting a replayable nonce."""
    nonces = NonceCache(limit=2)
    assert nonces.add("a", 10, 0).is_ok()
    assert nonces.add("b", 20, 0).is_ok()
    assert nonces.add("c", 30, 10).unwrap_err().code is Code.OVERLOADED
    assert nonces.add("c", 30, 11).is_ok()
    assert nonces.add("b", 20, 11).unwrap_err().code is Code.DUPLICATE_REQUEST


def test_key_index_finds_the_workspace():
    """Guards against a key that maps to another workspace or is valid after its revocation."""
    digest = key_digest("secret")
    workspaces = [{"id": "w", "rate": 1.0, "burst": 1.0}]
    workspaces[0]["keys"] = [{"id": "k", "digest": digest.hex()}]
    bundle = msgspec.convert(document(workspaces=workspaces), Bundle)
    revocations = RevocationSet()
    index = KeyIndex(bundle, revocations)
    assert index.find("secret").unwrap().workspace == "w"
    assert index.find("").unwrap_err().code is Code.MISSING_KEY
    assert index.find("secreT\ud800").unwrap_err().code is Code.UNKNOWN_KEY
    data = sign_revocation(RevocationSpec(key_digest=digest.hex(), version=1), PRIVATE_KEY)
    assert revocations.add(data, OPERATORS).unwrap()
    assert index.find("secret").unwrap_err().code is Code.KEY_WITHDRAWN


def test_diff_is_by_id():
    """Guards against a reordered list that is reported as a change."""
    old = document()
    new = document(2, 1, change_id=old["change_id"])
    new["endpoints"].reverse()
    new["workspaces"][0]["rate"] = 20.0
    new["models"].append({"id": "n", "weights": "1"})
    changes = diff_bundles(msgspec.convert(old, Bundle), msgspec.convert(new, Bundle))
    assert [(change.kind, change.path) for change in changes] == [
        ("added", "models[n]"),
        ("changed", "parent"),
        ("changed", "version"),
        ("changed", "workspaces[w].rate"),
    ]
