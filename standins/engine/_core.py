"""Continuous batching of an engine, without I/O.

Time is simulated: ``step`` returns its duration according to the cost model, and the caller waits
for that long before the next step.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from random import Random
from typing import Any

from msgspec.structs import replace

from standins._config import EngineConfig
from standins._text import (
    BYTES_PER_TOKEN,
    TokenSource,
    chain_block,
    chain_hashes,
    count_tokens,
    encode_text,
)
from standins.engine._cache import Block, EventFaults, PrefixCache

NO_SALT = bytes(16)
US_PER_S = 1e6


@dataclass(slots=True, eq=False)
class Sequence:
    """A request in the batch or in the queue.

    :param priority: requests with a lower value are admitted first.
    :param received_at: monotonic arrival time; all processes of a machine share this clock.
    :param reused: cached blocks that were reused at admission.
    :param finish_reason: ``stop``, ``length``, ``cancelled`` or ``crashed``; empty while running.
    """

    request_id: str
    text: str
    salt: bytes
    max_tokens: int
    priority: int
    model: str
    received_at: float = 0.0
    arrived: int = 0
    weights: str = ""
    incarnation: str = ""
    prompt_tokens: int = 0
    prefill_left: int = 0
    chain: list[bytes] = field(default_factory=list)
    reused: list[Block] = field(default_factory=list)
    tokens: list[str] = field(default_factory=list)
    source: TokenSource | None = None
    tail: bytearray = field(default_factory=bytearray)
    cached_tokens: int = 0
    stored_blocks: int = 0
    released_token_count: int = 0
    admitted: bool = False
    finish_reason: str = ""

    @property
    def output_tokens(self) -> int:
        """Number of tokens generated so far."""
        return len(self.tokens) or self.released_token_count

    def release(self) -> None:
        """Discard text and tokens, to limit the memory of sequences kept for the audit."""
        self.released_token_count = len(self.tokens)
        self.text = ""
        self.tokens = []
        self.chain = []
        self.tail = bytearray()
        self.source = None

    def __lt__(self, other: "Sequence") -> bool:
        """Order the queue by priority, then by arrival."""
        return (self.priority, self.arrived) < (other.priority, other.arrived)


@dataclass(slots=True)
class StepResult:
    """Result of a step.

    :param cost_s: simulated duration of the step, in seconds.
    :param touched: sequences that have new tokens or have finished.
    """

    cost_s: float
    touched: list[Sequence]


class EngineCore:
    """Batch, queue, prefix cache and loaded weights of one engine."""

    def __init__(self, config: EngineConfig, now: float = 0.0) -> None:
        self.config = config
        self.random = Random(config.seed)
        self.event_faults = EventFaults()
        self.starts = 0
        self.model = config.model
        self.weights = config.weights
        self.role = config.role
        self.adapters: dict[str, str] = {}
        self.arrivals = 0
        self.generated_tokens = 0
        self.prefilled_tokens = 0
        self.restart(now)

    def restart(self, now: float) -> list[Sequence]:
        """Start a new incarnation with an empty cache; return the sequences that it aborted."""
        lost = [*self.running, *self.waiting] if self.starts else []
        for sequence in lost:
            sequence.finish_reason = "crashed"
        self.starts += 1
        # The clock makes incarnations unique across restarts of the process.
        self.incarnation = f"{self.config.id}-{self.starts}-{now:.6f}"
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.by_id: dict[str, Sequence] = {}
        self.cache = PrefixCache(
            self.config.cache_blocks, self.config.event_ring, self.random, self.event_faults
        )
        return lost

    def has_model(self, model: str) -> bool:
        """Return whether the engine serves a model or adapter."""
        return not model or model == self.model or model in self.adapters

    def submit(self, sequence: Sequence) -> bool:
        """Queue a sequence; return False if its request id is in use."""
        if sequence.request_id in self.by_id:
            return False
        self.arrivals += 1
        sequence.arrived = self.arrivals
        sequence.incarnation = self.incarnation
        self.by_id[sequence.request_id] = sequence
        heappush(self.waiting, sequence)
        return True

    def cancel(self, request_id: str) -> Sequence | None:
        """Cancel a sequence; return it, or ``None`` if the request id is unknown."""
        sequence = self.by_id.pop(request_id, None)
        if sequence is None:
            return None
        sequence.finish_reason = "cancelled"
        if sequence.admitted:
            self.running.remove(sequence)
        else:
            self.waiting.remove(sequence)
            heapify(self.waiting)
        return sequence

    @property
    def has_work(self) -> bool:
        """Whether any sequence is running or waiting."""
        return bool(self.running or self.waiting)

    def step(self, now: float) -> StepResult:
        """Admit sequences, prefill one chunk, and decode a token of each prefilled sequence."""
        while self.waiting and len(self.running) < self.config.max_running:
            self._admit(heappop(self.waiting))
        budget = self.config.prefill_chunk_tokens
        decoded = 0
        touched = []
        for sequence in self.running:
            if sequence.prefill_left:
                budget -= self._prefill(sequence, budget, now)
            else:
                self._decode(sequence, now)
                decoded += 1
                touched.append(sequence)
        ended = [s for s in touched if s.finish_reason]
        if ended:
            for sequence in ended:
                del self.by_id[sequence.request_id]
            self.running = [s for s in self.running if not s.finish_reason]
        prefilled = self.config.prefill_chunk_tokens - budget
        self.prefilled_tokens += prefilled
        cost_us = (
            self.config.step_us
            + prefilled * self.config.prefill_us_per_token
            + decoded * self.config.decode_us_per_token
        )
        return StepResult(cost_us / US_PER_S, touched)

    def _admit(self, sequence: Sequence) -> None:
        data = encode_text(sequence.text)
        block_bytes = self.config.block_tokens * BYTES_PER_TOKEN
        sequence.admitted = True
        sequence.weights = self.weights
        sequence.prompt_tokens = count_tokens(len(data))
        sequence.chain = chain_hashes(data, sequence.salt, block_bytes)
        sequence.reused = self.cache.match(sequence.chain)
        reused_tokens = min(
            len(sequence.reused) * self.config.block_tokens, max(sequence.prompt_tokens - 1, 0)
        )
        sequence.cached_tokens = reused_tokens
        sequence.stored_blocks = len(sequence.reused)
        sequence.prefill_left = sequence.prompt_tokens - reused_tokens
        sequence.source = TokenSource(sequence.text, self.config.stop_one_in)
        sequence.tail = bytearray(data[len(sequence.chain) * block_bytes :])
        self.running.append(sequence)

    def _prefill(self, sequence: Sequence, budget: int, now: float) -> int:
        done = min(budget, sequence.prefill_left)
        sequence.prefill_left -= done
        computed = sequence.prompt_tokens - sequence.prefill_left
        full = min(computed // self.config.block_tokens, len(sequence.chain))
        if done and full > sequence.stored_blocks:
            self._store(sequence, full, now)
        return done

    def _store(self, sequence: Sequence, full: int, now: float) -> None:
        self.cache.store(self._blocks(sequence, sequence.stored_blocks, full), now)
        self.cache.touch(sequence.chain[:full])
        sequence.stored_blocks = full

    def _decode(self, sequence: Sequence, now: float) -> None:
        assert sequence.source is not None
        token = sequence.source.next() if len(sequence.tokens) < sequence.max_tokens else None
        if token is None:
            sequence.finish_reason = "stop" if sequence.max_tokens else "length"
            return
        sequence.tokens.append(token)
        self.generated_tokens += 1
        sequence.tail += token.encode()
        block_bytes = self.config.block_tokens * BYTES_PER_TOKEN
        if len(sequence.tail) >= block_bytes:
            parent = sequence.chain[-1] if sequence.chain else sequence.salt
            sequence.chain.append(chain_block(parent, bytes(sequence.tail[:block_bytes])))
            del sequence.tail[:block_bytes]
            self._store(sequence, len(sequence.chain), now)
        if len(sequence.tokens) >= sequence.max_tokens:
            sequence.finish_reason = "length"

    def _blocks(self, sequence: Sequence, first: int, end: int) -> list[Block]:
        parents = [sequence.salt, *sequence.chain]
        return [
            Block(
                hash=sequence.chain[i].hex(),
                parent=parents[i].hex(),
                salt=sequence.salt.hex(),
                model=sequence.model,
                weights=sequence.weights,
                engine=self.config.id,
                incarnation=sequence.incarnation,
            )
            for i in range(first, end)
        ]

    def export_blocks(self, hashes: Iterable[str]) -> list[Block]:
        """Return the cached ones of the requested blocks."""
        keys = [bytes.fromhex(h) for h in hashes]
        return [self.cache.blocks[h] for h in keys if h in self.cache.blocks]

    def import_blocks(self, blocks: Iterable[Block], now: float) -> None:
        """Add blocks that another engine computed, marked with the importing incarnation."""
        self.cache.store([replace(b, imported_by=self.incarnation) for b in blocks], now)

    def load_report(self) -> dict[str, Any]:
        """Return the current load report."""
        return {
            "incarnation": self.incarnation,
            "running": len(self.running),
            "waiting": len(self.waiting),
            "max_running": self.config.max_running,
            "prefill_us_per_token": self.config.prefill_us_per_token,
            "decode_us_per_token": self.config.decode_us_per_token + self.config.step_us,
            "cache_blocks": len(self.cache.blocks),
            "model": self.model,
            "weights": self.weights,
            "role": self.role,
            "adapters": dict(self.adapters),
        }
