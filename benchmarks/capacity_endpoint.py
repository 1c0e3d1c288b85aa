"""Slopes of the cache index, the log's streams and the decision records."""

import functools
from random import Random

import msgspec
from capacity_fit import Slope, allocated, cpu_us, cpu_us_fresh

from teaselpath.agent._engine import _event_batch, _EventsBody
from teaselpath.delivery import (
    AppendDone,
    ClaimFinished,
    ClaimRequested,
    ClaimTable,
    ReadProgress,
    RecordRead,
)
from teaselpath.orders import LoadLedger, LoadRecord, Turn
from teaselpath.orders._records import Claim, Release, encode_record
from teaselpath.prefix import CacheIndex, EngineReported, EventBatch, Snapshot
from teaselpath.records import DecisionLog
from teaselpath.wire import Append, DecisionRecord, TraceCopy, encode

BLOCKS_PER_ENGINE = 100_000_000 / 2400
EVENTS_PER_S = 870_000 / 2400
RING = 20_000


@functools.lru_cache(maxsize=8)
def hashes(count: int, seed: int = 1) -> tuple[bytes, ...]:
    """Return block hashes."""
    random = Random(seed)
    return tuple(random.randbytes(16) for _ in range(count))


def index(blocks: int) -> CacheIndex:
    """Return the index of an engine's cache, filled from a snapshot."""
    found = CacheIndex()
    request = found.handle(EngineReported("engine-1", "w1"), 0.0)[0].request
    found.handle(Snapshot("engine-1", 1, hashes(blocks), request), 0.0)
    return found


def index_memory(blocks: int) -> float:
    """Measure the index without the hashes that were handed in."""
    hashes(blocks)
    return allocated(lambda: index(blocks))


def events_body(first: int, count: int, blocks: int) -> bytes:
    """Return events as the engine publishes them: each stored block evicts an older one."""
    known, new = hashes(blocks), hashes(count, 2)
    events = []
    for number in range(count):
        stored = number % 2 == 0
        value = new[number] if stored else known[number]
        kind = "stored" if stored else "removed"
        events.append({"seq": first + number, "kind": kind, "hashes": [value.hex()]})
    return msgspec.json.encode({"incarnation": "engine-1", "events": events})


def event_cpu(count: int, blocks: int = 42_000) -> float:
    """Measure decoding and applying a batch of events."""
    data = events_body(2, count, blocks)

    def run(found: CacheIndex) -> None:
        batch = _event_batch(msgspec.json.decode(data, type=_EventsBody))
        assert isinstance(batch, EventBatch)
        found.handle(batch, 0.1)
        assert found.seq == count + 1

    return cpu_us_fresh(lambda: index(blocks), run)


def snapshot_cpu(blocks: int) -> float:
    """Measure taking a snapshot, in milliseconds."""
    hashes(blocks)
    return cpu_us(lambda: index(blocks)) / 1e3


def snapshot_bytes(blocks: int) -> float:
    """Measure the size of a snapshot in JSON."""
    body = {"incarnation": "engine-1", "seq": 1, "hashes": [v.hex() for v in hashes(blocks)]}
    return len(msgspec.json.encode(body))


def match_cpu(chain: int) -> float:
    """Measure the match of a chain that is in the cache."""
    found = index(42_000)
    values = hashes(42_000)[:chain]
    return cpu_us(lambda: found.match(values), 500)


def load_records(engines: int) -> list[bytes]:
    """Return the records of a change of weights at some engines, one after the other."""
    records = []
    for number in range(engines):
        sender, endpoint, last = f"agent-{number}/1", f"engine-{number:05}", 3 * number - 1
        lease = f"{sender}.1"
        records.append(encode_record(Turn(sender, endpoint, last)))
        records.append(encode_record(Claim(lease, endpoint, last + 1, True, last + 1, 0)))
        records.append(encode_record(Release(lease, endpoint)))
    return records


def read_loads(records: list[bytes]) -> LoadLedger:
    """Read the stream of load leases."""
    ledger = LoadLedger()
    for offset, data in enumerate(records):
        ledger.handle(LoadRecord(offset, 0, data), 1.0 + offset)
    return ledger


def load_cpu(engines: int) -> float:
    """Measure reading the records of all engines, in milliseconds."""
    records = load_records(engines)
    return cpu_us(lambda: read_loads(records)) / 1e3


def claims(count: int, group: int = 1) -> tuple[ClaimTable, int]:
    """Run requests with idempotency keys; return the table and the appended bytes."""
    found = ClaimTable("payments", "agent-1", 1)
    found.handle(ReadProgress(0), 0.0)
    offset, appended = 0, 0
    done: list[Append] = []
    for first in range(0, count, group):
        numbers = range(first, min(count, first + group))
        keys = [(number.to_bytes(32, "big"), f"request-{number:030}", 1) for number in numbers]
        for key in keys:
            done += found.handle(ClaimRequested(*key, 100.0), 1.0)
        offset, appended = _append_all(found, done, offset, appended)
        for key in keys:
            done += found.handle(ClaimFinished(*key, "ran"), 1.5)
        offset, appended = _append_all(found, done, offset, appended)
    return found, appended


def _append_all(found: ClaimTable, done: list, offset: int, appended: int) -> tuple[int, int]:
    while appends := [action for action in done if isinstance(action, Append)]:
        done.clear()
        for action in appends:
            appended += len(action.data)
            done += found.handle(AppendDone(offset), 1.2)
            offset += 1
    done.clear()
    return offset, appended


def claim_read_cpu(count: int) -> float:
    """Measure reading the claims of another agent, in milliseconds."""
    groups: list[bytes] = []
    source = ClaimTable("payments", "agent-1", 1)
    source.handle(ReadProgress(0), 0.0)
    for number in range(count):
        key = (number.to_bytes(32, "big"), f"request-{number:030}", 1)
        actions = source.handle(ClaimRequested(*key, 100.0), 1.0)
        groups += [action.data for action in actions if isinstance(action, Append)]
        source.handle(AppendDone(len(groups) - 1), 1.0)

    def run() -> None:
        reader = ClaimTable("payments", "agent-2", 1)
        for offset, data in enumerate(groups):
            reader.handle(RecordRead(offset, data, 0.0), 1.0)

    return cpu_us(run) / 1e3


def record(number: int) -> DecisionRecord:
    """Return a decision record of usual length."""
    return DecisionRecord(
        f"0b8a63ac-4cf5-4e1a-9d5e-{number // 4:012}.engine-{number % 2400:05}",
        f"workspace-{number % 6600:05}",
        "routed",
        f"engine-{number % 2400:05}",
        0,
        2300,
        "3 probes, 12 of 14 blocks, expected 0.142 s",
        "host-00001",
        1_700_000_000_000 + number,
    )


def decision_log(count: int) -> DecisionLog:
    """Return a log with records."""
    log = DecisionLog(RING)
    for number in range(count):
        log.add(record(number))
    return log


def record_cpu(count: int) -> float:
    """Measure adding records to a full ring, each of which drops the oldest."""
    rows = [record(RING + number) for number in range(count)]

    def run(log: DecisionLog) -> None:
        for row in rows:
            log.add(row)

    return cpu_us_fresh(lambda: decision_log(RING), run)


def endpoint_slopes() -> list[Slope]:
    """Return the slopes of this module."""
    blocks = (10_000, 20_000, 40_000)
    held = (500, 1000, 2000)
    return [
        Slope(
            "index.memory",
            "B",
            "blocks",
            blocks,
            BLOCKS_PER_ENGINE,
            index_memory,
        ),
        Slope("index.event_cpu", "us", "events", (100, 400, 1600), EVENTS_PER_S, event_cpu),
        Slope(
            "index.event_bytes",
            "B",
            "events",
            (100, 400, 1600),
            EVENTS_PER_S,
            lambda n: len(events_body(2_000_000, n, 42_000)),
        ),
        Slope("index.snapshot_cpu", "ms", "blocks", blocks, BLOCKS_PER_ENGINE, snapshot_cpu),
        Slope("index.snapshot_bytes", "B", "blocks", blocks, BLOCKS_PER_ENGINE, snapshot_bytes),
        Slope("index.match_cpu", "us", "blocks of a chain", (4, 16, 64), 8, match_cpu),
        Slope("loads.read_cpu", "ms", "engines", (100, 200, 400), 2400, load_cpu),
        Slope(
            "loads.bytes",
            "B",
            "engines",
            (100, 200, 400),
            2400,
            lambda n: sum(map(len, load_records(n))),
        ),
        Slope(
            "loads.memory",
            "B",
            "engines",
            (350, 700, 1400),
            2400,
            lambda n: allocated(lambda: read_loads(load_records(n))),
        ),
        Slope("claims.read_cpu", "ms", "claims", held, 10_000, claim_read_cpu),
        Slope("claims.bytes", "B", "claims", held, 10_000, lambda n: claims(n, 10)[1]),
        Slope(
            "claims.memory", "B", "claims", held, 10_000, lambda n: allocated(lambda: claims(n, 10))
        ),
        Slope("records.add_cpu", "us", "records", (500, 1000, 2000), 8000, record_cpu),
        Slope(
            "records.memory",
            "B",
            "records",
            (5000, 10_000, 20_000),
            RING,
            lambda n: allocated(lambda: decision_log(n)),
        ),
        Slope(
            "records.copy_bytes",
            "B",
            "records",
            (10, 25, 50),
            4,
            lambda n: len(encode(TraceCopy("host-00001", [record(i) for i in range(n)]))),
        ),
    ]
