"""State of a gateway: record order, lapsed entries, invalid records, member counts."""

import json

import pytest

from teaselpath.fleet import LAPSE_GRACE_S, Position, StoredRecord, Topic
from teaselpath.gateway._watch import ENDPOINTS_PAUSE_S, LAPSE_CHECK_INTERVAL_S
from teaselpath.gateway.tests.conftest import (
    SETTINGS,
    config_record,
    endpoint_record,
    removal_record,
)


def make_store_up(state, now=100.0):
    """Mark the store as up since long before ``now`` and return ``now``."""
    state.record_store_success(0.0)
    state.store_regained_at = 0.0
    return now


def test_older_configuration_is_ignored(state):
    state.apply_operator_record(config_record(5, 10), "store", 1.0)
    state.apply_operator_record(config_record(4, 11), "peer x", 2.0)
    state.apply_operator_record(config_record(6, 9), "store", 3.0)
    assert state.config.version == 5


def test_removal_while_the_store_is_up_takes_effect_at_once(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    state.apply_endpoint_record(removal_record("e", 2), "store", now)
    assert state.pool("s").candidates(b"") == []


def test_endpoint_that_lapses_in_an_outage_is_removed_after_the_grace_period(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    state.record_store_failure("unreachable", now)
    state.record_store_success(now + 10.0)
    state.apply_endpoint_record(removal_record("e", 2), "store", now + 10.1)
    assert len(state.pool("s").candidates(b"")) == 1
    state.expire_lapses(now + 12.0)
    assert len(state.pool("s").candidates(b"")) == 1
    state.expire_lapses(now + 12.7)
    assert state.pool("s").candidates(b"") == []


@pytest.mark.parametrize("is_outage", [False, True])
def test_endpoint_that_leaves_after_the_store_returned_is_out_of_use_within_its_drain_time(
    state, is_outage
):
    """Guards against a start, or a return long ago, that defers each removal anew."""
    returned_at = 100.0
    if is_outage:
        make_store_up(state)
        state.record_store_failure("unreachable", 90.0)
    state.record_store_success(returned_at)
    used_until = {}
    for number, delay_s in enumerate((0.0, 0.5, 1.5, 2.4, 3.0, 3.9, 6.0)):
        key, removed_at = f"e{number}", returned_at + delay_s
        state.apply_endpoint_record(endpoint_record(key, 2 * number), "store", returned_at)
        state.apply_endpoint_record(removal_record(key, 2 * number + 1), "store", removed_at)
        now = removed_at
        while key in state.views:
            now += LAPSE_CHECK_INTERVAL_S
            state.expire_lapses(now)
        used_until[delay_s] = now - removed_at
    drain_s = SETTINGS.bounds.drain_s - ENDPOINTS_PAUSE_S
    assert {delay_s: used_s for delay_s, used_s in used_until.items() if used_s > drain_s} == {
        # By the time at which the gateway is in touch again, these are out of use, too.
        0.0: LAPSE_GRACE_S,
    }
    recovered_at = returned_at + SETTINGS.bounds.recovery_window_s
    assert all(
        returned_at + at + used_s <= max(recovered_at, returned_at + at)
        for at, used_s in used_until.items()
    )


def test_endpoint_renewed_after_a_lapse_is_kept(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    state.record_store_failure("unreachable", now)
    state.record_store_success(now + 10.0)
    state.apply_endpoint_record(removal_record("e", 2), "store", now + 10.1)
    state.apply_endpoint_record(endpoint_record("e", 3), "store", now + 11.0)
    state.expire_lapses(now + 20.0)
    assert len(state.pool("s").candidates(b"")) == 1


def test_stale_listing_does_not_remove_newer_entries(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 7), "store", now)
    state.remove_unlisted(set(), Position(1, 5), now)
    assert len(state.pool("s").candidates(b"")) == 1
    state.remove_unlisted(set(), Position(1, 9), now)
    assert state.pool("s").candidates(b"") == []


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "sleeping"},
        {"address": "nowhere"},
        {"address": 7},
        {"slots": "many"},
        {"models": 3},
        {"service": None},
    ],
)
def test_invalid_entry_has_no_endpoint(state, fields):
    state.apply_endpoint_record(endpoint_record("e", 1, **fields), "store", make_store_up(state))
    assert state.pool("s").candidates(b"") == []


def test_truncated_entry_has_no_endpoint(state):
    state.apply_endpoint_record(
        StoredRecord("e", b'{"service":"s","addr', Position(1, 1)), "store", 1.0
    )
    assert state.pool("s").candidates(b"") == []


def test_restart_under_the_same_id_is_a_new_endpoint(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    first = state.views["e"]
    first.cache.record_stored("v1", "p", 10)
    state.apply_endpoint_record(endpoint_record("e", 2, born=2), "store", now)
    assert state.views["e"] is not first
    assert state.views["e"].cache.parts == {}


def test_weights_version_of_an_engine_never_decreases(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    state.views["e"].weights["m"] = 4
    models = [{"name": "m", "version": 3}]
    state.apply_endpoint_record(endpoint_record("e", 2, models=models), "store", now)
    assert state.views["e"].weights["m"] == 4


def test_older_weights_become_unusable_after_an_announcement(state):
    for version, at in ((2, 10.0), (3, 15.0)):
        value = json.dumps({"model": "m", "version": version}).encode()
        state.apply_operator_record(
            StoredRecord("version/m", value, Position(1, version)), "store", at
        )
    announced = state.announced["m"]
    assert announced.oldest_usable_version(18.0, 8.5) == 0
    assert announced.oldest_usable_version(19.0, 8.5) == 2
    assert announced.oldest_usable_version(24.0, 8.5) == 3


def test_unreachable_gateways_count_as_possibly_running_until_they_expire(state):
    member = state.record_member("gw-1", "127.0.0.3", 5, 10.0)
    member.last_contact_at = 10.0
    assert state.count_gateways(10.5) == (2, 2)
    assert state.count_gateways(20.0) == (1, 2)
    assert state.count_gateways(41.0) == (1, 1)


def test_endpoint_that_leaves_is_not_used_again_after_a_stale_listing(state):
    """Guards against a record that the store lost and listed again as ready."""
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    state.views["e"].availability.record_leaving(now + 3.0)
    state.apply_endpoint_record(removal_record("e", 2), "store", now)
    assert state.views == {}
    state.apply_endpoint_record(endpoint_record("e", 3), "store", now)
    assert state.views["e"].availability.leaves_at == now + 3.0
    state.apply_endpoint_record(endpoint_record("e", 4, born=2), "store", now)
    assert not state.views["e"].availability.is_leaving


def test_configuration_written_after_the_store_returned_from_a_copy_is_applied(state):
    state.apply_operator_record(config_record(17, 16), "store", 1.0)
    state.observe_era(2, "store", 2.0)
    state.apply_operator_record(config_record(19, 9, era=2), "store", 2.0)
    assert state.config.version == 19


def test_older_configuration_of_a_copy_is_not_reinstated(state):
    state.apply_operator_record(config_record(17, 16), "store", 1.0)
    state.apply_operator_record(config_record(14, 9, era=2), "store", 2.0)
    assert state.config.version == 17


def test_configuration_that_the_store_has_lost_is_accepted_from_a_peer(state):
    state.apply_operator_record(config_record(14, 9, era=2), "store", 1.0)
    state.apply_operator_record(config_record(17, 16, era=1), "peer x", 2.0)
    assert state.config.version == 17


def test_configuration_that_is_written_again_has_the_newer_position(state):
    state.apply_operator_record(config_record(17, 16), "store", 1.0)
    state.apply_operator_record(config_record(17, 11, era=2), "store", 2.0)
    assert state.newest_position(Topic.OPERATORS) == Position(2, 11)


def test_removal_after_a_return_that_nobody_noticed_may_be_a_lapse(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 5, seq=3), "store", now)
    state.observe_era(2, "peer x", now + 50.0)
    state.apply_endpoint_record(removal_record("e", 2, era=2), "store", now + 51.0)
    assert len(state.pool("s").candidates(b"")) == 1


def test_pending_removal_is_postponed_if_the_store_returns_from_a_copy_again(state):
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 5, seq=3), "store", now)
    for era in (2, 3):
        now += 2.0
        state.observe_era(era, "store", now)
        state.remove_unlisted(set(), Position(era, 4), now)
        state.expire_lapses(now + 2.0)
    assert len(state.pool("s").candidates(b"")) == 1


def test_answer_of_an_era_that_is_over_is_recognized(state):
    assert state.observe_era(2, "store", 1.0)
    assert state.observe_era(2, "peer x", 5.0)
    assert not state.observe_era(1, "store", 6.0)
    assert (state.era, state.era_seen_at) == (2, 1.0)


def test_endpoint_that_was_listed_as_leaving_is_avoided_when_it_is_listed_as_ready_again(state):
    """Guards against a store that returns from a copy with a record from before."""
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    state.apply_endpoint_record(endpoint_record("e", 2, state="draining"), "store", now)
    state.apply_endpoint_record(endpoint_record("e", 3), "store", now + 1.0)
    availability = state.views["e"].availability
    assert availability.is_leaving
    assert availability.takes_requests(now + 2.9)
    assert not availability.takes_requests(now + 3.0)
    state.apply_endpoint_record(endpoint_record("e", 4, born=2), "store", now + 1.0)
    assert not state.views["e"].availability.is_leaving


def test_first_era_with_a_number_after_one_without_is_a_return(state):
    """Guards against a return that is taken for the first contact: era 0 is an era, too."""
    returns = []
    state.on_new_era.append(lambda: returns.append(state.era))
    state.record_store_success(1.0)
    assert state.observe_era(0, "store", 1.0)
    state.observe_era(1, "store", 50.0)
    assert returns == [1]
    assert state.restored_at == 50.0


def test_removed_endpoint_that_the_store_still_lists_long_after_its_return_is_used(state):
    """Guards against a running endpoint whose copied entry is renewed by heartbeats only."""
    now = make_store_up(state)
    state.observe_era(1, "store", now)
    state.apply_endpoint_record(endpoint_record("e", 5, seq=3), "store", now)
    state.apply_endpoint_record(removal_record("e", 9), "store", now + 60.0)
    state.observe_era(2, "store", now + 65.0)
    for at in (now + 65.0, now + 125.0):
        state.remove_unlisted({"e"}, Position(2, 6), at)
        state.apply_endpoint_record(endpoint_record("e", 5, era=2, seq=3), "store", at)
        state.expire_lapses(at)
    assert len(state.pool("s").candidates(b"")) == 1


@pytest.mark.parametrize("away_at", [None, 2.0])
def test_removed_endpoint_that_the_store_lists_shortly_after_its_return_stays_away(state, away_at):
    """Guards against the copied entry of an endpoint that left, which has not expired yet."""
    now = make_store_up(state)
    state.observe_era(1, "store", now)
    state.apply_endpoint_record(endpoint_record("e", 5, seq=3), "store", now)
    state.apply_endpoint_record(removal_record("e", 9), "store", now + 60.0)
    state.observe_era(2, "store", now + 65.0)
    if away_at is not None:
        # Entries do not expire while the store is away.
        state.record_store_failure("unreachable", now + 65.0 + away_at)
        state.record_store_success(now + 70.0)
    last = state.copies_expire_at - 0.1
    for at in (now + 70.0, last):
        state.apply_endpoint_record(endpoint_record("e", 5, era=2, seq=3), "store", at)
        state.remove_unlisted({"e"}, Position(2, 6), at)
    assert last > now + 70.0
    assert state.views == {}


def test_version_of_an_engine_is_unknown_until_it_was_read_after_a_standstill(state):
    """Guards against a stream that begins at an engine which has started again meanwhile."""
    now = make_store_up(state)
    state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
    assert state.knows_software(state.views["e"], now)
    state.standstill_ended_at = lambda: now + 5.0
    assert not state.knows_software(state.views["e"], now + 5.0)
    # A call that was sent before the standstill may tell of the time before it.
    state.endpoints_read_at = now + 4.9
    assert not state.knows_software(state.views["e"], now + 5.1)
    state.endpoints_read_at = now + 5.0
    assert state.knows_software(state.views["e"], now + 5.1)
