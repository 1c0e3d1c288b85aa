"""Events and actions of the cache index and the router."""

from dataclasses import dataclass
from enum import StrEnum


class CacheEventKind(StrEnum):
    """Kind of a cache event, as published by engines."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A change of an engine's cache.

    :param seq: sequence number; it starts at 1 for each incarnation and has no gaps.
    """

    seq: int
    kind: CacheEventKind
    hashes: tuple[bytes, ...] = ()


@dataclass(slots=True, frozen=True)
class EventBatch:
    """Events read from an engine, in any order; an empty batch means that there are no new ones."""

    incarnation: str
    events: tuple[CacheEvent, ...] = ()


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Complete cache content of an engine.

    :param seq: sequence number of the last event that is included.
    :param request: number of the ``RequestSnapshot`` that caused it.
    """

    incarnation: str
    seq: int
    hashes: tuple[bytes, ...]
    request: int


@dataclass(slots=True, frozen=True)
class EngineReported:
    """Incarnation and weights version that the engine reported when it was queried directly."""

    incarnation: str
    weights: str


@dataclass(slots=True, frozen=True)
class RequestSnapshot:
    """Read a snapshot from the engine; the read must start after this action was returned."""

    request: int


@dataclass(slots=True, frozen=True)
class Choice:
    """Endpoint chosen for a request.

    :param matched_blocks: number of leading blocks that are cached at the endpoint according to its
        reply, or are expected to be because they were recently routed there.
    :param expected_s: expected time to the first token, in seconds.
    :param import_source: endpoint from which to import blocks after the matched ones; "" for none.
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
    :param cached_tokens: prompt tokens that the engine found in its cache.
    """

    request_id: str
    first_token_s: float
    cached_tokens: int
