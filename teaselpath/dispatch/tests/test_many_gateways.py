"""Many gateways on the same engines: what callers get, with and without news of placements.

Plays long prompts with shared parts among short requests. Each gateway learns of the load of the
others by a status that is old, and with news also of each long prompt as it is placed.
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

GATEWAYS, ENGINES, HEADS = 8, 6, 60
TOKENS_PER_S = 50_000.0
CACHE_TOKENS = 150_000
HEAD, OWN, SHORT = 13_000, 4_000, 400
LONG_PER_S, SHORT_PER_S = 14.0, 60.0
# Age of the status of other gateways, in seconds.
STATUS_S = 0.4
# Time that a running request keeps its memory after its prompt was read, in seconds.
ANSWER_S = 1.0
LIMITS = EngineLimits(CACHE_TOKENS, 18_432, 0.8e-6)
TOPOLOGY = Topology("a", {"a": "north"})
STORE = CacheStore("kept", "10.9.9.9:80", "a", 45e9)
SCOPE = scope_of("", 1)


@dataclass
class Engine:
    """An engine that reads in turn and evicts cached parts for running prompts."""

    free_at: float = 0.0
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    running: list[tuple[float, int]] = field(default_factory=list)

    def serve(self, prompt: Prompt, copied: bool, now: float) -> tuple[float, int]:
        """Return the time of the first event, and the shared tokens read."""
        head = prompt.parts[0] if len(prompt.parts) > 1 else None
        tokens, reread, copy_s = prompt.prompt_tokens, 0, 0.0
        if head is not None and head.part_id in self.cache:
            self.cache.move_to_end(head.part_id)
            tokens -= head.tokens
        elif head is not None and copied:
            tokens -= head.tokens
            copy_s = head.tokens * LIMITS.token_bytes * 8 / STORE.link_bits_per_s
        elif head is not None:
            reread = head.tokens
        self.free_at = max(self.free_at, now) + copy_s + tokens / TOKENS_PER_S
        self.running = [r for r in self.running if r[0] > now]
        self.running.append((self.free_at + ANSWER_S, prompt.prompt_tokens))
        if head is not None:
            self.cache[head.part_id] = head.tokens
        held = sum(tokens for _, tokens in self.running)
        while self.cache and held + sum(self.cache.values()) > CACHE_TOKENS:
            self.cache.popitem(last=False)
        return self.free_at, reread


class Gateway:
    """What one gateway knows."""

    def __init__(self, name: str):
        self.name = name
        self.views: list[EndpointView] = [make_view(f"e{n}", slots=32) for n in range(ENGINES)]
        self.store = StoreView(STORE)
        self.status_at = 0.0

    def choose(self, prompt: Prompt, now: float) -> Placed | None:
        """Return an engine."""
        demand = Demand(prompt, announced_weights=1, engine=LIMITS, cache_stores=(self.store,))
        place = choose_endpoint(self.views, demand, TOPOLOGY, now)
        return place if isinstance(place, Placed) else None

    def note(self, number: int, prompt: Prompt, place: Placed, now: float, sender: str) -> None:
        """Count a long prompt that was placed."""
        view = self.views[number]
        unread = prompt.prompt_tokens - place.cached_tokens
        view.backlog.add(unread / TOKENS_PER_S, now)
        view.cache.record_expected(SCOPE, prompt.parts[:-1], now)
        if sender != self.name:
            load = view.peers.setdefault(sender, Load())
            load.held_tokens += prompt.prompt_tokens
        if place.save_to is not None:
            self.store.cache.record_expected(SCOPE, prompt.parts[:-1], now)


@dataclass
class Result:
    """Times to the first event, and shared tokens that were read more than once."""

    short: list[float] = field(default_factory=list)
    long: list[float] = field(default_factory=list)
    reread: int = 0


def play(*, news: bool, seed: int = 5, seconds: float = 12.0) -> Result:
    """Play a load of about nine tenths of what the engines can read without any reuse."""
    random, result = Random(seed), Result()
    engines = [Engine() for _ in range(ENGINES)]
    gateways = [Gateway(f"g{n}") for n in range(GATEWAYS)]
    sent: list[tuple[float, float, str, int, int]] = []
    seen: set[str] = set()
    events: list[tuple[float, int, Prompt, float]] = []
    for rate, is_long in ((LONG_PER_S, True), (SHORT_PER_S, False)):
        now = random.expovariate(rate)
        while now < seconds:
            own = PromptPart(f"o{len(events)}", OWN if is_long else SHORT)
            head = PromptPart(f"h{random.randrange(HEADS)}", HEAD)
            parts = (head, own) if is_long else (own,)
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
        chosen = gateway.views.index(place.view)
        first_at, read = engines[chosen].serve(prompt, place.fetch_from == STORE.address, now)
        is_long = len(prompt.parts) > 1
        (result.long if is_long else result.short).append(first_at - arrived_at)
        if is_long:
            result.reread += read if prompt.parts[0].part_id in seen else 0
            seen.add(prompt.parts[0].part_id)
            sent.append((now, first_at + ANSWER_S, gateway.name, chosen, prompt.prompt_tokens))
            for other in gateways if news else [gateway]:
                other.note(chosen, prompt, place, now, gateway.name)
    return result


def apply_status(gateway: Gateway, sent: list, now: float) -> None:
    """Give a gateway its own load, and a new status of the others when one is due."""
    status_at = now // STATUS_S * STATUS_S
    is_new, gateway.status_at = status_at > gateway.status_at, status_at
    for number, view in enumerate(gateway.views):
        placed = [entry for entry in sent if entry[3] == number]
        view.own = load_at(placed, gateway.name, now)
        if is_new:
            senders = {entry[2] for entry in placed} - {gateway.name}
            view.peers = {sender: load_at(placed, sender, status_at) for sender in senders}


def load_at(placed: list, sender: str, now: float) -> Load:
    """Return the long prompts of one gateway that were under way."""
    held = [tokens for at, until, name, _, tokens in placed if name == sender and at <= now < until]
    return Load(len(held), held_tokens=sum(held))


def share_within(times: list[float], limit_s: float) -> float:
    return sum(t <= limit_s for t in times) / len(times)


def test_news_of_placements_keeps_callers_from_waiting_for_each_other():
    told, untold = play(news=True), play(news=False)
    assert len(told.long) == len(untold.long)
    assert share_within(told.short, 0.5) > share_within(untold.short, 0.5)
    assert share_within(told.long, 0.8) > share_within(untold.long, 0.8)
    assert max(told.short) < max(untold.short)


def test_news_of_placements_keeps_parts_from_being_read_again():
    told, untold = play(news=True), play(news=False)
    assert told.reread < untold.reread / 2
