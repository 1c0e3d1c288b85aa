"""Exchange of load, spent quota, weights versions, limits and evidence between gateways.

Status messages are sent as datagrams, since a newer one replaces an older one. The placement of
each long prompt is announced at once, because it occupies an engine and its parts become available
in that engine's cache; so is what the quarantine learns. ``teaselpath.exchange`` decides who
receives a message.
"""

import asyncio
import random
from collections import deque
from collections.abc import Iterable
from typing import Protocol

import msgspec
from eliot import log_message

from teaselpath.dispatch import Contact, EndpointView, Load
from teaselpath.exchange import (
    CROSS_REGION_INTERVAL_S,
    STATUS_INTERVAL_S,
    Peer,
    StopPeer,
    plan_fanout,
    status_interval_s,
)
from teaselpath.fleet import Position
from teaselpath.gateway._entities import LongPlacement, Member
from teaselpath.gateway._peer_messages import (
    EndpointStatus,
    Message,
    PlacementMessage,
    PlacementToRelay,
    RelayedStatuses,
    Status,
    StatusToRelay,
    describe_endpoint,
    newer_weights,
)
from teaselpath.gateway._peer_records import STORE_DISTRUST_S, RecordFetcher
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway._statements import record_leaving
from teaselpath.http1 import HttpClient
from teaselpath.lineage import (
    LineageMessage,
    OriginNote,
    OriginQuery,
    OriginReply,
    VersionNote,
)
from teaselpath.quarantine import QuarantineUpdate
from teaselpath.rollout import LeaseRecord, OrderLease, RolloutNote
from teaselpath.utils import DECODE_ERRORS

# Shortest interval between status messages that are sent early for an urgent update, in seconds.
MIN_STATUS_INTERVAL_S = 0.02
# Deviation of timers from their interval that is ignored, in seconds.
TIMER_TOLERANCE_S = 0.01
# Number of replaced incarnations that are recorded so that their datagrams are discarded; delayed
# datagrams are at most seconds old.
MAX_REPLACED_INCARNATIONS = 256
# One status message out of this many lists the known members, and goes to one gateway by random
# choice; a list in each message would grow with the square of the fleet. A gateway whose list has
# less than half of the known members gets one in return.
STATUSES_PER_MEMBER_LIST = 5
# Period after start-up in which messages are also sent to the seed addresses, in seconds.
SEED_PERIOD_S = 20.0
# One status message out of this many contains the counters of all workspaces, the others only those
# that have changed lately.
STATUSES_PER_COMPLETE_COUNTERS = 6
# Number of status intervals for which a changed counter is sent, so that a lost message is made up
# for.
COUNTER_INTERVALS = 2.5
# Number of intervals after which the next message of a gateway is late, so that the rate limits
# presume what it has charged. That of another region may wait one more interval at a relay.
LATE_INTERVALS = 3.5
LATE_CROSS_REGION_INTERVALS = 1.5
# Time after a standstill in which messages from before it may still be read, in seconds.
STALE_MESSAGES_S = 0.5
# Statuses of other regions in one datagram; a status has a few hundred bytes.
MAX_RELAYED_STATUSES = 16


class UpdateReceiver(Protocol):
    """Receiver of updates of the quarantine."""

    def handle_update(self, update: QuarantineUpdate, ip: str) -> None:
        """Apply an update of the gateway at an address."""

    def greet(self, ip: str) -> None:
        """Send what is known to a gateway that has started or was cut off."""


class RolloutReceiver(Protocol):
    """Receiver of what other gateways know of rollouts of software."""

    def notes(self, now: float) -> list[RolloutNote]:
        """Return what this gateway tells the others."""

    def handle_status(self, status: Status, now: float) -> None:
        """Apply what another gateway tells."""


class LineageReceiver(Protocol):
    """Receiver of messages about the origins of streams."""

    def handle(self, message: LineageMessage, ip: str) -> None:
        """Handle a message of the gateway at an address."""

    def greet(self, host: str) -> None:
        """Send what is known to a gateway that has started or was cut off."""


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and receives status messages.

    :param state: state of this gateway, to which the status of peers is applied.
    :param lease: lease on weights orders, updated from the status of peers.
    :param clock: clock of the lease.
    :ivar statuses: newest status of each reachable gateway, by host.
    :ivar endpoints_with_load: ids of the endpoints at which each gateway has reported load.
    :ivar records: fetches records of the store from peers.
    :ivar gate: receiver of updates of the quarantine, set once it exists.
    :ivar origins: receiver of messages about the origins of streams, set once it exists.
    :ivar rollouts: receiver of what others know of rollouts of software, set where operators may
        ask for some.
    :ivar is_urgent: whether the next status is sent to each gateway of all regions.
    :ivar to_relay: statuses to pass on to this region, by host.
    :ivar interval_s: interval between status messages within the region, in seconds.
    :ivar counters: last sent counter of each workspace, and the time at which it changed.
    """

    def __init__(self, state: GatewayState, lease: OrderLease, http: HttpClient, clock):
        self.state = state
        self.lease = lease
        self.clock = clock
        self.gate: UpdateReceiver | None = None
        self.origins: LineageReceiver | None = None
        self.rollouts: RolloutReceiver | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.sequence = 0
        self.last_sequence: dict[str, tuple[int, int]] = {}
        self.replaced: deque[tuple[str, int]] = deque(maxlen=MAX_REPLACED_INCARNATIONS)
        self.statuses: dict[str, Status] = {}
        self.endpoints_with_load: dict[str, set[str]] = {}
        self.records = RecordFetcher(state, http, self.statuses, self.discard_unreachable)
        self.urgent_update = asyncio.Event()
        self.is_urgent = False
        self.to_relay: dict[str, Status] = {}
        self.counters: dict[str, tuple[int, float]] = {}
        self.crossed_regions_at = 0.0
        self.crossings = 0
        self.interval_s = STATUS_INTERVAL_S
        self.random = random.Random()
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()

    # asyncio.DatagramProtocol

    def connection_made(self, transport) -> None:
        """Store the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        """Handle a message of another gateway."""
        try:
            message = self.decoder.decode(data)
        except DECODE_ERRORS as error:
            log_message("peer_message_ignored", address=str(addr), reason=str(error))
            return
        now = self.loop.time()
        match message:
            case Status():
                self._handle_status(message, now)
            case PlacementMessage():
                self._handle_placement(message, now)
            case RelayedStatuses(statuses):
                for status in statuses:
                    self._handle_status(status, now)
            case StatusToRelay(status):
                self.to_relay[status.host] = status
                self._handle_status(status, now)
            case PlacementToRelay(placement_message):
                self._send_to(self._near_ips(), self.encoder.encode(placement_message))
                self._handle_placement(placement_message, now)
            case QuarantineUpdate() if self.gate is not None:
                self.gate.handle_update(message, addr[0])
            case VersionNote() | OriginNote() | OriginQuery() | OriginReply() if self.origins:
                self.origins.handle(message, addr[0])

    def error_received(self, exc) -> None:
        """Ignore the error; an unreachable peer is detected by its missing messages."""

    # sending

    async def run(self) -> None:
        """Send status until cancelled."""
        while True:
            self._send(self.loop.time())
            self.urgent_update.clear()
            try:
                async with asyncio.timeout(self._interval_s()):
                    await self.urgent_update.wait()
            except TimeoutError:
                continue
            self.is_urgent = True
            await asyncio.sleep(MIN_STATUS_INTERVAL_S)

    def _interval_s(self) -> float:
        return status_interval_s(sum(map(self._is_near, self.state.members.values())))

    def _send(self, now: float) -> None:
        settings = self.state.settings
        self.interval_s = self._interval_s()
        self.sequence += 1
        is_urgent, self.is_urgent = self.is_urgent, False
        crosses = is_urgent or (
            now - self.crossed_regions_at >= CROSS_REGION_INTERVAL_S - TIMER_TOLERANCE_S
        )
        peers = self._peers(now)
        fanout = plan_fanout(
            peers, settings.host, settings.region, crosses_regions=crosses, is_urgent=is_urgent
        )
        status = self._status(now, crosses_regions=crosses)
        self._send_to(fanout.direct, self.encoder.encode(status))
        if crosses:
            self.crossed_regions_at = now
            self.crossings += 1
        self._send_to_relays(fanout.relays, status, peers)
        self._relay_statuses()
        self._send_member_list(status, now, has_seed_turn=crosses)

    def _send_to_relays(self, relays: frozenset[str], status: Status, peers: list[Peer]) -> None:
        """Send a status to relays, with the load at the endpoints of their regions only."""
        regions = {peer.ip: peer.region for peer in peers}
        for ip in relays:
            numbers = {
                view.endpoint.number
                for view in self.state.views.values()
                if self._region_of_domain(view.endpoint.failure_domain) == regions[ip]
            }
            # Each gateway has to know the demand of all others for an endpoint with a limit, and
            # which endpoints leave.
            needed = [
                e
                for e in status.endpoints
                if e.endpoint_number in numbers or e.limit_age_ms >= 0 or e.leaves_in_ms is not None
            ]
            reduced = msgspec.structs.replace(status, endpoints=needed)
            self._send_to([ip], self.encoder.encode(StatusToRelay(reduced)))

    def _relay_statuses(self) -> None:
        """Pass the statuses of other regions on to this region."""
        statuses = list(self.to_relay.values())
        self.to_relay.clear()
        near = self._near_ips() if statuses else []
        for start in range(0, len(statuses), MAX_RELAYED_STATUSES):
            part = RelayedStatuses(statuses[start : start + MAX_RELAYED_STATUSES])
            self._send_to(near, self.encoder.encode(part))

    def _send_member_list(self, status: Status, now: float, *, has_seed_turn: bool) -> None:
        """Send the member list to one gateway by random choice, and at first to the seeds."""
        state = self.state
        targets: set[str] = set()
        if state.members and self.sequence % STATUSES_PER_MEMBER_LIST == 0:
            targets.add(self.random.choice(list(state.members.values())).ip)
        if (has_seed_turn and now - self.started_at < SEED_PERIOD_S) or not state.members:
            targets.update(state.settings.seed_ips)
        if targets:
            # Recipients that have the status would discard another message with its number.
            self.sequence += 1
            status = msgspec.structs.replace(status, sequence=self.sequence)
            self._send_to(targets, self.encoder.encode(self._with_members(status, now)))

    def _with_members(self, status: Status, now: float) -> Status:
        members = [
            (m.host, m.ip, m.incarnation, m.failure_domain)
            for m in self.state.members.values()
            if now - m.last_contact_at < self.state.peer_timeout_s()
        ]
        return msgspec.structs.replace(status, members=members)

    def _greet(self, member: Member, now: float, *, lists_members: bool) -> None:
        """Send the status with all counters to a gateway that has started or knows few others.

        :param lists_members: whether the member list is added, which the store may not give it.
        """
        self.sequence += 1
        status = self._status(now, has_all_counters=True)
        if lists_members:
            status = self._with_members(status, now)
        self._send_to([member.ip], self.encoder.encode(status))

    def announce(self, placement: LongPlacement) -> None:
        """Send the placement of a long prompt to all gateways, in a large fleet through relays."""
        settings, now = self.state.settings, self.loop.time()
        message = PlacementMessage(settings.host, placement)
        data = self.encoder.encode(message)
        fanout = plan_fanout(self._peers(now), settings.host, settings.region, crosses_regions=True)
        self._send_to(fanout.direct, data)
        if fanout.relays:
            self._send_to(fanout.relays, self.encoder.encode(PlacementToRelay(message)))

    def publish(self, update: QuarantineUpdate) -> None:
        """Send an update of the quarantine to all gateways, without relays."""
        ips = [member.ip for member in self.state.members.values()]
        self._send_to(ips, self.encoder.encode(update))

    def send_update(self, ip: str, update: QuarantineUpdate) -> None:
        """Send an update of the quarantine to one gateway."""
        self._send_to([ip], self.encoder.encode(update))

    def send_lineage(self, hosts: list[str] | None, message: LineageMessage) -> None:
        """Send a message about origins to gateways by host, to all if ``hosts`` is None."""
        members = self.state.members
        named = members if hosts is None else hosts
        ips = [members[host].ip for host in named if host in members]
        self._send_to(ips, self.encoder.encode(message))

    def reply_lineage(self, ip: str, message: LineageMessage) -> None:
        """Send a message about origins to the gateway at an address."""
        self._send_to([ip], self.encoder.encode(message))

    def reachable_ips(self) -> list[str]:
        """Return the addresses of the reachable gateways."""
        return [peer.ip for peer in self._peers(self.loop.time()) if peer.is_reachable]

    def stop_peers(self) -> list[StopPeer]:
        """Return the reachable gateways, for the phases of a planned stop."""
        members = self.state.members
        return [
            # A gateway that has just started serves nothing without a configuration.
            StopPeer(
                status.host, status.domain, not status.is_stopping and status.config_version > 0
            )
            for status in self.statuses.values()
            if status.host in members
        ]

    def _send_to(self, ips: Iterable[str], data: bytes) -> None:
        settings = self.state.settings
        if self.transport is not None:
            for ip in ips:
                if ip != settings.ip:
                    self.transport.sendto(data, (ip, settings.peer_port))

    def _peers(self, now: float) -> list[Peer]:
        timeout_s = self.state.peer_timeout_s()
        return [
            Peer(m.host, m.ip, self._region_of(m), now - m.last_contact_at < timeout_s)
            for m in self.state.members.values()
        ]

    def _near_ips(self) -> list[str]:
        return [member.ip for member in self.state.members.values() if self._is_near(member)]

    def _is_near(self, member: Member) -> bool:
        """Return whether a gateway is in this region, or its region is unknown."""
        return self._region_of(member) in (self.state.settings.region, "")

    def _region_of(self, member: Member) -> str:
        return self._region_of_domain(member.failure_domain)

    def _region_of_domain(self, domain: str) -> str:
        return self.state.settings.regions.get(domain, "")

    def _status(
        self, now: float, *, crosses_regions: bool = False, has_all_counters: bool = False
    ) -> Status:
        state, lease = self.state, self.lease
        last = lease.last
        # Messages to other regions, which are fewer, have a count of their own.
        number = self.crossings if crosses_regions else self.sequence
        # The first message of all has them, too: counters before it would be lost.
        has_all_counters = has_all_counters or number % STATUSES_PER_COMPLETE_COUNTERS in (0, 1)
        changed_since = 0.0
        if not has_all_counters:
            interval_s = CROSS_REGION_INTERVAL_S if crosses_regions else self._interval_s()
            changed_since = now - COUNTER_INTERVALS * interval_s
        return Status(
            host=state.settings.host,
            ip=state.settings.ip,
            domain=state.settings.failure_domain,
            incarnation=state.incarnation,
            sequence=self.sequence,
            config_version=state.config.version if state.config else 0,
            wanted=state.announced_versions(),
            store_era=state.era,
            endpoint_position=(state.endpoints.position.era, state.endpoints.position.offset),
            used=self._used(now, changed_since),
            has_all_counters=has_all_counters,
            endpoints=self._endpoint_statuses(now),
            members=None,
            store_up=state.reaches_store(now, STORE_DISTRUST_S),
            store_is_near=state.store_is_near,
            is_stopping=state.is_stopping,
            # Only the four versions recorded last are sent for each model.
            naming_ages_ms={
                model: {v: int((now - at) * 1000) for v, at in list(w.announced_at.items())[-4:]}
                for model, w in state.announced.items()
            },
            lease_end=None if lease.end is None else (lease.end.era, lease.end.offset),
            lease=(last.holder, last.nonce, last.fence, last.era) if last else None,
            demand={name: room.demand_per_s(now) for name, room in state.rooms.items()},
            rollouts=self.rollouts.notes(now) if self.rollouts is not None else [],
        )

    def _used(self, now: float, changed_since: float) -> dict[str, int]:
        """Return the counters of workspaces that have changed since a time."""
        for name, total in self.state.quota.used.items():
            sent = self.counters.get(name)
            if sent is None or sent[0] != int(total):
                self.counters[name] = (int(total), now)
        return {n: total for n, (total, at) in self.counters.items() if at >= changed_since}

    def _endpoint_statuses(self, now: float) -> list[EndpointStatus]:
        """Return the status of endpoints with something to report.

        That is load or a weights order of this gateway, weights that differ from their record, or
        what the endpoint has stated.
        """
        return [
            describe_endpoint(view, now)
            for view in self.state.views.values()
            if view.own.requests
            or view.own_loading_until > now
            or view.limit.is_reported(now)
            or view.availability.is_leaving
            or newer_weights(view)
        ]

    # receiving

    def _handle_status(self, status: Status, now: float) -> None:
        state = self.state
        if status.host == state.settings.host or not self._record_if_newer(status):
            return
        before = state.members.get(status.host)
        is_new = before is None or before.incarnation != status.incarnation
        member = state.record_member(status.host, status.ip, status.incarnation, now, status.domain)
        was_silent = now - member.last_contact_at > self.state.peer_timeout_s()
        self._log_if_regained(member, now)
        is_new = is_new or not member.last_contact_at
        if self.gate is not None and (is_new or was_silent):
            self.gate.greet(status.ip)
        if self.origins is not None and (is_new or was_silent):
            self.origins.greet(status.host)
        member.last_contact_at = now
        self.statuses[status.host] = status
        state.observe_era(status.store_era, f"peer {status.host}", now)
        for host, ip, incarnation, domain in status.members or ():
            if host != state.settings.host and host not in state.members:
                state.record_member(host, ip, incarnation, now, domain)
        spent = state.quota.merge(
            status.host,
            status.incarnation,
            status.used,
            is_complete=status.has_all_counters,
            contact=self._contact(member, now),
        )
        if state.fair_order is not None:
            state.fair_order.record_others(spent, now)
        self._apply_announcement_ages(status, now)
        views = {e.endpoint_number: self._view(e) for e in status.endpoints}
        self._discard_load(
            status.host, keep={view.endpoint.endpoint_id for view in views.values() if view}
        )
        for endpoint_status in status.endpoints:
            view = views[endpoint_status.endpoint_number]
            if view is not None:
                self._apply_endpoint_status(status.host, endpoint_status, view, now)
        for service, demand_per_s in status.demand.items():
            self._apply_demand(status.host, service, demand_per_s)
        if self.rollouts is not None and status.rollouts:
            self.rollouts.handle_status(status, now)
        if status.lease_end is not None:
            record = LeaseRecord(*status.lease) if status.lease else None
            self.lease.observe(Position(*status.lease_end), record, self.clock())
        knows_few = status.members is not None and 2 * len(status.members) < len(state.members)
        if knows_few or ((is_new or was_silent) and self._is_near(member)):
            self._greet(member, now, lists_members=knows_few)

    def _contact(self, member: Member, now: float) -> Contact:
        """Return the contact that a message of another gateway is for the rate limits.

        After a standstill, messages are read that have waited here since.
        """
        is_current = now - self.state.standstill_ended_at() >= STALE_MESSAGES_S
        if self._is_near(member):
            late_after_s = LATE_INTERVALS * self.interval_s
            return Contact(now, late_after_s, COUNTER_INTERVALS * self.interval_s, is_current)
        late_after_s = LATE_CROSS_REGION_INTERVALS * CROSS_REGION_INTERVAL_S + self.interval_s
        return Contact(now, late_after_s, COUNTER_INTERVALS * CROSS_REGION_INTERVAL_S, is_current)

    def _view(self, endpoint_status: EndpointStatus) -> EndpointView | None:
        """Return the view of an endpoint; None for another start of it, or if it is unknown."""
        endpoint_id = self.state.endpoint_ids.get(endpoint_status.endpoint_number)
        return None if endpoint_id is None else self.state.views.get(endpoint_id)

    def _apply_announcement_ages(self, status: Status, now: float) -> None:
        """Record the announcement times in the status of a peer.

        A gateway that started after an announcement gets its time only from peers.
        """
        for model, ages_ms in status.naming_ages_ms.items():
            announced = self.state.announced.get(model)
            for version, age_ms in ages_ms.items():
                if announced is not None and version <= announced.version:
                    announced.record_announcement(version, now - age_ms / 1000)

    def _record_if_newer(self, status: Status) -> bool:
        """Record a message as the last one of its gateway; return False if it is not newer.

        Incarnations are random numbers, since the time of day may be set back between two starts.
        A replaced incarnation is never accepted again.
        """
        incarnation, sequence = self.last_sequence.get(status.host, (None, 0))
        if status.incarnation == incarnation:
            if status.sequence <= sequence:
                return False
        elif (status.host, status.incarnation) in self.replaced:
            return False
        elif incarnation is not None:
            self.replaced.append((status.host, incarnation))
        self.last_sequence[status.host] = (status.incarnation, status.sequence)
        return True

    def _log_if_regained(self, member: Member, now: float) -> None:
        silent_s = now - member.last_contact_at
        if member.last_contact_at and silent_s > self.state.peer_timeout_s():
            log_message("peer_regained", host=member.host, silent_s=silent_s)

    def _apply_endpoint_status(
        self, host: str, endpoint_status: EndpointStatus, view: EndpointView, now: float
    ) -> None:
        view.peers[host] = Load(endpoint_status.requests, held_tokens=endpoint_status.held_tokens)
        self.endpoints_with_load.setdefault(host, set()).add(view.endpoint.endpoint_id)
        for model, version in endpoint_status.weights.items():
            view.record_weights(model, version)
        self._apply_limit(host, endpoint_status, view, now)
        times = endpoint_status.times
        if times is not None and not view.times.record_peer(times, now):
            endpoint_id = view.endpoint.endpoint_id
            log_message("peer_times_ignored", host=host, endpoint=endpoint_id, times=times)
        if endpoint_status.leaves_in_ms is not None:
            leaves_at = now + endpoint_status.leaves_in_ms / 1000
            record_leaving(view, leaves_at, f"peer {host}")
        if endpoint_status.switching_ms:
            view.loading_until = max(view.loading_until, now + endpoint_status.switching_ms / 1000)

    def _apply_demand(self, host: str, service: str, demand_per_s: float) -> None:
        room = self.state.room(service)
        if room is not None and not room.record_peer_demand(host, demand_per_s):
            log_message("peer_demand_ignored", host=host, service=service, demand=demand_per_s)

    def _apply_limit(
        self, host: str, endpoint_status: EndpointStatus, view: EndpointView, now: float
    ) -> None:
        if endpoint_status.limit_age_ms < 0:
            view.limit.peer_demand.pop(host, None)
            return
        view.limit.peer_demand[host] = endpoint_status.demand_per_s
        rate = endpoint_status.limit_per_s if endpoint_status.limit_per_s >= 0.0 else None
        if view.limit.record_statement(rate, now - endpoint_status.limit_age_ms / 1000):
            log_message(
                "endpoint_limit_changed",
                endpoint=view.endpoint.endpoint_id,
                service=view.endpoint.service,
                limit_per_s=rate,
                source=f"peer {host}",
            )

    def _handle_placement(self, message: PlacementMessage, now: float) -> None:
        host, placement = message.host, message.placement
        if host == self.state.settings.host:
            return
        if self.state.apply_placement(placement, now) is None or host not in self.statuses:
            return
        self.endpoints_with_load.setdefault(host, set()).add(placement.endpoint_id)
        load = self.state.views[placement.endpoint_id].peers.setdefault(host, Load())
        load.requests += 1
        load.held_tokens += placement.prompt_tokens + placement.output_tokens

    def _discard_load(self, host: str, keep: set[str]) -> None:
        """Discard the load of a gateway at all endpoints except those in ``keep``."""
        endpoints_with_load = self.endpoints_with_load.pop(host, set())
        self.endpoints_with_load[host] = endpoints_with_load & keep
        for key in endpoints_with_load - keep:
            view = self.state.views.get(key)
            if view is not None:
                view.peers.pop(host, None)

    def discard_unreachable(self, now: float) -> None:
        """Discard the load of gateways that are unreachable."""
        members, timeout_s = self.state.members, self.state.peer_timeout_s()
        for host in [h for h in self.statuses if now - members[h].last_contact_at > timeout_s]:
            log_message("peer_lost", host=host)
            del self.statuses[host]
            self._discard_load(host, keep=set())
