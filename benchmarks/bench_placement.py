"""Placement policies on a simulated fleet: what callers get, as ratios to least loaded.

Plays seeded arrivals of long prompts with shared parts and short ones on engines that read one
prompt after the other and cache a limited number of tokens. All policies see the same arrivals.

    python benchmarks/bench_placement.py --seeds 5
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

import click

from teaselpath.dispatch import Demand, EndpointView, Placed, Topology, choose_endpoint, scope_of
from teaselpath.fleet import Endpoint, EndpointState, EngineLimits, Prompt, PromptPart
from teaselpath.utils import rendezvous_top

MODEL = "m"
ENGINES = 9
SHARED_PARTS = 157
SHARED_TOKENS, OWN_TOKENS, SHORT_TOKENS = 13_300, 3_720, 383
LONG_PER_S, SHORT_PER_S = 12.5, 87.0
TOKENS_PER_S = 56_600.0
CACHE_TOKENS = 159_399
COPY_S_PER_TOKEN = 0.82e-6
DECODE_S = 0.08
LIMITS = EngineLimits(CACHE_TOKENS, 18_432, COPY_S_PER_TOKEN)
TOPOLOGY = Topology("a", {"a": "north"})
SCOPE = scope_of("", 1)


@dataclass
class Engine:
    """An engine with a least recently used cache of shared parts."""

    view: EndpointView
    free_at: float = 0.0
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    ends: list[tuple[float, int]] = field(default_factory=list)

    def settle(self, now: float) -> None:
        """Forget requests that have ended."""
        self.ends = [end for end in self.ends if end[0] > now]
        self.view.own.requests = len(self.ends)
        unread_s = max(0.0, self.free_at - now)
        self.view.own.pending_prefill_tokens = int(unread_s * TOKENS_PER_S)

    def serve(self, prompt: Prompt, now: float, copied: bool) -> tuple[float, int]:
        """Read a prompt; return the time to the first token and the shared tokens read."""
        shared = prompt.parts[0] if len(prompt.parts) > 1 else None
        read, extra_s, reread = prompt.prompt_tokens, 0.0, 0
        if shared is not None:
            if shared.part_id in self.cache:
                read -= shared.tokens
                self.cache.move_to_end(shared.part_id)
            elif copied:
                read -= shared.tokens
                extra_s = shared.tokens * COPY_S_PER_TOKEN
                self._store(shared)
            else:
                reread = shared.tokens
                self._store(shared)
        start = max(now, self.free_at)
        self.free_at = start + extra_s + read / TOKENS_PER_S
        self.ends.append((self.free_at + DECODE_S, 0))
        return self.free_at - now, reread

    def _store(self, part: PromptPart) -> None:
        self.cache[part.part_id] = part.tokens
        self.view.cache.record_stored(SCOPE, part.part_id, part.tokens)
        while sum(self.cache.values()) > CACHE_TOKENS:
            dropped, _ = self.cache.popitem(last=False)
            self.view.cache.record_evicted(SCOPE, dropped)


@dataclass
class Outcome:
    """What callers got."""

    short: list[float] = field(default_factory=list)
    long: list[float] = field(default_factory=list)
    read_tokens: int = 0


def arrivals(random: Random, seconds: float, load: float) -> list[tuple[float, Prompt]]:
    """Return prompts in order of arrival."""
    found = []
    weights = [1 / (rank + 1) ** 0.3 for rank in range(SHARED_PARTS)]
    for rate, is_long in ((LONG_PER_S * load, True), (SHORT_PER_S * load, False)):
        now = random.expovariate(rate)
        while now < seconds:
            own = PromptPart(f"o{len(found)}", OWN_TOKENS if is_long else SHORT_TOKENS)
            parts = (own,)
            if is_long:
                name = random.choices(range(SHARED_PARTS), weights)[0]
                parts = (PromptPart(f"s{name}", SHARED_TOKENS), own)
            tokens = sum(part.tokens for part in parts)
            found.append((now, Prompt(MODEL, parts, tokens, 20)))
            now += random.expovariate(rate)
    return sorted(found, key=lambda entry: entry[0])


def make_engines() -> list[Engine]:
    """Return idle engines."""
    engines = []
    for n in range(ENGINES):
        endpoint = Endpoint(
            f"e{n}", "s", f"10.0.0.{n}:80", "a", 16, EndpointState.READY, 1, ((MODEL, 1),)
        )
        engines.append(Engine(EndpointView(endpoint, weights={MODEL: 1})))
    return engines


def choose(policy: str, engines: list[Engine], prompt: Prompt, now: float) -> tuple[Engine, bool]:
    """Return the engine, and whether it copies the shared part."""
    by_id = {engine.view.endpoint.endpoint_id: engine for engine in engines}
    match policy:
        case "least loaded":
            return min(engines, key=lambda e: (e.view.own.requests, e.free_at)), False
        case "prefix hash":
            key = prompt.parts[0].part_id.encode()
            return by_id[rendezvous_top(key, by_id, 1)[0]], False
        case _:
            limits = LIMITS if policy == "placement" else None
            demand = Demand(prompt, engine=limits, oldest_weights=0)
            place = choose_endpoint([e.view for e in engines], demand, TOPOLOGY, now)
            if not isinstance(place, Placed):
                return min(engines, key=lambda e: e.free_at), False
            return by_id[place.view.endpoint.endpoint_id], place.fetch_from is not None


def play(policy: str, seed: int, seconds: float, load: float) -> Outcome:
    """Play one run."""
    engines, outcome = make_engines(), Outcome()
    for now, prompt in arrivals(Random(seed), seconds, load):
        for engine in engines:
            engine.settle(now)
        engine, copied = choose(policy, engines, prompt, now)
        first_s, read = engine.serve(prompt, now, copied)
        (outcome.long if len(prompt.parts) > 1 else outcome.short).append(first_s)
        outcome.read_tokens += read
    return outcome


def percentile(values: list[float], part: float) -> float:
    """Return a percentile of values."""
    return sorted(values)[int(part * (len(values) - 1))]


@click.command()
@click.option("--seeds", default=3, help="Runs per policy.")
@click.option("--seconds", default=30.0, help="Length of a run.")
@click.option("--load", default=1.3, help="Load as a multiple of wadi-benches' calm day.")
def main(seeds: int, seconds: float, load: float) -> None:
    """Print ratios to the policy that takes the least loaded engine."""
    rows = {}
    for policy in ("least loaded", "prefix hash", "placement without copies", "placement"):
        runs = [play(policy, seed, seconds, load) for seed in range(seeds)]
        rows[policy] = (
            sum(run.read_tokens for run in runs),
            percentile([t for run in runs for t in run.short], 0.95),
            percentile([t for run in runs for t in run.long], 0.95),
        )
    base = rows["least loaded"]
    click.echo(f"{'policy':26} {'shared read':>12} {'short p95':>10} {'long p95':>10}")
    for policy, row in rows.items():
        ratios = [value / reference for value, reference in zip(row, base, strict=True)]
        click.echo(f"{policy:26} {ratios[0]:12.3f} {ratios[1]:10.3f} {ratios[2]:10.3f}")


if __name__ == "__main__":
    main()
