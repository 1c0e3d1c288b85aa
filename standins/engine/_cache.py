"""Prefix cache of an engine: LRU eviction of KV cache blocks, with numbered change events."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec


class Block(msgspec.Struct, frozen=True):
    """A cached block and the state of the engine that computed it.

    :param incarnation: incarnation of the engine that computed the block.
    :param imported_by: incarnation that imported the block; empty if it was computed locally.
    """

    hash: str
    parent: str
    salt: str
    model: str
    weights: str
    engine: str
    incarnation: str
    imported_by: str = ""


@dataclass(slots=True)
class EventFaults:
    """Faults of the stream of cache events."""

    drop_fraction: float = 0.0
    delay_s: float = 0.0
    duplicate_fraction: float = 0.0


@dataclass(slots=True)
class _Event:
    seq: int
    visible_at: float
    kind: str
    hashes: list[str]
    copies: int = 1


@dataclass(slots=True)
class PrefixCache:
    """Blocks in least recently used order.

    Blocks of running sequences are not pinned. If the capacity is below the demand of the batch,
    a block may be evicted before the sequence that computed it has ended.
    """

    capacity: int
    event_capacity: int
    random: Random
    faults: EventFaults = field(default_factory=EventFaults)
    blocks: OrderedDict[bytes, Block] = field(default_factory=OrderedDict)
    events: deque[_Event] = field(default_factory=deque)
    seq: int = 0

    def match(self, chain: Sequence[bytes]) -> list[Block]:
        """Return the longest cached prefix of a chain, and mark its blocks as used."""
        found = []
        for block_hash in chain:
            block = self.blocks.get(block_hash)
            if block is None:
                break
            found.append(block)
        self.touch(chain[: len(found)])
        return found

    def touch(self, chain: Sequence[bytes]) -> None:
        """Mark blocks of a chain as used, in an order that evicts each one before its parent."""
        for block_hash in reversed(chain):
            if block_hash in self.blocks:
                self.blocks.move_to_end(block_hash)

    def store(self, blocks: Sequence[Block], now: float) -> None:
        """Add blocks, and evict the least recently used ones above the capacity."""
        new = []
        for block in blocks:
            key = bytes.fromhex(block.hash)
            if key not in self.blocks:
                new.append(block.hash)
                self.blocks[key] = block
            self.blocks.move_to_end(key)
        if new:
            self._emit("stored", new, now)
        removed = []
        while len(self.blocks) > self.capacity:
            removed.append(self.blocks.popitem(last=False)[1].hash)
        if removed:
            self._emit("removed", removed, now)

    def clear(self, now: float) -> None:
        """Remove all blocks."""
        self.blocks.clear()
        self._emit("cleared", [], now)

    def read_events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Return the visible events after a sequence number; dropped events leave gaps."""
        out = []
        for event in self.events:
            if event.seq > after and event.visible_at <= now:
                item = {"seq": event.seq, "kind": event.kind, "hashes": event.hashes}
                out.extend([item] * event.copies)
        return out

    def _emit(self, kind: str, hashes: list[str], now: float) -> None:
        self.seq += 1
        if self.faults.drop_fraction and self.random.random() < self.faults.drop_fraction:
            return
        copies = 1 + (
            self.faults.duplicate_fraction > 0
            and self.random.random() < self.faults.duplicate_fraction
        )
        self.events.append(_Event(self.seq, now + self.faults.delay_s, kind, hashes, copies))
        while len(self.events) > self.event_capacity:
            self.events.popleft()
