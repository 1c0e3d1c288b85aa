"""Choice of an endpoint for a request.

Engines serve a mix of long prompts with shared parts and short prompts. The cost of an endpoint is
its expected time to first token (uncached tokens, queued work, network distance) plus penalties in
seconds: for recent failures, old weights, bytes sent to another region, and parts that are
recomputed or fetched.

Each prompt has a preferred engine by rendezvous hash, the same at every gateway. If no engine is
known to have its shared part cached and the other costs are about equal, the preferred one is
chosen. Even without cache information, gateways then send prompts with the same shared part to the
same engine, which computes it only once, and distribute different parts over the engines, so that
none is overloaded.
"""

from dataclasses import replace

from teaselpath.dispatch._engine_memory import check_memory
from teaselpath.dispatch._engine_times import ExpectedTimes
from teaselpath.dispatch._long_prompts import has_prefill_room
from teaselpath.dispatch._pool import MAX_CANDIDATES, EndpointPool
from teaselpath.dispatch._transfers import (
    RECOMPUTE_COST_S_PER_TOKEN,
    Source,
    add_save_target,
    best_source,
    find_sources,
)
from teaselpath.dispatch._views import (
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

# Cost per request by which the requests in flight, this one included, exceed the endpoint's slots,
# in seconds.
QUEUED_REQUEST_COST_S = 0.06
# Cost per request beyond the places of this gateway at an engine whose room is short, in seconds:
# other gateways use them, unseen by this one.
BEYOND_PLACES_COST_S = 0.1
# Cost per byte of a body sent to another region, in seconds: the link has little bandwidth and is
# billed by volume.
CROSS_REGION_COST_S_PER_BYTE = 5e-6
# Cost of a failure rate of one, in seconds; lower rates cost proportionally less.
FAILURE_COST_S = 2.0
# Cost of an engine whose weights are older than the announced version, in seconds.
OLD_WEIGHTS_COST_S = 0.25
# Threshold of a long prompt, in tokens: of all its tokens where KV cache capacity is limited, of
# its uncached tokens where prefill is limited.
LONG_PROMPT_TOKENS = 4_000
# Largest prefill backlog with which an engine accepts a long prompt, in seconds.
MAX_PREFILL_BACKLOG_S = 0.25
# Fraction of an engine's KV cache capacity that long prompts in flight may occupy; the rest is for
# cached parts.
MAX_RUNNING_MEMORY_FRACTION = 0.6
# Requests per slot at which an endpoint counts as full.
MAX_REQUESTS_PER_SLOT = 1.5
# Cost per shared token that is computed outside the prompt's preferred region, in seconds: an
# engine of the preferred region may have it cached.
OTHER_REGION_COST_S_PER_TOKEN = 15e-6
# Cost per fetched token, in seconds: it takes cache capacity from other parts.
FETCH_COST_S_PER_TOKEN = 2e-6
# Largest cost difference between engines by the prompt's hash alone, in seconds: about the error of
# a gateway's load estimates.
MAX_HASH_COST_S = 0.03
# Cost per request in flight that is lost if a request ends its engine, in seconds.
ENDANGERED_REQUEST_COST_S = 0.05
# Cost of an endpoint that states a limit, in seconds: others take what they can.
LIMITED_COST_S = 0.05
# Slow-down of prefill per request in flight at the engine, as a fraction of the prefill time.
BATCH_SLOWDOWN_FACTOR = 0.02
# Reasons for which none of the endpoints considered can be waited for in the queue.
CLOSED_REASONS = frozenset({"held_off", "none_listed", "unreachable"})


def choose_from_service(
    pool: EndpointPool, key: bytes, demand: Demand, topology: Topology, now: float
) -> Placed | NoEndpoint:
    """Return the endpoint with the lowest cost among the candidates of a service.

    :param key: hash key of the candidates of a large service.
    """
    if demand.exceeds_engine:
        return NoEndpoint("too_large", 0.0)
    if demand.is_restricted:
        return choose_endpoint(pool.candidates_for(key, demand), demand, topology, now)
    first = choose_endpoint(pool.candidates(key), demand, topology, now)
    if isinstance(first, Placed) or len(pool.views) <= MAX_CANDIDATES:
        return first
    second = choose_endpoint(pool.candidates(key, subset=1), demand, topology, now)
    if isinstance(second, Placed):
        return second
    if first.reason not in CLOSED_REASONS and second.reason not in CLOSED_REASONS:
        return second
    return _choose_outside_subsets(pool, key, demand, topology, now, (second, first))


def _choose_outside_subsets(
    pool: EndpointPool,
    key: bytes,
    demand: Demand,
    topology: Topology,
    now: float,
    refusals: tuple[NoEndpoint, NoEndpoint],
) -> Placed | NoEndpoint:
    """Return the best open endpoint of a large service of which a subset is closed.

    :param refusals: those of the subsets.
    """
    choice = choose_endpoint(pool.open_candidates(key, now), demand, topology, now)
    if isinstance(choice, Placed):
        return choice
    for refusal in (*refusals, choice):
        if refusal.reason not in CLOSED_REASONS:
            return refusal
    openings = pool.openings(demand.excluded, now)
    return NoEndpoint("held_off", openings[0][0] - now) if openings else refusals[0]


def choose_endpoint(
    views: list[EndpointView], demand: Demand, topology: Topology, now: float
) -> Placed | NoEndpoint:
    """Return the endpoint with the lowest cost.

    Endpoints that leave are considered only if no other can take the request. An engine of which
    the weights version is not known runs no prompts: its cached parts could be of any version.
    """
    if demand.prompt is not None:
        views = [view for view in views if version_of(view, demand) is not None]
    open_views = [view for view in views if view.availability.takes_requests(now)]
    if all(view.endpoint.endpoint_id in demand.excluded for view in open_views):
        return _refuse_unopen(views, demand, now)
    staying = [view for view in open_views if not view.availability.is_leaving]
    if len(staying) == len(open_views) or all(view.health.is_suspect(now) for view in staying):
        return _choose_among(open_views, demand, topology, now)
    choice = _choose_among(staying, demand, topology, now)
    if isinstance(choice, Placed):
        return choice
    return _choose_among(open_views, demand, topology, now)


def _refuse_unopen(views: list[EndpointView], demand: Demand, now: float) -> NoEndpoint:
    """Return the reason if no endpoint that takes requests is left for this one."""
    untried = [view for view in views if view.endpoint.endpoint_id not in demand.excluded]
    opens_at = min((view.availability.opens_at(now) for view in untried), default=float("inf"))
    if opens_at < float("inf"):
        return NoEndpoint("held_off", opens_at - now)
    return (
        NoEndpoint("unreachable", 0.5) if views and not untried else NoEndpoint("none_listed", 1.0)
    )


def _choose_among(
    views: list[EndpointView], demand: Demand, topology: Topology, now: float
) -> Placed | NoEndpoint:
    """Return the endpoint with the lowest cost.

    Suspect endpoints are considered only if all are suspect.
    """
    untried = [v for v in views if v.endpoint.endpoint_id not in demand.excluded]
    healthy = [v for v in untried if not v.health.is_suspect(now)] or untried
    eligible = [v for v in healthy if v.loading_until <= now and not _is_outdated(v, demand)]
    if not eligible:
        return NoEndpoint("switching", 0.5)
    available = [v for v in eligible if not _is_full(v, now)]
    if not available:
        return NoEndpoint("full", 0.5)
    sources = find_sources(views, demand, now)
    hash_scores = _hash_scores(views, demand)
    preferred = max(views, key=lambda view: hash_scores.get(view.endpoint.endpoint_id, 0.0))
    candidates = [
        _evaluate(view, demand, topology, sources, hash_scores, preferred, now)
        for view in available
    ]
    candidates = [
        fitting
        for candidate in candidates
        if not _must_wait(candidate, demand, now)
        and (fitting := check_memory(candidate, demand, now)) is not None
    ]
    if not candidates:
        return NoEndpoint("reading", 0.5)

    def sort_key(candidate: Placed) -> tuple[float, str]:
        endangered = candidate.view.requests(now) if demand.endangers_engine else 0
        cost_s = candidate.cost_s + endangered * ENDANGERED_REQUEST_COST_S
        return cost_s, candidate.view.endpoint.endpoint_id

    first_choice = min(candidates, key=sort_key).view
    permitted = [candidate for candidate in candidates if candidate.view.limit.can_send(now)]
    if not permitted:
        if any(view.limit.rate is None for view in available):
            # Such an engine will have read its backlog before long.
            return NoEndpoint("reading", 0.5, first_choice)
        wait_s = min(candidate.view.limit.wait_s(now) for candidate in candidates)
        return NoEndpoint("limited", wait_s, first_choice)
    best = replace(min(permitted, key=sort_key), first_choice=first_choice)
    return add_save_target(best, demand, topology, now)


def _must_wait(candidate: Placed, demand: Demand, now: float) -> bool:
    """Return whether the engine has too little capacity or too much backlog for a long prompt.

    KV cache capacity does not limit an engine without long prompts in flight.
    """
    if demand.prompt is None:
        return False
    tokens = demand.prompt.prompt_tokens
    capacity_tokens = demand.engine.cache_tokens if demand.engine is not None else 0
    held = candidate.view.held_tokens()
    if (
        demand.memory is None
        and capacity_tokens
        and held
        and tokens >= LONG_PROMPT_TOKENS
        and held + tokens > MAX_RUNNING_MEMORY_FRACTION * capacity_tokens
    ):
        return True
    uncached_tokens = tokens - candidate.cached_tokens
    if uncached_tokens < LONG_PROMPT_TOKENS:
        return False
    view = candidate.view
    pending_s = view.pending_prefill_s(now)
    is_bounded = demand.is_room_contended or view.stated_pace is not None
    if demand.max_backlog_s is None or not is_bounded:
        return pending_s > MAX_PREFILL_BACKLOG_S
    own_s = view.times.prefill_s(uncached_tokens, now)
    # What is overdue has not been prefilled yet, whatever was expected.
    pending_s += view.overdue_s(now)
    return not has_prefill_room(pending_s, own_s, demand.max_backlog_s)


def affinity_key(prompt: Prompt, scope_prefix: str) -> bytes:
    """Return the hash key that prompts with the same last shared part have in common.

    The only part of a prompt with a single part counts as shared.
    """
    part_id = prompt.parts[-2:][0].part_id if prompt.parts else ""
    return f"{scope_prefix}{part_id}".encode()


def _hash_scores(views: list[EndpointView], demand: Demand) -> dict[str, float]:
    """Return each engine's hash score for the prompt, from 0 to 1; the highest is preferred."""
    if demand.prompt is None:
        return {}
    key = affinity_key(demand.prompt, demand.scope_prefix)
    ids = [view.endpoint.endpoint_id for view in views]
    return {name: rendezvous_rank(key, name) / 2**64 for name in ids}


def _is_full(view: EndpointView, now: float) -> bool:
    return view.requests(now) >= MAX_REQUESTS_PER_SLOT * max(1, view.endpoint.slots)


def _is_outdated(view: EndpointView, demand: Demand) -> bool:
    return demand.prompt is not None and (version_of(view, demand) or 0) < demand.oldest_weights


def _evaluate(
    view: EndpointView,
    demand: Demand,
    topology: Topology,
    sources: list[Source],
    hash_scores: dict[str, float],
    preferred: EndpointView,
    now: float,
) -> Placed:
    penalty_s = _endpoint_penalty_s(view, demand, topology, now)
    if demand.prompt is None:
        return Placed(view, _plain_times(view, topology, penalty_s, now), 0, None, "")
    version = version_of(view, demand)
    assert version is not None
    if demand.announced_weights is not None and version < demand.announced_weights:
        penalty_s += OLD_WEIGHTS_COST_S
    scope = scope_of(demand.scope_prefix, version)
    cached = view.cache.match(scope, demand.prompt, now)
    confirmed = view.cache.match(scope, demand.prompt, now, confirmed=True)
    slowness = view.times.slowness(now)
    fetch_from, fetched_tokens, fetch_s = None, 0, 0.0
    other_sources = [
        s for s in sources if s.weights == version and s.endpoint_id != view.endpoint.endpoint_id
    ]
    # Tokens that another engine or a store has cached and this engine would recompute.
    recomputed_tokens = max((s.tokens for s in other_sources), default=0) - cached
    fetch = best_source(other_sources, view, topology, cached, now)
    if fetch is not None:
        fetch_from, fetched_tokens, fetch_s = fetch.source.address, fetch.tokens, fetch.fetch_s
        penalty_s += fetch.eviction_cost_s + fetched_tokens * FETCH_COST_S_PER_TOKEN
        cached, recomputed_tokens = fetch.source.tokens, 0
    elif confirmed < cached:
        # Parts were sent to this engine and are about to be cached: no penalty for recomputing.
        recomputed_tokens = 0
    domains = preferred.endpoint.failure_domain, view.endpoint.failure_domain
    if not other_sources and not topology.is_same_region(*domains):
        uncached_shared = max(0, demand.prompt.shared_tokens - cached)
        penalty_s += uncached_shared * OTHER_REGION_COST_S_PER_TOKEN * slowness
    penalty_s += max(0, recomputed_tokens) * RECOMPUTE_COST_S_PER_TOKEN * slowness
    penalty_s += _hash_cost_s(view, demand.prompt, hash_scores, now)
    uncached_tokens = max(0, demand.prompt.prompt_tokens - cached)
    times = replace(
        _engine_times(view, uncached_tokens, now),
        network_s=topology.rtt_s(view.endpoint.failure_domain),
        fetch_s=fetch_s,
        decode_s=view.times.decode_s(demand.prompt.output_tokens),
        penalty_s=penalty_s,
    )
    return Placed(view, times, cached, version, scope, fetch_from, fetched_tokens)


def _hash_cost_s(
    view: EndpointView, prompt: Prompt, hash_scores: dict[str, float], now: float
) -> float:
    """Return the cost of an engine by the prompt's hash, in seconds.

    Where times are learned, the shared parts count as long as computing them would take, and the
    request's own part decides the rest: many prompts with one small part would else all go to one
    engine, and gateways with the same view of the load to the same one.
    """
    endpoint_id = view.endpoint.endpoint_id
    if not view.times.is_learning:
        return (1.0 - hash_scores[endpoint_id]) * MAX_HASH_COST_S
    shared_s = min(MAX_HASH_COST_S, view.times.prefill_s(prompt.shared_tokens, now))
    own_part = prompt.parts[-1].part_id if prompt.parts else ""
    own_score = rendezvous_rank(own_part.encode(), endpoint_id) / 2**64
    shared_cost_s = (1.0 - hash_scores[endpoint_id]) * shared_s
    return shared_cost_s + (1.0 - own_score) * (MAX_HASH_COST_S - shared_s)


def _endpoint_penalty_s(
    view: EndpointView, demand: Demand, topology: Topology, now: float
) -> float:
    """Return the costs of an endpoint that do not depend on the prompt, in seconds."""
    penalty_s = view.health.failure_rate(now) * FAILURE_COST_S
    if view.own_places is not None:
        penalty_s += max(0, view.own.requests + 1 - view.own_places) * BEYOND_PLACES_COST_S
    if not topology.is_own_region(view.endpoint.failure_domain):
        penalty_s += demand.body_bytes * CROSS_REGION_COST_S_PER_BYTE
    if view.limit.rate is not None:
        penalty_s += LIMITED_COST_S
    return penalty_s


def _plain_times(
    view: EndpointView, topology: Topology, penalty_s: float, now: float
) -> ExpectedTimes:
    """Return the expected times of a request without a prompt."""
    slots, requests = max(1, view.endpoint.slots), view.requests(now)
    return ExpectedTimes(
        network_s=topology.rtt_s(view.endpoint.failure_domain),
        queue_s=max(0, requests + 1 - slots) * QUEUED_REQUEST_COST_S,
        # 0.02 s with one request per slot.
        fixed_s=0.02 * requests / slots,
        penalty_s=penalty_s,
    )


def _engine_times(view: EndpointView, uncached_tokens: int, now: float) -> ExpectedTimes:
    """Return the expected times of a prompt at an engine, apart from network and fetch."""
    slots, requests = max(1, view.endpoint.slots), view.requests(now)
    times, excess = view.times, max(0, requests + 1 - slots)
    ahead_s = view.pending_prefill_s(now)
    prefill_s = times.prefill_s(uncached_tokens, now)
    if times.is_learning:
        fixed_s = times.fixed_s(now)
        return ExpectedTimes(
            queue_s=excess * times.slot_s() / slots,
            fixed_s=fixed_s,
            batch_s=max(fixed_s * min(requests, slots) / slots, view.overdue_s(now)),
            ahead_s=ahead_s,
            prefill_s=prefill_s,
        )
    slowdown = 1.0 + BATCH_SLOWDOWN_FACTOR * requests
    return ExpectedTimes(
        queue_s=excess * QUEUED_REQUEST_COST_S,
        # Each request in flight at the engine costs another 0.002 s.
        fixed_s=0.002 * requests,
        ahead_s=ahead_s * slowdown,
        prefill_s=prefill_s * slowdown,
    )
