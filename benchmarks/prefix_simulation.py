"""Simulation of nine engines in two regions, for the benchmark of prefix routing.

It runs in virtual time and is deterministic for a seed. ``Policy`` and its subclasses here are the
baselines and the bound; the benchmark adds the policy that uses the cores.
"""

from bisect import bisect
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import sha256
from heapq import heappop, heappush
from itertools import accumulate, count
from random import Random

from teaselpath.prefix import (
    CacheEvent,
    CacheEventKind,
    CacheIndex,
    Choice,
    EngineReported,
    EventBatch,
    Snapshot,
)
from teaselpath.utils import rendezvous_top

BLOCK_TOKENS = 2048
BLOCK_BYTES = 8192
PREFILL_S = 0.041  # per block: 20 us per token
IMPORT_S = 0.012  # per block, between engines of one region
DECODE_S = 0.012  # per output token
OUTPUT_TOKENS = 60
SLOTS = 16
CACHE_BLOCKS = 240
REGIONS = {f"engine-{n}": "a" if n < 6 else "b" for n in range(9)}
LOCAL_RTT_S = 0.003
REMOTE_RTT_S = 0.030
LINK_BYTES_PER_S = 500_000
EVENT_LAG_S = (0.1, 0.6)
EVENT_LOSS = 0.01
SNAPSHOT_S = 0.05
SHIFT_S = 20.0
WARM_S = 20.0
RUN_S = 60.0
LEVELS = ((12, 4, 1.2), (40, 6, 1.1), (30, 3, 1.0))  # prefixes per parent, blocks, Zipf exponent
HASH_LEVEL = 8  # blocks that the prefix-hash baseline hashes
HASH_BOUND = 1.25  # it skips an engine that holds more than this times the mean load


class Zipf:
    """Ranks with Zipf weights."""

    def __init__(self, size: int, exponent: float) -> None:
        self.cumulative = list(accumulate((rank + 1) ** -exponent for rank in range(size)))

    def draw(self, random: Random) -> int:
        """Return a rank, 0 the most frequent."""
        return bisect(self.cumulative, random.random() * self.cumulative[-1])


class Traffic:
    """Prompts of three nested levels and a unique tail; the hot set shifts at intervals."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.ranks = [Zipf(size, exponent) for size, _, exponent in LEVELS]
        self.orders: dict[tuple, list[int]] = {}
        self.serial = count()

    def _name(self, level: int, path: tuple, epoch: int) -> int:
        rank = self.ranks[level].draw(self.random)
        key = (epoch if level < 2 else 0, *path)
        if key not in self.orders:
            order = self.orders[key] = list(range(LEVELS[level][0]))
            Random(str(key)).shuffle(order)
        return self.orders[key][rank]

    def chain(self, now: float) -> list[bytes]:
        """Return the block hashes of the next request."""
        path: tuple = ()
        chain: list[bytes] = []
        for level, (_, blocks, _) in enumerate(LEVELS):
            path = (*path, self._name(level, path, int(now / SHIFT_S)))
            chain += [_block(path, number) for number in range(blocks)]
        tail = (next(self.serial), "tail")
        return chain + [_block(tail, number) for number in range(self.random.randint(0, 2))]


_blocks: dict[tuple, bytes] = {}


def _block(path: tuple, number: int) -> bytes:
    key = (path, number)
    if key not in _blocks:
        _blocks[key] = sha256(repr(key).encode()).digest()[:16]
    return _blocks[key]


@dataclass(slots=True)
class Request:
    """A request on its way."""

    number: int
    arrived: float
    region: str
    chain: list[bytes]
    tail_tokens: int
    engine: str = ""
    cached: int = 0
    imported: int = 0
    wasted: int = 0
    wasted_near: int = 0
    first_token_s: float = 0.0
    choice: Choice | None = None

    @property
    def tokens(self) -> int:
        """Prompt tokens, with those after the last full block."""
        return len(self.chain) * BLOCK_TOKENS + self.tail_tokens


class Engine:
    """An engine with batching slots, one prefill at a time and an LRU cache."""

    def __init__(self, name: str, sim: "Simulation") -> None:
        self.name = name
        self.sim = sim
        self.cache: OrderedDict[bytes, None] = OrderedDict()
        self.waiting: deque[Request] = deque()
        self.running = 0
        self.prefill_free_at = 0.0
        self.import_free_at = 0.0
        self.busy_s = 0.0
        self.index = CacheIndex()
        self.seq = 0

    def matched(self, chain: list[bytes]) -> int:
        """Return the leading blocks that are in the cache now."""
        for position, value in enumerate(chain):
            if value not in self.cache:
                return position
        return len(chain)

    def wait_s(self) -> float:
        """Return the expected wait until the prefill of a new request starts."""
        queued = len(self.waiting) * PREFILL_S * 4
        return max(0.0, self.prefill_free_at - self.sim.now) + queued

    def submit(self, request: Request) -> None:
        """Take a request; it starts when a slot is free."""
        self.waiting.append(request)
        self.start()

    def start(self) -> None:
        """Give free slots to waiting requests."""
        while self.waiting and self.running < SLOTS:
            request = self.waiting.popleft()
            self.running += 1
            request.cached = self.matched(request.chain)
            begin = max(self.prefill_free_at, self._import(request))
            missed = request.chain[request.cached + request.imported :]
            request.wasted = sum(self.sim.is_cached(value) for value in missed)
            near = self.sim.local[REGIONS[self.name]]
            request.wasted_near = sum(self.sim.is_cached(value, near) for value in missed)
            blocks = len(missed) + request.tail_tokens / BLOCK_TOKENS
            self.prefill_free_at = begin + blocks * PREFILL_S
            self.busy_s += blocks * PREFILL_S
            # The match is fixed when the request enters the batch, and its blocks stay pinned.
            self._store(request.chain)
            self.sim.at(self.prefill_free_at, self.sim.first_token, request)

    def _import(self, request: Request) -> float:
        """Import the blocks that the choice names and the source still has; return the end."""
        choice = request.choice
        if choice is None or not choice.import_source:
            return self.sim.now
        limit = choice.matched_blocks + choice.import_blocks
        found = self.sim.engines[choice.import_source].matched(request.chain[:limit])
        request.imported = max(0, found - request.cached)
        self.import_free_at = max(self.sim.now, self.import_free_at) + request.imported * IMPORT_S
        return self.import_free_at

    def _store(self, chain: list[bytes]) -> None:
        stored = [value for value in chain if value not in self.cache]
        for value in reversed(chain):
            self.cache[value] = None
            self.cache.move_to_end(value)
        removed = []
        while len(self.cache) > CACHE_BLOCKS:
            removed.append(self.cache.popitem(last=False)[0])
        self._publish(CacheEventKind.STORED, stored)
        self._publish(CacheEventKind.REMOVED, removed)

    def _publish(self, kind: CacheEventKind, hashes: list[bytes]) -> None:
        if not hashes or not self.sim.policy.uses_index:
            return
        self.seq += 1
        if self.sim.random.random() < EVENT_LOSS:
            return
        event = EventBatch("1", (CacheEvent(self.seq, kind, tuple(hashes)),))
        base = self.prefill_free_at if kind is CacheEventKind.STORED else self.sim.now
        self.sim.at(base + self.sim.random.uniform(*EVENT_LAG_S), self.hear, event)

    def hear(self, event: EventBatch | Snapshot | EngineReported | None) -> None:
        """Hand an event to the index and answer its snapshot requests."""
        now = self.sim.now
        needs = self.index.handle(event, now) if event else self.index.tick(now)
        for need in needs:
            snapshot = Snapshot("1", self.seq, tuple(self.cache), need.request)
            self.sim.at(now + SNAPSHOT_S, self.hear, snapshot)

    def finish(self) -> None:
        """Free a slot."""
        self.running -= 1
        self.start()


class Policy:
    """Baseline without any information: a random engine of the caller's region."""

    name = "random"
    uses_index = False

    def __init__(self, sim: "Simulation") -> None:
        self.sim = sim

    def pick(self, request: Request) -> str:
        """Return the engine for a request."""
        return self.sim.random.choice(self.sim.local[request.region])

    def done(self, request: Request) -> None:
        """Learn from a first token."""


class LeastLoaded(Policy):
    """Baseline: the engine of the region with the fewest requests, without lag."""

    name = "least_loaded"

    def pick(self, request: Request) -> str:
        """Return the engine for a request."""
        engines = self.sim.local[request.region]
        return min(engines, key=lambda name: (self.sim.load(name), self.sim.random.random()))


class PrefixHash(Policy):
    """Baseline: rendezvous hash of the first blocks, with bounded load."""

    name = "prefix_hash"

    def pick(self, request: Request) -> str:
        """Return the engine for a request."""
        engines = self.sim.local[request.region]
        order = rendezvous_top(request.chain[HASH_LEVEL - 1], engines, len(engines))
        bound = HASH_BOUND * (sum(map(self.sim.load, engines)) + 1) / len(engines)
        return next((name for name in order if self.sim.load(name) < max(bound, 1)), order[0])


class Bound(Policy):
    """Bound: lowest expected first token over all engines, by a complete index without lag."""

    name = "bound"

    def pick(self, request: Request) -> str:
        """Return the engine for a request."""
        return min(self.sim.engines, key=lambda name: (self._expected_s(request, name), name))

    def _expected_s(self, request: Request, name: str) -> float:
        engine = self.sim.engines[name]
        missed = len(request.chain) - engine.matched(request.chain)
        away = 0.0 if REGIONS[name] == request.region else self.sim.transfer_s(request)
        return engine.wait_s() + missed * PREFILL_S + away


@dataclass(slots=True)
class Outcome:
    """Measures of one run."""

    requests: list[Request] = field(default_factory=list)
    busy_s: float = 0.0

    def hit_rate(self, start: float = WARM_S, end: float = 1e9) -> float:
        """Return cached tokens by prompt tokens, over requests that arrived in a period."""
        rows = [row for row in self.requests if start <= row.arrived < end]
        return sum(row.cached * BLOCK_TOKENS for row in rows) / sum(row.tokens for row in rows)

    def share(self, name: str) -> float:
        """Return the blocks counted in a field of the requests, by all prompt tokens."""
        rows = [row for row in self.requests if row.arrived >= WARM_S]
        blocks = sum(getattr(row, name) for row in rows)
        return blocks * BLOCK_TOKENS / sum(row.tokens for row in rows)

    def remote(self) -> float:
        """Return the share of requests that crossed the link."""
        crossed = sum(REGIONS[row.engine] != row.region for row in self.requests)
        return crossed / len(self.requests)

    def first_token(self, share: float) -> float:
        """Return a quantile of the time to first token, in seconds."""
        rows = sorted(row.first_token_s for row in self.requests if row.arrived >= WARM_S)
        return rows[min(len(rows) - 1, int(share * len(rows)))]


class Simulation:
    """Engines, link and arrivals in virtual time."""

    def __init__(self, policy: type[Policy], rate: float, seed: int, run_s: float = RUN_S) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.traffic = Traffic(Random(seed + 1))
        self.arrivals = Random(seed + 2)
        self.rate = rate
        self.run_s = run_s
        self.queue: list[tuple] = []
        self.order = count()
        self.link_free_at = dict.fromkeys("ab", 0.0)
        self.sent: dict[str, int] = dict.fromkeys(REGIONS, 0)
        self.local = {r: [name for name in REGIONS if REGIONS[name] == r] for r in "ab"}
        self.engines = {name: Engine(name, self) for name in REGIONS}
        self.outcome = Outcome()
        self.policy = policy(self)

    def at(self, when: float, call: Callable, *args: object) -> None:
        """Call a function at an instant."""
        heappush(self.queue, (when, next(self.order), call, args))

    def load(self, name: str) -> int:
        """Return the requests that were sent to an engine and have not ended."""
        return self.sent[name]

    def is_cached(self, value: bytes, names: Iterable[str] = tuple(REGIONS)) -> bool:
        """Return whether any of the engines has a block."""
        return any(value in self.engines[name].cache for name in names)

    def transfer_s(self, request: Request) -> float:
        """Return how long the prompt would take to the other region now."""
        size = len(request.chain) * BLOCK_BYTES
        return (
            max(0.0, self.link_free_at[request.region] - self.now)
            + size / LINK_BYTES_PER_S
            + REMOTE_RTT_S
        )

    def run(self, restart_at: float = 0.0) -> Outcome:
        """Run to the end and return the measures."""
        for engine in self.engines.values():
            engine.hear(EngineReported("1", "v1"))
        if restart_at:
            self.at(restart_at, self.policy.restart)  # type: ignore[attr-defined]
        self.at(0.0, self._arrive, 0)
        self.at(0.02, self._tick)
        while self.queue:
            self.now, _, call, args = heappop(self.queue)
            call(*args)
        self.outcome.busy_s = sum(engine.busy_s for engine in self.engines.values())
        return self.outcome

    def _tick(self) -> None:
        for engine in self.engines.values():
            engine.hear(None)
        if self.now < self.run_s and self.policy.uses_index:
            self.at(self.now + 0.02, self._tick)

    def _arrive(self, number: int) -> None:
        if self.now >= self.run_s:
            return
        region = "a" if self.arrivals.random() < 6 / 9 else "b"
        tail = self.arrivals.randrange(BLOCK_TOKENS)
        request = Request(number, self.now, region, self.traffic.chain(self.now), tail)
        request.engine = self.policy.pick(request)
        self.sent[request.engine] += 1
        delay = LOCAL_RTT_S
        if REGIONS[request.engine] != region:
            delay = self.transfer_s(request)
            self.link_free_at[region] = self.now + delay - REMOTE_RTT_S
        self.at(self.now + delay, self.engines[request.engine].submit, request)
        self.at(self.now + self.arrivals.expovariate(self.rate), self._arrive, number + 1)

    def first_token(self, request: Request) -> None:
        """Record a first token and start decoding."""
        request.first_token_s = self.now - request.arrived
        self.outcome.requests.append(request)
        self.policy.done(request)
        self.at(self.now + OUTPUT_TOKENS * DECODE_S, self._end, request)

    def _end(self, request: Request) -> None:
        self.sent[request.engine] -= 1
        self.engines[request.engine].finish()
