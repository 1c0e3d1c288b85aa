"""Events and actions of the cache index and the router."""

from dataclasses import dataclass
from enum import StrEnum


class CacheEventKind(StrEnum):
    """Kind of a cache event, as engines publish it."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of an engine's cache.

    :param seq: number of the event; an incarnation counts from 1 without gaps.
    """

    seq: int
    kind: CacheEventKind
    hashes: tuple[bytes, ...] = ()


@dataclass(slots=True, frozen=True)
class EventBatch:
    """Events read from an engine, in any order; an empty batch confirms that nothing is new."""

    incarnation: str
    events: tuple[CacheEvent, ...] = ()


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Whole cache content of an engine.

    :param seq: last event that the content includes.
    :param request: number of the ``RequestSnapshot`` that it answers.
    """

    incarnation: str
    seq: int
    hashes: tuple[bytes, ...]
    request: int


@dataclass(slots=True, frozen=True)
class EngineReported:
    """Incarnation and weights that the engine reported to a direct question."""

    incarnation: str
    weights: str


@dataclass(slots=True, frozen=True)
class RequestSnapshot:
    """Read a snapshot from the engine, after this action was returned."""

    request: int


@dataclass(slots=True, frozen=True)
class Choice:
    """Endpoint chosen for a request.

    :param matched_blocks: blocks that the endpoint has or will have when the request arrives.
    :param expected_s: expected time to the first token, in seconds.
    :param import_source: endpoint from which to import the blocks after the matched ones, or "".
    """

    endpoint: str
    matched_blocks: int
    expected_s: float
    weights: str
    engine_incarnation: str
    import_source: str = ""
    import_blocks: int = 0


@dataclass(slots=True, frozen=True)
class Routed:
    """A request was sent to an endpoint."""

    request_id: str
    choice: Choice
    chain: tuple[bytes, ...]
    prompt_tokens: int


@dataclass(slots=True, frozen=True)
class Finished:
    """A routed request ended.

    :param first_token_s: measured time from ``Routed`` to the first token, in seconds; negative if
        there was no first token.
    :param cached_tokens: prompt tokens that the engine took from its cache.
    """

    request_id: str
    first_token_s: float
    cached_tokens: int
