"""Time until an accepted version is in force on every node, and the bytes that this costs.

The cores of all nodes run in one process on one simulated clock; messages and log reads take the
latency of the network. No socket is opened, so the figures hold for the cores and the protocol, and
not for the transport. Run: ``python benchmarks/bench_rollout.py [--nodes 2940]``.
"""

import argparse
import heapq
import json
import time
from dataclasses import dataclass, field
from itertools import count
from random import Random

import msgspec

from teaselpath.bundle import operator_public_key, sign_record
from teaselpath.cli.tests.cluster import Node
from teaselpath.membership import LogChecked
from teaselpath.wire import SignedRecord, encode

OPERATOR = b"\x07" * 32
SAME_REGION_S = 0.0015
OTHER_REGION_S = 0.030
REGIONS = 3
LOSS = 0.02
LONG_POLL_S = 10.0
# Request line, headers and framing of one HTTP exchange.
HTTP_BYTES = 400
# 2,300 changes a day are one in this many seconds.
CHANGE_INTERVAL_S = 37.6
SETTLE_S = 20.0
TICK_S = 0.25
BUDGET_BYTES_PER_S = 2000.0


@dataclass(slots=True)
class Scenario:
    """One row of the table.

    :param blind_share: share of the nodes that cannot reach the log.
    :param poll_s: interval of plain polls; 0 for long polls.
    """

    name: str
    blind_share: float
    poll_s: float = 0.0
    has_gossip: bool = True


@dataclass(slots=True)
class Figures:
    """What a scenario measured."""

    delays_s: list[float] = field(default_factory=list)
    missed: int = 0
    sent: dict[str, int] = field(default_factory=dict)
    received: dict[str, int] = field(default_factory=dict)
    log_bytes: int = 0
    elapsed_s: float = 0.0
    cpu_s: float = 0.0


class Simulation:
    """Nodes, the log, and one heap of events."""

    def __init__(self, scenario, nodes, workspaces):
        self.scenario = scenario
        self.workspaces = workspaces
        self.random = Random(7)
        self.now = 0.0
        self.heap = []
        self.order = count()
        self.figures = Figures()
        self.records = []
        self.accepted_at = []
        hosts = [f"node-{i:04}" for i in range(nodes)]
        self.region = {host: i % REGIONS for i, host in enumerate(hosts)}
        operators = [operator_public_key(OPERATOR)]
        self.nodes = {h: Node(h, hosts, operators, 1, Random(h)) for h in hosts}
        blind = self.random.sample(hosts, int(nodes * scenario.blind_share))
        self.blind = set(blind)

    def at(self, delay_s, action, *arguments):
        """Schedule an action."""
        heapq.heappush(self.heap, (self.now + delay_s, next(self.order), action, arguments))

    def latency(self, region_a, region_b):
        """One-way latency with jitter."""
        base = SAME_REGION_S if region_a == region_b else OTHER_REGION_S
        return base * self.random.uniform(1.0, 1.5)

    def send(self, messages):
        """Put messages on the network and count their bytes."""
        if not self.scenario.has_gossip:
            return
        for source, target, message in messages:
            size = len(encode(message))
            self.figures.sent[source] = self.figures.sent.get(source, 0) + size
            if self.random.random() >= LOSS:
                self.figures.received[target] = self.figures.received.get(target, 0) + size
                delay_s = self.latency(self.region[source], self.region[target])
                self.at(delay_s, self.deliver, target, message)

    def deliver(self, target, message):
        """A message arrives."""
        self.send(self.nodes[target].receive(message, self.now))

    def tick(self, host):
        """A node's timer fires."""
        self.send(self.nodes[host].tick(self.now))
        self.at(TICK_S, self.tick, host)

    def publish(self, version):
        """An operator appends a version; readers are answered at once or at their next poll."""
        self.records.append(sign_record("bundle", bundle(version, self.workspaces), OPERATOR))
        self.accepted_at.append(self.now)
        if not self.scenario.poll_s:
            for host in self.nodes:
                self.at(self.latency(0, self.region[host]), self.read, host)

    def read(self, host):
        """The log's answer reaches a node."""
        if host in self.blind:
            return
        node = self.nodes[host]
        self.figures.log_bytes += HTTP_BYTES
        actions = node.table.handle(LogChecked(True), self.now)
        for offset in range(node.state.next_offset, len(self.records)):
            record = SignedRecord(offset, self.records[offset])
            self.figures.log_bytes += len(record.data) * 4 // 3
            node.record_accepted(node.state.handle(record, self.now), self.now)
        self.send(node.extract_messages(actions + node.report_config(self.now)))

    def poll(self, host, interval_s):
        """A plain or a long poll ends without news."""
        self.read(host)
        self.at(interval_s, self.poll, host, interval_s)

    def run(self, changes):
        """Run all changes and return the figures."""
        started = time.process_time()
        for host in self.nodes:
            interval_s = self.scenario.poll_s or LONG_POLL_S
            self.at(self.random.uniform(0, interval_s), self.poll, host, interval_s)
            if self.scenario.has_gossip:
                self.at(self.random.uniform(0, 1.0), self.tick, host)
        for version in range(1, changes + 1):
            self.at(version * CHANGE_INTERVAL_S, self.publish, version)
        end = changes * CHANGE_INTERVAL_S + SETTLE_S
        while self.heap and self.heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)
        self.figures.elapsed_s = end
        self.figures.cpu_s = time.process_time() - started
        self.collect(changes)
        return self.figures

    def collect(self, changes):
        """Delay of each node for each version; a node that jumped over one counts as in force."""
        for node in self.nodes.values():
            for version in range(1, changes + 1):
                instants = [instant for got, instant in node.accepted if got >= version]
                if instants:
                    self.figures.delays_s.append(min(instants) - self.accepted_at[version - 1])
                else:
                    self.figures.missed += 1


def bundle(version, workspaces):
    """A valid bundle document."""
    keys = Random(1)
    document = {
        "version": version,
        "parent": version - 1,
        "change_id": f"change-{version}",
        "workspaces": [
            {
                "id": f"workspace-{i}",
                "rate": 1000.0 + version,
                "burst": 20000.0,
                "keys": [{"id": f"key-{i}", "digest": keys.randbytes(32).hex()}],
            }
            for i in range(workspaces)
        ],
    }
    return msgspec.json.encode(document)


def percentile(values, share):
    """Return the value below which a share of the values is; None without values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))] if values else None


def summarize(scenario, figures, nodes):
    """Return one row of figures."""
    per_node = nodes * figures.elapsed_s
    busiest = max(figures.sent.values(), default=0) / figures.elapsed_s
    return {
        "scenario": scenario.name,
        "p50_s": percentile(figures.delays_s, 0.5),
        "p99_s": percentile(figures.delays_s, 0.99),
        "max_s": max(figures.delays_s, default=None),
        "never": figures.missed,
        "gossip_sent_bytes_per_s": sum(figures.sent.values()) / per_node,
        "busiest_sent_bytes_per_s": busiest,
        "received_bytes_per_s": sum(figures.received.values()) / per_node,
        "log_bytes_per_s": figures.log_bytes / per_node,
        "core_percent": 100 * figures.cpu_s / per_node,
    }


def show(rows):
    """Print the table with ratios to the first row, the baseline."""
    base = rows[0]
    print(
        f"{'scenario':28} {'p50 s':>8} {'p99 s':>8} {'max s':>8} {'max/base':>8} {'never':>6} "
        f"{'sent B/s':>9} {'busiest':>8} {'recv B/s':>9} {'log B/s':>8} "
        f"{'of 2 KB/s':>9} {'core %':>7}"
    )
    for row in rows:
        total = (
            row["gossip_sent_bytes_per_s"] + row["received_bytes_per_s"] + row["log_bytes_per_s"]
        )
        print(
            f"{row['scenario']:28} {row['p50_s']:8.3f} {row['p99_s']:8.3f} {row['max_s']:8.3f} "
            f"{row['max_s'] / base['max_s']:8.3f} {row['never']:6} "
            f"{row['gossip_sent_bytes_per_s']:9.0f} {row['busiest_sent_bytes_per_s']:8.0f} "
            f"{row['received_bytes_per_s']:9.0f} {row['log_bytes_per_s']:8.0f} "
            f"{total / BUDGET_BYTES_PER_S:9.2f} {row['core_percent']:7.3f}"
        )


def main():
    """Run the scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=200)
    parser.add_argument("--changes", type=int, default=4)
    parser.add_argument("--workspaces", type=int, default=10)
    options = parser.parse_args()
    scenarios = [
        Scenario("baseline: poll every 10 s", 0.0, 10.0, has_gossip=False),
        Scenario("log up", 0.0),
        Scenario("baseline, log down for half", 0.5, 10.0, has_gossip=False),
        Scenario("log down for half", 0.5),
        Scenario("log down for all but one", 1 - 1 / options.nodes),
    ]
    rows = []
    for scenario in scenarios:
        simulation = Simulation(scenario, options.nodes, options.workspaces)
        rows.append(summarize(scenario, simulation.run(options.changes), options.nodes))
    record = len(sign_record("bundle", bundle(1, options.workspaces), OPERATOR))
    print(
        f"{options.nodes} nodes, {options.changes} changes, record of {record} bytes, loss {LOSS}"
    )
    show(rows)
    print(
        json.dumps({"benchmark": "rollout", **vars(options), "record_bytes": record, "rows": rows})
    )


if __name__ == "__main__":
    main()
