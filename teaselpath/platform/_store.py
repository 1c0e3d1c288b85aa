"""Client of the platform's metadata store."""

import asyncio
import struct
from base64 import b64decode
from typing import TypeVar
from urllib.parse import quote

import msgspec
from eliot import log_message

from teaselpath.fleet import (
    EndpointEntry,
    FleetConfig,
    Position,
    RecordPage,
    RolloutOrder,
    RolloutRecord,
    StoredRecord,
    StoreError,
    Topic,
)
from teaselpath.http1 import ConnectFailed, ConnectionBroken, HttpClient, ReadTimeout, Response
from teaselpath.platform._config import decode_config, decode_endpoint, decode_weights
from teaselpath.platform._rollouts import (
    decode_rollout,
    decode_rollout_status,
    encode_rollout_status,
)
from teaselpath.utils import Unreadable, decode_json

# Time for the answer beyond the duration of the long poll, in seconds.
CALL_TIMEOUT_S = 1.5
# Listings that are begun again because the store has returned from a copy between two pages.
MAX_RELISTINGS = 3
# Longest number of an era that is accepted; messages between gateways carry 64 bits.
MAX_ERA_DIGITS = 18

# Value of a record that is there but cannot be read; an empty one would remove the key.
UNREADABLE_VALUE = b"\xff"

_TOPICS = {
    Topic.OPERATORS: "keyed.op",
    Topic.ENDPOINTS: "keyed.servers",
    Topic.LEASE: "keyed.lease",
    Topic.MEMBERS: "keyed.members",
    Topic.VERDICTS: "keyed.verdicts",
    Topic.VERSIONS: "keyed.versions",
    Topic.STREAMS: "keyed.streams",
    Topic.STATUS: "keyed.status",
}


class _Item(msgspec.Struct):
    key: str
    value: str | None
    offset: int


class _Listing(msgspec.Struct, rename="camel"):
    items: list[_Item]
    end: int
    has_more: bool = False


class _Appended(msgspec.Struct):
    end: int


_Answer = TypeVar("_Answer")


class PlatformStore:
    """Reads and appends records of the store's topics.

    :param address: IP:PORT.
    """

    def __init__(self, address: str, http: HttpClient):
        self.address = address
        self.http = http

    async def poll(self, topic: Topic, start: Position | None, wait_s: float) -> RecordPage:
        """Return records from ``start`` on, long-polling for up to ``wait_s``.

        If ``start`` is None, its record was deleted, or the store answers in another era, in which
        the offset has another meaning, return a listing instead.
        """
        if start is None:
            return await self._list(topic)
        target = (
            f"/-/log-read?topic={_TOPICS[topic]}&part=0"
            f"&from={start.offset}&waitMs={wait_s * 1000:.0f}"
        )
        response = await self._call(b"GET", target, wait_s)
        match response.head.status:
            case 200 if _era_of(response) == start.era:
                return _decode_records(response.body, start)
            case 200 | 410:
                return await self._list(topic)
            case status:
                raise StoreError(f"read of {topic} refused with {status}")

    async def append(
        self, topic: Topic, key: str, value: bytes, end: Position | None = None
    ) -> Position:
        """Append a record and return the new end; with ``end`` only if the topic ends there.

        :raises StoreError: also if a record was appended at the offset of ``end`` in another era.
        """
        target = f"/-/log-append?topic={_TOPICS[topic]}&part=0"
        if end is not None:
            target += f"&at={end.offset}"
        encoded_key = key.encode()
        content = bytes([len(encoded_key)]) + encoded_key + value
        body = struct.pack(">I", len(content)) + content
        response = await self._call(b"POST", target, 0.0, body)
        era = _era_of(response)
        match response.head.status:
            case 200 if end is not None and era != end.era:
                raise StoreError(f"{topic} is in era {era}, not {end.era}", is_outcome_unknown=True)
            case 200:
                return Position(era, _decode(response, _Appended).end)
            case 412:
                raise StoreError(f"{topic} does not end at {end}", is_conflict=True)
            case status:
                raise StoreError(f"append to {topic} refused with {status}")

    def decode_config(self, record: StoredRecord) -> FleetConfig | None:
        """Return the configuration in a record of the operators' topic."""
        return decode_config(record)

    def decode_weights(self, record: StoredRecord) -> tuple[str, int] | None:
        """Return model and weights version in a record of the operators' topic."""
        return decode_weights(record)

    def decode_rollout(self, record: StoredRecord) -> RolloutOrder | None:
        """Return the rollout that a record of the operators' topic asks for."""
        return decode_rollout(record)

    def decode_rollout_status(self, record: StoredRecord) -> RolloutRecord | None:
        """Return the rollout in a record of the status topic."""
        return decode_rollout_status(record)

    def encode_rollout_status(self, rollout: RolloutRecord) -> tuple[str, bytes]:
        """Return key and value of the record of a rollout in the status topic."""
        return encode_rollout_status(rollout)

    def decode_endpoint(self, record: StoredRecord) -> EndpointEntry:
        """Return the endpoint entry in a record of the endpoint topic."""
        return decode_endpoint(record)

    async def _list(self, topic: Topic) -> RecordPage:
        """Return a listing whose pages are of one era."""
        for _ in range(1 + MAX_RELISTINGS):
            page = await self._list_once(topic)
            if page is not None:
                return page
            log_message("listing_restarted", topic=topic)
        raise StoreError(f"the era of {topic} changes while it is listed")

    async def _list_once(self, topic: Topic) -> RecordPage | None:
        """Return a listing; None if the store returns from a copy meanwhile."""
        records: list[StoredRecord] = []
        after, end = "", None
        while True:
            target = f"/-/log-newest?topic={_TOPICS[topic]}&part=0"
            if after:
                target += f"&after={quote(after, safe='')}"
            response = await self._call(b"GET", target, 0.0)
            if response.head.status != 200:
                raise StoreError(f"listing of {topic} refused with {response.head.status}")
            page, era = _decode(response, _Listing), _era_of(response)
            if end is not None and era != end.era:
                return None
            records += [_to_record(topic, item, era) for item in page.items]
            # Records appended between two pages lie after the end of the first page.
            page_end = Position(era, page.end)
            end = page_end if end is None else min(end, page_end)
            if not page.has_more or not page.items:
                return RecordPage(records, end, is_listing=True)
            after = page.items[-1].key

    async def _call(self, method: bytes, target: str, wait_s: float, body: bytes = b"") -> Response:
        deadline = asyncio.get_running_loop().time() + wait_s + CALL_TIMEOUT_S
        try:
            return await self.http.call(
                self.address, method, target.encode(), deadline=deadline, body=body
            )
        except ConnectFailed as error:
            raise StoreError(str(error)) from error
        except (ConnectionBroken, ReadTimeout) as error:
            raise StoreError(f"no answer: {error!r}", is_outcome_unknown=True) from error


def _era_of(response: Response) -> int:
    """Return the era of the store in an answer; 0 if it states none that can be read."""
    value = response.head.header(b"store-era")
    if value is None:
        return 0
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        log_message("store_era_unreadable", value=value.decode(errors="replace"))
        return 0
    return int(value)


def _to_record(topic: Topic, item: _Item, era: int) -> StoredRecord:
    """Return a listed record; one whose value is not in base64 has a value that cannot be read."""
    position = Position(era, item.offset)
    try:
        return StoredRecord(item.key, b64decode(item.value or "", validate=True), position)
    except ValueError as error:
        log_message("record_unreadable", topic=topic, key=item.key, reason=str(error))
        return StoredRecord(item.key, UNREADABLE_VALUE, position)


def _decode(response: Response, kind: type[_Answer]) -> _Answer:
    try:
        return decode_json(response.body, kind)
    except Unreadable as error:
        raise StoreError(f"answer cannot be read: {error}", is_outcome_unknown=True) from error


def _decode_records(data: bytes, start: Position) -> RecordPage:
    """Return the records of a log read.

    The format is end and first offset, then length-prefixed records.
    """
    try:
        _end, _first = struct.unpack_from(">QQ", data)
        records = []
        index, position = 16, start
        while index + 4 <= len(data):
            (length,) = struct.unpack_from(">I", data, index)
            content = data[index + 4 : index + 4 + length]
            if len(content) < length or not content:
                raise StoreError("a record is cut off")
            key_end = 1 + content[0]
            key = content[1:key_end].decode(errors="replace")
            records.append(StoredRecord(key, content[key_end:], position))
            index += 4 + length
            position = position.shifted(1)
    except struct.error as error:
        raise StoreError(f"records cannot be read: {error}") from error
    return RecordPage(records, position, is_listing=False)
