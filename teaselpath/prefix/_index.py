"""Index of the blocks in one engine's cache, built from its late and lossy events."""

from collections import deque
from collections.abc import Sequence

from teaselpath.prefix._events import (
    CacheEvent,
    CacheEventKind,
    EngineReported,
    EventBatch,
    RequestSnapshot,
    Snapshot,
)
from teaselpath.prefix._hash_set import HashSet

# Events that arrive ahead of a gap are held back; beyond this number the snapshot replaces them.
MAX_HELD_EVENTS = 4096
# A gap from reordering closes by itself within this time, which saves a snapshot.
REORDER_GRACE_S = 0.05
# Two snapshots are at least this far apart, so that a lossy stream costs a bounded share of a core.
SNAPSHOT_INTERVAL_S = 0.25
# A snapshot that was not answered by then is asked for again.
SNAPSHOT_TIMEOUT_S = 2.0
# Without any batch for this long the last events may be missing unnoticed.
MAX_SILENCE_S = 5.0
# An incarnation that was replaced is never taken up again; one is added per engine restart.
MAX_RETIRED = 4096


class CacheIndex:
    """Blocks that an engine had after its last confirmed event.

    A claim (``match`` above 0) is made only for blocks that were in the cache of the current
    incarnation, under the current weights, after event ``seq``. Later events, a crash or a change
    of weights that were not reported yet are not known here, so admission checks the claim again.
    """

    def __init__(self) -> None:
        self.incarnation = ""
        self.weights = ""
        self.seq = 0
        self.blocks = HashSet()
        self.is_stale = True
        self.held: dict[int, CacheEvent] = {}
        self.retired: deque[str] = deque(maxlen=MAX_RETIRED)
        self.request = 0
        self.oldest_valid_request = 1
        self.ask_at = float("-inf")
        self.asked_at = float("-inf")
        self.is_asked = False
        self.heard_at = float("-inf")

    def match(self, chain: Sequence[bytes]) -> int:
        """Return how many leading blocks of a chain the engine has; 0 while in doubt."""
        if self.is_stale:
            return 0
        for position, value in enumerate(chain):
            if value not in self.blocks:
                return position
        return len(chain)

    def handle(
        self, event: EventBatch | Snapshot | EngineReported, now: float
    ) -> list[RequestSnapshot]:
        """Apply what was read from the engine, in any order except for ``EngineReported``.

        :param event: ``EngineReported`` must be handed over in the order of the engine's answers,
            and before a snapshot is read for any ``RequestSnapshot`` that it causes.
        """
        if event.incarnation in self.retired:
            return self.tick(now)
        if event.incarnation != self.incarnation:
            self._start_incarnation(event.incarnation, now)
        match event:
            case EngineReported(weights=weights):
                self._see_weights(weights, now)
            case EventBatch(events=events):
                self._take_events(events, now)
            case Snapshot():
                self._take_snapshot(event, now)
        return self.tick(now)

    def tick(self, now: float) -> list[RequestSnapshot]:
        """Return a snapshot request if one is due."""
        if not self.incarnation or not self.weights:
            return []
        if not self.is_stale and now - self.heard_at > MAX_SILENCE_S:
            self._doubt(now)
        if not self.is_stale or now < self.ask_at:
            return []
        if self.is_asked and now - self.asked_at < SNAPSHOT_TIMEOUT_S:
            return []
        if now - self.asked_at < SNAPSHOT_INTERVAL_S:
            return []
        self.request += 1
        self.is_asked = True
        self.asked_at = now
        return [RequestSnapshot(self.request)]

    def _start_incarnation(self, incarnation: str, now: float) -> None:
        if self.incarnation:
            self.retired.append(self.incarnation)
        self.incarnation = incarnation
        self.weights = ""
        self._void(now)

    def _see_weights(self, weights: str, now: float) -> None:
        if weights != self.weights:
            self._void(now)
        self.weights = weights

    def _void(self, now: float) -> None:
        """Forget all blocks; only a snapshot that is asked for from now on is believed.

        Events and snapshots do not name the weights, so what is still under way may be older.
        """
        self.blocks.clear()
        self.held.clear()
        self.seq = 0
        self.oldest_valid_request = self.request + 1
        self.is_asked = False
        self.is_stale = True
        self.ask_at = now

    def _doubt(self, ask_at: float) -> None:
        if not self.is_stale:
            self.is_stale = True
            self.ask_at = ask_at

    def _take_events(self, events: Sequence[CacheEvent], now: float) -> None:
        self.heard_at = now
        for event in events:
            if event.seq > self.seq:
                self.held[event.seq] = event
        self._apply_held(now)

    def _apply_held(self, now: float) -> None:
        if self.seq == 0 and self.is_stale:
            self._bound_held()
            return
        while (event := self.held.pop(self.seq + 1, None)) is not None:
            self._apply(event)
        if self.held:
            self._doubt(now + REORDER_GRACE_S)
            self._bound_held()
        else:
            self.is_stale = False

    def _bound_held(self) -> None:
        while len(self.held) > MAX_HELD_EVENTS:
            del self.held[min(self.held)]

    def _apply(self, event: CacheEvent) -> None:
        self.seq = event.seq
        match event.kind:
            case CacheEventKind.STORED:
                for value in event.hashes:
                    self.blocks.add(value)
            case CacheEventKind.REMOVED:
                for value in event.hashes:
                    self.blocks.discard(value)
            case CacheEventKind.CLEARED:
                self.blocks.clear()

    def _take_snapshot(self, snapshot: Snapshot, now: float) -> None:
        if snapshot.request == self.request:
            self.is_asked = False
        if not self.oldest_valid_request <= snapshot.request <= self.request:
            return
        if snapshot.seq < self.seq:
            return
        self.heard_at = now
        self.blocks.clear()
        for value in snapshot.hashes:
            self.blocks.add(value)
        self.seq = snapshot.seq
        self.held = {seq: event for seq, event in self.held.items() if seq > self.seq}
        self._settle_snapshot(now)

    def _settle_snapshot(self, now: float) -> None:
        while (event := self.held.pop(self.seq + 1, None)) is not None:
            self._apply(event)
        self.is_stale = bool(self.held)
        self.ask_at = now + REORDER_GRACE_S
