"""Cost of a node, the log and recovery at the design size, from the fitted lines.

What the design page does not state is an assumption, listed in ``ASSUMPTIONS``.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from capacity_control import AGENTS, DOMAINS, ENTRIES, MEMBERS, REGIONS, gossip_bytes
from capacity_endpoint import EVENTS_PER_S
from capacity_fit import Fit

DAY_S = 86_400
CHANGES_A_DAY = 2300
RESTARTS_A_DAY = 690
REQUESTS_PER_S = 18_000
BUDGET_CPU_PERCENT, BUDGET_MEMORY, BUDGET_BYTES_PER_S = 1.4, 256e6, 2e3
LOG_APPENDS_PER_S = 300
REGION_LINK_BYTES_PER_S = 4e6 / 8
BASE64 = 4 / 3
PROBES, RECORDS_PER_REQUEST = 4, 4
MODELS = 4
HOST_LIST_S, LOG_POLL_S, SHARES_POLL_S, QUOTA_TICK_S = 5.0, 10.0, 1.0, 0.05
LOAD_POLLS_PER_S = 10.0
READERS_PER_DOMAIN = 2
FANOUT = 3
# Each of two nodes connects to the other.
CONNECTIONS_PER_PEER = 2
HEARTBEAT_S, SLOW_HEARTBEAT_S = 0.5, 30.0
FEW_PEERS = 100
CLAIMED, SERVICES, APPEND_S = 0.01, 20, 0.02
CLAIM_WINDOW_S = 3600

ASSUMPTIONS = {
    "bundle": "2 keys per workspace, 2,400 endpoints, 4 models",
    "request": "16,384 prompt tokens, 339 output tokens, one chunk per token, 4 probes, 4 records",
    "revocations": "1,000 that no bundle has taken up yet",
    "claims": "1% of the requests at 20 services of one agent each, kept 1 h, 20 ms per append",
    "loads": "one change of weights on all engines a day",
    "log": "300 appends/s",
    "region link": "4 Mbit/s",
}


@dataclass(slots=True, frozen=True)
class Row:
    """Cost of one part of a node; ``None`` where a part has no such cost.

    :param cpu: percent of a core.
    :param memory: bytes.
    :param rate: bytes per second, both directions.
    """

    part: str
    mechanism: str
    cpu: float = 0.0
    memory: float = 0.0
    rate: float = 0.0


class Model:
    """Evaluates the fitted lines.

    :param fits: fitted line by the name of its slope.
    :param process_memory: resident memory of a process without state, in bytes.
    """

    def __init__(self, fits: dict[str, Fit], process_memory: float) -> None:
        self.fits = fits
        self.process_memory = process_memory

    def at(self, name: str) -> float:
        """Return a cost at the design size."""
        return self.fits[name].at_full

    def each(self, name: str) -> float:
        """Return the cost of one more."""
        return self.fits[name].per_size

    def background(self, role: str) -> list[Row]:
        """Return the cost of a node that serves no request."""
        rows = [
            Row("process", "code and libraries", memory=self.process_memory),
            self._gossip(),
            Row(
                "idle connections",
                "full mesh, heartbeat each 500 ms",
                self.at("peers.cpu") / 10,
                self.at("peers.memory"),
                CONNECTIONS_PER_PEER * self.at("peers.bytes"),
            ),
            Row(
                "host list",
                "whole list each 5 s",
                self.at("members.host_list_cpu") / HOST_LIST_S / 1e4,
                rate=self.at("members.host_list_bytes") / HOST_LIST_S,
            ),
            self._config(),
            Row("revocations", "grow-only set", memory=self.at("revocations.memory")),
            Row("decision records", "bounded ring", memory=self.at("records.memory")),
        ]
        return rows + (self._entry() if role == "entry" else self._agent())

    def _gossip(self) -> Row:
        """Return a second of gossip with the members' changes of an ordinary day."""
        pair = gossip_bytes(1) + gossip_bytes(0)
        # A restart is news twice: the process leaves, and its successor is there.
        resends = 3 * math.log2(MEMBERS)
        news = 2 * RESTARTS_A_DAY / DAY_S * resends * self.each("members.gossip_bytes")
        urgent = RESTARTS_A_DAY / DAY_S * 4 * 3 * gossip_bytes(1)
        return Row(
            "members, gossip",
            "epidemic push, bounded deltas",
            self.at("members.gossip_cpu") / 1e4,
            self.at("members.memory"),
            2 * (pair + news + urgent),
        )

    def _poll(self, interval_s: float) -> tuple[float, float]:
        """Return percent of a core and bytes/s of long polls that find nothing."""
        return self.each("polls.cpu") / interval_s / 1e4, self.each("polls.bytes") / interval_s

    def _config(self) -> Row:
        cpu, rate = self._poll(LOG_POLL_S)
        changes = CHANGES_A_DAY / DAY_S
        announced = changes * 2 * 3 * gossip_bytes(0)
        return Row(
            "configuration",
            "whole signed bundle, read from the log",
            cpu + changes * self.at("bundle.accept_cpu") / 10,
            # The old and the new bundle exist together while a version is taken over.
            2 * self.at("bundle.memory"),
            rate + announced + changes * BASE64 * self.at("bundle.record_bytes"),
        )

    def share_changes(self) -> float:
        """Return the changes of the share table per second."""
        return RESTARTS_A_DAY * ENTRIES / MEMBERS / DAY_S

    def _entry(self) -> list[Row]:
        cpu, rate = self._poll(SHARES_POLL_S)
        records = 2 * self.share_changes() + 1 / 1800
        return [
            Row(
                "quota shares",
                "escrow at 2 homes per region, table on the log",
                cpu
                + self.at("quota.tick_cpu") / QUOTA_TICK_S / 1e4
                + self.share_changes() * self.at("quota.change_cpu") / 10,
                self.at("quota.memory"),
                rate + records * BASE64 * self.at("quota.table_bytes"),
            ),
            Row(
                "placement",
                "rendezvous candidates, 2,048 slots",
                memory=2 * MODELS * self.at("route.memory"),
            ),
        ]

    def _agent(self) -> list[Row]:
        cpu, rate = self._poll(LOG_POLL_S)
        loads = 1 / DAY_S
        load_cpu, load_rate = self._poll(1 / LOAD_POLLS_PER_S)
        event_cpu, event_rate = self._poll(1 / EVENTS_PER_S)
        return [
            Row(
                "load leases",
                "leases on the log",
                cpu + loads * self.at("loads.read_cpu") / 10,
                self.at("loads.memory"),
                rate + loads * BASE64 * self.at("loads.bytes"),
            ),
            Row("ended requests", "fences for 900 s", memory=self.at("finished.memory")),
            Row(
                "engine: load reports",
                "10 polls/s, on the host",
                load_cpu,
                rate=load_rate,
            ),
            Row(
                "engine: cache events",
                "index at the agent, on the host",
                self.at("index.event_cpu") / 1e4,
                self.at("index.memory"),
                self.at("index.event_bytes"),
            ),
            Row(
                "engine: event polls",
                "a poll per event at most, on the host",
                event_cpu,
                rate=event_rate,
            ),
        ]

    def request(self, role: str) -> list[Row]:
        """Return the cost of one request, in microseconds, bytes and bytes of messages."""
        chunk = "chunk.entry_cpu" if role == "entry" else "chunk.agent_cpu"
        records = RECORDS_PER_REQUEST * self.each("records.add_cpu")
        copies = RECORDS_PER_REQUEST * self.each("records.copy_bytes")
        rows = [
            Row(
                "probes",
                "rendezvous candidates",
                PROBES * self.at("probe.cpu") / 2,
                rate=PROBES * self.at("probe.bytes"),
            ),
            Row("start", "one message", self.at("start.cpu"), rate=self.at("start.bytes")),
            Row("chunks", "numbered, window 64", self.at(chunk), rate=self.at("chunk.bytes")),
            Row("decision records", "ring, batched copies", records, rate=copies),
        ]
        if role == "entry":
            rows += [
                Row("key", "digest index", self.at("keys.find_cpu")),
                Row("prefix chain", "hash chain", self.at("chain.cpu")),
                Row("choice", "cost model", self.at("route.cpu")),
                Row(
                    "reservation",
                    "escrow, home entry",
                    2 * self.at("quota.reserve_cpu"),
                    rate=self.at("quota.request_bytes"),
                ),
            ]
        else:
            match = PROBES * self.at("index.match_cpu")
            rows += [
                Row("cache match", "index at the agent", match),
                Row("admission", "weighted fair queue", self.at("schedule.cpu")),
            ]
        return rows

    def log(self) -> list[dict]:
        """Return appends, readers and bytes of each stream."""
        restarts = RESTARTS_A_DAY * AGENTS / MEMBERS
        claimed = CLAIMED * REQUESTS_PER_S
        groups = SERVICES * min(1 / APPEND_S, 2 * claimed / SERVICES)
        share_appends = 2 * self.share_changes() + 1 / 1800
        load_bytes = self.at("loads.bytes") / DAY_S
        claim_bytes = claimed * self.each("claims.bytes") / SERVICES
        held = claimed / SERVICES * CLAIM_WINDOW_S
        rows = [
            self._stream(
                "config", CHANGES_A_DAY / DAY_S, self.at("bundle.record_bytes"), MEMBERS, LOG_POLL_S
            ),
            self._stream(
                "shares", share_appends, self.at("quota.table_bytes"), ENTRIES, SHARES_POLL_S
            ),
            self._stream(
                "loads",
                (restarts + 2 * AGENTS) / DAY_S,
                load_bytes / ((restarts + 2 * AGENTS) / DAY_S),
                AGENTS,
                LOG_POLL_S,
            ),
            # One stream per service; its agent is its only reader.
            self._stream(
                "claims.<service>", groups, claim_bytes * SERVICES / groups, 1, LOG_POLL_S
            ),
        ]
        states = [
            (2 * self.at("bundle.memory"), CHANGES_A_DAY / DAY_S * self.at("bundle.accept_cpu")),
            (self.at("quota.memory"), self.share_changes() * self.at("quota.change_cpu")),
            (self.at("loads.memory"), self.at("loads.read_cpu") / DAY_S),
            (
                held * self.each("claims.memory"),
                claimed / SERVICES * self.each("claims.read_cpu"),
            ),
        ]
        for row, (memory, cpu_ms_per_s) in zip(rows, states, strict=True):
            row |= {"state_bytes": memory, "reader_ms_per_s": cpu_ms_per_s}
        return rows

    def _stream(self, name: str, appends: float, size: float, readers: int, poll_s: float) -> dict:
        few = min(readers, READERS_PER_DOMAIN * DOMAINS)
        idle = self.each("polls.bytes") / poll_s
        one = appends * BASE64 * size + idle
        return {
            "stream": name,
            "appends_per_s": appends,
            "record_bytes": size,
            "of_rate": appends / LOG_APPENDS_PER_S,
            "readers": readers,
            "polls_per_s": readers / poll_s,
            "read_bytes_per_s": readers * one,
            "of_region_link": readers * one / REGIONS / REGION_LINK_BYTES_PER_S,
            "few_readers": few,
            "few_bytes_per_s": few * one,
            "few_of_region_link": few * one / REGIONS / REGION_LINK_BYTES_PER_S,
        }

    def alternatives(self) -> list[dict]:
        """Return what a node would send and receive with designs that are not built."""
        changes = CHANGES_A_DAY / DAY_S
        built = changes * BASE64 * self.at("bundle.record_bytes")
        whole = changes * (2 * gossip_bytes(0) + self.at("bundle.record_bytes"))
        part = changes * (2 * gossip_bytes(0) + FANOUT * self.at("bundle.change_bytes"))
        hosts = self.at("members.host_list_bytes") / HOST_LIST_S
        mesh = CONNECTIONS_PER_PEER * self.at("peers.bytes")
        neighbours = CONNECTIONS_PER_PEER * FEW_PEERS * self.each("peers.bytes")
        slow = neighbours * HEARTBEAT_S / SLOW_HEARTBEAT_S
        few = READERS_PER_DOMAIN * DOMAINS / MEMBERS
        rows = [
            ("configuration", "each node reads the log", built, True),
            ("configuration", "few readers, whole bundle from a peer", whole, False),
            ("configuration", "few readers, signed change pushed to 3 peers", part, False),
            ("host list", "each node reads it each 5 s", hosts, True),
            ("host list", "few readers, gossip; mean over the nodes", hosts * few, False),
            ("connections", "full mesh, heartbeat each 500 ms", mesh, True),
            ("connections", f"{FEW_PEERS} peers, heartbeat each 500 ms", neighbours, False),
            ("connections", f"{FEW_PEERS} peers, heartbeat each 30 s", slow, False),
        ]
        return [
            {"part": part, "design": design, "bytes_per_s": rate, "is_built": is_built}
            for part, design, rate, is_built in rows
        ]

    def peers_that_fit(self) -> dict[str, float]:
        """Return how many idle connections alone use up each budget."""
        return {
            "processor": 10 * BUDGET_CPU_PERCENT / self.each("peers.cpu"),
            "memory": BUDGET_MEMORY / self.each("peers.memory"),
            "bytes": BUDGET_BYTES_PER_S / CONNECTIONS_PER_PEER / self.each("peers.bytes"),
        }

    def recovery(self) -> list[dict]:
        """Return what restarted nodes fetch, and how long it takes."""
        bundle = BASE64 * self.at("bundle.record_bytes")
        hosts = self.at("members.host_list_bytes")
        common_s = (self.at("bundle.accept_cpu") + self.at("peers.connect_cpu")) / 1e3
        common_s += self.at("members.host_list_cpu") / 1e6
        shares = 2 * BASE64 * self.at("quota.table_bytes")
        entry_s = common_s + self.at("quota.rank_cpu") / 1e3
        agent_s = common_s + self.at("index.snapshot_cpu") / 1e3
        loads = BASE64 * self.at("loads.bytes")
        held = CLAIMED * REQUESTS_PER_S / SERVICES * CLAIM_WINDOW_S
        claims = BASE64 * held * self.each("claims.bytes")
        claims_s = held * self.each("claims.read_cpu") / 1e3
        entry, agent = bundle + hosts + shares, bundle + hosts + loads
        part = 1 / DOMAINS
        whole = ENTRIES * entry + AGENTS * agent
        per_region = whole / REGIONS
        rows: list[tuple[str, float, float]] = [
            ("one entry restarts", entry, entry_s),
            ("one agent restarts", agent, agent_s),
            ("one agent of a plain service restarts", bundle + hosts + claims, common_s + claims_s),
            ("a failure domain returns", whole * part, max(entry_s, agent_s)),
            ("all nodes restart", whole, max(entry_s, agent_s)),
            ("all nodes of a far region restart", per_region, max(entry_s, agent_s)),
        ]
        return [
            {
                "event": name,
                "bytes": size,
                "cpu_s": seconds,
                "link_s": size / REGION_LINK_BYTES_PER_S,
            }
            for name, size, seconds in rows
        ]


def total(rows: list[Row], of: Callable[[Row], bool] = lambda row: True) -> Row:
    """Return the sum of rows."""
    chosen = [row for row in rows if of(row)]
    return Row(
        "sum",
        "",
        sum(row.cpu for row in chosen),
        sum(row.memory for row in chosen),
        sum(row.rate for row in chosen),
    )
