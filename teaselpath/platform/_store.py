"""Client of the platform's metadata store."""

import asyncio
import struct
from base64 import b64decode
from urllib.parse import quote

import msgspec
from eliot import log_message

from teaselpath.fleet import (
    EndpointEntry,
    FleetConfig,
    RecordPage,
    StoredRecord,
    StoreError,
    Topic,
)
from teaselpath.http1 import ConnectFailed, ConnectionBroken, HttpClient, ReadTimeout, Response
from teaselpath.platform._config import decode_config, decode_endpoint, decode_weights

# Time for the answer beyond the duration of the long poll, in seconds.
CALL_TIMEOUT_S = 1.5

_TOPICS = {
    Topic.OPERATORS: "keyed.op",
    Topic.ENDPOINTS: "keyed.servers",
    Topic.LEASE: "keyed.lease",
    Topic.MEMBERS: "keyed.members",
    Topic.VERDICTS: "keyed.verdicts",
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


class PlatformStore:
    """Reads and appends records of the store's topics.

    :param address: IP:PORT.
    :ivar era: era that the store stated last.
    """

    def __init__(self, address: str, http: HttpClient):
        self.address = address
        self.http = http
        self.era: bytes | None = None

    async def poll(self, topic: Topic, start: int | None, wait_s: float) -> RecordPage:
        """Return records from offset ``start`` on, long-polling for up to ``wait_s``.

        If ``start`` is None or its record was deleted, return a listing instead.
        """
        if start is None:
            return await self._list(topic)
        target = (
            f"/-/log-read?topic={_TOPICS[topic]}&part=0&from={start}&waitMs={wait_s * 1000:.0f}"
        )
        response = await self._call(b"GET", target, wait_s)
        match response.head.status:
            case 200:
                return _decode_records(response.body, start)
            case 410:
                return await self._list(topic)
            case status:
                raise StoreError(f"read of {topic} refused with {status}")

    async def append(self, topic: Topic, key: str, value: bytes, end: int | None = None) -> int:
        """Append a record and return the new end; with ``end`` only if the topic ends there."""
        target = f"/-/log-append?topic={_TOPICS[topic]}&part=0"
        if end is not None:
            target += f"&at={end}"
        encoded_key = key.encode()
        content = bytes([len(encoded_key)]) + encoded_key + value
        body = struct.pack(">I", len(content)) + content
        response = await self._call(b"POST", target, 0.0, body)
        match response.head.status:
            case 200:
                return msgspec.json.decode(response.body, type=_Appended).end
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

    def decode_endpoint(self, record: StoredRecord) -> EndpointEntry:
        """Return the endpoint entry in a record of the endpoint topic."""
        return decode_endpoint(record)

    async def _list(self, topic: Topic) -> RecordPage:
        records: list[StoredRecord] = []
        after, end = "", None
        while True:
            target = f"/-/log-newest?topic={_TOPICS[topic]}&part=0"
            if after:
                target += f"&after={quote(after, safe='')}"
            response = await self._call(b"GET", target, 0.0)
            if response.head.status != 200:
                raise StoreError(f"listing of {topic} refused with {response.head.status}")
            try:
                page = msgspec.json.decode(response.body, type=_Listing)
            except msgspec.MsgspecError as error:
                raise StoreError(f"listing of {topic} cannot be read: {error}") from error
            records += [StoredRecord(i.key, b64decode(i.value or ""), i.offset) for i in page.items]
            # Records appended between two pages lie after the end of the first page.
            end = page.end if end is None else min(end, page.end)
            if not page.has_more or not page.items:
                return RecordPage(records, end, is_listing=True)
            after = page.items[-1].key

    async def _call(self, method: bytes, target: str, wait_s: float, body: bytes = b"") -> Response:
        deadline = asyncio.get_running_loop().time() + wait_s + CALL_TIMEOUT_S
        try:
            response = await self.http.call(
                self.address, method, target.encode(), deadline=deadline, body=body
            )
        except ConnectFailed as error:
            raise StoreError(str(error)) from error
        except (ConnectionBroken, ReadTimeout) as error:
            raise StoreError(f"no answer: {error!r}", is_outcome_unknown=True) from error
        era = response.head.header(b"store-era")
        if era is not None and era != self.era:
            log_message("store_era", era=era.decode(errors="replace"), target=target)
            self.era = era
        return response


def _decode_records(data: bytes, start: int) -> RecordPage:
    """Return the records of a log read.

    The format is end and first offset, then length-prefixed records.
    """
    try:
        _end, _first = struct.unpack_from(">QQ", data)
        records = []
        position, offset = 16, start
        while position + 4 <= len(data):
            (length,) = struct.unpack_from(">I", data, position)
            content = data[position + 4 : position + 4 + length]
            if len(content) < length or not content:
                raise StoreError("a record is cut off")
            key_end = 1 + content[0]
            key = content[1:key_end].decode(errors="replace")
            records.append(StoredRecord(key, content[key_end:], offset))
            position += 4 + length
            offset += 1
    except struct.error as error:
        raise StoreError(f"records cannot be read: {error}") from error
    return RecordPage(records, max(offset, start), is_listing=False)
