"""Member table of a node."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

from teaselpath.membership._changes import (
    HOST_LIST_LAG_S,
    apply_delta,
    apply_listed,
    has_timed_out,
    mark_gone,
    mark_leaving,
    start_incarnation,
)
from teaselpath.membership._config import ConfigSync
from teaselpath.membership._delta_queue import DeltaQueue
from teaselpath.membership._events import (
    ConfigChanged,
    GossipReceived,
    HostList,
    LeaveStarted,
    ListedHost,
    LogChecked,
    MemberChanged,
    MemberEvent,
    ProbeMissed,
    PullReceived,
    ReplyReceived,
    RevocationAdded,
)
from teaselpath.membership._member import OWN_SOURCE_PREFIX, REFUTATION_GRACE_PERIOD_S, Member
from teaselpath.utils import rendezvous_top
from teaselpath.wire import Gossip, MemberDelta, Revocation, Send

GOSSIP_INTERVAL_S = 1.0
# Urgent changes, which all nodes must learn within seconds, are sent to this many peers at once.
FANOUT = 3
DELTAS_PER_MESSAGE = 4
REPLY_TIMEOUT_S = 2.0
# A gone member that is not in the host list is removed after this time.
GONE_RETENTION_S = 600.0
# After its start, a process sends its own addresses for this long, as peers' host lists may lag.
SELF_ANNOUNCE_S = 120.0
# One gossip round in this many contacts a gone member too, so that a healed partition is detected.
GONE_CONTACT_INTERVAL_ROUNDS = 8
MAX_MEMBERS = 10_000
# Interval between the checks for state changes due to timeouts.
TIMEOUT_CHECK_INTERVAL_S = 5.0
# Random draws per requested peer, after which all members are filtered instead.
DRAWS_PER_PEER = 8
# Maximum number of suspects that are contacted directly in each timeout check.
MAX_SUSPECTS_PER_CHECK = 3

# An urgent change is sent in this many rounds, with this interval between them.
URGENT_ROUNDS = 4
URGENT_INTERVAL_S = 0.4

TableAction = Send | MemberChanged


@dataclass(slots=True)
class _UrgentChange:
    """An urgent change, to be sent in ``rounds`` more rounds."""

    rounds: int
    next_at: float


class MemberTable:
    """Members with their incarnations and states, and the gossip between them.

    :param self_member: this process; its incarnation must increase with each start.
    :param seeds: peers from the settings, used while the host list is unavailable.
    :param random: random number generator for the choice of peers.
    """

    def __init__(self, self_member: Member, seeds: Iterable[Member], random: Random) -> None:
        self.self_host = self_member.host
        self.random = random
        self.members: dict[str, Member] = {self_member.host: self_member}
        for seed in seeds:
            self.members.setdefault(seed.host, seed)
        self.config = ConfigSync(self.self_host, random)
        self.pending_deltas = DeltaQueue()
        self.reply_deadlines: dict[str, float] = {}
        # Version of the share table in outgoing gossip; 0 unless set from outside.
        self.share_table = 0
        self.next_gossip_at = float("-inf")
        self.announce_until: float | None = None
        self.rounds = 0
        self.urgent: dict[str, _UrgentChange] = {}
        self.hosts: list[str] = []
        self.serving: list[Member] | None = None
        self.next_timeout_check_at = float("-inf")

    @property
    def self_member(self) -> Member:
        """This process."""
        return self.members[self.self_host]

    def handle(self, event: MemberEvent, now: float) -> list[TableAction]:
        """Apply an event."""
        actions: list[TableAction] = []
        match event:
            case HostList(hosts):
                actions += self._handle_host_list(hosts, now)
            case GossipReceived(gossip):
                actions += self._handle_gossip(gossip, now)
            case PullReceived(pull):
                actions += self.config.respond(pull)
            case ReplyReceived(host) if host in self.members:
                actions += self._change(host, lambda member: self._record_contact(member, now), now)
            case ProbeMissed(host, message_kind):
                actions += self._record_miss(host, f"{OWN_SOURCE_PREFIX}{message_kind}", now)
            case LeaveStarted():
                actions += self._change(self.self_host, mark_leaving, now)
            case ConfigChanged():
                if self.config.update(event):
                    actions += self._push_gossip()
            case RevocationAdded(data):
                actions += [Send(host, Revocation(data)) for host in self._peers(FANOUT)]
            case LogChecked(is_reachable):
                self.config.is_log_reachable = is_reachable
        return actions + self._send_urgent(now)

    def tick(self, now: float) -> list[TableAction]:
        """Return the actions that are due; call this a few times per second."""
        actions: list[TableAction] = []
        for host in [host for host, deadline in self.reply_deadlines.items() if now >= deadline]:
            del self.reply_deadlines[host]
            actions += self._record_miss(host, f"{OWN_SOURCE_PREFIX}gossip", now)
        if self.config.has_gap and self.config.next_pull_at == float("inf"):
            self.config.next_pull_at = now
        if now >= self.config.next_pull_at:
            actions += self.config.due_pulls(now, next(iter(self._peers(1)), ""))
        if now >= self.next_timeout_check_at:
            self.next_timeout_check_at = now + TIMEOUT_CHECK_INTERVAL_S
            actions += self._apply_timeouts(now)
        if now >= self.next_gossip_at:
            self.next_gossip_at = now + GOSSIP_INTERVAL_S
            actions += [self._request_gossip(host, now) for host in self._gossip_targets(now)]
        return actions + self._send_urgent(now)

    def serving_agents(self) -> list[Member]:
        """Return the agents that accept new requests; the list must not be modified."""
        if self.serving is None:
            self.serving = [
                m for m in self.members.values() if m.role == "agent" and m.state == "alive"
            ]
        return self.serving

    def entries(self) -> list[Member]:
        """Return the entries, including suspect ones.

        Suspicions differ between nodes, and the shareholders of a workspace must not depend on
        them.
        """
        states = ("alive", "suspect")
        return [m for m in self.members.values() if m.role == "entry" and m.state in states]

    def is_responsible_for(self, key: bytes) -> bool:
        """Return whether this node is the one that does a job for all nodes.

        :param key: selects the node; for the renewal of the accepted record, its digest.
        """
        hosts = [m.host for m in self.members.values() if m.state in ("alive", "suspect")]
        return rendezvous_top(key, hosts, 1) == [self.self_host]

    # Host list

    def _handle_host_list(self, hosts: Sequence[ListedHost], now: float) -> list[TableAction]:
        actions: list[TableAction] = []
        listed = {entry.host: entry for entry in hosts if entry.host != self.self_host}
        own = next((entry for entry in hosts if entry.host == self.self_host), None)
        if own is not None:
            actions += self._change(self.self_host, partial(self._apply_own, own, now), now)
        for host, entry in listed.items():
            if host not in self.members and len(self.members) >= MAX_MEMBERS:
                continue
            actions += self._change(host, partial(apply_listed, entry=entry, now=now), now)
        for host, member in self.members.items():
            if host not in listed and host != self.self_host:
                member.is_listed = False
                if member.unlisted_since is None:
                    member.unlisted_since = now
        return actions

    def _apply_own(self, entry: ListedHost, now: float, member: Member) -> None:
        """Start to leave if the host list says so, unless it may be about the previous process."""
        if not member.is_listed:
            member.is_listed = True
            member.list_trusted_at = now + HOST_LIST_LAG_S
        if entry.state == "leaving" and now >= member.list_trusted_at:
            member.is_listed_leaving = True

    # Gossip

    def _handle_gossip(self, gossip: Gossip, now: float) -> list[TableAction]:
        if gossip.host == self.self_host:
            return []
        actions: list[TableAction] = []
        for delta in gossip.members:
            actions += self._merge(delta, gossip.host, now)
        member = self.members.get(gossip.host)
        if member is None or gossip.incarnation < member.incarnation:
            return actions  # no known address, or sent by a previous incarnation
        actions += self._change(
            gossip.host, lambda m: self._record_gossip(m, gossip.incarnation, now), now
        )
        actions += self.config.compare(gossip, now)
        if not gossip.reply:
            actions.append(Send(gossip.host, self._build_gossip(now, is_reply=True)))
        return actions

    def _merge(self, delta: MemberDelta, source: str, now: float) -> list[TableAction]:
        member = self.members.get(delta.host)
        if delta.host == self.self_host:
            return []
        if member is None and (delta.state == "gone" or len(self.members) >= MAX_MEMBERS):
            return []
        known = member.incarnation if member else -1
        if delta.incarnation < known:
            return []
        if delta.state in ("suspect", "gone") and delta.incarnation == known:
            if member is not None and now >= member.last_contact_at + REFUTATION_GRACE_PERIOD_S:
                return self._record_miss(delta.host, source, now)
            return []
        return self._change(delta.host, lambda m: apply_delta(m, delta, now), now)

    def _record_gossip(self, member: Member, incarnation: int, now: float) -> None:
        if incarnation > member.incarnation:
            start_incarnation(member, incarnation, now)
        self._record_contact(member, now)

    def _record_contact(self, member: Member, now: float) -> None:
        self.reply_deadlines.pop(member.host, None)
        member.last_contact_at = now
        member.mark_reachable()

    def _record_miss(self, host: str, source: str, now: float) -> list[TableAction]:
        member = self.members.get(host)
        if member is None or host == self.self_host or member.is_gone:
            return []
        is_first_own_miss = not member.has_own_miss
        was_suspect = member.is_suspect
        actions = self._change(host, lambda m: m.add_miss(source, now), now)
        if is_first_own_miss and source.startswith(OWN_SOURCE_PREFIX):
            self.pending_deltas.add(host, len(self.members))
        if member.is_suspect and not was_suspect:
            # The suspicion may come from other nodes only, so check it directly.
            actions.append(self._request_gossip(host, now))
        return actions

    # Time

    def _apply_timeouts(self, now: float) -> list[TableAction]:
        actions: list[TableAction] = []
        suspects = [m.host for m in self.members.values() if m.is_suspect and not m.is_gone]
        for host in suspects[:MAX_SUSPECTS_PER_CHECK]:
            actions.append(self._request_gossip(host, now))
        for member in list(self.members.values()):
            if member.host == self.self_host:
                continue
            if member.is_gone:
                if not member.is_listed and now >= member.gone_at + GONE_RETENTION_S:
                    del self.members[member.host]
                    self.hosts = []
                    self.serving = None
            elif has_timed_out(member, now):
                actions += self._change(member.host, mark_gone, now)
                member.gone_at = now
        return actions

    def _gossip_targets(self, now: float) -> list[str]:
        self.rounds += 1
        hosts = self._peers(1)
        if self.rounds % GONE_CONTACT_INTERVAL_ROUNDS == 0:
            hosts += self._random_gone_host()
        return [host for host in dict.fromkeys(hosts) if host not in self.reply_deadlines]

    def _random_gone_host(self) -> list[str]:
        gone = [m.host for m in self.members.values() if m.is_gone and m.address]
        return [self.random.choice(gone)] if gone else []

    def _request_gossip(self, host: str, now: float) -> Send:
        self.reply_deadlines.setdefault(host, now + REPLY_TIMEOUT_S)
        return Send(host, self._build_gossip(now, is_reply=False))

    def _build_gossip(self, now: float | None, is_reply: bool, first: Sequence[str] = ()) -> Gossip:
        """Return a gossip message.

        :param now: None for a push, which contains only the deltas of ``first``.
        :param first: hosts whose deltas are included before others.
        """
        hosts = dict.fromkeys(first)
        if now is not None:
            if self.announce_until is None:
                self.announce_until = now + SELF_ANNOUNCE_S
            if now < self.announce_until or self.self_member.state == "leaving":
                hosts[self.self_host] = None
            hosts.update(
                dict.fromkeys(self.pending_deltas.next_hosts(DELTAS_PER_MESSAGE - len(hosts)))
            )
            if len(hosts) < DELTAS_PER_MESSAGE and not is_reply:
                # Anti-entropy: one random member per message repairs deltas that were lost.
                hosts[self.random.choice(self._known_hosts())] = None
        config = self.config
        return Gossip(
            self.self_host,
            self.self_member.incarnation,
            config.offset,
            config.version,
            config.digest,
            [self.members[host].delta() for host in hosts if host in self.members],
            config.revocation_digest,
            self.share_table,
            is_reply,
        )

    def _push_gossip(self, first: Sequence[str] = ()) -> list[TableAction]:
        """Send gossip to a few random peers, which forward what is new to them.

        The messages are marked as replies, so that the receivers do not reply.
        """
        return [
            Send(host, self._build_gossip(None, is_reply=True, first=first))
            for host in self._peers(FANOUT)
        ]

    def _send_urgent(self, now: float) -> list[TableAction]:
        """Send urgent changes, which all nodes must learn within seconds, in several rounds.

        A single round of epidemic broadcast with this fan-out misses about 6% of the nodes.
        """
        due = [host for host, urgent in self.urgent.items() if now >= urgent.next_at]
        for host in due:
            urgent = self.urgent[host]
            urgent.rounds -= 1
            urgent.next_at = now + URGENT_INTERVAL_S
            if urgent.rounds <= 0:
                del self.urgent[host]
        return self._push_gossip(due[:DELTAS_PER_MESSAGE]) if due else []

    def _peers(self, count: int) -> list[str]:
        """Return random members that can be contacted.

        Rejection sampling is cheaper than filtering thousands of members; the filter is the
        fallback for tables in which most members are gone.
        """
        hosts = self._known_hosts()
        chosen: dict[str, None] = {}
        for _ in range(DRAWS_PER_PEER * count):
            host = hosts[int(self.random.random() * len(hosts))]
            if self._is_peer(host):
                chosen[host] = None
            if len(chosen) == count:
                return list(chosen)
        peers = [host for host in hosts if self._is_peer(host)]
        return self.random.sample(peers, min(count, len(peers)))

    def _known_hosts(self) -> list[str]:
        if not self.hosts:
            self.hosts = list(self.members)
        return self.hosts

    def _is_peer(self, host: str) -> bool:
        member = self.members.get(host)
        if member is None or host == self.self_host:
            return False
        return bool(member.address) and not member.is_gone

    def _change(
        self, host: str, change: Callable[[Member], object], now: float
    ) -> list[TableAction]:
        """Apply a change to a member and report it if the state or the incarnation changed."""
        member = self.members.get(host)
        previous, incarnation, was_leaving = "", -1, False
        if member is None:
            member = self.members[host] = Member(host)
            self.hosts = []
        else:
            previous, incarnation = member.state, member.incarnation
            was_leaving = member.has_declared_leaving
        change(member)
        self.serving = None if member.state != previous else self.serving
        if member.state == previous and member.incarnation == incarnation:
            return []
        if member.has_declared_leaving and not was_leaving:
            self.urgent[host] = _UrgentChange(URGENT_ROUNDS, now)
        self.pending_deltas.add(host, len(self.members))
        is_restart = bool(previous) and member.incarnation > incarnation
        return [MemberChanged(member, previous, member.state, is_restart)]
