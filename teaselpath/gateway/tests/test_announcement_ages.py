"""Age of announced weights at a gateway that did not receive the announcement itself."""

import json

import pytest

from teaselpath.fleet import Position, StoredRecord, StoreError, Topic
from teaselpath.gateway import _watch
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._standstill import STANDSTILL_S, Standstill, boot_clock
from teaselpath.gateway._state import OLD_WEIGHTS_FRACTION, UNKNOWN_SINCE, GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS
from teaselpath.gateway.tests.test_watch import follow, settle
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformStore
from teaselpath.rollout import OrderLease

LIMIT_S = OLD_WEIGHTS_FRACTION * SETTINGS.bounds.rollout_limit_s
RECOVERY_S = OLD_WEIGHTS_FRACTION * SETTINGS.bounds.recovery_window_s


def weights_record(version=2, offset=1):
    value = json.dumps({"model": "m", "version": version}).encode()
    return StoredRecord("version/m", value, Position(1, offset))


def test_old_weights_are_not_used_for_the_whole_limit_after_each_start(state):
    """Guards against a start that takes the age of a named version as zero."""
    state.apply_operator_record(weights_record(), "store", 100.0, UNKNOWN_SINCE)
    assert state.required_version("m", 100.0 + RECOVERY_S - 0.1) == 0
    assert state.required_version("m", 100.0 + RECOVERY_S + 0.1) == 2
    assert SETTINGS.bounds.recovery_window_s > RECOVERY_S


def test_version_that_was_missed_for_a_moment_only_is_not_assumed_to_be_older(state):
    state.apply_operator_record(weights_record(), "store", 100.0, 98.0)
    assert state.required_version("m", 98.0 + LIMIT_S - 0.1) == 0
    assert state.required_version("m", 98.0 + LIMIT_S + 0.1) == 2


@pytest.mark.parametrize("received_at", [90.0, 99.5])
def test_age_that_a_peer_knows_replaces_an_assumed_one_which_is_told_to_nobody(received_at):
    """Guards against gateways that confirm each other's assumptions."""

    async def scenario(_store):
        exchanges = []
        for host in ("gw-0", "gw-1", "gw-2"):
            state = GatewayState(SETTINGS, PlatformStore("127.0.0.1:9", HttpClient()), 1)
            exchange = PeerExchange(state, OrderLease(host, 3.0), HttpClient(), boot_clock)
            exchanges.append(exchange)
        restarted, other, witness = exchanges
        for exchange in (restarted, other):
            exchange.state.apply_operator_record(weights_record(), "store", 100.0, UNKNOWN_SINCE)
        witness.state.apply_operator_record(weights_record(), "store", received_at)
        ages = []
        for exchange, host in ((other, "gw-1"), (witness, "gw-2")):
            exchange.sequence = 1
            status = exchange._status(100.0)
            status.host, status.incarnation = host, 5
            restarted._apply_announcement_ages(status, 100.0)
            ages.append(dict(restarted.state.announced["m"].announced_at))
        return ages

    state = GatewayState(SETTINGS, PlatformStore("127.0.0.1:9", HttpClient()), 1)
    assert follow(state, scenario) == [{}, {2: received_at}]


def announce_while(state, *, fails=False, stands_still=False):
    """Return known and assumed times of a version named after the first listing."""

    async def scenario(store):
        store.answer(Topic.OPERATORS, end=Position(1, 1), is_listing=True)
        await settle()
        if fails:
            store.polls[Topic.OPERATORS][1].set_exception(StoreError("no answer"))
            await settle()
        if stands_still:
            store.watcher.standstill.ran_at -= STANDSTILL_S + 0.1
        store.answer(Topic.OPERATORS, weights_record(), end=Position(1, 2))
        await settle()
        announced = state.announced["m"]
        return set(announced.announced_at), set(announced.assumed_at)

    return follow(state, scenario, "follow_operators")


def test_version_that_a_waiting_poll_returns_has_just_been_named(state):
    assert announce_while(state) == ({2}, set())


@pytest.mark.parametrize("trouble", ["fails", "stands_still"])
def test_version_that_was_named_while_nothing_was_received_has_an_unknown_age(
    state, monkeypatch, trouble
):
    """Guards against an age of zero after a silent connection or a standstill."""
    monkeypatch.setattr(_watch, "RETRY_DELAY_S", 0.0)
    assert announce_while(state, **{trouble: True}) == (set(), {2})


def test_standstill_is_noticed_by_the_first_question_after_it():
    """Guards against decisions on waiting input, which is handled before timers."""
    times = {"loop": 10.0, "boot": 50.0}
    standstill = Standstill(lambda: times["loop"], lambda: times["boot"])
    times.update(loop=10.5, boot=50.5)
    assert not standstill.has_lasted_since(10.0)
    # The clock of the loop may stop while the host is suspended.
    times.update(loop=10.6, boot=56.0)
    assert standstill.has_lasted_since(10.5)
    assert not standstill.has_lasted_since(10.6)
