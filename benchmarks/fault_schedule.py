"""Seeded order of the faults: rounds of one to three at a time."""

import asyncio
import time
from functools import partial

import click

from benchmarks import fault_kinds as kinds
from benchmarks.fault_kinds import Fault, FaultRun

GAP_S = 0.4
# Longer than any fault with its restart; a round that takes longer is an error of the run.
ROUND_TIMEOUT_S = 120.0
ROLLING_TIMEOUT_S = 400.0
# Weights of the groups of a round.
GROUPS = {"cutting": 6, "planned": 4}

# Faults that may cut requests. They never run in a round with a planned stop, so that a cut
# request can be told to be the planned stop's fault.
CUTTING: list[tuple[str, Fault, int]] = [
    ("entry", kinds.kill, 2),
    ("engine agent", kinds.kill, 2),
    ("service agent", kinds.kill, 2),
    ("entry", kinds.pause, 2),
    ("engine agent", kinds.pause, 1),
    ("service agent", kinds.pause, 2),
    ("", kinds.crash_engine, 4),
    ("", kinds.freeze_engine, 2),
    ("", kinds.die_mid_stream, 3),
    ("", kinds.break_streams, 3),
    ("", kinds.crash_service, 3),
]
CALM: list[tuple[str, Fault, int]] = [
    ("", kinds.spoil_events, 2),
    ("", kinds.log_outage, 3),
    ("", kinds.log_slow, 2),
    ("", kinds.log_replies_lost, 3),
    ("", kinds.hosts_lag, 1),
    ("", kinds.withdraw_key, 3),
    ("", kinds.change_rates, 2),
    ("", kinds.change_weights, 2),
    ("", kinds.race_publishers, 2),
]
PLANNED: list[tuple[str, Fault, int]] = [
    ("entry", kinds.stop, 4),
    ("engine agent", kinds.stop, 3),
    ("service agent", kinds.stop, 3),
    ("engine agent", kinds.leave, 1),
]


class Schedule:
    """Runs rounds of faults until the deadline.

    :param deadline: instant at which no further round starts.
    """

    def __init__(self, run: FaultRun, deadline: float) -> None:
        self.run = run
        self.deadline = deadline
        self.rounds = 0
        self.cutting_until = 0.0
        # Times in which refusals for want of an endpoint or of a lease are to be expected.
        self.unclear: list[tuple[float, float]] = []

    async def run_rounds(self) -> None:
        """Run rounds; one rolling restart is in the middle of the time."""
        started = time.monotonic()
        rolling_at = (started + self.deadline) / 2
        while time.monotonic() < self.deadline:
            if time.monotonic() > rolling_at:
                rolling_at = float("inf")
                await self._round([("", kinds.rolling_restart)], True, ROLLING_TIMEOUT_S)
                continue
            is_planned = self.run.random.choices([False, True], list(GROUPS.values()))[0]
            await self._round(self._choose(is_planned), is_planned, ROUND_TIMEOUT_S)

    def _choose(self, is_planned: bool) -> list[tuple[str, Fault]]:
        random = self.run.random
        chosen = []
        for number in range(random.choice((1, 2, 2, 3, 3))):
            group = PLANNED if is_planned and number == 0 else CALM
            if not is_planned and random.random() < 0.65:
                group = CUTTING
            where, fault, _ = random.choices(group, [weight for *_, weight in group])[0]
            chosen.append((where, fault))
        return chosen

    async def _round(
        self, faults: list[tuple[str, Fault]], is_planned: bool, timeout_s: float
    ) -> None:
        run = self.run
        run.busy.clear()
        self.rounds += 1
        if is_planned:
            # Requests that an earlier fault may have cut have to end first.
            await run.load.wait_for_older(self.cutting_until)
        names = ", ".join(f"{fault.__name__} {where}".strip() for where, fault in faults)
        click.echo(f"{time.monotonic():.1f} round {self.rounds}: {names}", err=True)
        started = time.monotonic()
        async with asyncio.timeout(timeout_s), asyncio.TaskGroup() as group:
            for where, fault in faults:
                group.create_task(partial(fault, run, self._nodes(where))())
        if not is_planned:
            self.cutting_until = time.monotonic() + 1.0
        self.unclear.append((started, time.monotonic() + 3.0))
        await asyncio.sleep(GAP_S)

    def _nodes(self, where: str) -> list:
        cluster = self.run.cluster
        if where == "entry":
            return cluster.fleet.entries()
        return cluster.agents(where.removesuffix(" agent")) if where else []
