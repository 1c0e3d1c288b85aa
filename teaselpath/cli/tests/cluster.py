"""Test nodes, each with a bundle state and a member table, and an in-memory log."""

from random import Random

from teaselpath.bundle import Accepted, BundleState, Rejected
from teaselpath.membership import (
    ConfigChanged,
    GossipReceived,
    LogChecked,
    Member,
    MemberTable,
    PullReceived,
    RevocationAdded,
)
from teaselpath.wire import ConfigPull, ConfigPush, Gossip, Revocation, Send, SignedRecord


class MemoryLog:
    """In-memory log with outages and trimming."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.is_up = True

    def append(self, data):
        """Append a record and return its offset."""
        self.records.append(data)
        return len(self.records) - 1

    def read(self, offset, limit):
        """Return the first retained offset at or above ``offset`` and the records from there."""
        start = max(offset, self.first)
        data = self.records[start : start + limit]
        return start, [SignedRecord(start + i, record) for i, record in enumerate(data)]


class Node:
    """One node: its cores, connected as the outer layer of a process connects them."""

    def __init__(self, host, hosts, operators, incarnation, random):
        self.host = host
        self.state = BundleState(operators)
        members = {h: Member(h, role="entry", address="127.0.0.1") for h in hosts}
        members[host].incarnation = incarnation
        self.table = MemberTable(members.pop(host), members.values(), random)
        self.rejections = {}
        self.accepted = []
        self.member_changes = []

    def read_log(self, log, limit, now):
        """Read from the log if it is available; return the messages to send."""
        actions = self.table.handle(LogChecked(log.is_up), now)
        if log.is_up:
            start, records = log.read(self.state.next_offset, limit)
            self.state.skip_to(start)
            for record in records:
                events = self.state.handle(record, now)
                self.record_accepted(events, now)
                self.rejections |= {
                    e.offset: e.failure.code for e in events if isinstance(e, Rejected)
                }
            actions += self.report_config(now)
        return self.extract_messages(actions)

    def receive(self, message, now):
        """Handle a message; return the messages to send."""
        actions = []
        match message:
            case Gossip():
                actions += self.table.handle(GossipReceived(message), now)
            case ConfigPull():
                actions += self.table.handle(PullReceived(message), now)
            case ConfigPush(_, records, revocations):
                for record in records:
                    self.record_accepted(self.state.install(record, now), now)
                for data in revocations:
                    actions += self.revoke(data, now)
                actions += self.report_config(now)
            case Revocation(data):
                actions += self.revoke(data, now) + self.report_config(now)
        return self.extract_messages(actions)

    def tick(self, now):
        """Run the timers; return the messages to send."""
        return self.extract_messages(self.table.tick(now))

    def revoke(self, data, now):
        """Add a revocation; if it is new, return the actions that distribute it."""
        if self.state.revocations.add(data, self.state.operator_keys).unwrap_or(False):
            return self.table.handle(RevocationAdded(data), now)
        return []

    def record_accepted(self, events, now):
        """Record when a version came into force."""
        self.accepted += [(e.version, now) for e in events if isinstance(e, Accepted)]

    def report_config(self, now):
        """Pass the configuration in force to the member table."""
        state = self.state
        return self.table.handle(
            ConfigChanged(
                state.attested_record(),
                state.version,
                state.digest,
                state.revocations.digest,
                state.revocations.records,
                state.has_gap,
            ),
            now,
        )

    def extract_messages(self, actions):
        """Return the messages among the actions; store the others as member changes."""
        self.member_changes += [a for a in actions if not isinstance(a, Send)]
        return [(self.host, a.host, a.message) for a in actions if isinstance(a, Send)]


def make_nodes(count, operators, seed=1):
    """Return ``count`` nodes, each with all others in its member table."""
    hosts = [f"n{i}" for i in range(count)]
    return {
        host: Node(host, hosts, operators, 1, Random(seed * 1000 + i))
        for i, host in enumerate(hosts)
    }
