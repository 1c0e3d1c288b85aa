"""Prefix cache of an engine: LRU over blocks, with numbered events."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec


class Block(msgspec.Struct, frozen=True):
    """A cached block and what it was written under.

    :param incarnation: of the engine that computed the block.
    :param imported_by: incarnation that imported it; empty for a block computed here.
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
    """Faults of the event stream."""

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

    Blocks of running sequences are not pinned, so a cache that is smaller than the batch needs
    may evict a block before the sequence that wrote it has ended.
    """

    capacity: int
    event_capacity: int
    random: Random
    faults: EventFaults = field(default_factory=EventFaults)
    blocks: OrderedDict[bytes, Block] = field(default_factory=OrderedDict)
    events: deque[_Event] = field(default_factory=deque)
    seq: int = 0

    def match(self, chain: Sequence[bytes]) -> list[Block]:
        """Return the leading blocks of a chain that are cached, and mark them as used."""
        found = []
        for block_hash in chain:
            block = self.blocks.get(block_hash)
            if block is None:
                break
            found.append(block)
        self.touch(chain[: len(found)])
        return found

    def touch(self, chain: Sequence[bytes]) -> None:
        """Mark blocks of a chain as used; later ones are evicted before those they follow."""
        for block_hash in reversed(chain):
            if block_hash in self.blocks:
                self.blocks.move_to_end(block_hash)

    def store(self, blocks: Sequence[Block], now: float) -> None:
        """Add blocks and evict the least recently used ones beyond the capacity."""
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
        """Drop all blocks."""
        self.blocks.clear()
        self._emit("cleared", [], now)

    def read_events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Return the visible events above a sequence number; lost ones leave a gap."""
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
