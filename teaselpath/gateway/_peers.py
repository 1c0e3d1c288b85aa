"""Messages between gateways: load, spent quota, weights, and news of the store.

Status goes in datagrams, since only the newest one counts. Each long prompt is announced to all
gateways as it is placed: it keeps an engine busy, and its parts are there for others. Records that
a peer lacks are fetched over HTTP from a peer that has them, so that configuration and endpoint
states also reach a gateway that the store turns away.
"""

import asyncio
from collections import deque

import msgspec
from eliot import log_message

from teaselpath.dispatch import Load
from teaselpath.fleet import StoredRecord
from teaselpath.gateway._state import PEER_HEARD_S, GatewayState, LongPlacement, Member
from teaselpath.http1 import ConnectFailed, ConnectionBroken, HttpClient, ReadTimeout
from teaselpath.rollout import LeaseRecord, OrderLease

# Interval between status messages within a region, in seconds.
STATUS_INTERVAL_S = 0.2
# Messages within a region per message to another region.
FAR_STATUS_PERIOD = 5
# Gateways from which on messages are sent half as often.
MANY_GATEWAYS = 12
# Shortest time between two messages that news brings forward, in seconds.
MIN_INTERVAL_S = 0.02
# Time that the store has to deliver what a peer already knows, in seconds.
FETCH_AFTER_S = 0.5
FETCH_TIMEOUT_S = 1.0
RECORDS_PATH = b"/records"
# Replaced incarnations that are remembered; late datagrams are at most seconds old.
MAX_RETIRED = 256
# Messages per message that lists the known members.
MEMBERS_PERIOD = 10
# Time for which a seed address is tried, in seconds after the start.
SEED_PERIOD_S = 20.0


class EndpointNote(msgspec.Struct, array_like=True):
    """Load and weights of one endpoint, as a gateway sees them."""

    endpoint_id: str
    started_at_ms: int | None
    requests: int
    held_tokens: int
    weights: dict[str, int]
    # Time for which it still takes new weights, in ms.
    switching_ms: int


class PlacementNote(msgspec.Struct, array_like=True, tag="placement"):
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
    wanted: dict[str, int]
    endpoint_offset: int
    used: dict[str, float]
    endpoints: list[EndpointNote]
    members: list[tuple[str, str, int]]
    store_up: bool
    store_is_near: bool
    is_stopping: bool
    # Time since each version was named, in ms, by model and version.
    naming_ages_ms: dict[str, dict[int, int]]
    lease_end: int
    lease: tuple[str, str, int] | None


class RecordSet(msgspec.Struct, array_like=True):
    """Records of the store that a gateway holds: key, value, offset."""

    operators: list[tuple[str, bytes, int]]
    endpoints: list[tuple[str, bytes, int]]


class PeerExchange(asyncio.DatagramProtocol):
    """Sends and takes status messages.

    :param state: own state; status of the others is applied to it.
    :param lease: lease on orders, of which peers bring news.
    """

    def __init__(self, state: GatewayState, lease: OrderLease, http: HttpClient, clock):
        self.state = state
        self.lease = lease
        self.http = http
        self.clock = clock
        self.transport: asyncio.DatagramTransport | None = None
        self.sequence = 0
        self.last_sequence: dict[str, tuple[int, int]] = {}
        self.retired: deque[tuple[str, int]] = deque(maxlen=MAX_RETIRED)
        self.peers: dict[str, Status] = {}
        self.loaded: dict[str, set[str]] = {}
        self.behind_since: float | None = None
        self.news = asyncio.Event()
        self.has_news = False
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Status | PlacementNote)
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()

    # asyncio.DatagramProtocol

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr) -> None:
        """Take a message of another gateway."""
        try:
            message = self.decoder.decode(data)
        except msgspec.MsgspecError as error:
            log_message("peer_message_ignored", address=str(addr), reason=str(error))
            return
        if message.host == self.state.settings.host:
            return
        match message:
            case Status():
                self._take(message, self.loop.time())
            case PlacementNote(host, placement):
                self._take_placement(host, placement, self.loop.time())

    def error_received(self, exc) -> None:
        """Note an unreachable peer; its silence says the same."""

    # sending

    async def run(self) -> None:
        """Send status until cancelled."""
        while True:
            self._send(self.loop.time())
            self.news.clear()
            try:
                async with asyncio.timeout(self._interval_s()):
                    await self.news.wait()
            except TimeoutError:
                continue
            self.has_news = True
            await asyncio.sleep(MIN_INTERVAL_S)

    def _interval_s(self) -> float:
        is_large = len(self.state.members) >= MANY_GATEWAYS
        return 2 * STATUS_INTERVAL_S if is_large else STATUS_INTERVAL_S

    def _send(self, now: float) -> None:
        state = self.state
        self.sequence += 1
        data = self.encoder.encode(self._status(now))
        goes_far = self.has_news or self.sequence % FAR_STATUS_PERIOD == 0
        self.has_news = False
        targets = {
            member.ip for member in state.members.values() if goes_far or self._is_near(member)
        }
        if (goes_far and now - self.started_at < SEED_PERIOD_S) or not state.members:
            targets.update(state.settings.seed_ips)
        self._send_to(targets, data)

    def announce(self, placement: LongPlacement) -> None:
        """Tell all gateways of a long prompt that was placed."""
        data = self.encoder.encode(PlacementNote(self.state.settings.host, placement))
        self._send_to({member.ip for member in self.state.members.values()}, data)

    def _send_to(self, ips: set[str], data: bytes) -> None:
        settings = self.state.settings
        if self.transport is not None:
            for ip in ips - {settings.ip}:
                self.transport.sendto(data, (ip, settings.peer_port))

    def _is_near(self, member: Member) -> bool:
        peer = self.peers.get(member.host)
        return peer is None or peer.region == self.state.settings.region

    def _status(self, now: float) -> Status:
        state, lease = self.state, self.lease
        members = [
            (m.host, m.ip, m.incarnation)
            for m in state.members.values()
            if now - m.last_contact_at < PEER_HEARD_S
        ]
        last = lease.last
        return Status(
            host=state.settings.host,
            ip=state.settings.ip,
            incarnation=state.incarnation,
            sequence=self.sequence,
            region=state.settings.region,
            config_version=state.config.version if state.config else 0,
            wanted=state.wanted_versions(),
            endpoint_offset=state.endpoints.offset,
            used=state.quota.used,
            endpoints=self._notes(now),
            members=members if self.sequence % MEMBERS_PERIOD == 0 else [],
            store_up=state.store_up,
            store_is_near=state.store_is_near,
            is_stopping=state.is_stopping,
            naming_ages_ms={
                model: {v: int((now - at) * 1000) for v, at in list(w.named_at.items())[-4:]}
                for model, w in state.wanted.items()
            },
            lease_end=-1 if lease.end is None else lease.end,
            lease=(last.holder, last.nonce, last.fence) if last else None,
        )

    def _notes(self, now: float) -> list[EndpointNote]:
        """Return the endpoints of which there is something to tell."""
        return [
            _note(view, now)
            for view in self.state.views.values()
            if view.own.requests
            or view.own_loading_until > now
            or any(view.weights.get(m) != v for m, v in view.endpoint.weights)
        ]

    # receiving

    def _take(self, status: Status, now: float) -> None:
        if not self._is_newer(status):
            return
        state = self.state
        member = state.see_member(status.host, status.ip, status.incarnation, now)
        self._log_contact(member, now)
        member.last_contact_at = now
        self.peers[status.host] = status
        for host, ip, incarnation in status.members:
            if host != state.settings.host and host not in state.members:
                state.see_member(host, ip, incarnation, now)
        state.quota.merge(status.host, status.incarnation, status.used)
        self._take_ages(status, now)
        self._forget_load(status.host, keep={note.endpoint_id for note in status.endpoints})
        for note in status.endpoints:
            self._take_note(status.host, note, now)
        if status.lease_end > (self.lease.end or 0):
            record = LeaseRecord(*status.lease) if status.lease else None
            self.lease.observe(status.lease_end, record, self.clock())

    def _take_ages(self, status: Status, now: float) -> None:
        """Take the times of namings; a gateway that started later learns of them here."""
        for model, ages_ms in status.naming_ages_ms.items():
            wanted = self.state.wanted.get(model)
            for version, age_ms in ages_ms.items():
                if wanted is not None and version <= wanted.version:
                    wanted.note_age(version, now - age_ms / 1000)

    def _is_newer(self, status: Status) -> bool:
        """Return whether a message follows the last one of its gateway.

        Incarnations are random, since the time of day may be set back between two starts; one that
        was replaced is never taken up again.
        """
        incarnation, sequence = self.last_sequence.get(status.host, (None, 0))
        if status.incarnation == incarnation:
            if status.sequence <= sequence:
                return False
        elif (status.host, status.incarnation) in self.retired:
            return False
        elif incarnation is not None:
            self.retired.append((status.host, incarnation))
        self.last_sequence[status.host] = (status.incarnation, status.sequence)
        return True

    def _log_contact(self, member: Member, now: float) -> None:
        if now - member.last_contact_at > PEER_HEARD_S:
            log_message("peer_regained", host=member.host, silent_s=now - member.last_contact_at)

    def _take_note(self, host: str, note: EndpointNote, now: float) -> None:
        view = self.state.views.get(note.endpoint_id)
        if view is None or view.endpoint.started_at_ms != note.started_at_ms:
            return
        view.peers[host] = Load(note.requests, held_tokens=note.held_tokens)
        self.loaded.setdefault(host, set()).add(note.endpoint_id)
        for model, version in note.weights.items():
            view.record_weights(model, version)
        if note.switching_ms:
            view.loading_until = max(view.loading_until, now + note.switching_ms / 1000)

    def _take_placement(self, host: str, placement: LongPlacement, now: float) -> None:
        if self.state.take_placement(placement, now) is None or host not in self.peers:
            return
        self.loaded.setdefault(host, set()).add(placement.endpoint_id)
        load = self.state.views[placement.endpoint_id].peers.setdefault(host, Load())
        load.requests += 1
        load.held_tokens += placement.prompt_tokens

    def _forget_load(self, host: str, keep: set[str]) -> None:
        """Drop the load of a gateway at all endpoints but some."""
        loaded = self.loaded.pop(host, set())
        self.loaded[host] = loaded & keep
        for key in loaded - keep:
            view = self.state.views.get(key)
            if view is not None:
                view.peers.pop(host, None)

    def drop_silent(self, now: float) -> None:
        """Forget the load of gateways that are silent."""
        members = self.state.members
        for host in [h for h in self.peers if now - members[h].last_contact_at > PEER_HEARD_S]:
            log_message("peer_lost", host=host)
            del self.peers[host]
            self._forget_load(host, keep=set())

    # records

    async def fetch_missing(self) -> None:
        """Fetch records from peers that know more, if the store does not deliver them."""
        while True:
            await asyncio.sleep(0.2)
            now = self.loop.time()
            self.drop_silent(now)
            ahead = self._peer_ahead()
            if ahead is None:
                self.behind_since = None
                continue
            if self.behind_since is None:
                self.behind_since = now
            patience_s = FETCH_AFTER_S if self.state.store_up else 0.0
            if now - self.behind_since >= patience_s:
                await self._fetch(ahead)

    def _peer_ahead(self) -> Status | None:
        state = self.state
        own_version = state.config.version if state.config else 0
        for status in self.peers.values():
            wants_newer = any(
                version > (state.wanted[model].version if model in state.wanted else 0)
                for model, version in status.wanted.items()
            )
            lists_newer = status.endpoint_offset > state.endpoints.offset and not state.store_up
            if status.config_version > own_version or wants_newer or lists_newer:
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
        """Return the records that this gateway holds, for a peer."""
        state = self.state
        return self.encoder.encode(
            RecordSet(
                [(r.key, r.value, r.offset) for r in state.records.values()],
                [(r.key, r.value, r.offset) for r in state.raw_entries.values()],
            )
        )


def _note(view, now: float) -> EndpointNote:
    own = view.own
    return EndpointNote(
        view.endpoint.endpoint_id,
        view.endpoint.started_at_ms,
        own.requests,
        own.held_tokens,
        view.weights,
        max(0, int((view.own_loading_until - now) * 1000)),
    )
