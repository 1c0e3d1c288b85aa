"""Software versions of the services in the metadata store, where they outlast all gateways."""

import asyncio
import random
import time

import msgspec
from eliot import log_message

from teaselpath.fleet import MetadataStore, Position, StoredRecord, StoreError, Topic
from teaselpath.gateway._record_logs import read_record
from teaselpath.gateway._state import GatewayState
from teaselpath.lineage import StoredVersions, VersionHistory, merge_versions, observe_stored

# Interval at which the versions are read from the store, and delay after a failed call, in seconds.
READ_INTERVAL_S = 24.0
RETRY_DELAY_S = 0.5
# Longest time that a gateway leaves to others to write what the store lacks, in seconds.
MAX_WRITE_DELAY_S = 0.3


class VersionSynchronizer:
    """Reads the versions of the store, and writes those that it lacks.

    :param state: state of this gateway, with the endpoints that are listed.
    :param history: history to which the versions of the store are added.
    :ivar has_read: whether the versions were read since the start.
    """

    def __init__(self, state: GatewayState, store: MetadataStore, history: VersionHistory):
        self.state = state
        self.store = store
        self.history = history
        self.loop = asyncio.get_running_loop()
        self.random = random.Random()
        self.has_read = False
        self.must_run = asyncio.Event()

    def write_soon(self) -> None:
        """Read the versions again, and write those that the store lacks."""
        self.must_run.set()

    async def run(self) -> None:
        """Read versions, and write those that the store lacks, until cancelled."""
        while True:
            self.must_run.clear()
            try:
                await self.synchronize()
            except StoreError as error:
                if not error.is_conflict:
                    log_message("versions_not_synchronized", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            try:
                async with asyncio.timeout(READ_INTERVAL_S):
                    await self.must_run.wait()
                await asyncio.sleep(self.random.uniform(0.0, MAX_WRITE_DELAY_S))
            except TimeoutError:
                pass

    async def synchronize(self) -> None:
        """Read the versions of the store, and write what it lacks."""
        page = await self.store.poll(Topic.VERSIONS, None, 0.0)
        stored = {record.key: _decode(record) for record in page.records if record.value}
        if not self.has_read:
            for service, versions in stored.items():
                observe_stored(self.history.of(service), versions, self.loop.time(), _unix_ms())
            self.has_read = True
        # The listing of a gateway that has just started, or lost the store, may lack versions.
        if self.state.has_had_endpoints and self.state.store_up and self.state.reads_store:
            await self._write(stored, page.end)

    async def _write(self, stored: dict[str, StoredVersions], end: Position) -> None:
        for service, history in list(self.history.services.items()):
            before = stored.get(service, StoredVersions({}))
            merged = merge_versions(before, history.listed, _unix_ms())
            if merged != before:
                value = msgspec.json.encode(merged)
                # Another gateway may have written since; its record is read first.
                end = await self.store.append(Topic.VERSIONS, service, value, end)


def _decode(record: StoredRecord) -> StoredVersions:
    """Return the versions in a record; an unreadable one names a version that cannot be read."""
    stored = read_record(record, StoredVersions)
    return StoredVersions({"": 0}) if stored is None else stored


def _unix_ms() -> int:
    return int(time.time() * 1000)
