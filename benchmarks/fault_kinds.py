"""Faults of the fault run; each one is undone before it returns."""

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import aiohttp

from benchmarks.fault_cluster import KEYS_PER_WORKSPACE, WEIGHTS, Cluster
from benchmarks.fault_load import KEPT_KEYS, Load
from benchmarks.fault_watch import Watcher
from standins.fleet import Node, make_key
from teaselpath.history import ConfigAccepted, Event, KeyRevoked

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
# A withdrawn key is tried on all entries this long after the withdrawal, in seconds.
PROBE_AFTER_S = 5.2
# Limit of new work at a leaving endpoint, with one poll of the host list and its lag.
LEAVING_LIMIT_S = 3.0
# A node takes a leaving entry of the host list to be about the previous process this long.
HOST_LIST_LAG_S = 65.0
# Part of the engine faults that hit the busiest engine.
BUSIEST_SHARE = 0.8
SSE_MODES = ("truncated", "malformed", "oversized", "after_done", "no_usage", "shuffled")


@dataclass(slots=True)
class Rates:
    """Rate factor that was in the accepted bundle from an instant on."""

    at: float
    factor: float


@dataclass(slots=True)
class FaultRun:
    """What the faults work on and what they leave behind.

    :param crashes: instants at which an engine crashed, with the engine's endpoint id.
    :param problems: violations that the faults themselves see, by invariant.
    """

    cluster: Cluster
    load: Load
    watcher: Watcher
    events: list[Event]
    random: Random
    done: Counter[str] = field(default_factory=Counter)
    checks: Counter[str] = field(default_factory=Counter)
    busy: set[str] = field(default_factory=set)
    paused_until: dict[str, float] = field(default_factory=dict)
    crashes: list[tuple[float, str]] = field(default_factory=list)
    problems: list[tuple[str, str]] = field(default_factory=list)
    rates: list[Rates] = field(default_factory=list)
    next_key: int = KEPT_KEYS + 1
    began_at: float = field(default_factory=time.monotonic)
    started_at: dict[str, float] = field(default_factory=dict)

    def take(self, nodes: list[Node]) -> Node | None:
        """Choose a node that no other fault uses at this time."""
        free = [node for node in nodes if node.name not in self.busy]
        # One entry is left alone, so that the others' callers have somewhere to go.
        if nodes and nodes[0].role == "entry" and len(free) < 2:
            return None
        if not free:
            return None
        node = self.random.choice(free)
        self.busy.add(node.name)
        return node

    async def switch(self, url: str, on: dict, off: dict, for_s: float) -> None:
        """Switch a stand-in's faults on for some time."""
        try:
            await self.cluster.fleet.set_faults(url, on)
            await asyncio.sleep(for_s)
        finally:
            await self.cluster.fleet.set_faults(url, off)


async def take_engine(run: FaultRun) -> Node | None:
    """Choose an engine, mostly the busiest one: prefixes gather the load on few engines."""
    nodes = [node for node in run.cluster.agents("engine") if node.name not in run.busy]
    if nodes and run.random.random() < BUSIEST_SHARE:
        loads = await asyncio.gather(*(_running(run, node) for node in nodes))
        most = max(loads)
        nodes = [n for n, load in zip(nodes, loads, strict=True) if load == most]
    return run.take(nodes)


async def _running(run: FaultRun, node: Node) -> int:
    """Return the requests that an engine runs; 0 if it ends while it is asked."""
    try:
        load = await run.cluster.fleet.get(node.endpoint_url + "/load")
    except (aiohttp.ClientError, OSError) as error:
        print(f"{node.name} ended while it was asked for its load: {error!r}", flush=True)
        return 0
    return load["running"]


Fault = Callable[[FaultRun, list[Node]], Awaitable[None]]


def _entries(run: FaultRun) -> list[Node]:
    return run.cluster.fleet.entries()


async def _start(run: FaultRun, node: Node) -> None:
    run.cluster.fleet.start_node(node.name)
    run.started_at[node.name] = time.monotonic()
    if not await run.watcher.wait_ready(node.name, READY_TIMEOUT_S):
        run.problems.append(("P3", f"{node.name} was not ready {READY_TIMEOUT_S} s after a start"))


async def kill(run: FaultRun, nodes: list[Node]) -> None:
    """Kill a node and start it again."""
    node = run.take(nodes)
    if node is None:
        return
    run.done[f"kill {node.role}"] += 1
    await run.cluster.fleet.kill_node(node.name)
    run.watcher.stopped(node.name, is_planned=False)
    await asyncio.sleep(run.random.uniform(0.1, 2.0))
    await _start(run, node)


async def pause(run: FaultRun, nodes: list[Node]) -> None:
    """Pause a node's process for 1 to 8 seconds."""
    node = run.take(nodes)
    if node is None:
        return
    run.done[f"pause {node.role}"] += 1
    duration_s = run.random.uniform(1.0, 8.0)
    run.paused_until[node.name] = time.monotonic() + duration_s
    run.cluster.fleet.signal(node.name, signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        run.cluster.fleet.signal(node.name, signal.SIGCONT)


async def stop(run: FaultRun, nodes: list[Node]) -> None:
    """Stop a node gracefully under load and start it again."""
    node = run.take(nodes)
    if node is None:
        return
    run.done[f"planned stop {node.role}"] += 1
    await _stop(run, node)
    await _start(run, node)


async def _stop(run: FaultRun, node: Node) -> None:
    run.watcher.stop_started(node.name)
    code = await run.cluster.fleet.stop_node(node.name, STOP_TIMEOUT_S)
    run.checks["planned stops"] += 1
    if code != 0:
        run.problems.append(("P12", f"planned stop of {node.name} ended with {code}"))
        await run.cluster.fleet.kill_node(node.name)
    run.watcher.stopped(node.name, is_planned=code == 0)


async def rolling_restart(run: FaultRun, nodes: list[Node]) -> None:
    """Restart every node gracefully, one after the other."""
    if run.busy:
        return
    run.busy |= set(run.cluster.fleet.nodes)
    run.done["rolling restart"] += 1
    names = list(run.cluster.fleet.nodes)
    run.random.shuffle(names)
    for name in names:
        node = run.cluster.fleet.nodes[name]
        await _stop(run, node)
        await _start(run, node)


async def leave(run: FaultRun, nodes: list[Node]) -> None:
    """Show an engine's host as leaving in the host list; it must get no new work."""
    old = time.monotonic() - HOST_LIST_LAG_S
    node = run.take([n for n in nodes if run.started_at.get(n.name, run.began_at) < old])
    if node is None:
        return
    run.done["host leaving"] += 1
    fleet = run.cluster.fleet
    url = f"{fleet.hosts_url}/hosts/{node.name}?now=1"
    async with aiohttp.ClientSession() as session:
        (await session.put(url, json=fleet.host_entry(node, "leaving"))).release()
        # The agent reads the host list every few seconds; this is the platform's own delay.
        interval_s = 5.0
        await asyncio.sleep(LEAVING_LIMIT_S + interval_s)
        before = await _executions(fleet, node)
        await asyncio.sleep(3.0)
        after = await _executions(fleet, node)
        run.checks["P11 leaving endpoints"] += 1
        if after != before:
            detail = f"{node.name} got {len(after - before)} requests while it was leaving"
            run.problems.append(("P11", detail))
        (await session.put(url, json=fleet.host_entry(node, "live"))).release()
    # Leaving is never undone within an incarnation, so the process is replaced.
    await _stop(run, node)
    await _start(run, node)


async def _executions(fleet, node: Node) -> set[tuple[str, int]]:
    audit = await fleet.get(node.endpoint_url + "/audit")
    return {(r["request_id"], n) for n, r in enumerate(audit["requests"])}


async def crash_engine(run: FaultRun, nodes: list[Node]) -> None:
    """Crash an engine, which returns with an empty cache."""
    node = await take_engine(run)
    if node is None:
        return
    run.done["engine crash and return"] += 1
    down_s = run.random.choice((0.0, 0.5, 2.0))
    run.crashes.append((time.monotonic(), node.endpoint))
    fault = {"crash_and_return": {"down_s": down_s}}
    await run.cluster.fleet.set_faults(node.endpoint_url, fault)
    await asyncio.sleep(down_s + 1.0)


async def freeze_engine(run: FaultRun, nodes: list[Node]) -> None:
    """Freeze an engine."""
    node = await take_engine(run)
    if node is not None:
        run.done["engine frozen"] += 1
        duration_s = run.random.uniform(1.0, 6.0)
        await run.switch(node.endpoint_url, {"freeze": True}, {"freeze": False}, duration_s)


async def die_mid_stream(run: FaultRun, nodes: list[Node]) -> None:
    """Let an engine drop the connections of some streams."""
    node = await take_engine(run)
    if node is not None:
        run.done["engine dies mid-stream"] += 1
        after, number = run.random.randrange(40), run.random.randint(1, 4)
        on = {"die_mid_stream": {"after_tokens": after, "count": number}}
        off = {"die_mid_stream": {"after_tokens": 0, "count": 0}}
        await run.switch(node.endpoint_url, on, off, 3.0)


async def break_streams(run: FaultRun, nodes: list[Node]) -> None:
    """Let an engine send truncated or malformed streams."""
    node = await take_engine(run)
    if node is not None:
        mode = run.random.choice(SSE_MODES)
        run.done[f"stream {mode}"] += 1
        after, number = run.random.randrange(20), run.random.randint(1, 3)
        on = {"sse": {"after_tokens": after, "count": number, "mode": mode}}
        off = {"sse": {"after_tokens": 0, "count": 0}}
        await run.switch(node.endpoint_url, on, off, 3.0)


async def spoil_events(run: FaultRun, nodes: list[Node]) -> None:
    """Drop, delay and repeat an engine's cache events."""
    node = run.random.choice(run.cluster.agents("engine"))
    run.done["cache events lost or late"] += 1
    on = {"drop_events": 0.5, "delay_events_s": 1.0, "duplicate_events": 0.2}
    off = {"drop_events": 0.0, "delay_events_s": 0.0, "duplicate_events": 0.0}
    await run.switch(node.endpoint_url, on, off, 4.0)


async def crash_service(run: FaultRun, nodes: list[Node]) -> None:
    """Crash a service before or after it executes some calls."""
    node = run.take(run.cluster.agents("service"))
    if node is not None:
        when = run.random.choice(("before", "after"))
        run.done[f"service crash {when} execution"] += 1
        on = {"crash": {"when": when, "count": run.random.randint(1, 4)}}
        await run.switch(node.endpoint_url, on, {"crash": {"when": when, "count": 0}}, 3.0)


async def log_outage(run: FaultRun, nodes: list[Node]) -> None:
    """Take the log down."""
    if "log" in run.busy:
        return
    run.busy.add("log")
    run.done["log outage"] += 1
    duration_s = run.random.uniform(2.0, 8.0)
    await run.switch(run.cluster.fleet.log_url, {"outage": True}, {"outage": False}, duration_s)


async def log_slow(run: FaultRun, nodes: list[Node]) -> None:
    """Make each answer of the log slow."""
    if "log" in run.busy:
        return
    run.busy.add("log")
    run.done["log slow"] += 1
    slow_ms = run.random.choice((200.0, 800.0))
    await run.switch(run.cluster.fleet.log_url, {"slow_ms": slow_ms}, {"slow_ms": 0.0}, 5.0)


async def log_replies_lost(run: FaultRun, nodes: list[Node]) -> None:
    """Lose the replies of some appends that take effect."""
    run.done["log replies lost"] += 1
    on = {"lose_next_replies": run.random.randint(1, 8)}
    await run.switch(run.cluster.fleet.log_url, on, {"lose_next_replies": 0}, 3.0)


async def hosts_lag(run: FaultRun, nodes: list[Node]) -> None:
    """Let the host list lag by 30 seconds for changes within the next seconds."""
    run.done["host list lags 30 s"] += 1
    await run.switch(run.cluster.fleet.hosts_url, {"lag_s": 30.0}, {"lag_s": 1.0}, 5.0)


async def withdraw_key(run: FaultRun, nodes: list[Node]) -> None:
    """Push a withdrawal to one node and try the key at all entries after the limit."""
    number, run.next_key = run.next_key, run.next_key + 1
    running = [n for n in run.cluster.fleet.nodes if n not in run.busy]
    if number > KEYS_PER_WORKSPACE or not running:
        return
    workspace = run.random.choice(list(run.cluster.bundle.workspaces)).id
    name = run.random.choice(running)
    run.busy.add(name)
    entries = [node.name for node in _entries(run)]
    # The connections to the entries are in use with this key before it is withdrawn.
    await asyncio.gather(*(run.load.probe_key(workspace, number, entry) for entry in entries))
    if not await run.cluster.revoke(name, workspace, number):
        return
    withdrawn_at = time.monotonic()
    run.done["key withdrawn"] += 1
    run.load.withdrawn.add((workspace, number))
    run.events.append(KeyRevoked(at=withdrawn_at, node=name, key=make_key(workspace, number)))
    await asyncio.sleep(PROBE_AFTER_S)
    for entry in entries:
        # A paused process hears of the withdrawal only after it runs again.
        if time.monotonic() > run.paused_until.get(entry, 0.0) + PROBE_AFTER_S:
            run.checks["P6 tries with a withdrawn key"] += 1
            await run.load.probe_key(workspace, number, entry)


def _accepted(run: FaultRun, outcome, factor: float) -> None:
    if outcome is not None and outcome.result == "accepted":
        now = time.monotonic()
        run.rates.append(Rates(now, factor))
        run.events.append(ConfigAccepted(at=now, node="log", version=outcome.version))


async def change_rates(run: FaultRun, nodes: list[Node]) -> None:
    """Publish a version with other rates."""
    if "publisher" in run.busy:
        return
    run.busy.add("publisher")
    run.done["bundle with other rates"] += 1
    factor = run.random.choice((1.0, 1.5))
    bundle = run.cluster.next_bundle(factor, run.cluster.bundle.models[0].weights)
    _accepted(run, await run.cluster.publish(bundle), factor)


async def change_weights(run: FaultRun, nodes: list[Node]) -> None:
    """Publish a version with other weights."""
    if "publisher" in run.busy:
        return
    run.busy.add("publisher")
    run.done["bundle with other weights"] += 1
    old = run.cluster.bundle.models[0].weights
    weights = WEIGHTS[1 - WEIGHTS.index(old)]
    bundle = run.cluster.next_bundle(_factor(run), weights)
    _accepted(run, await run.cluster.publish(bundle), _factor(run))
    await asyncio.sleep(2.0)


def _factor(run: FaultRun) -> float:
    return run.rates[-1].factor if run.rates else 1.0


async def race_publishers(run: FaultRun, nodes: list[Node]) -> None:
    """Publish two versions with the same parent at once; exactly one may win."""
    if "publisher" in run.busy:
        return
    run.busy.add("publisher")
    run.done["racing publishers"] += 1
    weights = run.cluster.bundle.models[0].weights
    first, second = (run.cluster.next_bundle(factor, weights) for factor in (1.0, 1.5))
    outcomes = await asyncio.gather(run.cluster.publish(first), run.cluster.publish(second))
    for outcome, factor in zip(outcomes, (1.0, 1.5), strict=True):
        _accepted(run, outcome, factor)
    if sum(o is not None and o.result == "accepted" for o in outcomes) > 1:
        run.problems.append(("P13", f"both racing publishers were accepted: {outcomes}"))
