"""Index of the KV cache blocks of one engine, built from delayed and lossy cache events."""

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

# Limit of buffered events after a gap in the sequence numbers. Beyond it the oldest are discarded,
# so that only a snapshot closes the gap.
MAX_HELD_EVENTS = 4096
# A gap that is due to reordering usually closes within this time, which saves a snapshot.
REORDER_GRACE_S = 0.05
# Minimum time between two snapshot requests, which bounds the CPU cost of a lossy stream.
SNAPSHOT_INTERVAL_S = 0.25
# If no snapshot arrives within this time after a request, a new one is requested.
SNAPSHOT_TIMEOUT_S = 2.0
# The index is stale after this time without a batch or a snapshot, because the loss of the most
# recent events leaves no gap in the sequence numbers.
MAX_UPDATE_AGE_S = 5.0
# Replaced incarnations whose late messages are ignored; each engine restart adds one.
MAX_RETIRED_INCARNATIONS = 4096


class CacheIndex:
    """Blocks that an engine had cached after event ``seq``, the last one that is included here.

    ``match`` counts only blocks that were in the cache of the current incarnation, under the
    current weights version, after event ``seq``. Later events, a crash or a change of the weights
    may not have been reported yet, so the engine may have fewer of these blocks.
    """

    def __init__(self) -> None:
        self.incarnation = ""
        self.weights = ""
        self.seq = 0
        self.blocks = HashSet()
        self.is_stale = True
        self.held_events: dict[int, CacheEvent] = {}
        self.retired_incarnations: deque[str] = deque(maxlen=MAX_RETIRED_INCARNATIONS)
        self.snapshot_request_number = 0
        self.oldest_valid_request_number = 1
        self.snapshot_due_at = float("-inf")
        self.requested_at = float("-inf")
        self.is_request_pending = False
        self.last_message_at = float("-inf")

    def match(self, chain: Sequence[bytes]) -> int:
        """Return how many leading blocks of a chain are cached; 0 while the index is stale."""
        if self.is_stale:
            return 0
        for position, value in enumerate(chain):
            if value not in self.blocks:
                return position
        return len(chain)

    def handle(
        self, event: EventBatch | Snapshot | EngineReported, now: float
    ) -> list[RequestSnapshot]:
        """Apply a message from the engine; only ``EngineReported`` has to arrive in order.

        :param event: pass ``EngineReported`` events in the order of the engine's answers, and start
            to read a snapshot only after its ``RequestSnapshot`` was returned.
        """
        if event.incarnation in self.retired_incarnations:
            return self.tick(now)
        if event.incarnation != self.incarnation:
            self._start_incarnation(event.incarnation, now)
        match event:
            case EngineReported(weights=weights):
                self._handle_weights(weights, now)
            case EventBatch(events=events):
                self._handle_events(events, now)
            case Snapshot():
                self._handle_snapshot(event, now)
        return self.tick(now)

    def tick(self, now: float) -> list[RequestSnapshot]:
        """Return a snapshot request if one is due, and mark an index without updates as stale."""
        if not self.incarnation or not self.weights:
            return []
        if not self.is_stale and now - self.last_message_at > MAX_UPDATE_AGE_S:
            self._mark_stale(now)
        if not self.is_stale or now < self.snapshot_due_at:
            return []
        if self.is_request_pending and now - self.requested_at < SNAPSHOT_TIMEOUT_S:
            return []
        if now - self.requested_at < SNAPSHOT_INTERVAL_S:
            return []
        self.snapshot_request_number += 1
        self.is_request_pending = True
        self.requested_at = now
        return [RequestSnapshot(self.snapshot_request_number)]

    def _start_incarnation(self, incarnation: str, now: float) -> None:
        if self.incarnation:
            self.retired_incarnations.append(self.incarnation)
        self.incarnation = incarnation
        self.weights = ""
        self._invalidate(now)

    def _handle_weights(self, weights: str, now: float) -> None:
        if weights != self.weights:
            self._invalidate(now)
        self.weights = weights

    def _invalidate(self, now: float) -> None:
        """Discard all blocks and accept only snapshots that are requested from now on.

        Events and snapshots carry no weights version, so messages in flight may be about an older
        one.
        """
        self.blocks.clear()
        self.held_events.clear()
        self.seq = 0
        self.oldest_valid_request_number = self.snapshot_request_number + 1
        self.is_request_pending = False
        self.is_stale = True
        self.snapshot_due_at = now

    def _mark_stale(self, snapshot_due_at: float) -> None:
        if not self.is_stale:
            self.is_stale = True
            self.snapshot_due_at = snapshot_due_at

    def _handle_events(self, events: Sequence[CacheEvent], now: float) -> None:
        self.last_message_at = now
        for event in events:
            if event.seq > self.seq:
                self.held_events[event.seq] = event
        self._apply_held_events(now)

    def _apply_held_events(self, now: float) -> None:
        if self.seq == 0 and self.is_stale:
            self._trim_held_events()
            return
        while (event := self.held_events.pop(self.seq + 1, None)) is not None:
            self._apply(event)
        if self.held_events:
            self._mark_stale(now + REORDER_GRACE_S)
            self._trim_held_events()
        else:
            self.is_stale = False

    def _trim_held_events(self) -> None:
        while len(self.held_events) > MAX_HELD_EVENTS:
            del self.held_events[min(self.held_events)]

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

    def _handle_snapshot(self, snapshot: Snapshot, now: float) -> None:
        if snapshot.request == self.snapshot_request_number:
            self.is_request_pending = False
        if not self.oldest_valid_request_number <= snapshot.request <= self.snapshot_request_number:
            return
        if snapshot.seq < self.seq:
            return
        self.last_message_at = now
        self.blocks.clear()
        for value in snapshot.hashes:
            self.blocks.add(value)
        self.seq = snapshot.seq
        self.held_events = {seq: event for seq, event in self.held_events.items() if seq > self.seq}
        self._apply_held_after_snapshot(now)

    def _apply_held_after_snapshot(self, now: float) -> None:
        while (event := self.held_events.pop(self.seq + 1, None)) is not None:
            self._apply(event)
        self.is_stale = bool(self.held_events)
        self.snapshot_due_at = now + REORDER_GRACE_S
