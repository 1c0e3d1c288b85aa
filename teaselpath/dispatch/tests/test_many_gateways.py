"""Latency with many gateways on the same engines, with and without announced placements.

Simulates long prompts with shared parts among short requests. Each gateway gets the load of the
others from status messages that are up to ``STATUS_INTERVAL_S`` old. With announcements it also
receives each long prompt as it is placed. Without them, gateways choose the same engines, callers
wait for each other's prompts, and shared parts are computed more than once.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from teaselpath.dispatch import (
    Demand,
    EndpointView,
    Load,
    Placed,
    StoreView,
    Topology,
    choose_endpoint,
    scope_of,
)
from teaselpath.dispatch.tests.conftest import MODEL, make_view
from teaselpath.fleet import CacheStore, EngineLimits, Prompt, PromptPart

GATEWAYS, ENGINES, PREFIXES = 8, 6, 60
TOKENS_PER_S = 50_000.0
CACHE_TOKENS = 150_000
PREFIX_TOKENS, OWN_TOKENS, SHORT_TOKENS = 13_000, 4_000, 400
LONG_PER_S, SHORT_PER_S = 14.0, 60.0
# Interval between status messages of other gateways, in seconds.
STATUS_INTERVAL_S = 0.4
# Time for which a request occupies memory after its prefill, in seconds.
DECODE_S = 1.0
LIMITS = EngineLimits(CACHE_TOKENS, 18_432, 0.8e-6)
TOPOLOGY = Topology("a", {"a": "north"})
STORE = CacheStore("store", "10.9.9.9:80", "a", 45e9)
SCOPE = scope_of("", 1)


@dataclass
class Engine:
    """An engine that prefills one prompt at a time and evicts cached parts for running prompts."""

    free_at: float = 0.0
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    running: list[tuple[float, int]] = field(default_factory=list)

    def serve(self, prompt: Prompt, is_fetched: bool, now: float) -> tuple[float, int]:
        """Return the time of the first event and the number of shared tokens computed."""
        prefix = prompt.parts[0] if len(prompt.parts) > 1 else None
        tokens, recomputed_tokens, fetch_s = prompt.prompt_tokens, 0, 0.0
        if prefix is not None and prefix.part_id in self.cache:
            self.cache.move_to_end(prefix.part_id)
            tokens -= prefix.tokens
        elif prefix is not None and is_fetched:
            tokens -= prefix.tokens
            fetch_s = prefix.tokens * LIMITS.token_bytes * 8 / STORE.link_bits_per_s
        elif prefix is not None:
            recomputed_tokens = prefix.tokens
        self.free_at = max(self.free_at, now) + fetch_s + tokens / TOKENS_PER_S
        self.running = [r for r in self.running if r[0] > now]
        self.running.append((self.free_at + DECODE_S, prompt.prompt_tokens))
        if prefix is not None:
            self.cache[prefix.part_id] = prefix.tokens
        held = sum(tokens for _, tokens in self.running)
        while self.cache and held + sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        return self.free_at, recomputed_tokens


class Gateway:
    """One gateway's view of the fleet."""

    def __init__(self, name: str):
        self.name = name
        self.views: list[EndpointView] = [make_view(f"e{n}", slots=32) for n in range(ENGINES)]
        self.store = StoreView(STORE)
        self.status_at = 0.0

    def choose(self, prompt: Prompt, now: float) -> Placed | None:
        """Return the placement of a prompt, None if no engine accepts it."""
        demand = Demand(prompt, announced_weights=1, engine=LIMITS, cache_stores=(self.store,))
        place = choose_endpoint(self.views, demand, TOPOLOGY, now)
        return place if isinstance(place, Placed) else None

    def record_placement(
        self, number: int, prompt: Prompt, place: Placed, now: float, sender: str
    ) -> None:
        """Record a long prompt that was placed by this or another gateway."""
        view = self.views[number]
        uncached_tokens = prompt.prompt_tokens - place.cached_tokens
        view.backlog.add(uncached_tokens / TOKENS_PER_S, now)
        view.cache.record_expected(SCOPE, prompt.parts[:-1], now)
        if sender != self.name:
            load = view.peers.setdefault(sender, Load())
            load.held_tokens += prompt.prompt_tokens
        if place.save_to is not None:
            self.store.cache.record_expected(SCOPE, prompt.parts[:-1], now)


@dataclass
class Result:
    """Times to the first event, and shared tokens that were computed more than once."""

    short: list[float] = field(default_factory=list)
    long: list[float] = field(default_factory=list)
    recomputed_tokens: int = 0


def simulate(*, announced: bool, seed: int = 5, seconds: float = 12.0) -> Result:
    """Simulate a load of about nine tenths of the engines' prefill capacity without cache hits."""
    random, result = Random(seed), Result()
    engines = [Engine() for _ in range(ENGINES)]
    gateways = [Gateway(f"g{n}") for n in range(GATEWAYS)]
    # Send time, end, gateway, engine number and prompt tokens of each long prompt.
    sent: list[tuple[float, float, str, int, int]] = []
    seen: set[str] = set()
    events: list[tuple[float, int, Prompt, float]] = []
    for rate, is_long in ((LONG_PER_S, True), (SHORT_PER_S, False)):
        now = random.expovariate(rate)
        while now < seconds:
            own = PromptPart(f"o{len(events)}", OWN_TOKENS if is_long else SHORT_TOKENS)
            prefix = PromptPart(f"h{random.randrange(PREFIXES)}", PREFIX_TOKENS)
            parts = (prefix, own) if is_long else (own,)
            prompt = Prompt(MODEL, parts, sum(part.tokens for part in parts), 20)
            heappush(events, (now, len(events), prompt, now))
            now += random.expovariate(rate)
    while events:
        now, number, prompt, arrived_at = heappop(events)
        gateway = gateways[number % GATEWAYS]
        apply_status(gateway, sent, now)
        place = gateway.choose(prompt, now)
        if place is None:
            heappush(events, (now + 0.015, number, prompt, arrived_at))
            continue
        engine_number = gateway.views.index(place.view)
        first_at, computed_tokens = engines[engine_number].serve(
            prompt, place.fetch_from == STORE.address, now
        )
        is_long = len(prompt.parts) > 1
        (result.long if is_long else result.short).append(first_at - arrived_at)
        if is_long:
            result.recomputed_tokens += computed_tokens if prompt.parts[0].part_id in seen else 0
            seen.add(prompt.parts[0].part_id)
            sent.append(
                (now, first_at + DECODE_S, gateway.name, engine_number, prompt.prompt_tokens)
            )
            for other in gateways if announced else [gateway]:
                other.record_placement(engine_number, prompt, place, now, gateway.name)
    return result


def apply_status(gateway: Gateway, sent: list, now: float) -> None:
    """Update a gateway's own load, and the load of the others when a new status is due."""
    status_at = now // STATUS_INTERVAL_S * STATUS_INTERVAL_S
    is_new, gateway.status_at = status_at > gateway.status_at, status_at
    for number, view in enumerate(gateway.views):
        placed = [entry for entry in sent if entry[3] == number]
        view.own = load_at(placed, gateway.name, now)
        if is_new:
            senders = {entry[2] for entry in placed} - {gateway.name}
            view.peers = {sender: load_at(placed, sender, status_at) for sender in senders}


def load_at(placed: list, sender: str, now: float) -> Load:
    """Return the load of one gateway's long prompts that were in flight at ``now``."""
    held = [tokens for at, until, name, _, tokens in placed if name == sender and at <= now < until]
    return Load(len(held), held_tokens=sum(held))


def fraction_within(times: list[float], limit_s: float) -> float:
    return sum(t <= limit_s for t in times) / len(times)


def test_announced_placements_reduce_waiting_times():
    announced, unannounced = simulate(announced=True), simulate(announced=False)
    assert len(announced.long) == len(unannounced.long)
    assert fraction_within(announced.short, 0.5) > fraction_within(unannounced.short, 0.5)
    assert fraction_within(announced.long, 0.8) > fraction_within(unannounced.long, 0.8)
    assert max(announced.short) < max(unannounced.short)


def test_announced_placements_reduce_recomputed_tokens():
    announced, unannounced = simulate(announced=True), simulate(announced=False)
    assert announced.recomputed_tokens < unannounced.recomputed_tokens / 2
