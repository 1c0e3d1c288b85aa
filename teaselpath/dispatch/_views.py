"""Inputs of a placement decision (endpoints, stores, demand, topology) and its result."""

from collections.abc import Callable
from dataclasses import dataclass, field

from teaselpath.dispatch._availability import Availability
from teaselpath.dispatch._backlog import Backlog
from teaselpath.dispatch._endpoint_limit import EndpointLimit
from teaselpath.dispatch._engine_times import EngineTimes, ExpectedTimes
from teaselpath.dispatch._health import EndpointHealth
from teaselpath.dispatch._memory_bound import LargestRequest, MemoryBound
from teaselpath.dispatch._part_cache import PartCache
from teaselpath.fleet import CacheStore, Endpoint, EngineLimits, Prompt

# Round-trip times to another failure domain of the region and to another region, in seconds. The
# latencies that deployments specify are 1.4 ms and 30 ms one way.
CROSS_DOMAIN_RTT_S = 0.003
CROSS_REGION_RTT_S = 0.060
# Transfer time across failure domains and regions, as a multiple of that within a domain.
CROSS_DOMAIN_TRANSFER_FACTOR = 2.0
CROSS_REGION_TRANSFER_FACTOR = 10.0
# Age up to which the load that an endpoint stated counts, in seconds: requests last about as long.
MAX_STATED_AGE_S = 0.3
# Time for which an engine is avoided that refuses requests although it has free slots, in seconds.
# Loading takes longer; then the next request shows whether it still does.
UNEXPECTED_LOAD_S = 0.3
# Where times are learned, that time grows with each such refusal in a row, up to this multiple.
MAX_UNEXPECTED_LOADS = 3
# A store is not used while the queueing time on its link is at least this, in seconds. It is less
# than the two seconds of queueing with which a transfer is not started.
MAX_LINK_WAIT_S = 1.2


@dataclass(slots=True)
class Load:
    """Load that one gateway has placed on an endpoint.

    :param requests: requests in flight.
    :param pending_prefill_tokens: prompt tokens sent and not yet prefilled.
    :param held_tokens: prompt tokens of the long prompts in flight, prefilled or not; prompt and
        output tokens of all prompts where the memory of engines is bounded.
    """

    requests: int = 0
    pending_prefill_tokens: int = 0
    held_tokens: int = 0


@dataclass(slots=True)
class EndpointView:
    """State of an endpoint as known to one gateway.

    :param own: load from this gateway.
    :param peers: load from the other gateways, by host, without pending prefill, which ``backlog``
        covers.
    :param backlog: expected duration of the pending prefill of the long prompts of all gateways.
    :param weights: newest recorded version of the weights by model; ``endpoint.weights`` applies to
        a model that is not recorded here.
    :param loading_until: time until which it is expected to be loading weights; 0 if no load is
        expected.
    :param own_loading_until: the same, only for weights that this gateway ordered it to load.
    :param limit: limit that it states on the requests from all gateways.
    :param availability: whether it takes requests, as it has stated; shared by all views of one
        start of the endpoint.
    :param stated_requests: requests that it was running or had queued by its last answer.
    :param stated_at: time at which that answer arrived.
    :param stated_pace: how long work takes there as a multiple of the usual, as last stated; None
        if it states none.
    :param pace_stated_at: time at which that statement arrived.
    :param has_stated_invalid_load: whether a stated load could not be read.
    :param unexpected_loads: requests in a row that it refused as if it were loading weights,
        where times are learned.
    :param awaited: times by which the first events of this gateway's requests were expected, by
        number, in the order of their placement.
    :param times: times that it needs for its work.
    :param known_since: time from which this gateway knows of it.
    :param largest: largest request that was announced for it lately.
    :param own_places: requests that this gateway should have in flight there at most while room is
        short; None while it is not.
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
    limit: EndpointLimit = field(default_factory=EndpointLimit)
    availability: Availability = field(default_factory=Availability)
    stated_requests: int = 0
    stated_at: float = float("-inf")
    stated_pace: float | None = None
    pace_stated_at: float = float("-inf")
    has_stated_invalid_load: bool = False
    unexpected_loads: int = 0
    awaited: dict[int, float] = field(default_factory=dict)
    times: EngineTimes = field(default_factory=EngineTimes)
    known_since: float = float("-inf")
    largest: LargestRequest = field(default_factory=LargestRequest)
    own_places: int | None = None

    def record_weights(self, model: str, version: int) -> None:
        """Record the version of a model's weights; versions older than the recorded are ignored."""
        known = self.weights.get(model, 0)
        self.weights[model] = max(version, known)
        if version > known and self.times.is_learning:
            # It has loaded what it was avoided for.
            self.loading_until = self.own_loading_until = 0.0
            self.unexpected_loads = 0

    def record_stated_requests(self, requests: int, now: float) -> None:
        """Record the number of requests that an answer of the endpoint states."""
        self.stated_requests = requests
        self.stated_at = now

    def record_pace(self, pace: float, now: float) -> bool:
        """Record the pace that an answer states; return whether it is the first one."""
        is_first = self.stated_pace is None
        self.stated_pace = pace
        self.pace_stated_at = now
        self.times.record_pace(pace, now)
        return is_first

    def record_not_run(self, requests: int | None, now: float) -> None:
        """Record that the endpoint refused a request with a prompt as not run.

        An engine that refuses although it has free slots is loading weights: an order whose answer
        was lost, or that it carried out late. All gateways avoid it for a short time, since their
        requests would be refused, too.

        :param requests: requests that it stated to run or to have queued; None if not stated.
        """
        if requests is not None and requests < self.endpoint.slots:
            is_new = now >= self.own_loading_until
            if self.times.is_learning and is_new and self.unexpected_loads < MAX_UNEXPECTED_LOADS:
                self.unexpected_loads += 1
            until = now + UNEXPECTED_LOAD_S * max(1, self.unexpected_loads)
            self.own_loading_until = max(self.own_loading_until, until)
            self.loading_until = max(self.loading_until, until)

    def requests(self, now: float | None = None) -> int:
        """Return the number of requests in flight from all gateways.

        The counts of other gateways are up to a second old. What the endpoint itself stated
        shortly before ``now`` replaces a lower sum.
        """
        known = self.own.requests + sum(load.requests for load in self.peers.values())
        if now is not None and now - self.stated_at < MAX_STATED_AGE_S:
            return max(known, self.stated_requests)
        return known

    def record_accepted(self) -> None:
        """Record that it runs a request."""
        self.unexpected_loads = 0

    def overdue_s(self, now: float) -> float:
        """Return by how much the oldest first event that this gateway awaits is late, in seconds.

        A request that comes now will hardly be answered sooner: the engine is slower than expected,
        does other work or does not answer at all.
        """
        return max(0.0, now - next(iter(self.awaited.values()), now))

    def held_tokens(self) -> int:
        """Return the ``Load.held_tokens`` of all gateways."""
        return self.own.held_tokens + sum(load.held_tokens for load in self.peers.values())

    def pending_prefill_tokens(self, now: float) -> int:
        """Return the estimated prompt tokens waiting for prefill.

        This is the larger of this gateway's own tokens and the backlog of the long prompts of all
        gateways.
        """
        backlog_tokens = self.times.tokens_in(self.backlog.wait_s(now), now)
        return max(self.own.pending_prefill_tokens, backlog_tokens)

    def pending_prefill_s(self, now: float) -> float:
        """Return the expected time until the pending prompts are prefilled, in seconds."""
        return self.times.prefill_s(self.pending_prefill_tokens(now), now)


@dataclass(slots=True, frozen=True)
class Demand:
    """Requirements of a request.

    :param scope_prefix: prefix of the scope of cached parts; ``scope_of`` appends the weights
        version.
    :param announced_weights: newest announced version of the model's weights; None if the
        request has no prompt or no version is announced.
    :param oldest_weights: oldest version that may still run requests.
    :param excluded: ids of endpoints that this request was already sent to.
    :param engine: limits of the service's engines.
    :param cache_stores: stores that cached parts can be fetched from and saved to.
    :param body_bytes: size of the request body.
    :param endangers_engine: whether the request may end its engine, which should run few others.
    :param memory: gateways that share the memory of the engines, where it is bounded; else None.
    :param software: the only version of the software that may run it; None for any.
    :param software_known: whether the version of an endpoint's entry is that of its process.
    :param max_backlog_s: longest pending prefill with a long prompt, in seconds, at engines that
        state their pace or whose room is contended; None for the bound of all others.
    :param is_room_contended: whether requests compete for room at the engines.
    :param allows: which endpoints a rollout of software lets run the request; None for any.
    """

    prompt: Prompt | None
    scope_prefix: str = ""
    announced_weights: int | None = None
    oldest_weights: int = 0
    excluded: frozenset[str] = frozenset()
    engine: EngineLimits | None = None
    cache_stores: tuple["StoreView", ...] = ()
    body_bytes: int = 0
    endangers_engine: bool = False
    memory: MemoryBound | None = None
    software: str | None = None
    software_known: Callable[["EndpointView"], bool] | None = None
    max_backlog_s: float | None = None
    is_room_contended: bool = False
    allows: Callable[["EndpointView"], bool] | None = None

    @property
    def exceeds_engine(self) -> bool:
        """Return whether the request never fits an engine whose memory is bounded."""
        if self.memory is None or self.prompt is None or self.engine is None:
            return False
        tokens = self.prompt.prompt_tokens + self.prompt.output_tokens
        return tokens > self.engine.cache_tokens

    @property
    def is_restricted(self) -> bool:
        """Return whether not all endpoints of the service may run the request."""
        return self.software is not None or self.allows is not None

    def admits(self, view: "EndpointView") -> bool:
        """Return whether the software of an endpoint may run the request."""
        if self.allows is not None and not self.allows(view):
            return False
        if self.software is None:
            return True
        is_known = self.software_known is None or self.software_known(view)
        return view.endpoint.software == self.software and is_known


@dataclass(slots=True)
class StoreView:
    """State of a store of cached parts as known to one gateway.

    :param link: transfers to and from the store, which run one at a time.
    """

    store: CacheStore
    cache: PartCache = field(default_factory=lambda: PartCache(is_store=True))
    health: EndpointHealth = field(default_factory=EndpointHealth)
    link: Backlog = field(default_factory=Backlog)

    def is_usable(self, now: float) -> bool:
        """Return whether the store is reachable and its link has a short queue."""
        return not self.health.is_suspect(now) and self.link.wait_s(now) < MAX_LINK_WAIT_S

    def s_per_token(self, engine: EngineLimits) -> float:
        """Return the transfer time of one token within the store's failure domain, in seconds."""
        return engine.token_bytes * 8 / max(1.0, self.store.link_bits_per_s)

    def transfer_s(
        self, tokens: int, domain: str, engine: EngineLimits, topology: "Topology"
    ) -> float:
        """Return the time of a transfer to or from an engine of ``domain``, in seconds."""
        factor = topology.transfer_factor(self.store.failure_domain, domain)
        return factor * tokens * self.s_per_token(engine)


@dataclass(slots=True, frozen=True)
class Placed:
    """An endpoint that can run the request, with its cost.

    :param times: expected times of the request there.
    :param cached_tokens: leading prompt tokens that it is expected to have or fetch.
    :param weights: version of its weights; None for a plain service.
    :param scope: scope of its cached parts.
    :param fetch_from: address of an engine or store from which it may fetch parts.
    :param fetched_tokens: tokens that it is expected to fetch.
    :param save_to: address of the store to which it saves the shared parts.
    :param first_choice: the endpoint that would have been chosen if none stated a limit.
    :param must_claim: whether the request is announced for ``CLAIM_S`` before it is sent.
    """

    view: EndpointView
    times: ExpectedTimes
    cached_tokens: int
    weights: int | None
    scope: str
    fetch_from: str | None = None
    fetched_tokens: int = 0
    save_to: str | None = None
    first_choice: EndpointView | None = None
    must_claim: bool = False

    @property
    def cost_s(self) -> float:
        """Return its cost, in seconds."""
        return self.times.cost_s

    @property
    def first_event_s(self) -> float:
        """Return the expected time until its first event, in seconds, without any penalty."""
        return self.times.first_event_s


@dataclass(slots=True, frozen=True)
class NoEndpoint:
    """No endpoint accepts the request now.

    :param reason: ``none_listed``: the service has no ready endpoint; ``unreachable``: the request
        was already sent to all of them; ``switching``: all load weights or have outdated ones;
        ``full``: all have too many requests; ``reading``: all have too much prefill backlog or too
        little KV cache capacity for the prompt; ``limited``: this gateway has used its shares of
        the limits that all state; ``too_large``: it exceeds the memory of any engine;
        ``held_off``: all that are left want no requests of this gateway for ``retry_after_s``. The
        gateway adds ``queue``: the wait in its queue is or would be too long; ``late``: the first
        event would come after the aim.
    :param first_choice: as in ``Placed``.
    """

    reason: str
    retry_after_s: float
    first_choice: EndpointView | None = None


@dataclass(slots=True)
class Topology:
    """Failure domain of this gateway, and the region of each failure domain."""

    failure_domain: str
    regions: dict[str, str]

    def rtt_s(self, domain: str) -> float:
        """Return the round-trip time to a failure domain, in seconds."""
        if domain == self.failure_domain:
            return 0.0
        if self.is_own_region(domain):
            return CROSS_DOMAIN_RTT_S
        return CROSS_REGION_RTT_S

    def is_own_region(self, domain: str) -> bool:
        """Return whether a failure domain is in this gateway's region."""
        return self.is_same_region(domain, self.failure_domain)

    def is_same_region(self, domain: str, other: str) -> bool:
        """Return whether two failure domains are in the same region."""
        return self.regions.get(domain) == self.regions.get(other)

    def transfer_factor(self, source: str, target: str) -> float:
        """Return the transfer time as a multiple of that within one failure domain."""
        if source == target:
            return 1.0
        return (
            CROSS_DOMAIN_TRANSFER_FACTOR
            if self.is_same_region(source, target)
            else CROSS_REGION_TRANSFER_FACTOR
        )


def scope_of(prefix: str, weights: int) -> str:
    """Return the scope of cached parts: the scope prefix and the weights version."""
    return f"{prefix}v{weights}"


def version_of(view: EndpointView, demand: Demand) -> int | None:
    """Return the weights version with which an engine would run a request; None if unknown."""
    if demand.prompt is None:
        return None
    return view.weights.get(demand.prompt.model, view.endpoint.weights_of(demand.prompt.model))
