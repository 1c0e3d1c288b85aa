"""What the agent knows of its model engine: load, cache content, weights."""

import asyncio
import time
from dataclasses import dataclass

import aiohttp
import msgspec
from eliot import log_message

from teaselpath.prefix import (
    CacheEvent,
    CacheEventKind,
    CacheIndex,
    EngineReported,
    EventBatch,
    RequestSnapshot,
    Snapshot,
)

LOAD_INTERVAL_S = 0.1
EVENT_WAIT_MS = 1_000
# Lets events gather; a poll for each single event costs more than all other work on the cache.
EVENT_PAUSE_S = 0.05
RETRY_DELAY_S = 0.1
CALL_TIMEOUT_S = 2.0


class LoadReport(msgspec.Struct):
    """Load report of an engine, as it publishes it."""

    incarnation: str
    running: int
    waiting: int
    max_running: int
    prefill_us_per_token: float
    decode_us_per_token: float = 0.0
    cache_blocks: int = 0
    model: str = ""
    weights: str = ""
    adapters: dict[str, str] = {}
    role: str = ""
    age_ms: float = 0.0


class _EventBody(msgspec.Struct):
    seq: int
    kind: str
    hashes: list[str] = []


class _EventsBody(msgspec.Struct):
    incarnation: str
    events: list[_EventBody]


class _SnapshotBody(msgspec.Struct):
    incarnation: str
    seq: int
    hashes: list[str]


@dataclass(slots=True)
class EngineState:
    """Latest load report and the index of the cache; owned by the agent's main task."""

    index: CacheIndex
    load: LoadReport | None = None
    reachable: bool = False

    @property
    def incarnation(self) -> str:
        """Return the engine's incarnation, empty if it was never seen."""
        return self.load.incarnation if self.load else ""


class EngineWatcher:
    """Polls load and cache events of the engine and feeds the state.

    :param url: base URL of the engine.
    :param session: HTTP session, owned by the caller.
    :param state: state to update; updates run in the event loop without interruption.
    :param changed: called after each change of the load report.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession, state: EngineState, changed):
        self.url = url.rstrip("/")
        self.session = session
        self.state = state
        self.changed = changed
        self.last_seq = 0
        self.snapshot_wanted: asyncio.Queue[RequestSnapshot] = asyncio.Queue(maxsize=4)

    async def run(self) -> None:
        """Watch until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_load())
            group.create_task(self._poll_events())
            group.create_task(self._fetch_snapshots())
            group.create_task(self._tick())

    async def _get(self, path: str, kind, timeout_s: float = CALL_TIMEOUT_S):
        """Fetch and decode; None if the engine does not answer or the answer is malformed."""
        try:
            async with asyncio.timeout(timeout_s), self.session.get(self.url + path) as response:
                if response.status != 200:
                    return None
                return msgspec.json.decode(await response.read(), type=kind)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return None

    async def _poll_load(self) -> None:
        while True:
            report = await self._get("/load", LoadReport)
            self.state.reachable = report is not None
            if report is not None:
                self._take_load(report)
            self.changed()
            await asyncio.sleep(LOAD_INTERVAL_S)

    def _take_load(self, report: LoadReport) -> None:
        previous = self.state.load
        if previous is None or previous.incarnation != report.incarnation:
            self.last_seq = 0
            log_message("engine_seen", incarnation=report.incarnation, weights=report.weights)
        self.state.load = report
        self._apply(EngineReported(report.incarnation, report.weights))

    async def _poll_events(self) -> None:
        while True:
            path = f"/cache/events?after={self.last_seq}&wait_ms={EVENT_WAIT_MS}"
            body = await self._get(path, _EventsBody, CALL_TIMEOUT_S + EVENT_WAIT_MS / 1e3)
            if body is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            batch = _event_batch(body)
            if batch is None:
                continue
            if batch.events:
                self.last_seq = max(self.last_seq, *(event.seq for event in batch.events))
            self._apply(batch)
            await asyncio.sleep(EVENT_PAUSE_S)

    async def _fetch_snapshots(self) -> None:
        while True:
            wanted = await self.snapshot_wanted.get()
            body = await self._get("/cache/snapshot", _SnapshotBody)
            if body is None:
                continue
            try:
                hashes = tuple(bytes.fromhex(value) for value in body.hashes)
            except ValueError:
                continue
            self._apply(Snapshot(body.incarnation, body.seq, hashes, wanted.request))

    async def _tick(self) -> None:
        while True:
            self._act(self.state.index.tick(time.monotonic()))
            await asyncio.sleep(LOAD_INTERVAL_S)

    def _apply(self, event: EventBatch | Snapshot | EngineReported) -> None:
        self._act(self.state.index.handle(event, time.monotonic()))

    def _act(self, actions: list[RequestSnapshot]) -> None:
        for action in actions:
            if not self.snapshot_wanted.full():
                self.snapshot_wanted.put_nowait(action)


def _event_batch(body: _EventsBody) -> EventBatch | None:
    try:
        events = tuple(
            CacheEvent(
                event.seq,
                CacheEventKind(event.kind),
                tuple(bytes.fromhex(value) for value in event.hashes),
            )
            for event in body.events
        )
    except ValueError:
        return None
    return EventBatch(body.incarnation, events)
