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

TICK_INTERVAL_S = 0.2
COPY_BATCH_RECORDS = 50
LOG_READERS_PER_DOMAIN = 3
HOST_LIST_TIMEOUT_S = 3.0


class Role(Protocol):
    """Interface of the entry and agent services to the control plane."""

    def deliver(self, event: Received | PeerLost) -> None:
        """Handle a transport event that the control plane does not handle."""

    def on_bundle_changed(self, bundle: Bundle) -> None:
        """Apply a bundle that has come into force."""

    def on_members_changed(self) -> None:
        """Handle a change of the member table."""

    def on_keys_changed(self) -> None:
        """Cancel running requests whose key was withdrawn."""

    def describe(self) -> dict:
        """Return the load of the role for operators' status requests."""

    def describe_workspace(self, workspace: str) -> dict:
        """Return the role's state of one workspace for operators' requests."""


class ControlPlane:
    """Owns configuration, membership, decision records and the sockets between nodes.

    :param settings: checked settings.
    :param keys: CURVE key pair of this process.
    :param session: HTTP session to the log and the host list.
    :param incarnation: number of this process run; increases with each restart.
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
            settings, self._on_config_change, self._on_bundle_in_force, self._on_keys_change
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
        """Return the accepted bundle with its log offset."""
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
            self.members.members.setdefault(peer.host, _peer_member(peer))
        await self.node.start()
        try:
            self.refresh_connections()
            async with asyncio.TaskGroup() as group:
                self.tasks = group
                self.config_follower = self.follow(
                    CONFIG_STREAM, self.config.handle_record, self._on_log_read
                )
                group.create_task(self._poll_hosts())
                group.create_task(self._tick())
                self.started.set()
        finally:
            await self.node.stop()

    def follow(
        self,
        stream: str,
        on_record: Callable[[LogRecord], None],
        on_read: Callable[[bool], None] = lambda is_up: None,
        max_wait_ms: int = 60_000,
    ) -> LogFollower | None:
        """Start to follow a stream of the log; None if no log is configured.

        :param max_wait_ms: upper limit of one long poll, in milliseconds.
        """
        if self.log is None or self.tasks is None:
            return None
        wait_ms = min(self.settings.limits.log_wait_ms, max_wait_ms)
        follower = LogFollower(self.log, stream, on_record, on_read, self.config.skip_to, wait_ms)
        if stream != CONFIG_STREAM:
            follower.on_skip = lambda first: None
        self.tasks.create_task(follower.run())
        return follower

    def _update_log_reader(self) -> None:
        """Follow the configuration stream only on a few nodes of each failure domain.

        The other nodes receive the records by gossip; a few thousand readers would load the log
        more than all appends.
        """
        if self.config_follower is None:
            return
        domain = self.settings.failure_domain
        hosts = [
            member.host
            for member in self.members.members.values()
            if member.failure_domain == domain and member.state in ("alive", "suspect")
        ]
        if self.settings.host in rendezvous_top(domain.encode(), hosts, LOG_READERS_PER_DOMAIN):
            self.config_follower.enabled.set()
        else:
            self.config_follower.enabled.clear()

    def append(self, action: Append, on_done: Callable | None = None) -> None:
        """Append a record in the background.

        :param on_done: called with the result of the append.
        """
        if self.tasks is not None:
            self.tasks.create_task(self._append(action, on_done))

    def send(self, action: Send) -> None:
        """Send a message whose loss is harmless."""
        self.node.send(action.host, action.message)

    def record(self, record: DecisionRecord) -> None:
        """Store a decision record for ``explain``."""
        record.host = self.settings.host
        record.wall_us = time.time_ns() // 1000
        self.decisions.add(record)

    def leave(self) -> None:
        """Announce to the other members that this process is leaving."""
        self._act(self.members.handle(LeaveStarted(), time.monotonic()))

    def refresh_metrics(self) -> None:
        """Update the gauges that are sampled at scrape time."""
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
                # Gossip is accepted only from the host that it names as its sender.
                if gossip.host != host:
                    return
                self._act(self.members.handle(GossipReceived(gossip), time.monotonic()))
            case Received(message=ConfigPull() as pull):
                self._act(self.members.handle(PullReceived(pull), time.monotonic()))
            case Received(message=ConfigPush() as push):
                self._handle_push(push)
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
        """Add a signed revocation and gossip it if it is new; False if it is invalid."""
        is_new = self.config.add_revocation(data)
        if is_new:
            self._act(self.members.handle(RevocationAdded(data), time.monotonic()))
        return is_new is not None

    def _handle_push(self, push: ConfigPush) -> None:
        self.config.handle_peer_records(push.records)
        for data in push.revocations:
            self.add_revocation(data)

    def _on_config_change(self, event: ConfigChanged) -> None:
        self._act(self.members.handle(event, time.monotonic()))

    def _on_bundle_in_force(self, bundle: Bundle) -> None:
        if self.role is not None:
            self.role.on_bundle_changed(bundle)

    def _on_keys_change(self) -> None:
        if self.role is not None:
            self.role.on_keys_changed()

    def _on_log_read(self, is_up: bool) -> None:
        self.log_is_up = is_up
        self._act(self.members.handle(LogChecked(is_up), time.monotonic()))

    async def _poll_hosts(self) -> None:
        if not self.settings.host_list_url:
            return
        while True:
            match await self.hosts.fetch(asyncio.get_running_loop().time() + HOST_LIST_TIMEOUT_S):
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
            await asyncio.sleep(TICK_INTERVAL_S)

    def _renew_bundle(self, now: float) -> None:
        renewal = self.config.due_renewal(now, self.members.is_responsible_for)
        if renewal is not None:
            self.append(renewal)

    def _copy_decisions(self) -> None:
        records = self.decisions.pop_pending_copies(COPY_BATCH_RECORDS)
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
            self._update_log_reader()
            self.refresh_connections()
            if self.role is not None:
                self.role.on_members_changed()

    def refresh_connections(self) -> None:
        """Connect to the members and restrict the allow list to their keys."""
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

    async def _append(self, action: Append, on_done: Callable | None) -> None:
        if self.log is None:
            return
        deadline = asyncio.get_running_loop().time()
        deadline += self.settings.limits.append_timeout_ms / 1e3
        result = await self.log.append(action.stream, action.data, deadline)
        if on_done is not None:
            on_done(result)


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


def _peer_member(peer) -> Member:
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
