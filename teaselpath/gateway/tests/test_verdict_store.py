"""Verdicts in a store that returns from a copy: who writes again what it has lost, and when."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import pytest

from teaselpath.fleet import Position, RecordPage, StoredRecord
from teaselpath.gateway import _verdict_store
from teaselpath.gateway._verdict_store import REWRITE_DELAYS_S, VerdictSynchronizer
from teaselpath.quarantine import Quarantine, Verdict

DEADLY, OTHER = "m/dead", "m/other"
PARTS = frozenset({DEADLY, OTHER})
AGE_S = 10.0


class KeyedStore:
    """Store of one topic; ``records`` may be replaced by those of a copy."""

    def __init__(self) -> None:
        self.records: dict[str, bytes] = {}
        self.appends = 0

    async def poll(self, topic, start, wait_s) -> RecordPage:
        """Return a listing."""
        position = Position(1, 0)
        records = [StoredRecord(key, value, position) for key, value in self.records.items()]
        return RecordPage(records, position, is_listing=True)

    async def append(self, topic, key, value, end=None) -> Position:
        """Store a record."""
        self.appends += 1
        self.records[key] = value
        return Position(1, self.appends)


class Fleet:
    """Gateways that share a store and a clock; each reads the store when told to."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.store = KeyedStore()
        self.gateways = [self.start(f"gw-{n}") for n in range(3)]

    def time(self) -> float:
        """Return the time of the clock."""
        return self.now

    def start(self, host: str) -> VerdictSynchronizer:
        """Start a gateway that knows nothing."""
        started = VerdictSynchronizer(Quarantine(host), cast(Any, self.store), lambda *_: None)
        started.loop = cast(Any, self)
        return started

    async def issue(self) -> Verdict:
        """Issue a verdict at the first gateway, and let all know of it."""
        first = self.gateways[0]
        verdict = first.quarantine.table.issue(PARTS, 3, "gw-0", self.now)
        first.write(verdict)
        self.now += AGE_S
        await self.read(0, 1, 2)
        return verdict

    def lift(self, verdict: Verdict) -> None:
        """Lift a verdict at all gateways, on behalf of an operator at the first."""
        for gateway in self.gateways:
            gateway.quarantine.table.lift(verdict.verdict_id, self.now)
        self.gateways[0].write(verdict, is_lifted=True)

    async def read(self, *numbers: int) -> None:
        """Let gateways read the store."""
        for number in numbers:
            await self.gateways[number].synchronize(self.now)

    async def is_in_force_after_restart(self) -> bool:
        """Return whether a gateway that knows the store only refuses the parts."""
        started = self.start("new")
        await started.synchronize(self.now)
        return started.quarantine.table.find(PARTS, self.now) is not None


@pytest.fixture
def run(monkeypatch) -> Callable[[Callable[[Fleet], Any]], Any]:
    """Return a function that runs a scenario with a fleet."""

    def run_scenario(scenario):
        async def body():
            fleet = Fleet()
            monkeypatch.setattr(_verdict_store, "time", fleet)
            return await scenario(fleet)

        return asyncio.run(body())

    return run_scenario


def test_issuer_writes_a_lost_verdict_at_once(run):
    async def scenario(fleet):
        await fleet.issue()
        fleet.store.records = {}
        await fleet.read(1, 0, 2)
        return fleet.store.appends, await fleet.is_in_force_after_restart()

    assert run(scenario) == (2, True)


def test_others_write_a_lost_verdict_of_a_gateway_that_is_gone(run):
    async def scenario(fleet):
        await fleet.issue()
        fleet.store.records = {}
        await fleet.read(1, 2)
        at_once = fleet.store.appends
        fleet.now += REWRITE_DELAYS_S[1]
        await fleet.read(1, 2)
        return at_once, fleet.store.appends, await fleet.is_in_force_after_restart()

    assert run(scenario) == (1, 2, True)


def test_lost_lifting_is_written_again(run):
    """The copy has the verdict, and the gateways have forgotten it."""

    async def scenario(fleet):
        verdict = await fleet.issue()
        copied = dict(fleet.store.records)
        fleet.lift(verdict)
        await fleet.read(0, 1, 2)
        fleet.store.records = dict(copied)
        await fleet.read(0)
        by_lifter = await fleet.is_in_force_after_restart()
        fleet.store.records = dict(copied)
        await fleet.read(1, 2)
        fleet.now += REWRITE_DELAYS_S[1]
        await fleet.read(1, 2)
        return by_lifter, await fleet.is_in_force_after_restart()

    assert run(scenario) == (False, False)


def test_part_that_was_cleared_stays_cleared(run):
    async def scenario(fleet):
        verdict = await fleet.issue()
        copied = dict(fleet.store.records)
        first = fleet.gateways[0]
        first.quarantine.table.clear_part(OTHER, fleet.now)
        first.write(first.quarantine.table.verdicts[verdict.verdict_id])
        await fleet.read(0)
        fleet.store.records = copied
        await fleet.read(0)
        await fleet.read(1)
        verdicts = fleet.gateways[1].quarantine.table.verdicts
        return verdicts[verdict.verdict_id].parts

    assert run(scenario) == {DEADLY}


def test_lifting_in_the_copy_leaves_a_later_verdict(run):
    async def scenario(fleet):
        verdict = await fleet.issue()
        fleet.lift(verdict)
        await fleet.read(0, 1, 2)
        copied = dict(fleet.store.records)
        fleet.now += 100.0
        await fleet.issue()
        fleet.store.records = copied
        await fleet.read(1, 0)
        return await fleet.is_in_force_after_restart()

    assert run(scenario)


def test_nothing_is_written_while_the_store_lacks_nothing(run):
    async def scenario(fleet):
        verdict = await fleet.issue()
        fleet.now += AGE_S
        await fleet.read(0, 1, 2)
        fleet.lift(verdict)
        for _ in range(3):
            fleet.now += AGE_S
            await fleet.read(0, 1, 2)
        return fleet.store.appends

    assert run(scenario) == 2


def test_first_record_of_a_verdict_is_not_logged_as_a_lost_one(run, monkeypatch):
    lines = []
    monkeypatch.setattr(_verdict_store, "log_message", lambda name, **_: lines.append(name))
    run(Fleet.issue)
    assert lines == []


def test_snapshot_of_a_peer_writes_nothing_at_once(run):
    async def scenario(fleet):
        issuer = fleet.gateways[0].quarantine
        verdict = issuer.table.issue(PARTS, 3, "gw-0", fleet.now)
        fleet.gateways[1].quarantine.apply(issuer.snapshot(fleet.now), fleet.now)
        await fleet.read(1)
        return verdict.verdict_id in fleet.store.records

    assert not run(scenario)
