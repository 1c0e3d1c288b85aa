"""Open-loop load tool."""

import asyncio
import os
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from importlib import import_module
from itertools import cycle
from pathlib import Path
from time import monotonic
from typing import Any

import click
import msgspec
from aiohttp import ClientSession, TCPConnector

from teaselpath.cli._load_client import Outcome, Verifier, send_call
from teaselpath.cli._load_plot import write_plot
from teaselpath.cli._load_profile import PlannedCall, Workload, check_profile
from teaselpath.cli._load_report import LoadReport

KEYS_VARIABLE = "TEASELPATH_LOAD_KEYS"
# Beyond this many calls at once the tool itself is overloaded; later calls count as failed.
MAX_IN_FLIGHT = 20_000


@dataclass(slots=True)
class LoadOptions:
    """Options of a run.

    :param urls: base URLs of the entries, used in turn.
    :param duration_s: time in which calls are sent.
    :param grace_s: time after that in which answers may still come.
    :param timeout_s: limit of one call.
    :param keys: API key by workspace.
    """

    urls: Sequence[str]
    duration_s: float
    grace_s: float
    timeout_s: float
    keys: dict[str, str]
    verify: Verifier | None = None


class LoadRun:
    """One run: sends each call at its intended time, whatever became of those before it."""

    def __init__(self, workload: Workload, options: LoadOptions) -> None:
        self.workload = workload
        self.options = options
        self.urls = cycle(options.urls)
        self.tasks: set[asyncio.Task[None]] = set()
        self.stop = asyncio.Event()

    async def run(self) -> dict[str, Any]:
        """Send all calls and return the results."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, self.stop.set)
        connector = TCPConnector(limit=0, keepalive_timeout=60)
        async with ClientSession(connector=connector) as session:
            self.session = session
            self.started_at = monotonic()
            self.report = LoadReport(self.started_at)
            progress = asyncio.create_task(self._progress())
            stopping = asyncio.create_task(self.stop.wait())
            await self._send_all(stopping)
            stopping.cancel()
            if self.tasks:
                await asyncio.wait(self.tasks, timeout=self.options.grace_s)
            elapsed_s = monotonic() - self.started_at
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            progress.cancel()
            await asyncio.gather(progress, return_exceptions=True)
            click.echo(self.report.end_second(), err=True)
        return self.report.as_dict(elapsed_s)

    async def _send_all(self, stopping: asyncio.Task[Any]) -> None:
        for call in self.workload.calls(self.options.duration_s):
            delay_s = self.started_at + call.at_s - monotonic()
            if delay_s > 0:
                await asyncio.wait([stopping], timeout=delay_s)
            else:
                # Lets the calls under way go on when the tool is behind its schedule.
                await asyncio.sleep(0)
            if self.stop.is_set():
                return
            task = asyncio.create_task(self._send(call))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send(self, call: PlannedCall) -> None:
        late_s = monotonic() - self.started_at - call.at_s
        self.report.record_sent(call.workspace, call.request_class, late_s)
        outcome = Outcome(call)
        try:
            if self.report.in_flight > MAX_IN_FLIGHT:
                outcome.result, outcome.detail = "failed", "too many calls in flight"
            else:
                key = self.options.keys.get(call.workspace, "")
                url = next(self.urls)
                timeout_s, verify = self.options.timeout_s, self.options.verify
                outcome = await send_call(self.session, url, call, key, timeout_s, verify)
        finally:
            self.report.record_outcome(outcome)

    async def _progress(self) -> None:
        due = self.started_at
        while True:
            due += 1.0
            await asyncio.sleep(max(due - monotonic(), 0.0))
            click.echo(self.report.end_second(), err=True)


def _read_keys(path: Path | None) -> dict[str, str]:
    """Return the keys by workspace from a JSON file, or from the environment variable."""
    source = str(path) if path else KEYS_VARIABLE
    data = path.read_bytes() if path else os.environ.get(KEYS_VARIABLE, "{}").encode()
    try:
        return msgspec.json.decode(data, type=dict[str, str])
    except msgspec.DecodeError as error:
        raise click.ClickException(f"{source}: {error}") from error


def _load_verifier(name: str) -> Verifier | None:
    """Return the function that ``module:function`` names."""
    if not name:
        return None
    module, _, function = name.partition(":")
    try:
        return getattr(import_module(module), function)
    except (ImportError, AttributeError, ValueError) as error:
        raise click.BadParameter(f"{name}: {error}", param_hint="--verify") from error


@click.command("load")
@click.argument("urls", nargs=-1, required=True)
@click.option("--profile", type=click.Path(exists=True, path_type=Path), required=True)
@click.option("--duration", default=10.0, show_default=True, help="Seconds of sending.")
@click.option("--rate", default=0.0, help="Calls per second in all; 0: as in the profile.")
@click.option("--seed", default=1, show_default=True, help="Seed of arrivals and choices.")
@click.option("--grace", default=30.0, show_default=True, help="Seconds to wait for the last.")
@click.option("--timeout", default=120.0, show_default=True, help="Seconds for one call.")
@click.option(
    "--keys",
    type=click.Path(exists=True, path_type=Path),
    help=f"JSON file with the key of each workspace; without it, {KEYS_VARIABLE} has the JSON.",
)
@click.option("--verify", default="", help="Check of answers, such as standins:verify_call.")
@click.option("--out", type=click.Path(path_type=Path), help="File for the results as JSON.")
@click.option("--plot", type=click.Path(path_type=Path), help="File for a plot, such as out.png.")
def load(
    urls: tuple[str, ...],
    profile: Path,
    duration: float,
    rate: float,
    seed: int,
    grace: float,
    timeout: float,
    keys: Path | None,
    verify: str,
    out: Path | None,
    plot: Path | None,
) -> None:
    """Send calls to the entries at URLS, in an open loop, and report the latencies.

    The exit status is 1 if an answer was wrong or incomplete.
    """
    checked = check_profile(profile.read_bytes())
    if isinstance(checked, str):
        raise click.ClickException(f"{profile}: {checked}")
    profile_rate = sum(w.rate for w in checked.workspaces)
    scale = rate / profile_rate if rate and profile_rate else 1.0
    bases = [url.rstrip("/") for url in urls]
    options = LoadOptions(bases, duration, grace, timeout, _read_keys(keys), _load_verifier(verify))
    results = asyncio.run(_run(Workload(checked, seed, scale), options))
    results = {
        "profile": checked.name,
        "seed": seed,
        "rate": profile_rate * scale,
        "duration_s": duration,
        "verified": bool(verify),
        **results,
    }
    _write(results, out, plot)
    counts = results["all"]["results"]
    if counts["wrong"] or counts["incomplete"]:
        raise SystemExit(1)


async def _run(workload: Workload, options: LoadOptions) -> dict[str, Any]:
    return await LoadRun(workload, options).run()


def _write(results: dict[str, Any], out: Path | None, plot: Path | None) -> None:
    if out:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=2))
    if plot:
        write_plot(results, plot)
    total = results["all"]
    first, whole = total["first_token"], total["total"]
    counts = "  ".join(f"{name} {count}" for name, count in total["results"].items())
    click.echo(f"sent {total['sent']}  {counts}")
    click.echo(f"first token ms: p50 {first['p50']} p95 {first['p95']} p99 {first['p99']}")
    click.echo(f"total ms: p50 {whole['p50']} p95 {whole['p95']} p99 {whole['p99']}")
    if total["sent"]:
        worst = results["worst_workspace"]
        slowest, poorest = worst["first_token_p99"], worst["ok_fraction"]
        click.echo(f"slowest first token p99: {slowest['workspace']} {slowest['ms']} ms")
        click.echo(f"fewest right answers: {poorest['workspace']} {poorest['fraction']:.4f}")
    click.echo(f"prefix hit rate: {total['prefix_hit_rate']:.3f}")
