"""Control plane of a process: bundle, revocations, members, decision records."""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Protocol

import aiohttp
from eliot import log_message
from result import Err, Ok

from teaselpath.bundle import Bundle, BundleState, KeyIndex, RevocationSet
from teaselpath.clients import HostListClient, LogClient, LogRecord, Settings
from teaselpath.control._config import CONFIG_STREAM, ConfigService
from teaselpath.control._log_follower import LogFollower
from teaselpath.control._metrics import Metrics
from teaselpath.control._operator import OperatorRequests
from teaselpath.membership import (
    ConfigChanged,
    GossipReceived,
    HostList,
    LeaveStarted,
    LogChecked,
    Member,
    MemberChanged,
    MemberTable,
    PullReceived,
    RevocationAdded,
)
from teaselpath.records import DecisionLog
from teaselpath.transport import CurveKeys, KeyAllowList, Node, PeerLost, Received
from teaselpath.utils import rendezvous_top
from teaselpath.wire import (
    Append,
    ConfigPull,
    ConfigPush,
    Control,
    DecisionRecord,
    Gossip,
    Revocation,
    Send,
    TraceCopy,
)

TICK_S = 0.2
COPY_BATCH = 50
READERS_PER_DOMAIN = 3
PLATFORM_TIMEOUT_S = 3.0


class Role(Protocol):
    """The part of the process that serves requests."""

    def deliver(self, event: Received | PeerLost) -> None:
        """Take a message that the control plane does not handle."""

    def bundle_changed(self, bundle: Bundle) -> None:
        """Take a bundle that is in force from now on."""

    def members_changed(self) -> None:
        """React to a change of the member table."""

    def keys_changed(self) -> None:
        """Stop running requests whose key was withdrawn."""

    def describe(self) -> dict:
        """Return the load of the role, for operators."""

    def describe_workspace(self, workspace: str) -> dict:
        """Return the role's state of one workspace, for operators."""


class ControlPlane:
    """Owns configuration, membership, decision records and the sockets between nodes.

    :param settings: checked settings.
    :param keys: CURVE key pair of this process.
    :param session: HTTP session to the platform.
    :param incarnation: number of this run, higher than the previous one's.
    """

    def __init__(
        self,
        settings: Settings,
        keys: CurveKeys,
        session: aiohttp.ClientSession,
        incarnation: int,
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.random = Random(f"{settings.host}/{incarnation}")
        self.metrics = Metrics(settings.role, settings.host)
        limits = settings.limits
        self.config = ConfigService(
            settings, self._config_changed, self._bundle_in_force, self._keys_changed
        )
        self.members = MemberTable(_self_member(settings, keys, incarnation), (), self.random)
        self.decisions = DecisionLog(limits.decision_records, limits.trace_queue)
        self.accepted_curve_keys = {key.encode() for key in settings.control.accepted_curve_keys}
        self.allow_list = KeyAllowList({keys.public, *self.accepted_curve_keys})
        address = f"{settings.control.address}:{settings.control.port}"
        self.node = Node(settings.host, incarnation, address, keys, self.allow_list, self._deliver)
        self.log = LogClient(session, settings.log_url) if settings.log_url else None
        self.hosts = HostListClient(session, settings.host_list_url)
        self.operator = OperatorRequests(self)
        self.role: Role | None = None
        self.drain_requested = asyncio.Event()
        self.started = asyncio.Event()
        self.log_is_up = False
        self.tasks: asyncio.TaskGroup | None = None
        self.config_follower: LogFollower | None = None

    @property
    def state(self) -> BundleState:
        """Return the accepted bundle with its place on the log."""
        return self.config.state

    @property
    def key_index(self) -> KeyIndex | None:
        """Return the keys of the bundle in force."""
        return self.config.key_index

    @property
    def bundle(self) -> Bundle | None:
        """Return the bundle in force."""
        return self.state.bundle

    @property
    def revocations(self) -> RevocationSet:
        """Return the withdrawn keys."""
        return self.state.revocations

    async def run(self, role: Role) -> None:
        """Serve until cancelled."""
        self.role = role
        for peer in self.settings.peers:
            self.members.members.setdefault(peer.host, _seed_member(peer))
        await self.node.start()
        try:
            self.refresh_connections()
            async with asyncio.TaskGroup() as group:
                self.tasks = group
                self.config_follower = self.follow(
                    CONFIG_STREAM, self.config.take_record, self._log_noticed
                )
                group.create_task(self._poll_hosts())
                group.create_task(self._tick())
                self.started.set()
        finally:
            await self.node.stop()

    def follow(
        self,
        stream: str,
        take: Callable[[LogRecord], None],
        noticed: Callable[[bool], None] = lambda is_up: None,
        longest_wait_ms: int = 60_000,
    ) -> LogFollower | None:
        """Start to follow a stream of the log; None if the settings name no log.

        :param longest_wait_ms: bound on the length of one long poll, in milliseconds.
        """
        if self.log is None or self.tasks is None:
            return None
        wait_ms = min(self.settings.limits.log_wait_ms, longest_wait_ms)
        follower = LogFollower(self.log, stream, take, noticed, self.config.skip_to, wait_ms)
        if stream != CONFIG_STREAM:
            follower.skipped = lambda first: None
        self.tasks.create_task(follower.run())
        return follower

    def _choose_log_reader(self) -> None:
        """Read the configuration from the log only on a few nodes of each failure domain.

        The others get it from them by gossip; a few thousand readers would cost the log more than
        all appends.
        """
        if self.config_follower is None:
            return
        domain = self.settings.failure_domain
        hosts = [
            member.host
            for member in self.members.members.values()
            if member.failure_domain == domain and member.state in ("alive", "suspect")
        ]
        if self.settings.host in rendezvous_top(domain.encode(), hosts, READERS_PER_DOMAIN):
            self.config_follower.wanted.set()
        else:
            self.config_follower.wanted.clear()

    def append(self, action: Append, done: Callable | None = None) -> None:
        """Append a record in the background.

        :param done: called with the result of the append.
        """
        if self.tasks is not None:
            self.tasks.create_task(self._append(action, done))

    def send(self, action: Send) -> None:
        """Send a message whose loss is harmless."""
        self.node.send(action.host, action.message)

    def record(self, record: DecisionRecord) -> None:
        """Keep a decision record for ``explain``."""
        record.host = self.settings.host
        record.wall_us = time.time_ns() // 1000
        self.decisions.add(record)

    def leave(self) -> None:
        """Tell the others that this process stops."""
        self._act(self.members.handle(LeaveStarted(), time.monotonic()))

    def refresh_metrics(self) -> None:
        """Set the gauges that are read at scrape time."""
        metrics = self.metrics
        metrics.bundle_version.set({}, self.state.version)
        metrics.config_offset.set({}, self.state.offset)
        metrics.log_up.set({}, int(self.log_is_up))
        metrics.control_bytes.set({}, self.node.sent_bytes)
        metrics.malformed.set({}, self.node.malformed)
        for state, count in self.count_members().items():
            metrics.members.set({"state": state}, count)

    def count_members(self) -> dict[str, int]:
        """Return the number of members by state."""
        counts = dict.fromkeys(("alive", "leaving", "suspect", "gone"), 0)
        for member in self.members.members.values():
            counts[member.state] += 1
        return counts

    def _deliver(self, event: Received | PeerLost) -> None:
        match event:
            case Received(host=host, message=Gossip() as gossip):
                # A node may speak for itself only.
                if gossip.host != host:
                    return
                self._act(self.members.handle(GossipReceived(gossip), time.monotonic()))
            case Received(message=ConfigPull() as pull):
                self._act(self.members.handle(PullReceived(pull), time.monotonic()))
            case Received(message=ConfigPush() as push):
                self._take_push(push)
            case Received(message=Revocation(data=data)):
                self.add_revocation(data)
            case Received(message=TraceCopy(records=records)):
                for record in records:
                    self.decisions.add_copy(record)
            case Received(host=host, message=Control() as control):
                self.node.reply(host, self.operator.answer(control))
            case _:
                if self.role is not None:
                    self.role.deliver(event)

    def add_revocation(self, data: bytes) -> bool:
        """Add a signed revocation and spread it if it was new; False if it was refused."""
        is_new = self.config.add_revocation(data)
        if is_new:
            self._act(self.members.handle(RevocationAdded(data), time.monotonic()))
        return is_new is not None

    def _take_push(self, push: ConfigPush) -> None:
        self.config.take_peer_records(push.records)
        for data in push.revocations:
            self.add_revocation(data)

    def _config_changed(self, event: ConfigChanged) -> None:
        self._act(self.members.handle(event, time.monotonic()))

    def _bundle_in_force(self, bundle: Bundle) -> None:
        if self.role is not None:
            self.role.bundle_changed(bundle)

    def _keys_changed(self) -> None:
        if self.role is not None:
            self.role.keys_changed()

    def _log_noticed(self, is_up: bool) -> None:
        self.log_is_up = is_up
        self._act(self.members.handle(LogChecked(is_up), time.monotonic()))

    async def _poll_hosts(self) -> None:
        if not self.settings.host_list_url:
            return
        while True:
            match await self.hosts.fetch(asyncio.get_running_loop().time() + PLATFORM_TIMEOUT_S):
                case Ok(hosts):
                    self._act(self.members.handle(HostList(hosts), time.monotonic()))
                case Err(failure):
                    log_message("host_list_unavailable", reason=failure.detail)
            await asyncio.sleep(self.settings.limits.host_list_interval_s)

    async def _tick(self) -> None:
        while True:
            now = time.monotonic()
            self._act(self.members.tick(now))
            self.config.close_gap(now)
            self._renew_bundle(now)
            self._copy_decisions()
            await asyncio.sleep(TICK_S)

    def _renew_bundle(self, now: float) -> None:
        renewal = self.config.due_renewal(now, self.members.is_responsible_for)
        if renewal is not None:
            self.append(renewal)

    def _copy_decisions(self) -> None:
        records = self.decisions.pending_copies(COPY_BATCH)
        peers = [member.host for member in self.members.entries()]
        peers = [host for host in peers if host != self.settings.host]
        if records and peers:
            self.node.send(self.random.choice(peers), TraceCopy(self.settings.host, records))

    def _act(self, actions: list) -> None:
        changed = False
        for action in actions:
            match action:
                case Send():
                    self.send(action)
                case MemberChanged(member=member, previous=previous):
                    changed = True
                    if member.host == self.settings.host and member.state == "leaving":
                        self.drain_requested.set()
                    log_message(
                        "member_changed", member=member.host, state=member.state, previous=previous
                    )
        if changed:
            self._choose_log_reader()
            self.refresh_connections()
            if self.role is not None:
                self.role.members_changed()

    def refresh_connections(self) -> None:
        """Connect to the members and let exactly their keys connect."""
        keys = {self.node.keys.public, *self.accepted_curve_keys}
        for member in self.members.members.values():
            if member.host == self.settings.host or not member.curve_public:
                continue
            key = member.curve_public.encode()
            keys.add(key)
            if member.is_gone:
                self.node.disconnect(member.host)
            elif member.address:
                address = f"{member.address}:{member.control_port}"
                self.node.connect(member.host, address, key)
        self.allow_list.keys = keys

    async def _append(self, action: Append, done: Callable | None) -> None:
        if self.log is None:
            return
        deadline = asyncio.get_running_loop().time()
        deadline += self.settings.limits.append_timeout_ms / 1e3
        result = await self.log.append(action.stream, action.data, deadline)
        if done is not None:
            done(result)


def _self_member(settings: Settings, keys: CurveKeys, incarnation: int) -> Member:
    return Member(
        settings.host,
        settings.role,
        settings.region,
        settings.failure_domain,
        settings.control.address,
        settings.control.port,
        settings.http.port if settings.role == "entry" else 0,
        keys.public.decode(),
        settings.endpoint.id,
        incarnation,
    )


def _seed_member(peer) -> Member:
    return Member(
        peer.host,
        peer.role,
        peer.region,
        peer.failure_domain,
        peer.address,
        peer.control_port,
        0,
        peer.curve_public,
        peer.endpoint,
    )
