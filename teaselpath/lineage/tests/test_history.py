"""Versions that may have begun streams, as one gateway knows them."""

import pytest

from teaselpath.lineage import (
    MIN_TAKE_UP_S,
    ServiceHistory,
    StoredVersions,
    merge_versions,
    observe_stored,
    take_up_time_s,
)
from teaselpath.lineage._history import FORGET_S, MAX_VERSIONS
from teaselpath.lineage._stored import CLOCK_ERROR_S

NOW_MS = 1_700_000_000_000


@pytest.fixture
def history() -> ServiceHistory:
    """Return a history of a service with two engines of one version."""
    history = ServiceHistory()
    assert history.add_engine("v1")
    assert not history.add_engine("v1")
    return history


def test_only_version_is_known_until_another_is_found(history):
    assert history.only_version_since(0.0) == "v1"
    assert history.add_engine("v2")
    assert history.only_version_since(0.0) is None


def test_version_that_has_left_counts_for_as_long_as_its_streams_are_taken_up(history):
    history.add_engine("v2")
    for _ in range(2):
        history.remove_engine("v1", 10.0)
    assert history.listed == {"v2"}
    assert history.only_version_since(10.0) is None
    assert history.only_version_since(10.1) == "v2"


def test_version_of_a_peer_counts_though_no_engine_with_it_is_listed(history):
    assert history.observe("v2", 5.0)
    assert not history.observe("v2", 4.0)
    assert history.only_version_since(4.9) is None


def test_versions_that_cannot_be_read_are_not_taken_for_one():
    history = ServiceHistory()
    history.add_engine(None)
    assert history.only_version_since(0.0) is None
    history.add_engine("v1")
    assert history.only_version_since(0.0) is None


def test_memory_does_not_grow_with_the_versions_that_are_named(history):
    for n in range(3 * MAX_VERSIONS):
        history.observe(f"w{n}", float(n))
    assert len(history.last_seen_at) <= MAX_VERSIONS
    history.expire(FORGET_S * 2)
    assert history.last_seen_at == {}
    assert history.listed == {"v1"}


def test_time_to_take_up_grows_with_the_timeout_of_the_route():
    assert take_up_time_s(1.0) == MIN_TAKE_UP_S
    assert take_up_time_s(40.0) == 80.0


def test_record_gains_versions_and_the_ends_of_others():
    stored = merge_versions(StoredVersions({}), ["v1"], NOW_MS)
    assert stored.ended_at_ms == {"v1": 0}
    stored = merge_versions(stored, ["v1", None], NOW_MS)
    assert stored.ended_at_ms == {"v1": 0, "": 0}
    stored = merge_versions(stored, ["v2"], NOW_MS + 5)
    assert stored.ended_at_ms == {"v1": NOW_MS + 5, "": NOW_MS + 5, "v2": 0}
    assert merge_versions(stored, ["v2"], NOW_MS + 9) == stored
    stored = merge_versions(stored, ["v2"], NOW_MS + 10 + int(FORGET_S * 1000))
    assert stored.ended_at_ms == {"v2": 0}


@pytest.mark.parametrize("ended_at_ms", [0, NOW_MS, NOW_MS + 9_000])
def test_version_that_may_have_just_left_counts_after_a_restart(ended_at_ms):
    history = ServiceHistory()
    history.add_engine("v2")
    observe_stored(history, StoredVersions({"v1": ended_at_ms, "v2": 0}), 50.0, NOW_MS)
    assert history.only_version_since(50.0 - MIN_TAKE_UP_S) is None


def test_version_that_left_long_ago_does_not_count_after_a_restart():
    history = ServiceHistory()
    history.add_engine("v2")
    ended_at_ms = NOW_MS - int((MIN_TAKE_UP_S + CLOCK_ERROR_S + 1.0) * 1000)
    observe_stored(history, StoredVersions({"v1": ended_at_ms, "v2": 0}), 50.0, NOW_MS)
    assert history.only_version_since(50.0 - MIN_TAKE_UP_S) == "v2"
