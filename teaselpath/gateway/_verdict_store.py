"""Verdicts in the metadata store, where they outlast all gateways."""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
from eliot import log_message

from teaselpath.fleet import MetadataStore, StoreError, Topic
from teaselpath.gateway._record_logs import read_record
from teaselpath.quarantine import Quarantine, QuarantineUpdate, Verdict, VerdictNote

# Interval at which verdicts are read from the store, and delay after a failed call, in seconds.
READ_INTERVAL_S = 24.0
RETRY_DELAY_S = 1.0
# Time for which the store may lack a verdict of another gateway before this one writes it, in
# seconds. It is drawn from this range, so that one of the other gateways writes before the rest.
REWRITE_DELAYS_S = (3.0, 15.0)


class VerdictRecord(msgspec.Struct):
    """Verdict in the store.

    :param issued_at_ms: Unix time; of a lifted verdict, the time of the lifting.
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
    """Reads the verdicts of the store, and writes those that it lacks.

    A gateway writes its own verdicts at once, those of others if the store still lacks them later.

    :param quarantine: quarantine to which verdicts of the store are applied.
    :param report_learned: called with each verdict that is new here, and its source.
    :ivar has_read: whether the verdicts were read since the start.
    :ivar unwritten: records to write, by verdict.
    :ivar written: verdicts whose newest record is of this process.
    :ivar rewrite_at: time from which this gateway writes a verdict that the store lacks.
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
        self.random = random.Random()
        self.has_read = False
        self.unwritten: dict[str, VerdictRecord] = {}
        self.written: set[str] = set()
        self.rewrite_at: dict[str, float] = {}
        self.must_run = asyncio.Event()

    async def run(self) -> None:
        """Read verdicts, and write those that the store lacks, until cancelled."""
        while True:
            self.must_run.clear()
            try:
                await self.synchronize(self.loop.time())
            except StoreError as error:
                log_message("verdicts_not_synchronized", reason=str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            next_at = min([*self.rewrite_at.values(), self.loop.time() + READ_INTERVAL_S])
            try:
                async with asyncio.timeout_at(next_at):
                    await self.must_run.wait()
            except TimeoutError:
                pass

    def read_soon(self) -> None:
        """Read the verdicts again, because the store may have lost some."""
        self.must_run.set()

    async def synchronize(self, now: float) -> None:
        """Read the verdicts of the store, and write what it lacks and this gateway has to write."""
        page = await self.store.poll(Topic.VERDICTS, None, 0.0)
        stored = {}
        for record in page.records:
            verdict = read_record(record, VerdictRecord) if record.value else None
            if verdict is not None:
                stored[record.key] = verdict
                self._apply(record.key, verdict, now)
        self.has_read = True
        self._plan_rewrites(stored, now)
        await self._write_records()

    def _apply(self, verdict_id: str, stored: VerdictRecord, now: float) -> None:
        now_ms = _unix_ms()
        note = VerdictNote(
            verdict_id,
            [] if stored.is_lifted else stored.parts,
            max(0, now_ms - stored.issued_at_ms),
            max(0, stored.expires_at_ms - now_ms),
            stored.ends,
            stored.strikes,
            stored.host,
        )
        known = verdict_id in self.quarantine.table.verdicts
        update = QuarantineUpdate(self.quarantine.host, verdicts=[note])
        self.quarantine.apply(update, now)
        verdict = self.quarantine.table.verdicts.get(verdict_id)
        if verdict is not None and not known:
            self.report_learned(verdict, "store")

    def _plan_rewrites(self, stored: dict[str, VerdictRecord], now: float) -> None:
        """Decide which of the records that the store lacks are written now."""
        lacking = self._lacking_records(stored, now)
        table = self.quarantine.table
        self.written &= table.verdicts.keys() | table.lifted_at.keys()
        self.rewrite_at = {key: at for key, at in self.rewrite_at.items() if key in lacking}
        for verdict_id in lacking.keys() - self.unwritten.keys():
            record = lacking[verdict_id]
            is_own = verdict_id in self.written or record.host == self.quarantine.host
            delay_s = 0.0 if is_own else self.random.uniform(*REWRITE_DELAYS_S)
            if now >= self.rewrite_at.setdefault(verdict_id, now + delay_s):
                del self.rewrite_at[verdict_id]
                self.unwritten[verdict_id] = record
                log_message("verdict_rewritten", verdict=verdict_id, is_lifted=record.is_lifted)

    def _lacking_records(
        self, stored: dict[str, VerdictRecord], now: float
    ) -> dict[str, VerdictRecord]:
        """Return verdicts in force, and liftings of stored ones, that the store lacks."""
        table = self.quarantine.table
        lacking = {
            verdict.verdict_id: _record_of(verdict, now)
            for verdict in table.in_force(now)
            if not _is_current(stored.get(verdict.verdict_id), verdict)
        }
        for verdict_id, lifted_at in table.lifted_at.items():
            found = stored.get(verdict_id)
            if found is None or found.is_lifted or verdict_id in table.verdicts:
                continue
            if _unix_ms() < found.expires_at_ms:
                lacking[verdict_id] = _lifting_of(found, lifted_at, now)
        return lacking

    async def _write_records(self) -> None:
        while self.unwritten:
            verdict_id, record = next(iter(self.unwritten.items()))
            await self.store.append(Topic.VERDICTS, verdict_id, msgspec.json.encode(record))
            if self.unwritten.get(verdict_id) is record:
                del self.unwritten[verdict_id]

    def write(self, verdict: Verdict, *, is_lifted: bool = False) -> None:
        """Write a verdict to the store as soon as that is possible."""
        now = self.loop.time()
        record = _record_of(verdict, now)
        self.unwritten[verdict.verdict_id] = _lifting_of(record, now, now) if is_lifted else record
        self.written.add(verdict.verdict_id)
        self.must_run.set()


def _record_of(verdict: Verdict, now: float) -> VerdictRecord:
    return VerdictRecord(
        sorted(verdict.parts),
        _unix_ms(verdict.issued_at - now),
        _unix_ms(verdict.expires_at - now),
        verdict.ends,
        verdict.strikes,
        verdict.host,
    )


def _lifting_of(record: VerdictRecord, lifted_at: float, now: float) -> VerdictRecord:
    return msgspec.structs.replace(record, issued_at_ms=_unix_ms(lifted_at - now), is_lifted=True)


def _is_current(stored: VerdictRecord | None, verdict: Verdict) -> bool:
    return (
        stored is not None
        and not stored.is_lifted
        and set(stored.parts) == verdict.parts
        and stored.strikes >= verdict.strikes
    )


def _unix_ms(from_now_s: float = 0.0) -> int:
    """Return the Unix time at a distance from now, in ms."""
    return int((time.time() + from_now_s) * 1000)
