"""Transfers of cached prompt parts: sources to fetch from and stores to save to."""

from dataclasses import dataclass, replace

from teaselpath.dispatch._views import (
    Demand,
    EndpointView,
    Placed,
    StoreView,
    Topology,
    scope_of,
    version_of,
)
from teaselpath.fleet import Prompt

# Smallest number of tokens worth fetching; fewer are recomputed.
MIN_FETCH_TOKENS = 256
# Fixed set-up time of a fetch, in seconds.
FETCH_SETUP_S = 0.004
# Cost per shared token that is recomputed although another engine or a store has it cached, in
# seconds, on top of the prefill time: recomputing takes engine time from all other requests.
RECOMPUTE_COST_S_PER_TOKEN = 30e-6
# Expected cost per token fetched from an engine, in seconds, for the case that the engine has
# evicted the token meanwhile: about a fifth of the cost of recomputing it, prefill included.
EVICTION_COST_S_PER_TOKEN = 10e-6
# Shared tokens from which a prompt's parts are saved to a cache store.
MIN_SAVE_TOKENS = 1_000


@dataclass(slots=True, frozen=True)
class Source:
    """An engine or store from which cached parts can be fetched.

    :param endpoint_id: endpoint id of the engine; empty for a store.
    :param tokens: leading tokens of the prompt that it has cached.
    :param s_per_token: fetch time per token within its failure domain, in seconds.
    :param wait_s: expected queueing time on its link, in seconds.
    """

    endpoint_id: str
    address: str
    failure_domain: str
    weights: int | None
    tokens: int
    s_per_token: float
    wait_s: float = 0.0


def find_sources(views: list[EndpointView], demand: Demand, now: float) -> list[Source]:
    """Return the engines and stores that have a prefix of the prompt cached.

    Events confirm this, except for stores whose events are not followed: those are assumed to have
    the parts that were sent to them at least ``MAX_SAVE_S`` ago.
    """
    prompt = demand.prompt
    if prompt is None or demand.engine is None or prompt.shared_tokens < MIN_FETCH_TOKENS:
        return []
    sources = []
    for view in views:
        if view.health.is_suspect(now) or view.loading_until > now:
            continue
        version = version_of(view, demand)
        if version is None:
            continue
        scope = scope_of(demand.scope_prefix, version)
        tokens = view.cache.match(scope, prompt, now, confirmed=True)
        if tokens >= MIN_FETCH_TOKENS:
            endpoint = view.endpoint
            sources.append(
                Source(
                    endpoint.endpoint_id,
                    endpoint.address,
                    endpoint.failure_domain,
                    version,
                    tokens,
                    demand.engine.fetch_s_per_token,
                )
            )
    versions = {version for view in views if (version := version_of(view, demand)) is not None}
    for store_view in demand.cache_stores:
        for version in versions:
            scope = scope_of(demand.scope_prefix, version)
            tokens = store_view.cache.match(scope, prompt, now, confirmed=True)
            if tokens >= MIN_FETCH_TOKENS and store_view.is_usable(now):
                store = store_view.store
                sources.append(
                    Source(
                        "",
                        store.address,
                        store.failure_domain,
                        version,
                        tokens,
                        store_view.s_per_token(demand.engine),
                        store_view.link.wait_s(now),
                    )
                )
    return sources


@dataclass(slots=True, frozen=True)
class Fetch:
    """Fetch of cached parts.

    :param tokens: tokens that are fetched.
    :param fetch_s: expected time of the fetch, in seconds.
    :param eviction_cost_s: expected cost of an eviction at the source, in seconds.
    """

    source: Source
    tokens: int
    fetch_s: float
    eviction_cost_s: float


def best_source(
    sources: list[Source], view: EndpointView, topology: Topology, cached: int, now: float
) -> Fetch | None:
    """Return the fetch that saves most compared with recomputing, after its cost.

    Returns None if computing the tokens does not cost more than fetching them from any source.
    """
    best: tuple[float, Fetch] | None = None
    s_per_token = view.times.s_per_token(now)
    slowness = view.times.slowness(now)
    for source in sources:
        fetched_tokens = source.tokens - cached
        if fetched_tokens < MIN_FETCH_TOKENS:
            continue
        factor = topology.transfer_factor(source.failure_domain, view.endpoint.failure_domain)
        fetch_s = FETCH_SETUP_S + source.wait_s + fetched_tokens * source.s_per_token * factor
        eviction_cost_s = 0.0
        if source.endpoint_id:
            eviction_cost_s = fetched_tokens * EVICTION_COST_S_PER_TOKEN * slowness
        recompute_cost_s = RECOMPUTE_COST_S_PER_TOKEN * slowness + s_per_token
        net_cost_s = fetch_s + eviction_cost_s - fetched_tokens * recompute_cost_s
        if net_cost_s < 0 and (best is None or net_cost_s < best[0]):
            best = (net_cost_s, Fetch(source, fetched_tokens, fetch_s, eviction_cost_s))
    return best[1] if best else None


def _select_save_store(
    stores: tuple[StoreView, ...], candidate: Placed, prompt: Prompt, topology: Topology, now: float
) -> StoreView | None:
    """Return the store to save a prompt's parts to.

    Returns None if a store of the region has them or none is usable. Stores of other regions are
    excluded: a transfer would occupy the store's link ten times as long.
    """
    domain = candidate.view.endpoint.failure_domain
    in_region = [s for s in stores if topology.is_same_region(s.store.failure_domain, domain)]
    if any(s.cache.match(candidate.scope, prompt, now) >= prompt.shared_tokens for s in in_region):
        return None
    usable = [s for s in in_region if s.is_usable(now)]
    return min(usable, key=lambda s: (s.link.wait_s(now), s.store.address), default=None)


def add_save_target(candidate: Placed, demand: Demand, topology: Topology, now: float) -> Placed:
    """Return the candidate with a store to save the shared parts to, if it computes them."""
    prompt = demand.prompt
    if prompt is None or demand.engine is None or prompt.shared_tokens < MIN_SAVE_TOKENS:
        return candidate
    if candidate.cached_tokens >= prompt.shared_tokens:
        return candidate
    store = _select_save_store(demand.cache_stores, candidate, prompt, topology, now)
    return candidate if store is None else replace(candidate, save_to=store.store.address)
