"""What a gateway knows when it places a request, and what comes of it."""

from dataclasses import dataclass, field

from teaselpath.dispatch._backlog import Backlog
from teaselpath.dispatch._health import EndpointHealth
from teaselpath.dispatch._part_cache import PartCache
from teaselpath.fleet import CacheStore, Endpoint, EngineLimits, Prompt

# Tokens that an engine reads per second, until it was observed.
PREFILL_TOKENS_PER_S = 40_000.0
# Round trips in seconds by distance; the deployments state 1.4 and 30 ms one way.
CROSS_DOMAIN_RTT_S = 0.003
CROSS_REGION_RTT_S = 0.060
# Fetch time across failure domains and regions, as a multiple of that within a domain.
CROSS_DOMAIN_FETCH = 2.0
CROSS_REGION_FETCH = 10.0
# Work on a store's link from which it is given no more parts, in seconds; copies that would wait
# two seconds are not started.
MAX_LINK_WAIT_S = 1.2


@dataclass(slots=True)
class Load:
    """Work that is under way at an endpoint.

    :param requests: requests sent and not answered.
    :param pending_prefill_tokens: prompt tokens that are sent and not yet read.
    :param held_tokens: prompt tokens of long prompts, read or not.
    """

    requests: int = 0
    pending_prefill_tokens: int = 0
    held_tokens: int = 0


@dataclass(slots=True)
class EndpointView:
    """What a gateway knows of an endpoint.

    :param own: work that this gateway has sent.
    :param peers: work of the other gateways, by host; what is unread is in the backlog.
    :param backlog: what it has still to read of the long prompts of all gateways.
    :param loading_until: until when it takes new weights; 0 if it does not.
    :param own_loading_until: the same, as far as this gateway has ordered it.
    """

    endpoint: Endpoint
    own: Load = field(default_factory=Load)
    peers: dict[str, Load] = field(default_factory=dict)
    backlog: Backlog = field(default_factory=Backlog)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    cache: PartCache = field(default_factory=PartCache)
    weights: dict[str, int] = field(default_factory=dict)
    loading_until: float = 0.0
    own_loading_until: float = 0.0

    def record_weights(self, model: str, version: int) -> None:
        """Take the version of a model's weights; an older one than known changes nothing."""
        self.weights[model] = max(version, self.weights.get(model, 0))

    def requests(self) -> int:
        """Return the requests under way from all gateways."""
        return self.own.requests + sum(load.requests for load in self.peers.values())

    def held_tokens(self) -> int:
        """Return the prompt tokens of the long prompts under way from all gateways."""
        return self.own.held_tokens + sum(load.held_tokens for load in self.peers.values())

    def pending_prefill_tokens(self, now: float) -> int:
        """Return the prompt tokens that wait to be read."""
        return max(
            self.own.pending_prefill_tokens, int(self.backlog.wait_s(now) * PREFILL_TOKENS_PER_S)
        )


@dataclass(slots=True, frozen=True)
class Demand:
    """What a request needs.

    :param scope_prefix: scope of cached parts without the weights version.
    :param announced_weights: newest named version of the model; None without a model.
    :param oldest_weights: oldest version that may still run requests.
    :param excluded: endpoints that this request has already tried.
    :param engine: limits of the service's engines.
    :param cache_stores: stores from which cached parts can be copied.
    :param body_bytes: size of the request's body.
    """

    prompt: Prompt | None
    scope_prefix: str = ""
    announced_weights: int | None = None
    oldest_weights: int = 0
    excluded: frozenset[str] = frozenset()
    engine: EngineLimits | None = None
    cache_stores: tuple["StoreView", ...] = ()
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

    def s_per_token(self, engine: EngineLimits) -> float:
        """Return the time to copy one token within the store's failure domain, in seconds."""
        return engine.token_bytes * 8 / max(1.0, self.store.link_bits_per_s)

    def transfer_s(
        self, tokens: int, domain: str, engine: EngineLimits, topology: "Topology"
    ) -> float:
        """Return the time of a copy to or from an engine of a failure domain, in seconds."""
        factor = topology.fetch_factor(self.store.failure_domain, domain)
        return factor * tokens * self.s_per_token(engine)


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
class NoEndpoint:
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
        if self.is_own_region(domain):
            return CROSS_DOMAIN_RTT_S
        return CROSS_REGION_RTT_S

    def is_own_region(self, domain: str) -> bool:
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


def version_of(view: EndpointView, demand: Demand) -> int | None:
    """Return the version of the weights with which an engine would run a request."""
    if demand.prompt is None:
        return None
    return view.weights.get(demand.prompt.model, view.endpoint.weights_of(demand.prompt.model))
