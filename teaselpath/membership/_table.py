"""The member table of a node."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from random import Random

from teaselpath.membership._changes import (
    HOST_LIST_LAG_S,
    apply_delta,
    apply_listed,
    declare_gone,
    declare_leaving,
    is_silent,
    start_incarnation,
)
from teaselpath.membership._config import ConfigSync
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
    ReplySeen,
    RevocationAdded,
)
from teaselpath.membership._member import OWN_MISS, REFUTED_S, Member
from teaselpath.membership._spread import DeltaQueue
from teaselpath.utils import rendezvous_top
from teaselpath.wire import Gossip, MemberDelta, Revocation, Send

GOSSIP_INTERVAL_S = 1.0
# News that must be known everywhere within seconds are sent at once to this many peers.
FANOUT = 3
DELTAS_PER_MESSAGE = 4
REPLY_TIMEOUT_S = 2.0
FORGET_AFTER_S = 600.0
# A young process puts its own addresses into its messages, for peers whose host list lags.
INTRODUCE_S = 120.0
# One contact in this many goes to a member that seems gone, so that a healed partition is noticed.
GONE_CONTACT_EVERY = 8
MAX_MEMBERS = 10_000
# The states that time changes are looked at this often.
AGE_INTERVAL_S = 5.0
DRAWS_PER_PEER = 8
# Suspects that are tried directly each time.
SUSPECTS_PER_ROUND = 3

URGENT_ROUNDS = 4
URGENT_INTERVAL_S = 0.4

TableAction = Send | MemberChanged


@dataclass(slots=True)
class _Urgent:
    """News that is sent in ``rounds`` more rounds."""

    rounds: int
    next_at: float


class MemberTable:
    """Members, their incarnations and states, and the gossip between them.

    :param self_member: this process; its incarnation must rise with each start.
    :param seeds: peers from the settings, for when the host list is down.
    :param random: source of the choice of peers.
    """

    def __init__(self, self_member: Member, seeds: Iterable[Member], random: Random) -> None:
        self.self_host = self_member.host
        self.random = random
        self.members: dict[str, Member] = {self_member.host: self_member}
        for seed in seeds:
            self.members.setdefault(seed.host, seed)
        self.config = ConfigSync(self.self_host, random)
        self.news = DeltaQueue()
        self.awaited: dict[str, float] = {}
        self.share_table = 0  # version of the share table, set by the owner of the quota core
        self.gossip_at = float("-inf")
        self.introduce_until: float | None = None
        self.rounds = 0
        self.urgent: dict[str, _Urgent] = {}
        self.hosts: list[str] = []
        self.serving: list[Member] | None = None
        self.age_at = float("-inf")

    @property
    def self_member(self) -> Member:
        """This process."""
        return self.members[self.self_host]

    def handle(self, event: MemberEvent, now: float) -> list[TableAction]:
        """Apply an event."""
        actions: list[TableAction] = []
        match event:
            case HostList(hosts):
                actions += self._take_host_list(hosts, now)
            case GossipReceived(gossip):
                actions += self._take_gossip(gossip, now)
            case PullReceived(pull):
                actions += self.config.answer(pull)
            case ReplySeen(host) if host in self.members:
                actions += self._change(host, lambda member: self._hear(member, now), now)
            case ProbeMissed(host, path):
                actions += self._miss(host, f"{OWN_MISS}{path}", now)
            case LeaveStarted():
                actions += self._change(self.self_host, declare_leaving, now)
            case ConfigChanged():
                if self.config.change(event):
                    actions += self._send_at_once()
            case RevocationAdded(data):
                actions += [Send(host, Revocation(data)) for host in self._peers(FANOUT)]
            case LogChecked(is_reachable):
                self.config.is_log_reachable = is_reachable
        return actions + self._send_urgent(now)

    def tick(self, now: float) -> list[TableAction]:
        """Do what is due; call it a few times per second."""
        actions: list[TableAction] = []
        for host in [host for host, deadline in self.awaited.items() if now >= deadline]:
            del self.awaited[host]
            actions += self._miss(host, f"{OWN_MISS}gossip", now)
        if self.config.has_gap and self.config.pull_at == float("inf"):
            self.config.pull_at = now
        if now >= self.config.pull_at:
            actions += self.config.due_pulls(now, next(iter(self._peers(1)), ""))
        if now >= self.age_at:
            self.age_at = now + AGE_INTERVAL_S
            actions += self._age(now)
        if now >= self.gossip_at:
            self.gossip_at = now + GOSSIP_INTERVAL_S
            actions += [self._ask(host, now) for host in self._contacts(now)]
        return actions + self._send_urgent(now)

    def serving_endpoints(self) -> list[Member]:
        """Return the agents that may get new work; the list must not be changed."""
        if self.serving is None:
            self.serving = [
                m for m in self.members.values() if m.role == "agent" and m.state == "alive"
            ]
        return self.serving

    def entries(self) -> list[Member]:
        """Return the entries; a suspect one is among them.

        Suspicion differs between nodes, and the homes of a workspace must not move with it.
        """
        states = ("alive", "suspect")
        return [m for m in self.members.values() if m.role == "entry" and m.state in states]

    def is_responsible_for(self, key: bytes) -> bool:
        """Return whether this node is the one that does a job for all, such as a renewal."""
        hosts = [m.host for m in self.members.values() if m.state in ("alive", "suspect")]
        return rendezvous_top(key, hosts, 1) == [self.self_host]

    # Host list

    def _take_host_list(self, hosts: Sequence[ListedHost], now: float) -> list[TableAction]:
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
        """Start to leave if the host list says so, but not for the previous process's sake."""
        if not member.is_listed:
            member.is_listed = True
            member.list_trusted_at = now + HOST_LIST_LAG_S
        if entry.state == "leaving" and now >= member.list_trusted_at:
            member.is_listed_leaving = True

    # Gossip

    def _take_gossip(self, gossip: Gossip, now: float) -> list[TableAction]:
        if gossip.host == self.self_host:
            return []
        actions: list[TableAction] = []
        for delta in gossip.members:
            actions += self._merge(delta, gossip.host, now)
        member = self.members.get(gossip.host)
        if member is None or gossip.incarnation < member.incarnation:
            return actions  # without an address, or from a process that was replaced
        actions += self._change(
            gossip.host, lambda m: self._hear_gossip(m, gossip.incarnation, now), now
        )
        actions += self.config.compare(gossip, now)
        if not gossip.reply:
            actions.append(Send(gossip.host, self._gossip(now, is_reply=True)))
        return actions

    def _merge(self, delta: MemberDelta, observer: str, now: float) -> list[TableAction]:
        member = self.members.get(delta.host)
        if delta.host == self.self_host:
            return []
        if member is None and (delta.state == "gone" or len(self.members) >= MAX_MEMBERS):
            return []
        known = member.incarnation if member else -1
        if delta.incarnation < known:
            return []
        if delta.state in ("suspect", "gone") and delta.incarnation == known:
            if member is not None and now >= member.last_contact_at + REFUTED_S:
                return self._miss(delta.host, observer, now)
            return []
        return self._change(delta.host, lambda m: apply_delta(m, delta, now), now)

    def _hear_gossip(self, member: Member, incarnation: int, now: float) -> None:
        if incarnation > member.incarnation:
            start_incarnation(member, incarnation, now)
        self._hear(member, now)

    def _hear(self, member: Member, now: float) -> None:
        self.awaited.pop(member.host, None)
        member.last_contact_at = now
        member.clear_suspicion()

    def _miss(self, host: str, source: str, now: float) -> list[TableAction]:
        member = self.members.get(host)
        if member is None or host == self.self_host or member.is_gone:
            return []
        is_news = not member.has_own_miss
        was_suspect = member.is_suspect
        actions = self._change(host, lambda m: m.add_miss(source, now), now)
        if is_news and source.startswith(OWN_MISS):
            self.news.add(host, len(self.members))
        if member.is_suspect and not was_suspect:
            actions.append(self._ask(host, now))  # the suspicion came from others: try it directly
        return actions

    # Time

    def _age(self, now: float) -> list[TableAction]:
        actions: list[TableAction] = []
        suspects = [m.host for m in self.members.values() if m.is_suspect and not m.is_gone]
        for host in suspects[:SUSPECTS_PER_ROUND]:
            actions.append(self._ask(host, now))
        for member in list(self.members.values()):
            if member.host == self.self_host:
                continue
            if member.is_gone:
                if not member.is_listed and now >= member.gone_at + FORGET_AFTER_S:
                    del self.members[member.host]
                    self.hosts = []
                    self.serving = None
            elif is_silent(member, now):
                actions += self._change(member.host, declare_gone, now)
                member.gone_at = now
        return actions

    def _contacts(self, now: float) -> list[str]:
        self.rounds += 1
        hosts = self._peers(1)
        if self.rounds % GONE_CONTACT_EVERY == 0:
            hosts += self._some_gone()
        return [host for host in dict.fromkeys(hosts) if host not in self.awaited]

    def _some_gone(self) -> list[str]:
        gone = [m.host for m in self.members.values() if m.is_gone and m.address]
        return [self.random.choice(gone)] if gone else []

    def _ask(self, host: str, now: float) -> Send:
        self.awaited.setdefault(host, now + REPLY_TIMEOUT_S)
        return Send(host, self._gossip(now, is_reply=False))

    def _gossip(self, now: float | None, is_reply: bool, first: Sequence[str] = ()) -> Gossip:
        hosts = dict.fromkeys(first)
        if now is not None:
            if self.introduce_until is None:
                self.introduce_until = now + INTRODUCE_S
            if now < self.introduce_until or self.self_member.state == "leaving":
                hosts[self.self_host] = None
            hosts.update(dict.fromkeys(self.news.take(DELTAS_PER_MESSAGE - len(hosts))))
            if len(hosts) < DELTAS_PER_MESSAGE and not is_reply:
                # Repairs what earlier messages lost, one member at a time.
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

    def _send_at_once(self, first: Sequence[str] = ()) -> list[TableAction]:
        """Tell a few random peers, who do the same if it is news to them."""
        return [
            Send(host, self._gossip(None, is_reply=True, first=first))
            for host in self._peers(FANOUT)
        ]

    def _send_urgent(self, now: float) -> list[TableAction]:
        """Send the news that must be known within seconds, in a few rounds.

        One round of an epidemic with this fan-out misses some 6% of the nodes.
        """
        due = [host for host, urgent in self.urgent.items() if now >= urgent.next_at]
        for host in due:
            urgent = self.urgent[host]
            urgent.rounds -= 1
            urgent.next_at = now + URGENT_INTERVAL_S
            if urgent.rounds <= 0:
                del self.urgent[host]
        return self._send_at_once(due[:DELTAS_PER_MESSAGE]) if due else []

    def _peers(self, count: int) -> list[str]:
        """Return random members that may answer.

        Drawing again is cheaper than filtering thousands of members; the filter is for tables in
        which most members are gone.
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
        """Apply a change to a member and report it if its state or incarnation differs."""
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
            self.urgent[host] = _Urgent(URGENT_ROUNDS, now)
        self.news.add(host, len(self.members))
        is_restart = bool(previous) and member.incarnation > incarnation
        return [MemberChanged(member, previous, member.state, is_restart)]
