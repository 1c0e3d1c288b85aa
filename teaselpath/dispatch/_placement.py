"""Choice of an endpoint for a request.

Answers a mix of long prompts with shared parts and short ones on the same engines: the cost of an
endpoint is the expected time to the first token, with what is not cached, the work ahead, the
distance and recent failures.

Each prompt has a home among the engines, the same at every gateway: where nobody is known to have
its shared part, the home reads it. Gateways that know equally little then neither read a part twice
nor crowd on one engine.
"""

from dataclasses import dataclass, field, replace

from teaselpath.dispatch._backlog import Backlog
from teaselpath.dispatch._health import EndpointHealth
from teaselpath.dispatch._part_cache import PartCache
from teaselpath.fleet import CacheStore, Endpoint, EngineLimits, Prompt
from teaselpath.utils import rendezvous_rank

# Tokens that an engine reads per second, until it was observed.
PREFILL_TOKENS_PER_S = 40_000.0
# Time that a queued request waits for each one ahead of it beyond the slots, in seconds.
QUEUE_STEP_S = 0.06
# Round trips in seconds by distance; the deployments state 1.4 and 30 ms one way.
CROSS_DOMAIN_RTT_S = 0.003
CROSS_REGION_RTT_S = 0.060
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
# Requests per slot that an endpoint is given before it counts as full.
QUEUE_FACTOR = 1.5
# A copy of cached parts is worth asking for from this many tokens on.
MIN_FETCH_TOKENS = 256
# Fetch time across failure domains and regions, as a multiple of that within a domain.
CROSS_DOMAIN_FETCH = 2.0
CROSS_REGION_FETCH = 10.0
# Fixed time of a fetch, in seconds.
FETCH_SETUP_S = 0.004
# Time charged per shared token that is read although another engine has it, in seconds: the read
# takes engine time from all other requests.
REREAD_COST_S = 30e-6
# Time charged per shared token that is read outside the prompt's home region, in seconds: the home
# region may have it.
AWAY_COST_S = 15e-6
# Time charged per token that is copied from an engine, in seconds: about a fifth of what it costs
# if the engine has evicted the token meanwhile.
EVICTED_COST_S = 10e-6
# Part of an engine's memory that running prompts may take; the rest is for cached parts.
HELD_PART = 0.6
# Time charged per token that is copied, in seconds: the copy takes memory from other parts.
COPY_COST_S = 2e-6
# Largest difference between engines by the prompt's hash alone, in seconds: about the error of the
# load that a gateway knows.
SPREAD_S = 0.03
# Slow-down of a running batch per request in it, as a fraction of the prefill time.
BATCH_SLOWDOWN = 0.02
# Shared tokens from which a prompt's parts are kept in a store of cached parts.
MIN_SAVE_TOKENS = 1_000
# Work on a store's link from which it is given no more parts, in seconds; copies that would wait
# two seconds are not started.
MAX_LINK_WAIT_S = 1.2


@dataclass(slots=True)
class Load:
    """Work that is under way at an endpoint.

    :param requests: requests sent and not answered.
    :param unread_tokens: prompt tokens that are sent and not yet read.
    :param held_tokens: prompt tokens of long prompts, read or not.
    """

    requests: int = 0
    unread_tokens: int = 0
    held_tokens: int = 0


@dataclass(slots=True)
class EndpointView:
    """What a gateway knows of an endpoint.

    :param own: work that this gateway has sent.
    :param peers: work of the other gateways, by host; what is unread is in the backlog.
    :param backlog: what it has still to read of the long prompts of all gateways.
    :param switching_until: until when it takes new weights; 0 if it does not.
    :param own_switch_until: the same, as far as this gateway has ordered it.
    """

    endpoint: Endpoint
    own: Load = field(default_factory=Load)
    peers: dict[str, Load] = field(default_factory=dict)
    backlog: Backlog = field(default_factory=Backlog)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    cache: PartCache = field(default_factory=PartCache)
    weights: dict[str, int] = field(default_factory=dict)
    switching_until: float = 0.0
    own_switch_until: float = 0.0

    def learn_weights(self, model: str, version: int) -> None:
        """Take the version of a model's weights; an older one than known changes nothing."""
        self.weights[model] = max(version, self.weights.get(model, 0))

    def requests(self) -> int:
        """Return the requests under way from all gateways."""
        return self.own.requests + sum(load.requests for load in self.peers.values())

    def held_tokens(self) -> int:
        """Return the prompt tokens of the long prompts under way from all gateways."""
        return self.own.held_tokens + sum(load.held_tokens for load in self.peers.values())

    def unread_tokens(self, now: float) -> int:
        """Return the prompt tokens that wait to be read."""
        return max(self.own.unread_tokens, int(self.backlog.wait_s(now) * PREFILL_TOKENS_PER_S))


@dataclass(slots=True, frozen=True)
class Demand:
    """What a request needs.

    :param scope_prefix: scope of cached parts without the weights version.
    :param wanted_weights: newest named version of the model; None without a model.
    :param oldest_weights: oldest version that may still run requests.
    :param excluded: endpoints that this request has already tried.
    :param engine: limits of the service's engines.
    :param sources: stores from which cached parts can be copied.
    :param body_bytes: size of the request's body.
    """

    prompt: Prompt | None
    scope_prefix: str = ""
    wanted_weights: int | None = None
    oldest_weights: int = 0
    excluded: frozenset[str] = frozenset()
    engine: EngineLimits | None = None
    sources: tuple["StoreView", ...] = ()
    body_bytes: int = 0


@dataclass(slots=True)
class StoreView:
    """What a gateway knows of a store of cached parts.

    :param link: copies to and from the store, which go one after the other.
    """

    store: CacheStore
    cache: PartCache = field(default_factory=lambda: PartCache(is_store=True))
    health: EndpointHealth = field(default_factory=EndpointHealth)
    link: Backlog = field(default_factory=Backlog)

    def is_usable(self, now: float) -> bool:
        """Return whether the store can take and give parts soon."""
        return not self.health.is_suspect(now) and self.link.wait_s(now) < MAX_LINK_WAIT_S

    def copy_s(self, tokens: int, domain: str, engine: EngineLimits, topology: "Topology") -> float:
        """Return the time of a copy to or from an engine of a failure domain, in seconds."""
        bits = tokens * engine.token_bytes * 8
        factor = topology.fetch_factor(self.store.failure_domain, domain)
        return factor * bits / max(1.0, self.store.link_bits_per_s)


@dataclass(slots=True, frozen=True)
class _Source:
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


@dataclass(slots=True, frozen=True)
class Placed:
    """The chosen endpoint.

    :param cached_tokens: leading prompt tokens that it is expected to have.
    :param fetch_from: address of an engine or store from which it may copy parts.
    :param fetched_tokens: tokens that it is expected to copy.
    :param save_to: address of the store that is to keep the shared parts.
    :param weights: version of its weights; None for a plain service.
    """

    view: EndpointView
    cost_s: float
    cached_tokens: int
    weights: int | None
    scope: str
    fetch_from: str | None = None
    fetched_tokens: int = 0
    save_to: str | None = None


@dataclass(slots=True, frozen=True)
class NoPlace:
    """No endpoint takes the request now.

    :param reason: ``none_listed``, ``unreachable``, ``switching``, ``full`` or ``reading``.
    """

    reason: str
    retry_after_s: float


@dataclass(slots=True)
class Topology:
    """Where this gateway is, and the region of each failure domain."""

    failure_domain: str
    regions: dict[str, str]

    def rtt_s(self, domain: str) -> float:
        """Return the round trip to a failure domain, in seconds."""
        if domain == self.failure_domain:
            return 0.0
        if self.is_near(domain):
            return CROSS_DOMAIN_RTT_S
        return CROSS_REGION_RTT_S

    def is_near(self, domain: str) -> bool:
        """Return whether a failure domain is in the same region."""
        return self.share_region(domain, self.failure_domain)

    def share_region(self, domain: str, other: str) -> bool:
        """Return whether two failure domains are in one region."""
        return self.regions.get(domain) == self.regions.get(other)

    def fetch_factor(self, source: str, target: str) -> float:
        """Return how much longer a copy takes than within one failure domain."""
        if source == target:
            return 1.0
        return CROSS_DOMAIN_FETCH if self.share_region(source, target) else CROSS_REGION_FETCH


def scope_of(prefix: str, weights: int | None) -> str:
    """Return the scope of cached parts: isolation and weights version."""
    return f"{prefix}v{weights}"


def choose_endpoint(
    views: list[EndpointView], demand: Demand, topology: Topology, now: float
) -> Placed | NoPlace:
    """Return the endpoint with the lowest expected time to the first token.

    Suspect endpoints are taken only if there is no other.
    """
    if not views:
        return NoPlace("none_listed", 1.0)
    usable = [v for v in views if v.endpoint.endpoint_id not in demand.excluded]
    sound = [v for v in usable if not v.health.is_suspect(now)] or usable
    if not sound:
        return NoPlace("unreachable", 0.5)
    settled = [v for v in sound if v.switching_until <= now and not _is_outdated(v, demand)]
    if not settled:
        return NoPlace("switching", 0.5)
    open_views = [v for v in settled if not _is_full(v)]
    if not open_views:
        return NoPlace("full", 0.5)
    sources = _sources(views, demand, now)
    ranks = _ranks(views, demand)
    home = max(views, key=lambda view: ranks.get(view.endpoint.endpoint_id, 0.0))
    offers = [_offer(view, demand, topology, sources, ranks, home, now) for view in open_views]
    offers = [offer for offer in offers if not _must_wait(offer, demand, now)]
    if not offers:
        return NoPlace("reading", 0.5)
    best = min(offers, key=lambda offer: (offer.cost_s, offer.view.endpoint.endpoint_id))
    return _with_save(best, demand, topology, now)


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
    return missed >= LONG_TOKENS and offer.view.unread_tokens(now) > MAX_UNREAD_TOKENS


def home_key(prompt: Prompt, scope_prefix: str) -> bytes:
    """Return what prompts with the same last shared part have in common."""
    part_id = prompt.parts[-2:][0].part_id if prompt.parts else ""
    return f"{scope_prefix}{part_id}".encode()


def _ranks(views: list[EndpointView], demand: Demand) -> dict[str, float]:
    """Return the rank of each engine for the prompt, from 0 to 1; the highest is its home."""
    if demand.prompt is None:
        return {}
    key = home_key(demand.prompt, demand.scope_prefix)
    ids = [view.endpoint.endpoint_id for view in views]
    return {name: rendezvous_rank(key, name) / 2**64 for name in ids}


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


def _with_save(offer: Placed, demand: Demand, topology: Topology, now: float) -> Placed:
    """Name the store that is to keep the shared parts, if the engine reads them."""
    prompt = demand.prompt
    if prompt is None or demand.engine is None or prompt.shared_tokens < MIN_SAVE_TOKENS:
        return offer
    if offer.cached_tokens >= prompt.shared_tokens:
        return offer
    store = _keeping_store(demand.sources, offer, prompt, topology, now)
    return offer if store is None else replace(offer, save_to=store.store.address)


def _is_full(view: EndpointView) -> bool:
    return view.requests() >= QUEUE_FACTOR * max(1, view.endpoint.slots)


def _version(view: EndpointView, demand: Demand) -> int | None:
    if demand.prompt is None:
        return None
    return view.weights.get(demand.prompt.model, view.endpoint.weights_of(demand.prompt.model))


def _is_outdated(view: EndpointView, demand: Demand) -> bool:
    return demand.prompt is not None and (_version(view, demand) or 0) < demand.oldest_weights


def _sources(views: list[EndpointView], demand: Demand, now: float) -> list[_Source]:
    """Return what engines and stores hold of the prompt, confirmed by their events."""
    prompt = demand.prompt
    if prompt is None or demand.engine is None or prompt.shared_tokens < MIN_FETCH_TOKENS:
        return []
    sources = []
    for view in views:
        if view.health.is_suspect(now) or view.switching_until > now:
            continue
        version = _version(view, demand)
        scope = scope_of(demand.scope_prefix, version)
        tokens = view.cache.match(scope, prompt, now, confirmed=True)
        if tokens >= MIN_FETCH_TOKENS:
            endpoint = view.endpoint
            sources.append(
                _Source(
                    endpoint.endpoint_id,
                    endpoint.address,
                    endpoint.failure_domain,
                    version,
                    tokens,
                    demand.engine.fetch_s_per_token,
                )
            )
    versions = {_version(view, demand) for view in views}
    for kept in demand.sources:
        for version in versions:
            scope = scope_of(demand.scope_prefix, version)
            tokens = kept.cache.match(scope, prompt, now, confirmed=True)
            if tokens >= MIN_FETCH_TOKENS and kept.is_usable(now):
                store = kept.store
                sources.append(
                    _Source(
                        "",
                        store.address,
                        store.failure_domain,
                        version,
                        tokens,
                        demand.engine.token_bytes * 8 / max(1.0, store.link_bits_per_s),
                        kept.link.wait_s(now),
                    )
                )
    return sources


def _offer(
    view: EndpointView,
    demand: Demand,
    topology: Topology,
    sources: list[_Source],
    ranks: dict[str, float],
    home: EndpointView,
    now: float,
) -> Placed:
    slots = max(1, view.endpoint.slots)
    requests = view.requests()
    cost = topology.rtt_s(view.endpoint.failure_domain)
    if not topology.is_near(view.endpoint.failure_domain):
        cost += demand.body_bytes * CROSS_REGION_S_PER_BYTE
    cost += view.health.failure_rate(now) * FAILURE_COST_S
    cost += max(0, requests + 1 - slots) * QUEUE_STEP_S
    if demand.prompt is None:
        return Placed(view, cost + 0.02 * requests / slots, 0, None, "")
    version = _version(view, demand)
    if demand.wanted_weights is not None and (version or 0) < demand.wanted_weights:
        cost += OLD_WEIGHTS_COST_S
    scope = scope_of(demand.scope_prefix, version)
    cached = view.cache.match(scope, demand.prompt, now)
    confirmed = view.cache.match(scope, demand.prompt, now, confirmed=True)
    fetch_from, fetched, fetched_s = None, 0, 0.0
    others = [s for s in sources if s.weights == version and s.owner != view.endpoint.endpoint_id]
    reread = max((s.tokens for s in others), default=0) - cached
    best = _best_source(others, view, topology, cached)
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
    ahead_s = (missed + view.unread_tokens(now)) / PREFILL_TOKENS_PER_S
    cost += fetched_s + max(0, reread) * REREAD_COST_S
    cost += ahead_s * (1.0 + BATCH_SLOWDOWN * requests) + 0.002 * requests
    return Placed(view, cost, cached, version, scope, fetch_from, fetched)


def _best_source(
    sources: list[_Source], view: EndpointView, topology: Topology, cached: int
) -> tuple[float, _Source] | None:
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
