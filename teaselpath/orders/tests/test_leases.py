"""Stateful tests of load leases with concurrent agents on one log."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.orders import (
    LEASE_S,
    MAX_LOADS,
    DesiredState,
    EngineReported,
    LoadLedger,
    LoadRecord,
    Order,
    OrderCore,
    OrderDone,
    SendOrder,
    _core,
    _ledger,
)
from teaselpath.wire import Append

ENGINES = [f"e{n}" for n in range(6)]
ORDERS = tuple(Order(engine, "load_weights", "m", "v2") for engine in ENGINES)
# Steps: engine, action, seconds that pass before the action.
STEPS = st.lists(
    st.tuples(
        st.integers(0, len(ENGINES) - 1),
        st.sampled_from(["read", "append", "flush"] * 4 + ["duplicate", "done", "done", "restart"]),
        st.sampled_from([0.0] * 12 + [0.1, 0.1, 0.7, 4.0, 11.0, 35.0]),
    ),
    min_size=60,
    max_size=120,
)


class Fleet:
    """Agents that are paused between steps, and a log with delayed or duplicated appends."""

    def __init__(self) -> None:
        self.now = 0.0
        self.log: list[tuple[float, bytes]] = []
        self.starts = [0] * len(ENGINES)
        self.read = [0] * len(ENGINES)
        self.outbox: list[list[Append]] = [[] for _ in ENGINES]
        self.orders: list[SendOrder | None] = [None] * len(ENGINES)
        self.grants = 0
        self.fences: dict[int, int] = dict.fromkeys(range(len(ENGINES)), -1)
        self.cores = [self._start(n) for n in range(len(ENGINES))]

    def _start(self, engine: int) -> OrderCore:
        core = OrderCore(ENGINES[engine], f"p{engine}-{self.starts[engine]}")
        core.handle(DesiredState(ORDERS), self.now)
        self._act(engine, core.handle(EngineReported("1"), self.now))
        return core

    def step(self, engine: int, step_name: str, elapsed_s: float) -> None:
        self.now += elapsed_s
        match step_name:
            case "read":
                self._read(engine)
            case "append" if self.outbox[engine]:
                self._append(self.outbox[engine].pop(0))
            case "flush":
                while self.outbox[engine]:
                    self._append(self.outbox[engine].pop(0))
                self._read(engine)
            case "duplicate" if self.outbox[engine]:
                self._append(self.outbox[engine][0])
            case "done" if (order := self.orders[engine]) is not None:
                self.orders[engine] = None
                self._act(engine, self.cores[engine].handle(OrderDone(order.fence), self.now))
            case "restart":
                self.starts[engine] += 1
                self.read[engine], self.orders[engine] = 0, None
                self.cores[engine] = self._start(engine)
        self.check()

    def _append(self, action: Append) -> None:
        self.log.append((self.now, action.data))

    def _read(self, engine: int) -> None:
        core = self.cores[engine]
        for offset in range(self.read[engine], len(self.log)):
            appended_at, data = self.log[offset]
            record = LoadRecord(offset, (self.now - appended_at) * 1e3, data)
            self._act(engine, core.handle(record, self.now))
        self.read[engine] = len(self.log)
        self._act(engine, core.tick(self.now))

    def _act(self, engine: int, actions: list) -> None:
        for action in actions:
            if isinstance(action, Append):
                self.outbox[engine].append(action)
                continue
            assert self.now <= action.not_after, "a load started after its lease ended"
            assert action.fence > self.fences[engine], "a fencing number decreased"
            self.grants += 1
            self.fences[engine], self.orders[engine] = action.fence, action

    def check(self) -> None:
        held = [order for order in self.orders if order and self.now < order.not_after]
        assert len(held) <= MAX_LOADS, "more loads than allowed"


def run_fleet(steps: list[tuple[int, str, float]]) -> Fleet:
    fleet = Fleet()
    for step in steps:
        fleet.step(*step)
    return fleet


@given(STEPS)
def test_leases_are_bounded_under_races_pauses_and_repeated_appends(steps) -> None:
    """Guards against a fourth load, a load after its lease, and decreasing fencing numbers."""
    run_fleet(steps)


def racing_claims(engines: range) -> list[tuple[int, str, float]]:
    """Return steps in which all engines become senders, claim on the same base, and read."""
    rounds: list[tuple[int, str, float]] = [(n, "read", 2.0 * (n == 0)) for n in engines]
    for _ in range(2):
        rounds += [(engine, "append", 0.0) for engine in engines]
        rounds += [(engine, "read", 0.0) for engine in engines]
    return rounds


def test_racing_claims_are_granted_up_to_the_limit() -> None:
    """Guards against a rule that grants too little, which would satisfy the upper bound."""
    fleet = run_fleet(racing_claims(range(6)))
    assert sum(order is not None for order in fleet.orders) == MAX_LOADS
    waits = {core.not_before for core in fleet.cores if core.rejections}
    assert len(waits) == len(ENGINES) - MAX_LOADS, "rejected engines retry at the same time"


def test_check_finds_a_window_that_is_not_counted(monkeypatch) -> None:
    """Checks that the bound is violated by a known bug: claims after the base are not counted."""
    monkeypatch.setattr(_ledger.LoadLedger, "_is_granted", lambda self, claim: claim.active < 3)
    with pytest.raises(AssertionError, match="more loads"):
        run_fleet(racing_claims(range(6)))


def test_check_finds_a_holder_that_ignores_its_deadline(monkeypatch) -> None:
    """Checks that the test detects a known bug: a paused holder starts its load too late."""
    steps = racing_claims(range(1))
    steps[-1] = (0, "read", LEASE_S + 1)
    run_fleet(steps)
    monkeypatch.setattr(_core, "MIN_REMAINING_LEASE_S", -1e9)
    with pytest.raises(AssertionError, match="after its lease"):
        run_fleet(steps)


def test_check_finds_a_grace_period_that_is_too_short(monkeypatch) -> None:
    """Checks that the bound is violated by a known bug: readers end a lease before its holder."""
    steps = racing_claims(range(3))
    late = [(n, "read", 3.0) for n in (3, 4, 5)] + [(n, "append", 0.0) for n in (3, 4, 5)]
    steps += late + late + [(n, "read", 0.0) for n in (3, 4, 5)]
    run_fleet(steps)
    monkeypatch.setattr(_ledger, "LEASE_GRACE_PERIOD_S", -LEASE_S)
    with pytest.raises(AssertionError, match="more loads"):
        run_fleet(steps)


@given(STEPS, st.integers(0, 40))
def test_readers_agree_wherever_they_start(steps, start) -> None:
    """Guards against a reader of a trimmed log that grants a claim which others reject."""
    log = run_fleet(steps).log
    whole, partial = LoadLedger(), LoadLedger()
    for offset, (_, data) in enumerate(log):
        record = LoadRecord(offset, 0.0, data)
        whole_result = whole.handle(record, 0.0)
        if offset >= start:
            partial_result = partial.handle(record, 0.0)
            assert (
                partial_result is None
                or partial_result == whole_result
                or type(partial_result).__name__ == "Turn"
            )
            assert partial.leases.keys() >= {
                key for key, lease in whole.leases.items() if lease.offset >= start
            }
