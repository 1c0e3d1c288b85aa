"""Exchange of load, spent quota, weights versions and store records between gateways.

Status messages are sent as datagrams, since a newer one replaces an older one. The placement of
each long prompt is announced to all gateways at once, because it occupies an engine and its parts
become available in that engine's cache. Records that a gateway lacks are fetched over HTTP from a
peer that has them, so that configuration and endpoint states also reach a gateway whose requests
the store refuses.
"""

import asyncio
from collections import deque

import msgspec
from eliot import log_message

from teaselpath.dispatch import Load
from teaselpath.fleet import StoredRecord
from teaselpath.gateway._state import PEER_TIMEOUT_S, GatewayState, LongPlacement, Member
from teaselpath.http1 import ConnectFailed, ConnectionBroken, HttpClient, ReadTimeout
from teaselpath.rollout import LeaseRecord, OrderLease

# Interval between status messages within a region, in seconds.
STATUS_INTERVAL_S = 0.2
# One status message out of this many is also sent to other regions.
STATUSES_PER_CROSS_REGION_STATUS = 5
# Number of other gateways from which the status interval is doubled.
SLOW_STATUS_MIN_PEERS = 12
# Shortest interval between status messages that are sent early for an urgent update, in seconds.
MIN_STATUS_INTERVAL_S = 0.02
# Records that a peer already has are fetched from it if the store has not delivered them within
# this time, in seconds.
FETCH_DELAY_S = 0.5
FETCH_TIMEOUT_S = 1.0
RECORDS_PATH = b"/records"
# Number of replaced incarnations that are recorded so that their datagrams are discarded; delayed
# datagrams are at most seconds old.
MAX_REPLACED_INCARNATIONS = 256
# One status message out of this many lists the known members.
STATUSES_PER_MEMBER_LIST = 10
# Period after start-up in which messages are also sent to the seed addresses, in seconds.
SEED_PERIOD_S = 20.0


class EndpointStatus(msgspec.Struct, array_like=True):
    """Load and weights versions of one endpoint, as recorded by a gateway."""

    endpoint_id: str
    started_at_ms: int | None
    requests: int
    # Prompt tokens of the gateway's long prompts in flight at the endpoint.
    held_tokens: int
    weights: dict[str, int]
    # Remaining time in ms for which gateways avoid the endpoint, because it is about to load
    # weights.
    switching_ms: int


class PlacementMessage(msgspec.Struct, array_like=True, tag="placement"):
    """A long prompt that a gateway has just sent to an engine."""

    host: str
    placement: LongPlacement


class Status(msgspec.Struct, array_like=True, tag="status"):
    """Status of a gateway."""

    host: str
    ip: str
    incarnation: int
    sequence: int
    region: str
    config_version: int
    # Newest announced weights version by model.
    wanted: dict[str, int]
    endpoint_offset: int
    used: dict[str, float]
    endpoints: list[EndpointStatus]
    members: list[tuple[str, str, int]]
    store_up: bool
    store_is_near: bool
    is_stopping: bool
    # Time since the announcement of each weights version, in ms, by model and version.
    naming_ages_ms: dict[str, dict[int, int]]
    # Offset at which the lease topic ends; -1 if unknown.
    lease_end: int
    # Holder, nonce and fence of the newest known lease record.
    lease: tuple[str, str, int] | None


class RecordSet(msgspec.Struct, array_like=True):
    """Records of the store that a gateway has: key, value, offset."""

    operators: list[tuple[str, bytes, int]]
    endpoints: list[tuple[str, bytes, int]]


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and receives status messages.

    :param state: state of this gateway, to which the status of peers is applied.
    :param lease: lease on weights orders, updated from the status of peers.
    :param clock: clock of the lease.
    :ivar statuses: newest status of each reachable gateway, by host.
    :ivar endpoints_with_load: ids of the endpoints at which each gateway has reported load.
    :ivar sends_to_all_regions: whether the next status is also sent to other regions.
    """

    def __init__(self, state: GatewayState, lease: OrderLease, http: HttpClient, clock):
        self.state = state
        self.lease = lease
        self.http = http
        self.clock = clock
        self.transport: asyncio.DatagramTransport | None = None
        self.sequence = 0
        self.last_sequence: dict[str, tuple[int, int]] = {}
        self.replaced: deque[tuple[str, int]] = deque(maxlen=MAX_REPLACED_INCARNATIONS)
        self.statuses: dict[str, Status] = {}
        self.endpoints_with_load: dict[str, set[str]] = {}
        self.behind_since: float | None = None
        self.urgent_update = asyncio.Event()
        self.sends_to_all_regions = False
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Status | PlacementMessage)
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
        except msgspec.MsgspecError as error:
            log_message("peer_message_ignored", address=str(addr), reason=str(error))
            return
        if message.host == self.state.settings.host:
            return
        match message:
            case Status():
                self._handle_status(message, self.loop.time())
            case PlacementMessage(host, placement):
                self._handle_placement(host, placement, self.loop.time())

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
            self.sends_to_all_regions = True
            await asyncio.sleep(MIN_STATUS_INTERVAL_S)

    def _interval_s(self) -> float:
        is_large = len(self.state.members) >= SLOW_STATUS_MIN_PEERS
        return 2 * STATUS_INTERVAL_S if is_large else STATUS_INTERVAL_S

    def _send(self, now: float) -> None:
        state = self.state
        self.sequence += 1
        data = self.encoder.encode(self._status(now))
        crosses_regions = (
            self.sends_to_all_regions or self.sequence % STATUSES_PER_CROSS_REGION_STATUS == 0
        )
        self.sends_to_all_regions = False
        targets = {
            member.ip
            for member in state.members.values()
            if crosses_regions or self._is_in_region(member)
        }
        if (crosses_regions and now - self.started_at < SEED_PERIOD_S) or not state.members:
            targets.update(state.settings.seed_ips)
        self._send_to(targets, data)

    def announce(self, placement: LongPlacement) -> None:
        """Send the placement of a long prompt to all gateways."""
        data = self.encoder.encode(PlacementMessage(self.state.settings.host, placement))
        self._send_to({member.ip for member in self.state.members.values()}, data)

    def _send_to(self, ips: set[str], data: bytes) -> None:
        settings = self.state.settings
        if self.transport is not None:
            for ip in ips - {settings.ip}:
                self.transport.sendto(data, (ip, settings.peer_port))

    def _is_in_region(self, member: Member) -> bool:
        peer = self.statuses.get(member.host)
        return peer is None or peer.region == self.state.settings.region

    def _status(self, now: float) -> Status:
        state, lease = self.state, self.lease
        members = [
            (m.host, m.ip, m.incarnation)
            for m in state.members.values()
            if now - m.last_contact_at < PEER_TIMEOUT_S
        ]
        last = lease.last
        return Status(
            host=state.settings.host,
            ip=state.settings.ip,
            incarnation=state.incarnation,
            sequence=self.sequence,
            region=state.settings.region,
            config_version=state.config.version if state.config else 0,
            wanted=state.announced_versions(),
            endpoint_offset=state.endpoints.offset,
            used=state.quota.used,
            endpoints=self._endpoint_statuses(now),
            members=members if self.sequence % STATUSES_PER_MEMBER_LIST == 0 else [],
            store_up=state.store_up,
            store_is_near=state.store_is_near,
            is_stopping=state.is_stopping,
            # Only the four versions recorded last are sent for each model.
            naming_ages_ms={
                model: {v: int((now - at) * 1000) for v, at in list(w.announced_at.items())[-4:]}
                for model, w in state.announced.items()
            },
            lease_end=-1 if lease.end is None else lease.end,
            lease=(last.holder, last.nonce, last.fence) if last else None,
        )

    def _endpoint_statuses(self, now: float) -> list[EndpointStatus]:
        """Return the status of endpoints with something to report.

        That is load or a weights order of this gateway, or weights that differ from their record.
        """
        return [
            _endpoint_status(view, now)
            for view in self.state.views.values()
            if view.own.requests
            or view.own_loading_until > now
            or any(view.weights.get(m) != v for m, v in view.endpoint.weights)
        ]

    # receiving

    def _handle_status(self, status: Status, now: float) -> None:
        if not self._record_if_newer(status):
            return
        state = self.state
        member = state.record_member(status.host, status.ip, status.incarnation, now)
        self._log_if_regained(member, now)
        member.last_contact_at = now
        self.statuses[status.host] = status
        for host, ip, incarnation in status.members:
            if host != state.settings.host and host not in state.members:
                state.record_member(host, ip, incarnation, now)
        state.quota.merge(status.host, status.incarnation, status.used)
        self._apply_announcement_ages(status, now)
        self._discard_load(status.host, keep={e.endpoint_id for e in status.endpoints})
        for endpoint_status in status.endpoints:
            self._apply_endpoint_status(status.host, endpoint_status, now)
        if status.lease_end > (self.lease.end or 0):
            record = LeaseRecord(*status.lease) if status.lease else None
            self.lease.observe(status.lease_end, record, self.clock())

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
        if now - member.last_contact_at > PEER_TIMEOUT_S:
            log_message("peer_regained", host=member.host, silent_s=now - member.last_contact_at)

    def _apply_endpoint_status(
        self, host: str, endpoint_status: EndpointStatus, now: float
    ) -> None:
        view = self.state.views.get(endpoint_status.endpoint_id)
        if view is None or view.endpoint.started_at_ms != endpoint_status.started_at_ms:
            return
        view.peers[host] = Load(endpoint_status.requests, held_tokens=endpoint_status.held_tokens)
        self.endpoints_with_load.setdefault(host, set()).add(endpoint_status.endpoint_id)
        for model, version in endpoint_status.weights.items():
            view.record_weights(model, version)
        if endpoint_status.switching_ms:
            view.loading_until = max(view.loading_until, now + endpoint_status.switching_ms / 1000)

    def _handle_placement(self, host: str, placement: LongPlacement, now: float) -> None:
        if self.state.apply_placement(placement, now) is None or host not in self.statuses:
            return
        self.endpoints_with_load.setdefault(host, set()).add(placement.endpoint_id)
        load = self.state.views[placement.endpoint_id].peers.setdefault(host, Load())
        load.requests += 1
        load.held_tokens += placement.prompt_tokens

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
        members = self.state.members
        for host in [h for h in self.statuses if now - members[h].last_contact_at > PEER_TIMEOUT_S]:
            log_message("peer_lost", host=host)
            del self.statuses[host]
            self._discard_load(host, keep=set())

    # records

    async def fetch_missing(self) -> None:
        """Fetch newer records from peers if the store does not deliver them.

        Discards the load of unreachable peers, too. Runs until cancelled.
        """
        while True:
            # Interval between two checks of the peers, in seconds.
            await asyncio.sleep(0.2)
            now = self.loop.time()
            self.discard_unreachable(now)
            ahead = self._peer_ahead()
            if ahead is None:
                self.behind_since = None
                continue
            if self.behind_since is None:
                self.behind_since = now
            delay_s = FETCH_DELAY_S if self.state.store_up else 0.0
            if now - self.behind_since >= delay_s:
                await self._fetch(ahead)

    def _peer_ahead(self) -> Status | None:
        state = self.state
        own_version = state.config.version if state.config else 0
        for status in self.statuses.values():
            has_newer_weights = any(
                version > (state.announced[model].version if model in state.announced else 0)
                for model, version in status.wanted.items()
            )
            has_newer_endpoints = (
                status.endpoint_offset > state.endpoints.offset and not state.store_up
            )
            if status.config_version > own_version or has_newer_weights or has_newer_endpoints:
                return status
        return None

    async def _fetch(self, status: Status) -> None:
        deadline = self.loop.time() + FETCH_TIMEOUT_S
        address = f"{status.ip}:{self.state.settings.peer_port}"
        try:
            response = await self.http.call(address, b"GET", RECORDS_PATH, deadline=deadline)
            records = msgspec.msgpack.decode(response.body, type=RecordSet)
        except (ConnectFailed, ConnectionBroken, ReadTimeout, msgspec.MsgspecError) as error:
            log_message("peer_records_failed", host=status.host, reason=repr(error))
            return
        now = self.loop.time()
        source = f"peer {status.host}"
        for record in records.operators:
            self.state.apply_operator_record(StoredRecord(*record), source, now)
        for record in records.endpoints:
            self.state.apply_endpoint_record(StoredRecord(*record), source, now)

    def encode_records(self) -> bytes:
        """Return the encoded store records of this gateway, for a peer."""
        state = self.state
        return self.encoder.encode(
            RecordSet(
                [(r.key, r.value, r.offset) for r in state.operator_records.values()],
                [(r.key, r.value, r.offset) for r in state.endpoint_records.values()],
            )
        )


def _endpoint_status(view, now: float) -> EndpointStatus:
    own = view.own
    return EndpointStatus(
        view.endpoint.endpoint_id,
        view.endpoint.started_at_ms,
        own.requests,
        own.held_tokens,
        view.weights,
        max(0, int((view.own_loading_until - now) * 1000)),
    )
