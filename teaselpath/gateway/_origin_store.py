"""Origins of unfinished streams in the metadata store, for when all gateways are killed."""

import asyncio
import time
from collections import defaultdict

import msgspec
from eliot import log_message

from teaselpath.fleet import MetadataStore, StoreError, Topic
from teaselpath.gateway._record_logs import read_record
from teaselpath.lineage import CLOCK_ERROR_S, MIN_TAKE_UP_S, Origin, OriginTable
from teaselpath.utils import decode_msgpack

# Shortest time between two records of a gateway, in seconds: streams that began since the last one
# are not known after all gateways were killed.
WRITE_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.5


class StoredStreams(msgspec.Struct, array_like=True):
    """Unfinished streams of a service that began at one software version.

    :param keys: keys of the streams.
    """

    service: str
    version: str | None
    keys: list[int]


class StoredOrigins(msgspec.Struct, array_like=True):
    """Unfinished streams of one gateway, in services of several versions.

    :param written_at_ms: Unix time.
    """

    written_at_ms: int
    streams: list[StoredStreams]


class OriginRecorder:
    """Writes the unfinished streams of this gateway, and reads those of all when it starts.

    :param host: own host, the key of the record.
    :param table: origins to which those of the store are added. What an earlier process of this
        host wrote stays in the record until it expires.
    :ivar has_read: whether the records were read since the start.
    :ivar unfinished: streams of this host of which the caller has a part, by key.
    """

    def __init__(self, host: str, store: MetadataStore, table: OriginTable):
        self.host = host
        self.store = store
        self.table = table
        self.loop = asyncio.get_running_loop()
        self.has_read = False
        self.unfinished: dict[int, Origin] = {}
        self.has_news = asyncio.Event()

    def add(self, key: int, origin: Origin) -> None:
        """Add a stream that has begun; it is written with ``write_soon``."""
        self.unfinished[key] = origin

    def write_soon(self) -> None:
        """Write the unfinished streams as soon as that is possible."""
        self.has_news.set()

    def discard(self, key: int) -> None:
        """Remove a stream that was answered to its end, from the next record on."""
        self.unfinished.pop(key, None)

    def expire(self, now: float) -> None:
        """Remove the streams that are no longer taken up."""
        self.unfinished = {k: o for k, o in self.unfinished.items() if o.expires_at > now}

    async def run(self) -> None:
        """Read all records, then write the own one as streams begin, until cancelled."""
        while True:
            try:
                if not self.has_read:
                    await self._read()
                await self.has_news.wait()
                self.has_news.clear()
                await self._write()
            except StoreError as error:
                log_message("origins_not_stored", reason=str(error))
                self.has_news.set()
                await asyncio.sleep(RETRY_DELAY_S)
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def _read(self) -> None:
        page = await self.store.poll(Topic.STREAMS, None, 0.0)
        for record in page.records:
            stored = read_record(record, StoredOrigins, decode_msgpack) if record.value else None
            if stored is not None:
                self._apply(stored, is_own=record.key == self.host)
        self.has_read = True

    def _apply(self, stored: StoredOrigins, *, is_own: bool) -> None:
        age_s = max(0.0, time.time() - stored.written_at_ms / 1000 - CLOCK_ERROR_S)
        expires_at = self.loop.time() + MIN_TAKE_UP_S - age_s
        if expires_at <= self.loop.time():
            return
        for streams in stored.streams:
            origin = Origin(streams.service, streams.version, expires_at)
            for key in streams.keys:
                self.table.record(key, origin)
                if is_own:
                    self.unfinished[key] = origin

    async def _write(self) -> None:
        self.expire(self.loop.time())
        keys: dict[tuple[str, str | None], list[int]] = defaultdict(list)
        for key, origin in self.unfinished.items():
            keys[origin.service, origin.version].append(key)
        streams = [StoredStreams(service, v, held) for (service, v), held in keys.items()]
        record = StoredOrigins(int(time.time() * 1000), streams)
        await self.store.append(Topic.STREAMS, self.host, msgspec.msgpack.encode(record))
