"""Demonstration: sends requests through a small fleet of real processes and checks the answers.

The fleet has two entries, and three engines and a service with an agent each; the engines, the
service and the platform are stand-ins. Run by ``make demo``. It prints a table and exits 0 only if
every answer was complete, in order and for the caller that sent the request, no booking was
executed twice, and only the overloaded workspace had refusals. With ``--keep`` the processes keep
running until Ctrl-C.
"""

import asyncio
import json
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from random import Random

import aiohttp
import click

from standins.fleet import Fleet, FleetPlan, make_key
from standins.testing import verify_answer
from teaselpath.bundle import (
    Bundle,
    EndpointSpec,
    KeySpec,
    ModelSpec,
    RequestClass,
    Route,
    Workspace,
)

MODEL = "model-a"
FILLER_TEXT = "Sponsored benches along the wadi are listed with their stone, place and donor. "
WORKSPACES = {
    "batinah-counter": (60_000.0, 400_000.0),
    "batinah-review": (60_000.0, 400_000.0),
    "shredding-drivers": (60_000.0, 400_000.0),
    "shredding-office": (60_000.0, 400_000.0),
    "shredding-archive": (4_000.0, 40_000.0),
}
OVERLOADED_WORKSPACE = "shredding-archive"
REQUESTS_PER_WORKSPACE = 20
# Wait before the first request: the token buckets of an entry are empty at start-up, because its
# previous process may have spent all of their tokens.
BUCKET_FILL_S = 8.0
MAX_TOKENS = 24


@dataclass(slots=True)
class WorkspaceResult:
    """Results of one workspace."""

    sent: int = 0
    served: int = 0
    failed_checks: list[str] = field(default_factory=list)
    refused: Counter = field(default_factory=Counter)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_token_s: list[float] = field(default_factory=list)


def make_bundle(fleet: Fleet, version: int = 1) -> Bundle:
    """Return the demo's bundle for the endpoints of a fleet."""
    engines = [node for node in fleet.nodes.values() if node.endpoint.startswith("engine")]
    services = [node for node in fleet.nodes.values() if node.endpoint.startswith("service")]
    return Bundle(
        version=version,
        parent=version - 1,
        change_id=f"demo-{version}",
        workspaces=[
            Workspace(
                id=name,
                rate=rate,
                burst=burst,
                keys=[KeySpec(id=f"{name}-{n}", digest=_digest(make_key(name, n))) for n in (1, 2)],
            )
            for name, (rate, burst) in WORKSPACES.items()
        ],
        models=[ModelSpec(id=MODEL, weights="w1")],
        endpoints=[
            *(EndpointSpec(id=node.endpoint, kind="engine", models=[MODEL]) for node in engines),
            *(
                EndpointSpec(id=node.endpoint, kind="service", service="records")
                for node in services
            ),
        ],
        routes=[
            Route(prefix="/bookings", service="records", methods=["POST"]),
            Route(prefix="/payments", service="records", methods=["POST"]),
            Route(prefix="/schedule", service="records", methods=["GET"], repeatable=True),
        ],
        classes=[
            RequestClass(id="interactive", priority=0, deadline_ms=20_000, max_wait_ms=3_000),
            RequestClass(id="long", priority=1, deadline_ms=60_000, max_wait_ms=15_000),
        ],
    )


def _digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


def make_prompt(workspace: str, random: Random) -> str:
    """Return a prompt that extends two nested shared prefixes with a question of its own.

    All prompts of the workspace share the first prefix, those on the same topic also the second.
    """
    workspace_text = (f"[{workspace}] " + FILLER_TEXT * 110)[:8192]
    topic_text = (f"[topic {random.randrange(3)}] " + FILLER_TEXT * 110)[:8192]
    return workspace_text + topic_text + f"Question {random.randrange(10**9)}: what is free?"


class Demo:
    """Sends the requests of all workspaces and checks the answers."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, seed: int):
        self.fleet = fleet
        self.session = session
        self.random = Random(seed)
        self.results = {name: WorkspaceResult() for name in WORKSPACES}
        self.urls = [node.http_url for node in fleet.entries()]

    async def run(self) -> None:
        """Overload one workspace while each of the others sends completions and a booking."""
        async with asyncio.TaskGroup() as group:
            for name in WORKSPACES:
                if name != OVERLOADED_WORKSPACE:
                    group.create_task(self._send_workload(name))
            group.create_task(self._send_overload())

    async def _send_workload(self, name: str) -> None:
        for number in range(REQUESTS_PER_WORKSPACE):
            await self._send_completion(name, number)
            await asyncio.sleep(self.random.expovariate(10.0))
        await self._send_bookings(name)

    async def _send_overload(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(2 * REQUESTS_PER_WORKSPACE):
                group.create_task(self._send_completion(OVERLOADED_WORKSPACE, number))

    async def _send_completion(self, name: str, number: int) -> None:
        result, prompt = self.results[name], make_prompt(name, self.random)
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": number % 4 != 0,
        }
        result.sent += 1
        headers = {"Authorization": f"Bearer {make_key(name)}"}
        url = self.urls[number % len(self.urls)] + "/v1/completions"
        started_at = time.monotonic()
        async with self.session.post(url, json=body, headers=headers) as answer:
            if answer.status != 200:
                error = (await answer.json())["error"]
                result.refused[error["code"]] += 1
                return
            if body["stream"]:
                await self._read_stream(answer, result, body, started_at)
            else:
                completion = await answer.json()
                self._check_text(
                    result, body, completion["choices"][0]["text"], completion["usage"]
                )

    async def _read_stream(
        self, answer, result: WorkspaceResult, body: dict, started_at: float
    ) -> None:
        text, usage, done = "", None, False
        async for line in answer.content:
            if not line.startswith(b"data: "):
                continue
            if not text:
                result.first_token_s.append(time.monotonic() - started_at)
            if line.strip() == b"data: [DONE]":
                done = True
                continue
            event = json.loads(line[6:])
            usage = event.get("usage") or usage
            text += "".join(choice.get("text", "") for choice in event.get("choices", ()))
        if not done:
            result.failed_checks.append("the stream has no end")
        self._check_text(result, body, text, usage)

    def _check_text(
        self, result: WorkspaceResult, body: dict, text: str, usage: dict | None
    ) -> None:
        fault = verify_answer(body, text)
        if fault or usage is None:
            result.failed_checks.append(fault or "the answer has no usage")
            return
        result.served += 1
        result.prompt_tokens += usage["prompt_tokens"]
        result.cached_tokens += usage["prompt_tokens_details"]["cached_tokens"]

    async def _send_bookings(self, name: str) -> None:
        """Send the same booking through all entries; it must be made once, with one answer."""
        result = self.results[name]
        headers = {
            "Authorization": f"Bearer {make_key(name)}",
            "Idempotency-Key": f"visit-{name}",
        }
        bodies = []
        for url in self.urls:
            result.sent += 1
            request = self.session.post(url + "/bookings", json={"by": name}, headers=headers)
            async with request as answer:
                if answer.status != 201:
                    result.refused[(await answer.json())["error"]["code"]] += 1
                    continue
                bodies.append(await answer.json())
                result.served += 1
        if len({str(body) for body in bodies}) != 1:
            result.failed_checks.append(f"bookings differ: {bodies}")

    async def check_executions(self) -> list[str]:
        """Return the idempotency keys whose requests a service executed more than once."""
        faults = []
        for node in self.fleet.nodes.values():
            if node.endpoint.startswith("service"):
                answer = await self.fleet.get(node.endpoint_url + "/executions")
                counts = answer["by_key"]
                faults += [key for key, count in counts.items() if key and count > 1]
        return faults


def print_table(results: dict[str, WorkspaceResult]) -> None:
    """Print a table with a line for each workspace."""
    click.echo(
        f"{'workspace':<20}{'sent':>6}{'served':>8}{'hit rate':>10}{'p50':>9}{'p95':>9}  refused"
    )
    for name, result in results.items():
        hit_rate = result.cached_tokens / result.prompt_tokens if result.prompt_tokens else 0.0
        times = sorted(result.first_token_s) or [0.0]
        p50, p95 = times[len(times) // 2], times[int(len(times) * 0.95)]
        refused = ", ".join(f"{count} {code}" for code, count in result.refused.items()) or "-"
        click.echo(
            f"{name:<20}{result.sent:>6}{result.served:>8}{hit_rate:>10.2f}"
            f"{p50 * 1e3:>6.0f} ms{p95 * 1e3:>6.0f} ms  {refused}"
        )


async def run_demo(keep: bool, seed: int) -> int:
    """Run the demo; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="teaselpath-") as root:
        fleet = Fleet(Path(root), FleetPlan(engine_options={"step_us": 1000.0}))
        fleet.prepare()
        try:
            await fleet.start()
            await fleet.publish(make_bundle(fleet))
            await fleet.wait_ready()
            click.echo("fleet is ready; waiting for the token buckets to fill")
            await asyncio.sleep(BUCKET_FILL_S)
            async with aiohttp.ClientSession() as session:
                return await _run_and_report(Demo(fleet, session, seed), keep)
        finally:
            await fleet.stop()


async def _run_and_report(demo: Demo, keep: bool) -> int:
    await demo.run()
    print_table(demo.results)
    faults = [
        f"{name}: {text}" for name, result in demo.results.items() for text in result.failed_checks
    ]
    faults += [f"executed more than once: {key}" for key in await demo.check_executions()]
    faults += [
        f"{name}: refused although inside its rate: {dict(result.refused)}"
        for name, result in demo.results.items()
        if result.refused and name != OVERLOADED_WORKSPACE
    ]
    for fault in faults:
        click.echo(f"FAULT {fault}", err=True)
    click.echo("all answers checked" if not faults else f"{len(faults)} faults")
    if keep:
        await _wait_until_interrupted(demo)
    return 1 if faults else 0


async def _wait_until_interrupted(demo: Demo) -> None:
    key = make_key("batinah-counter")
    click.echo("Running until Ctrl-C. Try:")
    for url in demo.urls:
        click.echo(
            f"  curl -N {url}/v1/completions -H 'Authorization: Bearer {key}' "
            f"-H 'Content-Type: application/json' "
            f'-d \'{{"model": "{MODEL}", "prompt": "Hello", "stream": true, "max_tokens": 8}}\''
        )
    await asyncio.Event().wait()


@click.command()
@click.option("--keep", is_flag=True, help="Leave everything running until Ctrl-C.")
@click.option("--seed", default=1, show_default=True, help="Seed of the requests.")
def main(keep: bool, seed: int) -> None:
    """Start a small fleet on loopback, send requests and check every answer."""
    try:
        sys.exit(asyncio.run(run_demo(keep, seed)))
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
