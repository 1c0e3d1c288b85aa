"""Rollouts of software over several gateways in virtual time: good and bad versions, and faults."""

import asyncio
import json
from dataclasses import replace
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import pytest

from teaselpath.fleet import Position, RolloutState, Step, StoredRecord
from teaselpath.gateway._service_rollout import Flight
from teaselpath.gateway.tests.rollout_fleet import ROUTES, Fleet, Sent, good, play
from teaselpath.rollout import roll_back

SEEDS = range(50)
FEW_SEEDS = range(6)


def bad_at_once(_sent: Sent) -> tuple[float, float]:
    return 0.3, 1.0


def bad_later(sent: Sent) -> tuple[float, float]:
    return 0.4 if sent.at > 5.0 else 0.0, 1.0


def bad_after_the_move(sent: Sent) -> tuple[float, float]:
    return 0.4 if sent.at > 8.5 else 0.0, 1.0


def bad_under_load(sent: Sent) -> tuple[float, float]:
    return 0.5 if sent.running > 1 else 0.0, 1.0


def bad_on_one_route(sent: Sent) -> tuple[float, float]:
    return 0.5 if sent.route == "pay" else 0.0, 1.0


def bad_on_a_rare_route(sent: Sent) -> tuple[float, float]:
    return 0.5 if sent.route == "review" else 0.0, 1.0


def slow(_sent: Sent) -> tuple[float, float]:
    return 0.0, 4.0


BAD = (
    bad_at_once, bad_later, bad_after_the_move, bad_under_load, bad_on_one_route,
    bad_on_a_rare_route, slow,
)  # fmt: skip


def assert_rolled_back(fleet: Fleet) -> None:
    """The bound on a bad version holds, and no gateway sends it anything after its end."""
    record = fleet.stored()
    assert record.state is RolloutState.ROLLED_BACK, record
    assert fleet.ended_at is not None
    assert fleet.ended_at <= fleet.duration_s
    assert fleet.exposed() <= fleet.allowed()
    assert fleet.late() == 0


def test_good_version_succeeds_in_time():
    """Guards against duties that are missed, and streams that are lost as old engines stop."""
    fleets = [play(seed, good) for seed in SEEDS]
    succeeded = [f for f in fleets if f.stored().state is RolloutState.SUCCEEDED]
    assert len(succeeded) >= 49
    assert all(f.ended_at is not None and f.ended_at <= f.duration_s for f in fleets)
    assert sum(f.lost for f in fleets) == 0
    assert sum(f.unserved for f in fleets) == 0


@pytest.mark.parametrize("behaviour", BAD)
def test_bad_version_is_rolled_back_within_the_bound(behaviour):
    fleets = [play(seed, behaviour) for seed in SEEDS]
    for fleet in fleets:
        assert_rolled_back(fleet)
    print(behaviour.__name__, max(f.exposed() / f.allowed() for f in fleets))


def crash_engines(fleet: Fleet) -> None:
    """Two engines of the target and one old one end, under their requests."""
    names = fleet.random.sample([f"new-{n}" for n in range(12)], 2)
    fleet.at(5.0, lambda: fleet.crashed.update({*names, "old-1"}))


def burst(fleet: Fleet) -> None:
    fleet.at(4.0, lambda: setattr(fleet, "rate", 3 * fleet.rate))
    fleet.at(6.0, lambda: setattr(fleet, "rate", fleet.rate / 3))


def garble(fleet: Fleet) -> None:
    fleet.at(4.5, lambda: setattr(fleet, "trouble", 0.3))
    fleet.at(6.5, lambda: setattr(fleet, "trouble", 0.0))


def store_away(fleet: Fleet) -> None:
    fleet.at(3.5, fleet.take_store)
    fleet.at(6.5, fleet.return_store)


def kill_decider(fleet: Fleet) -> None:
    """The lease passes on once it has expired and a handover has passed."""
    fleet.at(4.0, lambda: fleet.kill("gw-0"))
    fleet.at(4.0, lambda: setattr(fleet, "holder", ""))
    fleet.at(9.4, lambda: setattr(fleet, "holder", "gw-1"))


def kill_all(fleet: Fleet) -> None:
    """All gateways end, twice, and start again with what the store has."""
    for at in (3.5, 5.5):
        for host in fleet.hosts:
            fleet.at(at, partial(fleet.kill, host))
            fleet.at(at + 0.8, partial(fleet.start, host))


def cut_gateway(fleet: Fleet) -> None:
    fleet.at(4.0, lambda: setattr(fleet.gateways["gw-2"], "is_cut", True))
    fleet.at(9.0, lambda: setattr(fleet.gateways["gw-2"], "is_cut", False))


def change_era(fleet: Fleet) -> None:
    fleet.at(5.0, lambda: fleet.restore_store(1))


TROUBLE = (crash_engines, burst, garble, store_away, cut_gateway, change_era)
FAULTS = (*TROUBLE, kill_decider, kill_all)


@pytest.mark.parametrize("prepare", FAULTS)
def test_good_version_is_not_convicted_in_trouble(prepare):
    """Guards against engines, callers or hosts whose trouble is taken for that of a version."""
    fleets = [play(seed, good, prepare=prepare) for seed in FEW_SEEDS]
    states = [fleet.stored().state for fleet in fleets]
    reasons = [fleet.stored().reason for fleet in fleets]
    assert all("answers" not in reason or "evidence" in reason for reason in reasons), reasons
    if prepare in TROUBLE:
        assert states.count(RolloutState.SUCCEEDED) >= len(fleets) - 1, reasons
    assert all(f.ended_at is not None and f.ended_at <= f.duration_s for f in fleets)


@pytest.mark.parametrize("prepare", FAULTS)
@pytest.mark.parametrize("behaviour", [bad_later])
def test_bad_version_is_rolled_back_in_trouble(behaviour, prepare):
    for seed in FEW_SEEDS:
        assert_rolled_back(play(seed, behaviour, prepare=prepare))


def test_equal_order_begins_no_new_rollout():
    """An operator's tool may write the same order again."""
    fleet = play(1, bad_at_once, prepare=lambda f: f.at(8.0, f.order), until=20.0)
    assert fleet.stored().serial == 1
    assert fleet.ended_at is not None
    assert max(fleet.sent) < fleet.ended_at + 0.2


def test_another_order_ends_the_rollout_before():
    fleet = play(1, good, prepare=lambda f: f.at(5.0, lambda: f.order("v3")), until=20.0)
    record = fleet.stored()
    assert (record.target, record.serial, record.state) == ("v3", 2, RolloutState.ROLLED_BACK)
    assert record.reason == "no engine of the target takes requests"
    assert record.avoided == ("v3", "v2")
    assert max(fleet.sent) < 5.5


def test_target_without_engines_is_rolled_back_at_its_deadline():
    fleet = play(1, good, new=0)
    assert_rolled_back(fleet)
    assert fleet.stored().reason == "no engine of the target takes requests"


def test_order_whose_deadline_has_passed_is_rolled_back_at_once():
    fleet = play(1, good, duration_s=0.0, until=2.0)
    assert fleet.stored().reason == "the deadline has passed"
    assert not fleet.sent


def test_unreadable_record_of_the_status_topic_costs_that_record_only():
    """Guards against what another writer has left there."""

    def write(fleet):
        fleet.store.records.append(("rollout/s", b"\xff"))
        fleet.store.records.append(("other", b"{}"))

    assert play(1, good, prepare=write).stored().state is RolloutState.SUCCEEDED


def test_engines_of_a_target_get_nothing_before_an_order_allows_it():
    """The engines may be listed before the order arrives."""

    def hide_order(fleet):
        for gateway in fleet.gateways.values():
            gateway.state.rollout_orders.clear()
        fleet.orders.clear()

    fleet = play(1, good, prepare=hide_order, until=1.4)
    assert not fleet.sent


@pytest.mark.parametrize(
    "value",
    [b"", b"?", b"{}", b'{"service":"s","target":"","durationS":5}',
     b'{"service":"t","target":"v2","durationS":5}',
     b'{"service":"s","target":"v2","durationS":1e99}'],
)  # fmt: skip
def test_unreadable_order_asks_for_nothing(value):
    def write(fleet):
        for gateway in fleet.gateways.values():
            gateway.state.rollout_orders.clear()
            record = StoredRecord("rollout/s", value, Position(1, 200))
            gateway.state.apply_operator_record(record, "store", 0.0)
            assert not gateway.state.rollout_orders

    assert play(1, good, prepare=write, until=0.5).store.records == []


def test_operators_read_state_and_target():
    fleet = play(1, good)
    status = json.loads(fleet.store.records[-1][1])
    assert (status["state"], status["target"]) == ("succeeded", "v2")


def test_version_that_was_replaced_runs_again_if_it_is_all_there_is():
    """Guards against a later release by the platform that goes back to it."""
    fleet = play(1, good)
    gateway = fleet.gateways["gw-1"]
    assert gateway.record is not None
    assert gateway.record.avoided == ("v1",)
    assert gateway.rollouts._unless_alone("s", frozenset(["v1", "v2"])) == [None]


def test_gateway_that_stood_still_sends_the_target_nothing_by_old_messages():
    """Datagrams that waited in its socket confirm what was so before."""

    def freeze(fleet):
        fleets.append(fleet)
        fleet.at(4.0, lambda: setattr(fleet.gateways["gw-2"], "frozen_until", 8.0))
        for host in ("gw-0", "gw-1", "gw-3"):
            fleet.at(7.9, partial(fleet.kill, host))
        fleet.at(8.2, seen.append_state)

    class Seen(list):
        def append_state(self):
            rollout = fleets[0].gateways["gw-2"].rollouts.services["s"]
            self.append(rollout.is_confirmed(fleets[0].now))

    fleets: list[Fleet] = []
    seen = Seen()
    play(1, good, prepare=freeze, until=9.0)
    assert seen == [False]


def test_operator_stops_a_rollout_at_any_gateway():
    def stop(fleet):
        fleet.at(5.0, lambda: fleet.gateways["gw-3"].rollouts.stop("s"))

    fleet = play(1, good, prepare=stop)
    assert fleet.stored().reason == "stopped by an operator"
    assert max(fleet.sent) < 5.3


def plain_call(route: str = "query") -> Any:
    """Return a call as the fleet makes them."""
    return SimpleNamespace(
        takes_target=None, tried=set(), has_begun=False, first_byte_at=None,
        route=SimpleNamespace(name=route), service=SimpleNamespace(name="s"),
        splitter=SimpleNamespace(count=0), request=SimpleNamespace(prompt=None),
    )  # fmt: skip


def allowed_versions(fleet: Fleet, host: str) -> list[set[str | None]]:
    """Return the versions that each choice for a new request at a gateway allows."""
    gateway = fleet.gateways[host]
    views = list(gateway.state.pool("s").views.values())
    choices = gateway.rollouts.choices(plain_call(), fleet.now)
    return [{v.endpoint.software for v in views if not a or a(v)} for a in choices]


def restart_with_target_listed_first(fleet: Fleet, host: str) -> None:
    """Start a gateway that reads the target's entries before the others, all within a moment."""
    now, entries = fleet.now, fleet.engines
    fleet.engines = []
    fleet.start(host)
    fleet.engines = entries
    state = fleet.gateways[host].state
    for record in sorted(entries, key=lambda e: e.key):
        fleet.now += 1e-5
        state.apply_endpoint_record(record, "store", fleet.now)
    assert now < fleet.now < now + 0.01


def test_gateway_that_starts_sends_a_version_that_was_rolled_back_nothing():
    """It has read engines and order, and not yet how the rollout ended."""

    async def scenario():
        fleet = Fleet(1, bad_at_once)
        fleet.order()
        fleet.run(8.0)
        assert fleet.stored().state is RolloutState.ROLLED_BACK
        restart_with_target_listed_first(fleet, "gw-1")
        return allowed_versions(fleet, "gw-1")

    assert asyncio.run(scenario()) == [{"v1"}]


def test_gateway_that_starts_in_a_rollout_has_engines_for_requests_at_once():
    """The old version was taken for one that had just appeared beside the target."""

    async def scenario():
        fleet = Fleet(1, good)
        fleet.order()
        fleet.run(5.0)
        restart_with_target_listed_first(fleet, "gw-1")
        fleet.gateways["gw-1"].rollouts._tick(fleet.now)
        assert fleet.gateways["gw-1"].record is not None
        return allowed_versions(fleet, "gw-1")

    assert asyncio.run(scenario())[-1] == {"v1"}


def test_order_for_the_version_that_runs_leaves_its_engines_in_use():
    """An operator may order the same target again, with another duration."""

    async def scenario():
        fleet = Fleet(1, good, old=0, new=0)
        for number in range(12):
            fleet.list_engine(f"engine-{number}", "v2")
        fleet.at(2.0, fleet.order)
        return fleet.run(16.0)

    fleet = asyncio.run(scenario())
    assert fleet.stored().state is RolloutState.SUCCEEDED
    assert fleet.ended_at is not None
    assert fleet.ended_at < 2.5
    assert fleet.unserved == 0


def test_requests_at_the_target_before_do_not_tell_against_the_next_one():
    """A version that answers nothing is replaced by another order; its requests still wait."""

    async def scenario():
        fleet = Fleet(1, good)
        fleet.order()
        fleet.run(5.0)
        rollouts = fleet.gateways["gw-0"].rollouts
        rollout = rollouts.services["s"]
        evidence = rollout.evidence
        assert rollout.record is not None
        for number in range(40):
            call = plain_call(ROUTES[0][0])
            serial = rollout.record.serial - 1
            flight = Flight(call, serial, 1 + number % 5, 0, fleet.now - 4.0, False)
            rollout.begin(flight)
        before = dict(evidence.own)
        rollout.count_overdue(fleet.now)
        rollout.judge(fleet.now)
        return rollout.conviction, set(evidence.own) - set(before)

    assert asyncio.run(scenario()) == ("", set())


def test_request_that_the_target_had_goes_to_the_old_version_though_its_engine_is_gone():
    """Guards against a retry that exposes a request twice, at another engine of the target."""

    async def scenario():
        fleet = Fleet(1, good)
        fleet.order()
        fleet.run(5.0)
        gateway = fleet.gateways["gw-0"]
        rollout = gateway.rollouts.services["s"]
        call = plain_call()
        call.takes_target = True
        views = gateway.state.pool("s").views
        name = sorted(rollout.engines)[0]
        gateway.rollouts.begin(call, cast(Any, SimpleNamespace(view=views[name])))
        call.tried.add(name)
        rollout.engines -= {name}
        return allowed(gateway, call, fleet.now)

    def allowed(gateway, call, now):
        views = gateway.state.pool("s").views.values()
        choices = gateway.rollouts.choices(call, now)
        return [{v.endpoint.software for v in views if allows(v)} for allows in choices]

    assert asyncio.run(scenario()) == [{"v1"}]


def test_end_of_a_rollout_prevails_over_a_step_of_the_same_number():
    """The step was written in an era that a copy has replaced, and its gateway was cut off."""

    async def scenario():
        fleet = Fleet(1, good)
        fleet.order()
        fleet.run(8.0)
        rollouts = fleet.gateways["gw-2"].rollouts
        rollout = rollouts.services["s"]
        step = rollout.record
        assert step is not None
        assert not step.is_final
        end = replace(roll_back(step, "bad"), revision=step.revision)
        rollouts._adopt(rollout, end, "peer gw-1", fleet.now)
        assert rollout.record == end
        rollouts._adopt(rollout, step, "peer gw-3", fleet.now)
        return rollout.record == end

    assert asyncio.run(scenario())


def test_version_that_was_replaced_runs_again_while_the_others_drain():
    """A release by the platform goes back to it: engines that drain take no new request."""

    async def scenario():
        fleet = Fleet(1, good)
        fleet.order()
        fleet.run(13.0)
        assert fleet.stored().state is RolloutState.SUCCEEDED
        before = allowed_versions(fleet, "gw-1")
        for number in range(12):
            fleet.list_engine(f"new-{number}", "v2", state="draining")
        return before, allowed_versions(fleet, "gw-1")

    before, after = asyncio.run(scenario())
    assert before == [{"v2"}]
    assert "v1" in after[0]


@pytest.mark.parametrize(("are_gone", "allowed"), [(True, {"v2"}), (False, {"v1"})])
def test_gateway_cut_off_in_the_last_step_uses_the_target_once_the_old_engines_are_gone(
    are_gone, allowed
):
    """It did not hear that the rollout succeeded, on which the old engines stopped."""

    async def scenario():
        fleet = Fleet(1, good)
        fleet.order()
        fleet.run(10.5)
        rollout = fleet.gateways["gw-2"].rollouts.services["s"]
        assert rollout.record is not None
        assert (rollout.is_running, rollout.record.step) == (True, Step.ALL)
        fleet.now += 3.0
        views = fleet.gateways["gw-2"].state.pool("s").views.values()
        for view in views:
            if view.endpoint.software == "v1" and are_gone:
                view.health.record_unreachable(fleet.now)
        rollout.update_engines(views, fleet.now)
        return allowed_versions(fleet, "gw-2")

    assert asyncio.run(scenario()) == [allowed]
