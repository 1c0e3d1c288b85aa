"""Copies of cached parts: where an engine can get them, and which store keeps them."""

from dataclasses import dataclass, replace

from teaselpath.dispatch._views import (
    PREFILL_TOKENS_PER_S,
    Demand,
    EndpointView,
    Placed,
    StoreView,
    Topology,
    scope_of,
    version_of,
)
from teaselpath.fleet import Prompt

# A copy of cached parts is worth asking for from this many tokens on.
MIN_FETCH_TOKENS = 256
# Fixed time of a fetch, in seconds.
FETCH_SETUP_S = 0.004
# Time charged per shared token that is read although another engine has it, in seconds: the read
# takes engine time from all other requests.
REREAD_COST_S = 30e-6
# Time charged per token that is copied from an engine, in seconds: about a fifth of what it costs
# if the engine has evicted the token meanwhile.
EVICTED_COST_S = 10e-6
# Shared tokens from which a prompt's parts are kept in a store of cached parts.
MIN_SAVE_TOKENS = 1_000


@dataclass(slots=True, frozen=True)
class Source:
    """Cached parts that can be copied.

    :param owner: endpoint id of an engine; empty for a store.
    :param wait_s: time until its link is free, in seconds.
    """

    owner: str
    address: str
    failure_domain: str
    weights: int | None
    tokens: int
    s_per_token: float
    wait_s: float = 0.0


def find_sources(views: list[EndpointView], demand: Demand, now: float) -> list[Source]:
    """Return what engines and stores hold of the prompt, confirmed by their events."""
    prompt = demand.prompt
    if prompt is None or demand.engine is None or prompt.shared_tokens < MIN_FETCH_TOKENS:
        return []
    sources = []
    for view in views:
        if view.health.is_suspect(now) or view.loading_until > now:
            continue
        version = version_of(view, demand)
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
    versions = {version_of(view, demand) for view in views}
    for kept in demand.cache_stores:
        for version in versions:
            scope = scope_of(demand.scope_prefix, version)
            tokens = kept.cache.match(scope, prompt, now, confirmed=True)
            if tokens >= MIN_FETCH_TOKENS and kept.is_usable(now):
                store = kept.store
                sources.append(
                    Source(
                        "",
                        store.address,
                        store.failure_domain,
                        version,
                        tokens,
                        kept.s_per_token(demand.engine),
                        kept.link.wait_s(now),
                    )
                )
    return sources


def best_source(
    sources: list[Source], view: EndpointView, topology: Topology, cached: int
) -> tuple[float, Source] | None:
    """Return the source with the lowest time to copy and read the rest."""
    best = None
    for source in sources:
        gained = source.tokens - cached
        if gained < MIN_FETCH_TOKENS:
            continue
        factor = topology.fetch_factor(source.failure_domain, view.endpoint.failure_domain)
        fetch_s = FETCH_SETUP_S + source.wait_s + gained * source.s_per_token * factor
        if source.owner:
            fetch_s += gained * EVICTED_COST_S
        value = fetch_s - gained * (REREAD_COST_S + 1 / PREFILL_TOKENS_PER_S)
        if value < 0 and (best is None or value < best[0]):
            best = (value, fetch_s, source)
    return (best[1], best[2]) if best else None


def _keeping_store(
    stores: tuple[StoreView, ...], offer: Placed, prompt: Prompt, topology: Topology, now: float
) -> StoreView | None:
    """Return the store that is to keep a prompt's parts; None if one of the region has them.

    A copy across regions would take the store's link ten times as long.
    """
    domain = offer.view.endpoint.failure_domain
    near = [s for s in stores if topology.share_region(s.store.failure_domain, domain)]
    if any(s.cache.match(offer.scope, prompt, now) >= prompt.shared_tokens for s in near):
        return None
    usable = [s for s in near if s.is_usable(now)]
    return min(usable, key=lambda s: (s.link.wait_s(now), s.store.address), default=None)


def with_save(offer: Placed, demand: Demand, topology: Topology, now: float) -> Placed:
    """Name the store that is to keep the shared parts, if the engine reads them."""
    prompt = demand.prompt
    if prompt is None or demand.engine is None or prompt.shared_tokens < MIN_SAVE_TOKENS:
        return offer
    if offer.cached_tokens >= prompt.shared_tokens:
        return offer
    store = _keeping_store(demand.cache_stores, offer, prompt, topology, now)
    return offer if store is None else replace(offer, save_to=store.store.address)
