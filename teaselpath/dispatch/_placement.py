"""Choice of an endpoint for a request.

Answers a mix of long prompts with shared parts and short ones on the same engines: the cost of an
endpoint is the expected time to the first token, with what is not cached, the work ahead, the
distance and recent failures.

Each prompt has a home among the engines, the same at every gateway: where nobody is known to have
its shared part, the home reads it. Gateways that know equally little then neither read a part twice
nor crowd on one engine.
"""

from teaselpath.dispatch._transfers import (
    REREAD_COST_S,
    Source,
    best_source,
    find_sources,
    with_save,
)
from teaselpath.dispatch._views import (
    PREFILL_TOKENS_PER_S,
    Demand,
    EndpointView,
    NoEndpoint,
    Placed,
    Topology,
    scope_of,
    version_of,
)
from teaselpath.fleet import Prompt
from teaselpath.utils import rendezvous_rank

# Time that a queued request waits for each one ahead of it beyond the slots, in seconds.
QUEUE_STEP_S = 0.06
# Time charged per byte of a body that crosses the link between regions, in seconds: the link is
# narrow and paid by volume.
CROSS_REGION_S_PER_BYTE = 5e-6
# Time charged for a failure rate of one, in seconds.
FAILURE_COST_S = 2.0
# Time charged for weights that a newer version replaces, in seconds.
OLD_WEIGHTS_COST_S = 0.25
# Prompt tokens from which a request counts as long.
LONG_TOKENS = 4_000
# Tokens that an engine may still have to read when it is given a long prompt: about a quarter of a
# second of reading.
MAX_UNREAD_TOKENS = 10_000
# Part of an engine's memory that running prompts may take; the rest is for cached parts.
HELD_PART = 0.6
# Requests per slot that an endpoint is given before it counts as full.
QUEUE_FACTOR = 1.5
# Time charged per shared token that is read outside the prompt's home region, in seconds: the home
# region may have it.
AWAY_COST_S = 15e-6
# Time charged per token that is copied, in seconds: the copy takes memory from other parts.
COPY_COST_S = 2e-6
# Largest difference between engines by the prompt's hash alone, in seconds: about the error of the
# load that a gateway knows.
SPREAD_S = 0.03
# Slow-down of a running batch per request in it, as a fraction of the prefill time.
BATCH_SLOWDOWN = 0.02


def choose_endpoint(
    views: list[EndpointView], demand: Demand, topology: Topology, now: float
) -> Placed | NoEndpoint:
    """Return the endpoint with the lowest expected time to the first token.

    Suspect endpoints are taken only if there is no other.
    """
    if not views:
        return NoEndpoint("none_listed", 1.0)
    usable = [v for v in views if v.endpoint.endpoint_id not in demand.excluded]
    sound = [v for v in usable if not v.health.is_suspect(now)] or usable
    if not sound:
        return NoEndpoint("unreachable", 0.5)
    settled = [v for v in sound if v.loading_until <= now and not _is_outdated(v, demand)]
    if not settled:
        return NoEndpoint("switching", 0.5)
    open_views = [v for v in settled if not _is_full(v)]
    if not open_views:
        return NoEndpoint("full", 0.5)
    sources = find_sources(views, demand, now)
    ranks = _ranks(views, demand)
    home = max(views, key=lambda view: ranks.get(view.endpoint.endpoint_id, 0.0))
    offers = [_offer(view, demand, topology, sources, ranks, home, now) for view in open_views]
    offers = [offer for offer in offers if not _must_wait(offer, demand, now)]
    if not offers:
        return NoEndpoint("reading", 0.5)
    best = min(offers, key=lambda offer: (offer.cost_s, offer.view.endpoint.endpoint_id))
    return with_save(best, demand, topology, now)


def _must_wait(offer: Placed, demand: Demand, now: float) -> bool:
    """Return whether a long prompt would queue behind others in the engine."""
    if demand.prompt is None:
        return False
    tokens = demand.prompt.prompt_tokens
    memory = demand.engine.cache_tokens if demand.engine is not None else 0
    held = offer.view.held_tokens()
    if memory and held and tokens >= LONG_TOKENS and held + tokens > HELD_PART * memory:
        return True
    missed = tokens - offer.cached_tokens
    return missed >= LONG_TOKENS and offer.view.pending_prefill_tokens(now) > MAX_UNREAD_TOKENS


def affinity_key(prompt: Prompt, scope_prefix: str) -> bytes:
    """Return what prompts with the same last shared part have in common."""
    part_id = prompt.parts[-2:][0].part_id if prompt.parts else ""
    return f"{scope_prefix}{part_id}".encode()


def _ranks(views: list[EndpointView], demand: Demand) -> dict[str, float]:
    """Return the rank of each engine for the prompt, from 0 to 1; the highest is its home."""
    if demand.prompt is None:
        return {}
    key = affinity_key(demand.prompt, demand.scope_prefix)
    ids = [view.endpoint.endpoint_id for view in views]
    return {name: rendezvous_rank(key, name) / 2**64 for name in ids}


def _is_full(view: EndpointView) -> bool:
    return view.requests() >= QUEUE_FACTOR * max(1, view.endpoint.slots)


def _is_outdated(view: EndpointView, demand: Demand) -> bool:
    return demand.prompt is not None and (version_of(view, demand) or 0) < demand.oldest_weights


def _offer(
    view: EndpointView,
    demand: Demand,
    topology: Topology,
    sources: list[Source],
    ranks: dict[str, float],
    home: EndpointView,
    now: float,
) -> Placed:
    slots = max(1, view.endpoint.slots)
    requests = view.requests()
    cost = topology.rtt_s(view.endpoint.failure_domain)
    if not topology.is_own_region(view.endpoint.failure_domain):
        cost += demand.body_bytes * CROSS_REGION_S_PER_BYTE
    cost += view.health.failure_rate(now) * FAILURE_COST_S
    cost += max(0, requests + 1 - slots) * QUEUE_STEP_S
    if demand.prompt is None:
        return Placed(view, cost + 0.02 * requests / slots, 0, None, "")
    version = version_of(view, demand)
    if demand.announced_weights is not None and (version or 0) < demand.announced_weights:
        cost += OLD_WEIGHTS_COST_S
    scope = scope_of(demand.scope_prefix, version)
    cached = view.cache.match(scope, demand.prompt, now)
    confirmed = view.cache.match(scope, demand.prompt, now, confirmed=True)
    fetch_from, fetched, fetched_s = None, 0, 0.0
    others = [s for s in sources if s.weights == version and s.owner != view.endpoint.endpoint_id]
    reread = max((s.tokens for s in others), default=0) - cached
    best = best_source(others, view, topology, cached)
    if best is not None:
        fetched = best[1].tokens - cached
        fetched_s = best[0] + fetched * COPY_COST_S
        fetch_from, cached, reread = best[1].address, best[1].tokens, 0
    elif confirmed < cached:
        reread = 0
    domains = home.endpoint.failure_domain, view.endpoint.failure_domain
    if not others and not topology.share_region(*domains):
        cost += max(0, demand.prompt.shared_tokens - cached) * AWAY_COST_S
    cost += (1.0 - ranks[view.endpoint.endpoint_id]) * SPREAD_S
    missed = max(0, demand.prompt.prompt_tokens - cached)
    ahead_s = (missed + view.pending_prefill_tokens(now)) / PREFILL_TOKENS_PER_S
    cost += fetched_s + max(0, reread) * REREAD_COST_S
    cost += ahead_s * (1.0 + BATCH_SLOWDOWN * requests) + 0.002 * requests
    return Placed(view, cost, cached, version, scope, fetch_from, fetched)
