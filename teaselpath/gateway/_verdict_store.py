"""Verdicts on prompt parts in the metadata store, where they outlast all gateways."""

import asyncio
import time
from collections.abc import Callable

import msgspec
from eliot import log_message

from teaselpath.fleet import MetadataStore, StoredRecord, StoreError, Topic
from teaselpath.quarantine import Quarantine, QuarantineUpdate, Verdict, VerdictNote

# Interval at which verdicts are read from the store, and delay after a failed call, in seconds.
READ_INTERVAL_S = 24.0
RETRY_DELAY_S = 1.0


class VerdictRecord(msgspec.Struct):
    """Verdict in the store.

    :param issued_at_ms: Unix time.
    :param expires_at_ms: Unix time.
    :param is_lifted: whether it was lifted, by an operator or by answers on its parts.
    """

    parts: list[str]
    issued_at_ms: int
    expires_at_ms: int
    ends: int
    strikes: int
    host: str
    is_lifted: bool = False


class VerdictSynchronizer:
    """Reads the verdicts of the store, and writes those of this gateway.

    :param quarantine: quarantine to which verdicts of the store are applied.
    :param report_learned: called with each verdict that is new here, and its source.
    :ivar has_read: whether the verdicts were read since the start.
    :ivar unwritten: records that the store does not have yet, by verdict.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        store: MetadataStore,
        report_learned: Callable[[Verdict, str], None],
    ):
        self.quarantine = quarantine
        self.store = store
        self.report_learned = report_learned
        self.loop = asyncio.get_running_loop()
        self.has_read = False
        self.unwritten: dict[str, VerdictRecord] = {}
        self.must_write = asyncio.Event()

    async def run(self) -> None:
        """Read verdicts, and write those of this gateway, until cancelled."""
        while True:
            try:
                page = await self.store.poll(Topic.VERDICTS, None, 0.0)
                for record in page.records:
                    self._apply_record(record)
                self.has_read = True
                await self._write_records()
            except StoreError as error:
                log_message("verdicts_not_synchronized", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            try:
                async with asyncio.timeout(READ_INTERVAL_S):
                    await self.must_write.wait()
            except TimeoutError:
                pass

    async def _write_records(self) -> None:
        self.must_write.clear()
        while self.unwritten:
            verdict_id, record = next(iter(self.unwritten.items()))
            await self.store.append(Topic.VERDICTS, verdict_id, msgspec.json.encode(record))
            if self.unwritten.get(verdict_id) is record:
                del self.unwritten[verdict_id]

    def _apply_record(self, record: StoredRecord) -> None:
        if not record.value:
            return
        try:
            stored = msgspec.json.decode(record.value, type=VerdictRecord)
        except msgspec.MsgspecError as error:
            log_message("record_ignored", key=record.key, reason=str(error))
            return
        now_ms = int(time.time() * 1000)
        note = VerdictNote(
            record.key,
            [] if stored.is_lifted else stored.parts,
            max(0, now_ms - stored.issued_at_ms),
            max(0, stored.expires_at_ms - now_ms),
            stored.ends,
            stored.strikes,
            stored.host,
        )
        known = record.key in self.quarantine.table.verdicts
        update = QuarantineUpdate(self.quarantine.host, verdicts=[note])
        self.quarantine.apply(update, self.loop.time())
        verdict = self.quarantine.table.verdicts.get(record.key)
        if verdict is not None and not known:
            self.report_learned(verdict, "store")

    def write(self, verdict: Verdict, *, is_lifted: bool = False) -> None:
        """Write a verdict to the store as soon as that is possible."""
        now, now_ms = self.loop.time(), int(time.time() * 1000)
        self.unwritten[verdict.verdict_id] = VerdictRecord(
            sorted(verdict.parts),
            # A record of a lifted verdict counts from when it was lifted.
            now_ms - (0 if is_lifted else int((now - verdict.issued_at) * 1000)),
            now_ms + int((verdict.expires_at - now) * 1000),
            verdict.ends,
            verdict.strikes,
            verdict.host,
            is_lifted,
        )
        self.must_write.set()
