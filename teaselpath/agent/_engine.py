"""Monitoring of the model engine: load, cache content, weights."""

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
# Batches events: one poll per event costs more than all other cache bookkeeping.
EVENT_POLL_PAUSE_S = 0.05
RETRY_DELAY_S = 0.1
CALL_TIMEOUT_S = 2.0


class LoadReport(msgspec.Struct):
    """Load report of an engine, in the engine's JSON format."""

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
    """Latest load report and cache index; owned by the agent's main task."""

    index: CacheIndex
    load: LoadReport | None = None
    is_reachable: bool = False

    @property
    def incarnation(self) -> str:
        """Return the engine's incarnation, empty before the first load report."""
        return self.load.incarnation if self.load else ""


class EngineWatcher:
    """Polls load and cache events of the engine and updates the state.

    :param url: base URL of the engine.
    :param session: HTTP session, owned by the caller.
    :param state: state to update; each update runs in the event loop without awaiting.
    :param on_change: called after each poll of the load report.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession, state: EngineState, on_change):
        self.url = url.rstrip("/")
        self.session = session
        self.state = state
        self.on_change = on_change
        self.last_seq = 0
        self.snapshot_requests: asyncio.Queue[RequestSnapshot] = asyncio.Queue(maxsize=4)

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_load())
            group.create_task(self._poll_events())
            group.create_task(self._fetch_snapshots())
            group.create_task(self._tick())

    async def _get(self, path: str, kind, timeout_s: float = CALL_TIMEOUT_S):
        """Fetch and decode JSON; None if the engine is unreachable or its response malformed."""
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
            self.state.is_reachable = report is not None
            if report is not None:
                self._handle_load(report)
            self.on_change()
            await asyncio.sleep(LOAD_INTERVAL_S)

    def _handle_load(self, report: LoadReport) -> None:
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
            await asyncio.sleep(EVENT_POLL_PAUSE_S)

    async def _fetch_snapshots(self) -> None:
        while True:
            request = await self.snapshot_requests.get()
            body = await self._get("/cache/snapshot", _SnapshotBody)
            if body is None:
                continue
            try:
                hashes = tuple(bytes.fromhex(value) for value in body.hashes)
            except ValueError:
                continue
            self._apply(Snapshot(body.incarnation, body.seq, hashes, request.request))

    async def _tick(self) -> None:
        while True:
            self._act(self.state.index.tick(time.monotonic()))
            await asyncio.sleep(LOAD_INTERVAL_S)

    def _apply(self, event: EventBatch | Snapshot | EngineReported) -> None:
        self._act(self.state.index.handle(event, time.monotonic()))

    def _act(self, actions: list[RequestSnapshot]) -> None:
        for action in actions:
            if not self.snapshot_requests.full():
                self.snapshot_requests.put_nowait(action)


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
