"""Fault run: real processes under load and seeded faults, every invariant checked afterwards.

Run ``python -m benchmarks.bench_faults --seed 1 --minutes 10``. It prints a table of the
invariants, the faults by kind and the time from an engine's crash to the next chunk; the last line
is JSON. The exit code is 1 if an invariant was violated or the run itself failed.
"""

import asyncio
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random

import click

from benchmarks.fault_checks import (
    INVARIANTS,
    Verdict,
    check_run,
    measure_recovery,
    percentile,
)
from benchmarks.fault_cluster import Cluster
from benchmarks.fault_history import make_events, name_unknown, read_audits
from benchmarks.fault_kinds import FaultRun
from benchmarks.fault_load import Load
from benchmarks.fault_schedule import Schedule
from benchmarks.fault_watch import Watcher
from teaselpath.history import ConfigAccepted, Event, History, encode_event
from teaselpath.results import Code

# Load without faults before the first round, so that caches and budgets are filled.
WARM_UP_S = 3.0
# All nodes have the last version by then, and the longest request has ended.
SETTLE_S = 16.0
# On top of the chosen minutes, for the start, the last round, open requests and the checks.
MARGIN_S = 600.0


async def run_faults(root: Path, seed: int, minutes: float, out: Path | None) -> int:
    """Run load and faults; returns the exit code."""
    cluster = Cluster(root)
    task = asyncio.current_task()
    assert task is not None
    # A run that is ended by a timeout of its caller stops its processes too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(minutes * 60 + MARGIN_S):
            await cluster.start()
            return await _run(cluster, seed, minutes, out)
    finally:
        await cluster.fleet.stop()


async def _run(cluster: Cluster, seed: int, minutes: float, out: Path | None) -> int:
    events: list[Event] = []
    load, watcher = Load(cluster, seed), Watcher(cluster, events)
    run = FaultRun(cluster, load, watcher, events, Random(f"faults/{seed}"))
    started = time.monotonic()
    events.append(ConfigAccepted(at=started, node="log", version=1))
    schedule = Schedule(run, started + minutes * 60)
    async with asyncio.TaskGroup() as group:
        watching = group.create_task(watcher.run())
        sending = group.create_task(load.run())
        await asyncio.sleep(WARM_UP_S)
        await schedule.run_rounds()
        await asyncio.sleep(SETTLE_S)
        load.stopping.set()
        await sending
        watching.cancel()
    elapsed_s = time.monotonic() - started
    audits = await read_audits(cluster)
    name_unknown(load.attempts, audits)
    history = History([*events, *make_events(load.attempts, audits)])
    if out is not None:
        await asyncio.to_thread(_write_history, out, history)
    verdict = check_run(run, audits, history, schedule.unclear)
    return _report(run, verdict, measure_recovery(run, audits), seed, elapsed_s)


def _write_history(path: Path, history: History) -> None:
    path.write_bytes(b"".join(encode_event(event) for event in history.events))


def _report(
    run: FaultRun, verdict: Verdict, recovery: dict[str, list[float]], seed: int, elapsed_s: float
) -> int:
    violated = Counter(invariant for invariant, _ in verdict.problems)
    click.echo(f"{'invariant':<12}{'checked':>9}{'violations':>12}  first counterexample")
    for name in INVARIANTS:
        first = verdict.first.get(name, "-")
        click.echo(f"{name:<12}{verdict.checked[name]:>9}{violated[name]:>12}  {first}")
    click.echo("\nfaults by kind")
    for kind, count in sorted(run.done.items()):
        click.echo(f"  {kind:<32}{count:>5}")
    outcomes = _outcomes(run)
    click.echo("\nattempts by kind and outcome")
    for name, count in sorted(outcomes.items()):
        click.echo(f"  {name:<44}{count:>6}")
    click.echo("\nfrom an engine's crash to the next chunk")
    figures = {}
    for name, values in recovery.items():
        figures[name] = {
            "count": len(values),
            "p50_ms": percentile(values, 0.5),
            "p95_ms": percentile(values, 0.95),
        }
        click.echo(f"  {name:<12}{figures[name]}")
    result = {
        "seed": seed,
        "elapsed_s": round(elapsed_s, 1),
        "faults": sum(run.done.values()),
        "attempts": len(run.load.attempts),
        "served": sum(a.is_served for a in run.load.attempts),
        "checked": verdict.checked,
        "violations": dict(violated),
        "faults_by_kind": dict(run.done),
        "outcomes": dict(outcomes),
        "recovery": figures,
    }
    click.echo(json.dumps(result))
    return 1 if verdict.problems else 0


def _outcomes(run: FaultRun) -> Counter[str]:
    return Counter(f"{a.kind} {Code(a.code).name} {a.ran}" for a in run.load.attempts)


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the load and the faults.")
@click.option("--minutes", default=1.0, show_default=True, help="Time in which faults begin.")
@click.option("--root", type=Path, help="Keep settings and logs of all processes here.")
@click.option("--history", type=Path, help="Write the history as JSON lines to this file.")
def main(seed: int, minutes: float, root: Path | None, history: Path | None) -> None:
    """Run a small fleet under load and faults and check every invariant."""
    try:
        if root is not None:
            sys.exit(asyncio.run(run_faults(root, seed, minutes, history)))
        with tempfile.TemporaryDirectory(prefix="teaselpath-faults-") as folder:
            sys.exit(asyncio.run(run_faults(Path(folder), seed, minutes, history)))
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(130)


if __name__ == "__main__":
    main()
