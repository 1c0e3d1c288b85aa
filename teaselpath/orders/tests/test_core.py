"""Tests of the sequence of orders to one engine."""

from typing import Any

from teaselpath.orders import (
    LEASE_GRACE_PERIOD_S,
    LEASE_S,
    DesiredState,
    EngineReported,
    LoadRecord,
    Order,
    OrderCore,
    OrderDone,
    OrderFailed,
    SendOrder,
)
from teaselpath.wire import Append

V1 = Order("e", "load_weights", "m", "v1")
V2 = Order("e", "load_weights", "m", "v2")
ROLE = Order("e", "set_role", role="prefill")


class Bench:
    """A log and the agents of one engine; appends take effect immediately."""

    def __init__(self) -> None:
        self.log: list[tuple[float, bytes]] = []
        self.sent: list[tuple[str, SendOrder]] = []

    def agent(self, sender: str, *desired: Order) -> OrderCore:
        core = OrderCore("e", sender)
        core.handle(DesiredState(desired), 0.0)
        return core

    def feed(self, core: OrderCore, event: Any, now: float) -> None:
        """Pass an event, or None for a tick, to a core and apply the actions."""
        for action in core.handle(event, now) if event else core.tick(now):
            if isinstance(action, Append):
                self.log.append((now, action.data))
            else:
                self.sent.append((core.sender, action))

    def read_log(self, core: OrderCore, now: float) -> None:
        self.feed(core, None, now)
        while True:
            offset = core.ledger.last_offset + 1
            if offset >= len(self.log):
                return
            appended_at, data = self.log[offset]
            self.feed(core, LoadRecord(offset, (now - appended_at) * 1e3, data), now)


def append_turn_and_claim(core: OrderCore) -> Append:
    [turn] = core.handle(engine("v1"), 1.0)
    assert isinstance(turn, Append)
    [claim] = core.handle(LoadRecord(0, 0.0, turn.data), 1.0)
    assert isinstance(claim, Append)
    return claim


def engine(version: str, role: str = "") -> EngineReported:
    return EngineReported("1", frozenset({("m", version)}), role=role)


def test_rollout_and_rollback_send_one_order_each() -> None:
    """Guards against repeated loads, and against a rollback that reuses an old fencing number."""
    bench = Bench()
    core = bench.agent("p", V2)
    bench.feed(core, engine("v1"), 0.0)
    bench.read_log(core, 1.0)
    bench.read_log(core, 2.0)
    bench.feed(core, engine("v2"), 3.0)
    bench.feed(core, OrderDone(bench.sent[0][1].fence), 3.0)
    bench.feed(core, DesiredState((V1,)), 4.0)
    bench.read_log(core, 5.0)
    assert [order.order for _, order in bench.sent] == [V2, V1]
    assert bench.sent[0][1].fence < bench.sent[1][1].fence


def test_desired_state_that_changes_before_the_grant_is_not_sent() -> None:
    """Guards against loading weights that a rollback has just replaced."""
    bench = Bench()
    core = bench.agent("p", V2)
    claim = append_turn_and_claim(core)
    core.handle(DesiredState((V1,)), 1.0)
    [release] = core.handle(LoadRecord(1, 0.0, claim.data), 1.0)
    assert isinstance(release, Append)
    assert b"release" in release.data


def test_restarted_agent_waits_for_the_order_of_its_predecessor() -> None:
    """Guards against two orders in flight to an engine that ignores fencing numbers."""
    bench = Bench()
    old, new = bench.agent("p1", V2), bench.agent("p2", V2)
    bench.feed(old, engine("v1"), 0.0)
    bench.read_log(old, 1.0)
    bench.feed(new, engine("v1"), 2.0)
    bench.read_log(new, 2.0)
    assert [sender for sender, _ in bench.sent] == ["p1"]
    bench.read_log(new, 2.0 + LEASE_S + LEASE_GRACE_PERIOD_S)
    assert [sender for sender, _ in bench.sent] == ["p1", "p2"]
    bench.read_log(old, 3.0 + LEASE_S + LEASE_GRACE_PERIOD_S)
    assert old.is_superseded
    assert len(bench.sent) == 2


def test_restarted_agent_does_not_resend_satisfied_orders() -> None:
    """Guards against loading the same weights again after a restart."""
    bench = Bench()
    core = bench.agent("p", V2, ROLE)
    bench.feed(core, engine("v2", "prefill"), 0.0)
    bench.read_log(core, 1.0)
    assert bench.sent == []
    assert bench.log == []


def test_refusal_by_the_weight_store_delays_the_retry_and_frees_the_slot() -> None:
    """Guards against a refused load that occupies one of the three load slots."""
    bench = Bench()
    core = bench.agent("p", V2)
    bench.feed(core, engine("v1"), 0.0)
    bench.read_log(core, 1.0)
    bench.feed(core, OrderFailed(bench.sent[0][1].fence, retry_after_s=8.0), 2.0)
    bench.read_log(core, 9.0)
    assert core.ledger.count_active_loads(9.0) == 0
    assert len(bench.sent) == 1
    bench.read_log(core, 10.1)
    assert len(bench.sent) == 2


def test_lost_append_replies_lead_to_one_order() -> None:
    """Guards against granting a claim twice after a retried append."""
    bench = Bench()
    core = bench.agent("p", ROLE)
    claim = append_turn_and_claim(core)
    assert core.tick(2.0) == []
    assert core.tick(5.0) == [claim]
    [order] = core.handle(LoadRecord(1, 0.0, claim.data), 5.0)
    assert core.handle(LoadRecord(2, 0.0, claim.data), 5.0) == []
    assert isinstance(order, SendOrder)
