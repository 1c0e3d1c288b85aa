"""Tests of check_bundle: all faults are reported, with the path of the field."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.bundle import check_bundle
from teaselpath.bundle.tests.conftest import document
from teaselpath.results import Code


def paths(data):
    """Return the paths of the faults of a document."""
    return {fault.path for fault in check_bundle(msgspec.json.encode(data)).unwrap_err()}


def test_valid_bundle_has_no_faults(bundle_document):
    """Guards against checks that reject a valid bundle."""
    bundle = check_bundle(msgspec.json.encode(bundle_document)).unwrap()
    assert bundle.workspaces[0].id == "w"
    assert bundle.routes[0].methods == ["GET"]


def test_all_faults_are_reported_at_once(bundle_document):
    """Guards against a fault that hides other faults from the operator."""
    bundle_document["version"] = 0
    bundle_document["workspaces"][0] |= {"rate": "10/s", "brust": 5, "burst": 0}
    bundle_document["workspaces"].append("acme")
    bundle_document["endpoints"][0]["models"] = ["missing"]
    bundle_document["classes"].append(bundle_document["classes"][0])
    bundle_document["orders"][0]["kind"] = "reboot"
    del bundle_document["models"][0]["weights"]
    assert paths(bundle_document) == {
        "$.version",
        "$.workspaces[0].rate",
        "$.workspaces[0].brust",
        "$.workspaces[0].burst",
        "$.workspaces[1]",
        "$.endpoints[0].models[0]",
        "$.classes[1].id",
        "$.orders[0].kind",
        "$.models[0].weights",
    }


@pytest.mark.parametrize(
    ("part", "change", "path"),
    [
        ("workspaces", {"rate": -1.0}, "$.workspaces[0].rate"),
        ("workspaces", {"rate": 1e300}, "$.workspaces[0].rate"),
        ("workspaces", {"keys": [{"id": "k", "digest": "AB"}]}, "$.workspaces[0].keys[0].digest"),
        (
            "workspaces",
            {"keys": [{"id": "k", "digest": "ab" * 32 + "\n"}]},
            "$.workspaces[0].keys[0].digest",
        ),
        ("workspaces", {"keys": {}}, "$.workspaces[0].keys"),
        ("endpoints", {"models": []}, "$.endpoints[0].models"),
        ("endpoints", {"service": "x"}, "$.endpoints[0].service"),
        ("endpoints", {"kind": "disk"}, "$.endpoints[0].kind"),
        ("routes", {"service": "none"}, "$.routes[0].service"),
        ("routes", {"request_class": "none"}, "$.routes[0].request_class"),
        ("routes", {"methods": []}, "$.routes[0].methods"),
        ("routes", {"methods": ["GET", "GET"]}, "$.routes[0].methods[1]"),
        ("routes", {"open": True}, "$.routes[0].open_workspace"),
        ("routes", {"open_workspace": "w"}, "$.routes[0].open_workspace"),
        ("routes", {"prefix": "bookings"}, "$.routes[0].prefix"),
        ("classes", {"deadline_ms": "2s"}, "$.classes[0].deadline_ms"),
        ("orders", {"endpoint": "s1"}, "$.orders[0].endpoint"),
        ("orders", {"role": "prefill"}, "$.orders[0].role"),
        ("orders", {"model": "none"}, "$.orders[0].model"),
    ],
)
def test_each_fault_has_its_path(bundle_document, part, change, path):
    """Guards against a fault that is accepted or reported at the wrong path."""
    bundle_document[part][0] |= change
    assert paths(bundle_document) == {path}


def test_duplicates_across_workspaces(bundle_document):
    """Guards against a key that gives access to two workspaces (P4)."""
    bundle_document["workspaces"].append(bundle_document["workspaces"][0] | {"id": "other"})
    assert paths(bundle_document) == {"$.workspaces[1].keys[0].digest"}


def test_parent_must_be_lower(bundle_document):
    """Guards against versions that do not increase."""
    assert paths(bundle_document | {"version": 3, "parent": 3}) == {"$.version"}


def test_reason_names_unit_and_similar_field(bundle_document):
    """Guards against a message that does not name the expected field and unit."""
    bundle_document["classes"][0]["deadline_s"] = 1
    bundle_document["classes"][0]["deadline_ms"] = 1.5
    faults = check_bundle(msgspec.json.encode(bundle_document)).unwrap_err()
    text = {fault.path: fault.detail for fault in faults}
    assert "did you mean deadline_ms (unit: milliseconds)?" in text["$.classes[0].deadline_s"]
    assert "unit: milliseconds" in text["$.classes[0].deadline_ms"]
    assert {fault.code for fault in faults} == {Code.INVALID_BUNDLE}


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


@given(st.data())
def test_any_replaced_value_is_checked_without_a_crash(data):
    """Guards against a malformed document that makes the check raise an exception."""
    bundle = document()
    part = bundle
    while isinstance(part, dict | list) and part:
        name = data.draw(st.sampled_from(sorted(part) if isinstance(part, dict) else [0]))
        if data.draw(st.booleans()) or not isinstance(part[name], dict | list):
            part[name] = data.draw(json_values)
            break
        part = part[name]
    check_bundle(msgspec.json.encode(bundle))


@given(st.binary(max_size=50))
def test_arbitrary_bytes_are_rejected(data):
    """Guards against an exception on data that is not valid JSON."""
    assert check_bundle(data).unwrap_err()
