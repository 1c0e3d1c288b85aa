"""Quota over several entries: overshoot, wrongful refusals and messages.

Pure cores are joined by in-memory queues and one simulated clock. Ours is compared with a static
split of each bucket over the entries and with a single shared counter. All systems see the same
arrivals. A refusal is wrongful if one bucket with the workspace's whole rate and burst holds the
tokens at the instant of the refusal. This bucket is charged with what the system admitted and what
it refused wrongfully, and has the system's own balance at the end of the warm-up, so that only
tokens lost or out of reach after it count.
"""

import argparse
import json
import sys
import time
from collections import defaultdict
from typing import Any

from quota_simulation import (
    BUSY_TICK_S,
    LOG_DELAY_S,
    LOG_READ_S,
    TICK_S,
    WAIT_S,
    Load,
    Outcome,
    Size,
    World,
    make_load,
)

from teaselpath.quota import (
    Bucket,
    Denied,
    FromPeer,
    Granted,
    LeaseConfirmed,
    LiveEntriesChanged,
    LiveEntry,
    QuotaCore,
    ReserveTokens,
    SettleTokens,
    ShareTable,
    TableRecord,
    WorkspaceQuota,
    WorkspacesChanged,
    _state,
)
from teaselpath.wire import Append, Send

RANK = ShareTable._rank


def share_rankings() -> None:
    """Let all cores of this process share the ranking of homes, which they compute alike."""
    rank = RANK
    known: dict[tuple[str, int], tuple[str, ...]] = {}

    def ranked(table: ShareTable, workspace: str) -> tuple[str, ...]:
        key = (workspace, table.number)
        if key not in known:
            known[key] = rank(table, workspace)
        return known[key]

    setattr(ShareTable, "_rank", ranked)  # noqa: B010


class Ours:
    """Quota cores of the product."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.cores: dict[str, QuotaCore] = {}
        self.incarnations: dict[str, int] = defaultdict(int)
        self.log: list[bytes] = []
        self.read: dict[str, int] = {}
        self.busy: set[str] = set()
        self.names: dict[int, str] = {}
        vars(_state)["Bucket"] = self.bucket_class()
        share_rankings()
        for index, host in enumerate(world.hosts):
            self.start(host)
            world.at(TICK_S * index / len(world.hosts), self.tick, host)
            world.at(LOG_READ_S * index / len(world.hosts), self.read_log, host)

    def bucket_class(self) -> type[Bucket]:
        """Return a bucket that reports its charges to the world."""
        world, names = self.world, self.names

        class Reporting(Bucket):
            __slots__ = ()

            def try_reserve(self, reservation_id: str, tokens: float, now: float) -> bool:
                granted = super().try_reserve(reservation_id, tokens, now)
                if granted:
                    world.charged(names[id(self)], (id(self), reservation_id), tokens)
                return granted

            def settle(self, reservation_id: str, used: float, now: float) -> float:
                refund = super().settle(reservation_id, used, now)
                if refund:
                    world.refunded(names[id(self)], (id(self), reservation_id), refund)
                return refund

        return Reporting

    def start(self, host: str) -> None:
        """Start a process, which reads the log first."""
        self.incarnations[host] += 1
        region = self.world.load.hosts[host]
        self.cores[host] = QuotaCore(host, region, self.incarnations[host])
        self.read[host] = 0
        self.call(host, WorkspacesChanged(self.world.load.quotas))
        self.call(
            host, LiveEntriesChanged([LiveEntry(h, r) for h, r in self.world.load.hosts.items()])
        )
        self.catch_up(host)

    def buckets_of(self, workspace: str) -> list[Bucket]:
        """Return the buckets of a workspace."""
        found = (core.state.shares.get(workspace) for core in self.cores.values())
        return [share.bucket for share in found if share is not None]

    def stop(self, host: str) -> None:
        """Kill a process."""
        # Kept alive, so that the ids of its buckets stay unique.
        self.world.at(self.world.load.end + 1.0, id, self.cores.pop(host))

    def call(self, host: str, event: Any) -> None:
        """Hand an event (None: tick) to a core and take its actions."""
        core, world = self.cores.get(host), self.world
        if core is None:
            return
        now = world.now
        for action in core.tick(now) if event is None else core.handle(event, now):
            match action:
                case Send(to, message):
                    world.send(host, to, self.call, to, FromPeer(host, message))
                case Append(_, data):
                    world.at(now + LOG_DELAY_S, self.append, host, data)
                case Granted(reservation_id):
                    world.answer(self, host, reservation_id, True)
                case Denied(reservation_id):
                    world.answer(self, host, reservation_id, False)
        if (core.state.waiting or core.remote.pending) and host not in self.busy:
            self.busy.add(host)
            world.at(now + BUSY_TICK_S, self.busy_tick, host)

    def busy_tick(self, host: str) -> None:
        """Tick a core that has reservations waiting."""
        self.busy.discard(host)
        self.call(host, None)

    def tick(self, host: str) -> None:
        """Tick a core regularly."""
        self.call(host, None)
        self.world.at(self.world.now + TICK_S, self.tick, host)

    def reaches_log(self, host: str) -> bool:
        """Return whether a host reaches the log, which is in the first region."""
        return self.world.connected(host, self.world.hosts[0])

    def append(self, host: str, data: bytes) -> None:
        """Append a record; all hosts that reach the log read it."""
        if self.reaches_log(host):
            self.log.append(data)
            for other in self.cores:
                self.world.at(self.world.now + LOG_DELAY_S, self.catch_up, other)

    def catch_up(self, host: str) -> None:
        """Read the log to its end."""
        if host not in self.cores or not self.reaches_log(host):
            return
        for offset in range(self.read[host], len(self.log)):
            self.call(host, TableRecord(offset, self.log[offset]))
            for share in self.cores[host].state.shares.values():
                self.names[id(share.bucket)] = share.workspace
        self.read[host] = len(self.log)
        self.call(host, LeaseConfirmed())

    def read_log(self, host: str) -> None:
        """Read the log regularly."""
        self.catch_up(host)
        self.world.at(self.world.now + LOG_READ_S, self.read_log, host)

    def reserve(self, host: str, reservation_id: str, workspace: str, tokens: float) -> None:
        """Reserve tokens at an entry."""
        deadline = self.world.now + WAIT_S
        self.call(host, ReserveTokens(reservation_id, workspace, tokens, deadline))

    def settle(self, host: str, reservation_id: str, used: float) -> None:
        """Settle a reservation."""
        self.call(host, SettleTokens(reservation_id, used))


class Counter:
    """Buckets at fixed hosts: one host for all entries, or each entry with its part."""

    def __init__(self, world: World, parts: int) -> None:
        self.world = world
        self.parts = parts
        self.buckets: dict[str, dict[str, Bucket]] = {}
        for host in world.hosts if parts > 1 else world.hosts[:1]:
            self.start(host)

    def start(self, host: str) -> None:
        """Start with empty buckets."""
        if self.parts == 1 and host != self.world.hosts[0]:
            return
        now = self.world.now
        self.buckets[host] = {}
        for quota in self.world.load.quotas:
            bucket = self.buckets[host][quota.id] = Bucket(now)
            bucket.resize(quota.burst / self.parts, quota.rate / self.parts, now)

    def buckets_of(self, workspace: str) -> list[Bucket]:
        """Return the buckets of a workspace."""
        return [buckets[workspace] for buckets in self.buckets.values()]

    def stop(self, host: str) -> None:
        """Lose the buckets of a host."""
        self.buckets.pop(host, None)

    def reserve(self, host: str, reservation_id: str, workspace: str, tokens: float) -> None:
        """Reserve at the entry's own part, or at the shared counter."""
        world = self.world
        if self.parts > 1:
            granted = self.decide(host, reservation_id, workspace, tokens)
            world.answer(self, host, reservation_id, granted)
            return
        home = world.hosts[0]
        world.send(host, home, self.ask, host, reservation_id, workspace, tokens)
        world.at(world.now + WAIT_S, world.answer, self, host, reservation_id, False)

    def ask(self, host: str, reservation_id: str, workspace: str, tokens: float) -> None:
        """Decide at the shared counter and answer."""
        home = self.world.hosts[0]
        if home not in self.world.down:
            granted = self.decide(home, reservation_id, workspace, tokens)
            world = self.world
            world.send(home, host, world.answer, self, host, reservation_id, granted)

    def decide(self, home: str, reservation_id: str, workspace: str, tokens: float) -> bool:
        """Reserve in a bucket."""
        bucket = self.buckets[home][workspace]
        granted = bucket.try_reserve(reservation_id, tokens, self.world.now)
        if granted:
            self.world.charged(workspace, reservation_id, tokens)
        return granted

    def settle(self, host: str, reservation_id: str, used: float) -> None:
        """Settle where the reservation was made."""
        home = host if self.parts > 1 else self.world.hosts[0]
        if home == host:
            self.refund(home, reservation_id, used)
        else:
            self.world.send(host, home, self.refund, home, reservation_id, used)

    def refund(self, home: str, reservation_id: str, used: float) -> None:
        """Refund what was not used."""
        number = int(reservation_id[1:])
        workspace = f"w{self.world.load.requests[number].workspace}"
        if home in self.buckets:
            refund = self.buckets[home][workspace].settle(reservation_id, used, self.world.now)
            if refund:
                self.world.refunded(workspace, reservation_id, refund)


def overshoot(outcome: Outcome, quotas: list[WorkspaceQuota]) -> float:
    """Return the most tokens above rate x t + burst over any interval and workspace."""
    worst = 0.0
    for quota in quotas:
        excess, last = 0.0, 0.0
        for at, tokens in sorted(outcome.charges[quota.id].values()):
            excess = max(0.0, excess - quota.rate * (at - last)) + tokens
            last = at
            worst = max(worst, excess - quota.burst)
    # Rounding of sums of floats is not an overshoot.
    return worst if worst > 1e-3 else 0.0


SYSTEMS = {
    "static split": lambda world: Counter(world, len(world.hosts)),
    "shared counter": lambda world: Counter(world, 1),
    "ours": Ours,
}


def run_size(size: Size, faults: list[str], seed: int) -> list[dict[str, Any]]:
    """Run all systems at one size and print a table."""
    load = make_load(size, seed)
    rows = []
    print(f"{size.entries} entries, {size.regions} regions, {size.workspaces} workspaces,")
    print(f"{size.requests_per_s:g} requests/s; ratios to the shared counter")
    print(f"{'fault':8} {'system':15} {'overshoot':>9} {'refused':>8} {'wrongful':>9}", end=" ")
    print(f"{'ratio':>7} {'msg/s/node':>10} {'ratio':>7}")
    for fault in faults:
        found = {}
        for name, make in SYSTEMS.items():
            started = time.perf_counter()
            world = World(load, fault)
            outcome = world.run(make(world))
            found[name] = row = summary(outcome, load, size)
            row |= {"entries": size.entries, "fault": fault, "system": name}
            row["run_s"] = round(time.perf_counter() - started, 1)
            rows.append(row)
        for name, row in found.items():
            print_row(fault, name, row, found["shared counter"])
    print(flush=True)
    return rows


def summary(outcome: Outcome, load: Load, size: Size) -> dict[str, Any]:
    """Return the measures of a run."""
    requests = max(1, outcome.granted + outcome.refused)
    per_node = outcome.messages / size.measured_s / size.entries
    return {
        "overshoot_tokens": round(overshoot(outcome, load.quotas), 3),
        "refused_percent": round(100.0 * outcome.refused / requests, 4),
        "wrongful_percent": round(100.0 * outcome.wrongful / requests, 4),
        "requests": requests,
        "messages_per_s_node": round(per_node, 2),
    }


def print_row(fault: str, name: str, row: dict[str, Any], base: dict[str, Any]) -> None:
    """Print one line of the table."""

    def ratio(key: str) -> str:
        return f"{row[key] / base[key]:.3f}" if base[key] else "-"

    print(
        f"{fault:8} {name:15} {row['overshoot_tokens']:9.0f} {row['refused_percent']:7.2f}%"
        f" {row['wrongful_percent']:8.3f}% {ratio('wrongful_percent'):>7}"
        f" {row['messages_per_s_node']:10.1f} {ratio('messages_per_s_node'):>7}"
    )


def main() -> None:
    """Run the default sizes, or all with ``--full``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true", help="add 540 entries, 6,600 workspaces")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rows = run_size(Size(3, 2, 5, 40.0, 60.0), ["none", "restart", "cut"], arguments.seed)
    faults = ["none", "restart", "cut"]
    rows += run_size(Size(30, 3, 300, 200.0, 30.0), faults, arguments.seed)
    if arguments.full:
        rows += run_size(Size(540, 6, 6600, 2000.0, 30.0), faults, arguments.seed)
    print(json.dumps({"benchmark": "quota", "seed": arguments.seed, "rows": rows}))


if __name__ == "__main__":
    sys.exit(main())
