"""The load command: an open-loop load generator."""

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

from teaselpath.cli._load_client import CallOutcome, Verifier, send_call
from teaselpath.cli._load_plot import write_plot
from teaselpath.cli._load_profile import PlannedCall, Workload, check_profile
from teaselpath.cli._load_report import LoadReport

KEYS_VARIABLE = "TEASELPATH_LOAD_KEYS"
# With more calls in flight the tool itself is overloaded; further calls count as failed.
MAX_IN_FLIGHT = 20_000


@dataclass(slots=True)
class LoadOptions:
    """Options of a load run.

    :param urls: base URLs of the entries, used round-robin.
    :param duration_s: time during which calls are sent.
    :param grace_s: time after ``duration_s`` to wait for calls in flight.
    :param timeout_s: timeout of one call.
    :param keys: API key by workspace.
    """

    urls: Sequence[str]
    duration_s: float
    grace_s: float
    timeout_s: float
    keys: dict[str, str]
    verify: Verifier | None = None


class LoadRun:
    """One load run: sends each call at its intended time, regardless of earlier calls."""

    def __init__(self, workload: Workload, options: LoadOptions) -> None:
        self.workload = workload
        self.options = options
        self.urls = cycle(options.urls)
        self.tasks: set[asyncio.Task[None]] = set()
        self.stop = asyncio.Event()

    async def run(self) -> dict[str, Any]:
        """Send all calls and return the results."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, self.stop.set)
        connector = TCPConnector(limit=0, keepalive_timeout=60)
        async with ClientSession(connector=connector) as session:
            self.session = session
            self.started_at = monotonic()
            self.report = LoadReport(self.started_at)
            progress = asyncio.create_task(self._report_progress())
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
                # Yields to the calls in flight when the tool is behind its schedule.
                await asyncio.sleep(0)
            if self.stop.is_set():
                return
            task = asyncio.create_task(self._send(call))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _send(self, call: PlannedCall) -> None:
        late_s = monotonic() - self.started_at - call.at_s
        self.report.record_sent(call.workspace, call.request_class, late_s)
        outcome = CallOutcome(call)
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

    async def _report_progress(self) -> None:
        due_at = self.started_at
        while True:
            due_at += 1.0
            await asyncio.sleep(max(due_at - monotonic(), 0.0))
            click.echo(self.report.end_second(), err=True)


def _read_keys(path: Path | None) -> dict[str, str]:
    """Return the key of each workspace from a JSON file or the environment variable."""
    source = str(path) if path else KEYS_VARIABLE
    data = path.read_bytes() if path else os.environ.get(KEYS_VARIABLE, "{}").encode()
    try:
        return msgspec.json.decode(data, type=dict[str, str])
    except msgspec.DecodeError as error:
        raise click.ClickException(f"{source}: {error}") from error


def _load_verifier(name: str) -> Verifier | None:
    """Import the function given as ``module:function``; None for an empty name."""
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
@click.option(
    "--duration", default=10.0, show_default=True, help="Seconds during which calls are sent."
)
@click.option("--rate", default=0.0, help="Calls per second in total; 0: as in the profile.")
@click.option(
    "--seed", default=1, show_default=True, help="Seed of arrival times and random choices."
)
@click.option(
    "--grace", default=30.0, show_default=True, help="Seconds to wait for calls in flight."
)
@click.option("--timeout", default=120.0, show_default=True, help="Timeout of one call in seconds.")
@click.option(
    "--keys",
    type=click.Path(exists=True, path_type=Path),
    help=f"JSON file with the key of each workspace; default: the JSON in {KEYS_VARIABLE}.",
)
@click.option(
    "--verify", default="", help="Function that checks answers, such as standins:verify_call."
)
@click.option("--out", type=click.Path(path_type=Path), help="Write the results to this JSON file.")
@click.option(
    "--plot", type=click.Path(path_type=Path), help="Write a plot to this file, such as out.png."
)
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
    """Send calls to the entries at URLS in an open loop and report the latencies.

    The exit status is 1 if an answer was wrong or incomplete.
    """
    checked = check_profile(profile.read_bytes())
    if isinstance(checked, str):
        raise click.ClickException(f"{profile}: {checked}")
    profile_rate = sum(w.rate for w in checked.workspaces)
    scale = rate / profile_rate if rate and profile_rate else 1.0
    base_urls = [url.rstrip("/") for url in urls]
    options = LoadOptions(
        base_urls, duration, grace, timeout, _read_keys(keys), _load_verifier(verify)
    )
    results = asyncio.run(_run(Workload(checked, seed, scale), options))
    results = {
        "profile": checked.name,
        "seed": seed,
        "rate": profile_rate * scale,
        "duration_s": duration,
        "verified": bool(verify),
        **results,
    }
    _write_results(results, out, plot)
    counts = results["all"]["results"]
    if counts["wrong"] or counts["incomplete"]:
        raise SystemExit(1)


async def _run(workload: Workload, options: LoadOptions) -> dict[str, Any]:
    return await LoadRun(workload, options).run()


def _write_results(results: dict[str, Any], out: Path | None, plot: Path | None) -> None:
    if out:
        out.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=2))
    if plot:
        write_plot(results, plot)
    total = results["all"]
    first, call_time = total["first_token"], total["total"]
    counts = "  ".join(f"{name} {count}" for name, count in total["results"].items())
    click.echo(f"sent {total['sent']}  {counts}")
    click.echo(f"first token ms: p50 {first['p50']} p95 {first['p95']} p99 {first['p99']}")
    click.echo(f"total ms: p50 {call_time['p50']} p95 {call_time['p95']} p99 {call_time['p99']}")
    if total["sent"]:
        worst = results["worst_workspace"]
        slowest, lowest = worst["first_token_p99"], worst["ok_fraction"]
        click.echo(f"slowest first token p99: {slowest['workspace']} {slowest['ms']} ms")
        click.echo(
            f"lowest fraction of correct answers: {lowest['workspace']} {lowest['fraction']:.4f}"
        )
    click.echo(f"prefix hit rate: {total['prefix_hit_rate']:.3f}")
