"""Choice of an endpoint for a request.

Answers a mix of long prompts with shared parts and short ones on the same engines: the cost of an
endpoint is the expected time to the first token, with what is not cached, the work ahead, the
distance and recent failures.
"""

from dataclasses import dataclass, field

from teaselpath.dispatch._health import EndpointHealth
from teaselpath.dispatch._part_cache import PartCache
from teaselpath.fleet import Endpoint, Prompt

# Tokens that an engine reads per second, until it was observed.
PREFILL_TOKENS_PER_S = 40_000.0
# Time that a queued request waits for each one ahead of it beyond the slots, in seconds.
QUEUE_STEP_S = 0.06
# Round trips in seconds by distance; the deployments state 1.4 and 30 ms one way.
CROSS_DOMAIN_RTT_S = 0.003
CROSS_REGION_RTT_S = 0.060
# Time charged for a failure rate of one, in seconds.
FAILURE_COST_S = 2.0
# Time charged for weights that a newer version replaces, in seconds.
OLD_WEIGHTS_COST_S = 0.25
# Requests per slot that an endpoint is given before it counts as full.
QUEUE_FACTOR = 1.5
# A copy of cached parts is worth asking for from this many tokens on.
MIN_FETCH_TOKENS = 2_000
# Time that a fetch takes per token within a failure domain, in seconds.
FETCH_S_PER_TOKEN = 3.2e-6
# Slow-down of a running batch per request in it, as a fraction of the prefill time.
BATCH_SLOWDOWN = 0.02


@dataclass(slots=True)
class Load:
    """Work that is under way at an endpoint.

    :param requests: requests sent and not answered.
    :param unread_tokens: prompt tokens that are sent and not yet read.
    :param memory_tokens: tokens of running requests in memory.
    """

    requests: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0


@dataclass(slots=True)
class EndpointView:
    """What a gateway knows of an endpoint.

    :param own: work that this gateway has sent.
    :param peers: work of the other gateways, by host.
    :param reported: running and waiting requests as last told, with the event loop time.
    :param switching_until: until when it takes new weights; 0 if it does not.
    :param own_switch_until: the same, as far as this gateway has ordered it.
    """

    endpoint: Endpoint
    own: Load = field(default_factory=Load)
    peers: dict[str, Load] = field(default_factory=dict)
    reported: tuple[int, int, float] = (0, 0, 0.0)
    health: EndpointHealth = field(default_factory=EndpointHealth)
    cache: PartCache = field(default_factory=PartCache)
    weights: dict[str, int] = field(default_factory=dict)
    switching_until: float = 0.0
    own_switch_until: float = 0.0
    full_until: float = 0.0

    def requests(self) -> int:
        """Return the requests under way from all gateways."""
        return self.own.requests + sum(load.requests for load in self.peers.values())

    def unread_tokens(self) -> int:
        """Return the prompt tokens that wait to be read."""
        return self.own.unread_tokens + sum(p.unread_tokens for p in self.peers.values())

    def memory_tokens(self) -> int:
        """Return the tokens of running requests."""
        return self.own.memory_tokens + sum(p.memory_tokens for p in self.peers.values())


@dataclass(slots=True, frozen=True)
class Demand:
    """What a request needs.

    :param scope_prefix: scope of cached parts without the weights version.
    :param wanted_weights: newest named version of the model; None without a model.
    :param excluded: endpoints that this request has already tried.
    """

    prompt: Prompt | None
    scope_prefix: str
    wanted_weights: int | None
    excluded: frozenset[str]


@dataclass(slots=True, frozen=True)
class Placed:
    """The chosen endpoint.

    :param cached_tokens: leading prompt tokens that it is expected to have.
    :param fetch_from: address of an engine or store from which it may copy parts.
    :param weights: version of its weights; None for a plain service.
    """

    view: EndpointView
    cost_s: float
    cached_tokens: int
    weights: int | None
    scope: str
    fetch_from: str | None = None


@dataclass(slots=True, frozen=True)
class NoPlace:
    """No endpoint takes the request now.

    :param reason: ``none_listed``, ``unreachable``, ``switching`` or ``full``.
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
        if self.regions.get(domain) == self.regions.get(self.failure_domain):
            return CROSS_DOMAIN_RTT_S
        return CROSS_REGION_RTT_S


def scope_of(prefix: str, weights: int | None) -> str:
    """Return the scope of cached parts: isolation and weights version."""
    return f"{prefix}v{weights}"


def choose_endpoint(
    views: list[EndpointView],
    demand: Demand,
    topology: Topology,
    now: float,
    cache_tokens: int | None = None,
) -> Placed | NoPlace:
    """Return the endpoint with the lowest expected time to the first token.

    Endpoints that are suspect or were tried are taken only if there is no other.
    """
    if not views:
        return NoPlace("none_listed", 1.0)
    usable = [v for v in views if v.endpoint.endpoint_id not in demand.excluded]
    sound = [v for v in usable if not v.health.is_suspect(now)] or usable
    if not sound:
        return NoPlace("unreachable", 0.5)
    settled = [v for v in sound if v.switching_until <= now]
    if not settled:
        return NoPlace("switching", max(0.2, min(v.switching_until for v in sound) - now))
    open_views = [v for v in settled if not _is_full(v, demand, now, cache_tokens)]
    if not open_views:
        return NoPlace("full", 0.5)
    costs = [(_cost(v, demand, topology, now), i) for i, v in enumerate(open_views)]
    cost_s, index = min(costs)
    return _placed(open_views[index], demand, cost_s, now)


def _is_full(view: EndpointView, demand: Demand, now: float, cache_tokens: int | None) -> bool:
    if view.full_until > now:
        return True
    return view.requests() >= QUEUE_FACTOR * max(1, view.endpoint.slots)


def _version(view: EndpointView, demand: Demand) -> int | None:
    if demand.prompt is None:
        return None
    return view.weights.get(demand.prompt.model, view.endpoint.weights_of(demand.prompt.model))


def _cost(view: EndpointView, demand: Demand, topology: Topology, now: float) -> float:
    slots = max(1, view.endpoint.slots)
    requests = view.requests()
    cost = topology.rtt_s(view.endpoint.failure_domain)
    cost += view.health.failure_rate(now) * FAILURE_COST_S
    cost += max(0, requests + 1 - slots) * QUEUE_STEP_S
    if demand.prompt is None:
        return cost + 0.02 * requests / slots
    version = _version(view, demand)
    if demand.wanted_weights is not None and (version or 0) < demand.wanted_weights:
        cost += OLD_WEIGHTS_COST_S
    scope = scope_of(demand.scope_prefix, version)
    missed = demand.prompt.prompt_tokens - view.cache.match(scope, demand.prompt, now)
    ahead_s = (max(0, missed) + view.unread_tokens()) / PREFILL_TOKENS_PER_S
    return cost + ahead_s * (1.0 + BATCH_SLOWDOWN * requests) + 0.002 * requests


def _placed(view: EndpointView, demand: Demand, cost_s: float, now: float) -> Placed:
    version = _version(view, demand)
    scope = scope_of(demand.scope_prefix, version)
    cached = 0
    if demand.prompt is not None:
        cached = view.cache.match(scope, demand.prompt, now)
    return Placed(view, cost_s, cached, version, scope)
