"""Memory of model engines, which end if the requests that they hold exceed it.

A gateway counts the prompt and output tokens of all that is in flight at an engine. Of what other
gateways send in the same moment it does not know yet. So gateways are ranked for each engine by
rendezvous hash, and one sends at once only what leaves room for a request of every gateway that
ranks before it. What needs more room than that, and is free, it claims: it announces the request,
waits until what others have sent by then is known, and sends it if all that fits.
"""

from dataclasses import replace
from enum import Enum, auto
from functools import lru_cache

from teaselpath.dispatch._memory_bound import MemoryBound
from teaselpath.dispatch._views import Demand, EndpointView, Placed
from teaselpath.fleet import EngineLimits
from teaselpath.utils import rendezvous_rank

# Placements of prompts with at least this many tokens are announced to the other gateways.
ANNOUNCE_MIN_TOKENS = 2_000
# Time for which a claim is announced before its request is sent, in seconds: announcements of
# another region have arrived by then.
CLAIM_S = 0.05
# Fraction of an engine's memory from which a single request is always claimed, so that it keeps
# no room free for others of its size.
CLAIMED_FRACTION = 0.25
# Fraction of an engine's memory that announced requests leave to those that are not announced.
UNANNOUNCED_FRACTION = 0.05
# Smallest fraction of an engine's memory that a gateway uses while others are silent: each side of
# a cut has half of it.
MIN_FRACTION = 0.5
# Fraction of an engine's memory that a gateway uses which may not know of all others yet.
START_FRACTION = 0.25
# Time in which the load of others at an engine that a gateway has just learned of becomes known, in
# seconds: their announcements before it are lost, their next status message names it.
NEW_ENGINE_S = 1.2
# Rankings of gateways that are kept in memory.
MAX_RANKINGS = 4_096


class Room(Enum):
    """Whether an engine has room for a request: at once, after a claim, or not now."""

    FREE = auto()
    CLAIM = auto()
    NONE = auto()


def check_memory(candidate: Placed, demand: Demand, now: float) -> Placed | None:
    """Return a candidate with its claim, if it needs one; None if it has no room."""
    if demand.memory is None or demand.prompt is None or demand.engine is None:
        return candidate
    tokens = demand.prompt.prompt_tokens + demand.prompt.output_tokens
    match find_room(candidate.view, tokens, demand, now):
        case Room.FREE:
            return candidate
        case Room.CLAIM:
            times = replace(candidate.times, queue_s=candidate.times.queue_s + CLAIM_S)
            return replace(candidate, times=times, must_claim=True)
        case Room.NONE:
            return None


def find_room(view: EndpointView, tokens: int, demand: Demand, now: float) -> Room:
    """Return whether an engine has room for a request.

    :param tokens: prompt and output tokens of the request.
    """
    memory, engine = demand.memory, demand.engine
    assert memory is not None
    assert engine is not None
    held = _held_tokens(view, now)
    free = _usable_tokens(demand) - held
    is_new = memory.is_complete and now - view.known_since < NEW_ENGINE_S
    if is_new and tokens >= ANNOUNCE_MIN_TOKENS:
        return Room.NONE
    if tokens > free:
        # A gateway that hears no others still serves the engines for which it ranks first.
        is_only = memory.is_complete and not held and tokens <= engine.cache_tokens
        return Room.CLAIM if is_only and _rank_of(view, memory) == 0 else Room.NONE
    if tokens < ANNOUNCE_MIN_TOKENS:
        return Room.FREE
    free -= UNANNOUNCED_FRACTION * engine.cache_tokens
    # Others leave no room for a request larger than those that they know of.
    largest = min(view.largest.tokens(now), CLAIMED_FRACTION * engine.cache_tokens)
    is_covered = tokens <= largest and tokens + _rank_of(view, memory) * largest <= free
    return Room.FREE if is_covered else Room.CLAIM


def is_within_memory(view: EndpointView, demand: Demand, now: float) -> bool:
    """Return whether all that an engine holds, a claimed request included, fits its memory."""
    memory, held = demand.memory, _held_tokens(view, now)
    assert memory is not None
    if held <= _usable_tokens(demand):
        return True
    # As in ``find_room``: alone at an engine for which this gateway ranks first.
    is_alone = memory.is_complete and held == view.own.held_tokens
    return is_alone and _rank_of(view, memory) == 0


def held_fraction(view: EndpointView, engine: EngineLimits, now: float) -> float:
    """Return the fraction of an engine's memory that its requests hold, as far as is known."""
    return _held_tokens(view, now) / max(1, engine.cache_tokens)


def _held_tokens(view: EndpointView, now: float) -> int:
    """Return the tokens of the requests in flight from all gateways.

    Requests that an engine states, but no gateway has reported, were too short to be announced.
    """
    known = view.own.requests + sum(load.requests for load in view.peers.values())
    unreported = max(0, view.requests(now) - known)
    return view.held_tokens() + unreported * ANNOUNCE_MIN_TOKENS


def _usable_tokens(demand: Demand) -> float:
    """Return how much of an engine's memory the gateways that are heard use."""
    assert demand.memory is not None
    assert demand.engine is not None
    memory, fraction = demand.memory, START_FRACTION
    if memory.is_complete:
        fraction = max(MIN_FRACTION, memory.heard_fraction)
    return fraction * demand.engine.cache_tokens


def _rank_of(view: EndpointView, memory: MemoryBound) -> int:
    return _rank(view.endpoint.endpoint_id, memory.host, memory.others)


@lru_cache(MAX_RANKINGS)
def _rank(endpoint_id: str, host: str, others: tuple[str, ...]) -> int:
    """Return the number of other gateways that rank before a gateway for an engine."""
    key = endpoint_id.encode()
    own = rendezvous_rank(key, host)
    return sum(rendezvous_rank(key, other) > own for other in others)
