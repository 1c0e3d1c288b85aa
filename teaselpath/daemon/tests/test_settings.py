"""Tests of the validation of settings and of reading secrets."""

from pathlib import Path

import msgspec
import pytest

from teaselpath.bundle import check_bundle
from teaselpath.clients import check_settings, load_settings, read_secret
from teaselpath.results import Code

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.fixture
def document():
    """Return the settings of the example agent."""
    return msgspec.json.decode((EXAMPLES / "settings-agent.json").read_bytes())


def paths(document):
    """Return the JSON paths of the faults found."""
    return {fault.path for fault in check_settings(msgspec.json.encode(document)).unwrap_err()}


@pytest.mark.parametrize("name", sorted(p.name for p in EXAMPLES.glob("[bs]*.json")))
def test_examples_are_valid(name):
    """Guards against example files that the validation rejects."""
    kind = name.partition("-")[0]
    check = {"bundle": check_bundle, "settings": check_settings}[kind]
    assert check((EXAMPLES / name).read_bytes()).is_ok()


def test_all_faults_are_reported_at_once(document):
    """Guards against a fault that prevents other faults from being reported."""
    document["control"] |= {"port": 0, "curve_public": "short", "curve_secret": "inline"}
    document["peers"].append(document["peers"][0] | {"address": "node.example"})
    document["operator_keys"] = ["xyz"]
    document["log_url"] = "ftp://127.0.0.1"
    document["endpoint"]["url"] = ""
    document["limits"] = {"body_bytes": 0, "log_wait_ms": "10s"}
    assert paths(document) == {
        "$.control.port",
        "$.control.curve_public",
        "$.control.curve_secret",
        "$.control.curve_secret_file",
        "$.peers[1].address",
        "$.peers[1].host",
        "$.operator_keys[0]",
        "$.log_url",
        "$.endpoint.url",
        "$.limits.body_bytes",
        "$.limits.log_wait_ms",
    }


def test_entry_rules(document):
    """Guards against an entry with an endpoint, an incomplete TLS pair or a port used twice."""
    document["role"] = "entry"
    document["http"] = {"port": document["control"]["port"], "tls_cert": "/tls/cert.pem"}
    assert paths(document) == {
        "$.endpoint.id",
        "$.endpoint.url",
        "$.http.port",
        "$.http.tls_key_file",
    }


def test_load_settings_reports_a_missing_file(tmp_path):
    """Guards against an exception where the daemon expects a list of faults."""
    (fault,) = load_settings(tmp_path / "none.json").unwrap_err()
    assert fault.code is Code.INVALID_SETTINGS


def test_secret_must_be_private(tmp_path):
    """Guards against a secret file that other users of the host can read."""
    path = tmp_path / "secret"
    path.write_text("s3cret\n")
    path.chmod(0o640)
    assert read_secret(path).unwrap_err().code is Code.INVALID_SETTINGS
    path.chmod(0o600)
    assert read_secret(path).unwrap() == b"s3cret"
    assert read_secret(tmp_path / "none").is_err()
