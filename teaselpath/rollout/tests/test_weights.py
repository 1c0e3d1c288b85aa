"""Order schedule: concurrent loads, oldest weights first, lost replies, late reports, restarts."""

from teaselpath.fleet import EngineReport
from teaselpath.rollout import (
    EngineStatus,
    FetchReport,
    Loaded,
    LoadFailed,
    SendWeightsOrder,
    WeightsRollout,
)

MODEL = "m"


def engines(count, version=1):
    return [EngineStatus(f"e{i}", 1, {MODEL: version}, 0) for i in range(count)]


def report(version, *, orders=0, busy=False):
    return EngineReport(orders, busy, {MODEL: version})


def test_a_fifth_of_the_engines_loads_at_once_and_a_third_if_the_rollout_is_late():
    rollout = WeightsRollout()
    actions = rollout.plan(engines(9), {MODEL: 2}, 0.0)
    assert len(actions) == 2
    assert rollout.plan(engines(9), {MODEL: 2}, 0.01) == []
    assert len(rollout.plan(engines(9), {MODEL: 2}, 0.02, is_urgent=True)) == 1


def test_engine_with_the_oldest_weights_goes_first():
    rollout = WeightsRollout()
    fleet = [*engines(3, version=3), EngineStatus("z", 1, {MODEL: 1}, 9)]
    assert rollout.plan(fleet, {MODEL: 4}, 0.0)[0] == FetchReport("z")


def test_order_states_the_number_of_orders_before_it():
    rollout = WeightsRollout()
    rollout.plan(engines(1), {MODEL: 2}, 0.0)
    actions = rollout.handle_report("e0", report(1, orders=7), {MODEL: 2}, 0.1)
    assert actions == [SendWeightsOrder("e0", MODEL, 2, 7)]


def test_superseded_version_is_skipped():
    rollout = WeightsRollout()
    rollout.plan(engines(1), {MODEL: 2}, 0.0)
    actions = rollout.handle_report("e0", report(1), {MODEL: 3}, 0.1)
    assert actions == [SendWeightsOrder("e0", MODEL, 3, 0)]


def test_order_without_reply_is_resent_only_if_the_engine_did_not_accept_it():
    rollout = WeightsRollout()
    rollout.plan(engines(1), {MODEL: 2}, 0.0)
    rollout.handle_report("e0", report(1), {MODEL: 2}, 0.1)
    rollout.handle_order_reply("e0", None, 0.7)
    assert rollout.handle_report("e0", report(1, busy=True, orders=1), {MODEL: 2}, 1.2) == []
    assert rollout.handle_report("e0", report(1), {MODEL: 2}, 1.3) == [
        SendWeightsOrder("e0", MODEL, 2, 0)
    ]


def test_report_from_before_the_order_causes_no_second_order():
    rollout = WeightsRollout()
    rollout.plan(engines(1), {MODEL: 2}, 0.0)
    rollout.handle_report("e0", report(1), {MODEL: 2}, 0.1)
    rollout.handle_order_reply("e0", "accepted", 0.15)
    assert rollout.handle_report("e0", report(1), {MODEL: 2}, 0.3) == []


def test_next_engine_starts_when_another_has_loaded():
    rollout = WeightsRollout()
    rollout.plan(engines(2), {MODEL: 2}, 0.0)
    rollout.handle_report("e0", report(1), {MODEL: 2}, 0.1)
    rollout.handle_order_reply("e0", "accepted", 0.2)
    loaded = rollout.handle_report("e0", report(2, orders=1), {MODEL: 2}, 1.2)
    assert loaded == [Loaded("e0", MODEL, 2, 1.2)]
    fleet = [EngineStatus("e0", 1, {MODEL: 2}, 0), engines(2)[1]]
    assert rollout.plan(fleet, {MODEL: 2}, 1.3) == [FetchReport("e1")]


def test_unreachable_engine_does_not_delay_the_others():
    rollout = WeightsRollout()
    first = rollout.plan(engines(2), {MODEL: 2}, 0.0)
    assert first == [FetchReport("e0")]
    assert rollout.handle_report_failure("e0", 0.6) == [LoadFailed("e0", "unreachable")]
    assert rollout.plan(engines(2), {MODEL: 2}, 0.7) == [FetchReport("e1")]


def test_restarted_engine_is_scheduled_again():
    rollout = WeightsRollout()
    rollout.plan(engines(1), {MODEL: 2}, 0.0)
    restarted = [EngineStatus("e0", 2, {MODEL: 1}, 0)]
    assert rollout.plan(restarted, {MODEL: 2}, 0.1) == [FetchReport("e0")]


def test_engines_that_do_not_answer_take_no_place_again_before_the_others():
    """Guards against silent engines that hold all places, idle as they are."""
    rollout, loaded, now = WeightsRollout(), set(), 0.0
    silent = {f"e{number}" for number in range(6)}
    fleet = engines(9)
    for _ in range(12):
        waiting = [engine for engine in fleet if engine.key not in loaded]
        for action in rollout.plan(waiting, {MODEL: 2}, now):
            assert isinstance(action, FetchReport)
            if action.key in silent:
                rollout.handle_report_failure(action.key, now)
            else:
                rollout.handle_report(action.key, report(2), {MODEL: 2}, now)
                loaded.add(action.key)
        now += 0.7
    assert loaded == {"e6", "e7", "e8"}
