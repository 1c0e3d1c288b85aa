"""Records of the store that a gateway fetches from peers, and the gateways that read the store."""

import asyncio
import random
from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec
from eliot import log_message

from teaselpath.exchange import is_large_fleet, select_readers, status_interval_s
from teaselpath.fleet import BEFORE_ALL, Position, StoredRecord, Topic
from teaselpath.gateway._peer_messages import RecordSet, Status
from teaselpath.gateway._state import UNKNOWN_SINCE, GatewayState
from teaselpath.http1 import ConnectFailed, ConnectionBroken, HttpClient, ReadTimeout
from teaselpath.utils import Unreadable, decode_msgpack

# Records that a peer already has are fetched from it if the store has not delivered them within
# this time, in seconds. A gateway that does not follow the store fetches them without delay.
FETCH_DELAY_S = 0.5
# The same for endpoint records, in seconds: a gateway that follows the store gets them together, up
# to a second late. Reads of the store can be stale, so that a gateway that has restarted would use
# endpoints that its peers know to have left.
ENDPOINTS_FETCH_DELAY_S = 1.5
FETCH_TIMEOUT_S = 1.0
# Pause after a fetch of endpoint records only, in seconds, so that the next one returns the changes
# of several endpoints together.
ENDPOINTS_FETCH_PAUSE_S = 0.6
# Largest answer with the records of a peer, in bytes.
MAX_RECORDS_BYTES = 16 << 20
RECORDS_PATH = b"/records"
# Interval between two checks of the peers, in seconds.
CHECK_INTERVAL_S = 0.2
# Time after a failed call to the store for which a gateway does not follow it for others, in
# seconds.
STORE_DISTRUST_S = 10.0
# Time after a failed fetch for which a peer is asked after all others, in seconds.
FETCH_DISTRUST_S = 5.0
# A gateway that reads the store for others is replaced if it sends no message for this time, in
# seconds, or for a number of status intervals if that is longer.
READER_TIMEOUT_S = 1.5
READER_TIMEOUT_INTERVALS = 3.5


class RecordFetcher:
    """Fetches the records of the store that this gateway lacks from peers that have them.

    :param state: state of this gateway, to which records are applied.
    :param statuses: newest status of each reachable gateway, by host.
    :param discard_unreachable: discards the status of gateways that are unreachable at a time.
    :ivar incomplete_from: host of the peer whose last answer lacked records that it has.
    :ivar distrusted_until: time until which peers whose last fetch failed are asked last, by host.
    :ivar needs_store: whether this gateway reads the store itself, because a fetch has failed,
        until no peer has newer records.
    """

    def __init__(
        self,
        state: GatewayState,
        http: HttpClient,
        statuses: dict[str, Status],
        discard_unreachable: Callable[[float], None],
    ):
        self.state = state
        self.http = http
        self.statuses = statuses
        self.discard_unreachable = discard_unreachable
        self.behind_since: float | None = None
        self.behind_at: tuple[Position, Position] = (BEFORE_ALL, BEFORE_ALL)
        self.incomplete_from: str | None = None
        self.distrusted_until: dict[str, float] = {}
        self.needs_store = False
        self.random = random.Random()
        self.encoder = msgspec.msgpack.Encoder()
        self.loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Fetch newer records from peers if the store does not deliver them, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self.loop.time()
            self.discard_unreachable(now)
            self.update_reading(now)
            ahead = self.peer_to_fetch_from(now)
            if ahead is None:
                continue
            await self._fetch(ahead)
            if not self._lacks_operator_records(ahead):
                await asyncio.sleep(ENDPOINTS_FETCH_PAUSE_S)

    def peer_to_fetch_from(self, now: float) -> Status | None:
        """Return the peer to fetch records from now.

        None if no peer has newer ones, or the store may still deliver them.
        """
        state = self.state
        ahead = self._peer_ahead(now)
        if ahead is None:
            self.behind_since = self.incomplete_from = None
            self.needs_store = False
            return None
        # A gateway that receives records is not behind since the first of them was missing.
        position = (state.newest_position(Topic.OPERATORS), state.endpoints.position)
        if self.behind_since is None or position != self.behind_at:
            self.behind_since, self.behind_at = now, position
        delay_s = 0.0
        if state.reads_store and state.store_up:
            lacks_operators = self._lacks_operator_records(ahead)
            delay_s = FETCH_DELAY_S if lacks_operators else ENDPOINTS_FETCH_DELAY_S
        return ahead if now - self.behind_since >= delay_s else None

    def update_reading(self, now: float) -> None:
        """Decide whether this gateway follows the store, and who follows it otherwise.

        A gateway that does not follow the store takes over from the readers of its failure domain
        whether the store is available.
        """
        state, settings = self.state, self.state.settings
        reachable = [h for h in self.statuses if h in state.members]
        interval_s = status_interval_s(len(reachable))
        reader_timeout_s = max(READER_TIMEOUT_S, READER_TIMEOUT_INTERVALS * interval_s)
        candidates = [
            host
            for host in reachable
            if state.members[host].failure_domain == settings.failure_domain
            and self.statuses[host].store_up
            and not self.statuses[host].is_stopping
            and now - state.members[host].last_contact_at < reader_timeout_s
        ]
        if state.reaches_store(now, STORE_DISTRUST_S) and not state.is_stopping:
            candidates.append(settings.host)
        readers = select_readers(settings.failure_domain, candidates)
        follows_others = is_large_fleet(len(reachable)) and readers and not self.needs_store
        reads = not follows_others or settings.host in readers
        if reads != state.reads_store:
            state.reads_store = reads
            log_message("store_reading_changed", reads_store=reads, readers=readers)
        if not reads:
            state.record_store_success(now)

    def _peer_ahead(self, now: float) -> Status | None:
        """Return a peer that has newer records than this gateway, one that is near if possible."""
        settings = self.state.settings
        ahead = [status for status in self.statuses.values() if self._lacks_records(status)]
        return min(
            ahead,
            key=lambda status: (
                # A near peer that stands still fails each fetch until its status expires.
                self.distrusted_until.get(status.host, 0.0) > now,
                # A peer whose last answer lacked records comes last.
                status.host == self.incomplete_from,
                not self._lacks_operator_records(status),
                status.domain != settings.failure_domain,
                settings.regions.get(status.domain, "") != settings.region,
                # Spreads the requests of the gateways over the peers that are ahead.
                self.random.random(),
            ),
            default=None,
        )

    def _lacks_records(self, status: Status) -> bool:
        return (
            self._lacks_operator_records(status)
            or Position(*status.endpoint_position) > self.state.endpoints.position
        )

    def _lacks_operator_records(self, status: Status) -> bool:
        state = self.state
        has_newer_weights = any(
            version > (state.announced[model].version if model in state.announced else 0)
            for model, version in status.wanted.items()
        )
        own_version = state.config.version if state.config else 0
        return status.config_version > own_version or has_newer_weights

    async def _fetch(self, status: Status) -> None:
        """Fetch the records of a peer that are newer than those of this gateway.

        All records are fetched if the newer ones of a peer did not include what its status stated.
        """
        state = self.state
        deadline = self.loop.time() + FETCH_TIMEOUT_S
        address = f"{status.ip}:{state.settings.peer_port}"
        target = RECORDS_PATH
        if self.incomplete_from is None:
            operators, endpoints = state.newest_position(Topic.OPERATORS), state.endpoints.position
            target += b"?operators=%d.%d&endpoints=%d.%d" % (
                operators.era, operators.offset, endpoints.era, endpoints.offset,
            )  # fmt: skip
        self.incomplete_from = None
        try:
            response = await self.http.call(
                address, b"GET", target, deadline=deadline, max_body_bytes=MAX_RECORDS_BYTES
            )
            records = decode_msgpack(response.body, RecordSet)
        except (ConnectFailed, ConnectionBroken, ReadTimeout, Unreadable) as error:
            log_message(
                "peer_records_failed",
                host=status.host,
                reason=repr(error),
                lacks_operators=self._lacks_operator_records(status),
                behind_s=self._behind_s(),
            )
            self.distrusted_until[status.host] = self.loop.time() + FETCH_DISTRUST_S
            self.needs_store = True
            return
        self.distrusted_until.pop(status.host, None)
        now = self.loop.time()
        source = f"peer {status.host}"
        if self._lacks_operator_records(status):
            log_message("peer_records_fetched", host=status.host, behind_s=self._behind_s())
        for record in map(_to_record, records.operators):
            # The statuses of peers tell the age of announced weights.
            state.apply_operator_record(record, source, now, UNKNOWN_SINCE)
        newer = sorted(map(_to_record, records.endpoints), key=_position_of)
        for record in newer:
            state.apply_endpoint_record(record, source, now)
        if records.endpoints_end is not None:
            listed = {record.key for record in newer if record.value}
            state.remove_unlisted(listed, Position(*records.endpoints_end), now)
        if self._lacks_records(status):
            self.incomplete_from = status.host

    def _behind_s(self) -> float:
        """Return how long a peer has been known to have newer records, in seconds."""
        return self.loop.time() - self.behind_since if self.behind_since is not None else 0.0

    def encode_records(self, query: bytes = b"") -> bytes:
        """Return the encoded store records of this gateway, for a peer.

        :param query: positions after which the peer needs records, by topic; all without one.
            Operators' records of other eras are always included, since their version decides.
        """
        state = self.state
        after = {name: _parse_position(value) for name, value in parse_qsl(query.decode())}
        operators = after.get("operators", BEFORE_ALL)
        table, endpoints = state.endpoints, after.get("endpoints", BEFORE_ALL)
        end = None
        if not table.knows_removals_after(endpoints):
            endpoints, end = BEFORE_ALL, table.position.shifted(1)
        return self.encoder.encode(
            RecordSet(
                [
                    _from_record(record)
                    for record in state.operator_records.values()
                    if record.position > operators or record.position.era != operators.era
                ],
                [_from_record(record) for record in table.records_after(endpoints)],
                None if end is None else (end.era, end.offset),
            )
        )


def _parse_position(text: str) -> Position:
    era, _, offset = text.partition(".")
    return Position(int(era), int(offset))


def _to_record(sent: tuple[str, bytes, int, int]) -> StoredRecord:
    key, value, era, offset = sent
    return StoredRecord(key, value, Position(era, offset))


def _from_record(record: StoredRecord) -> tuple[str, bytes, int, int]:
    return record.key, record.value, record.position.era, record.position.offset


def _position_of(record: StoredRecord) -> Position:
    return record.position
