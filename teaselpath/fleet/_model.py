"""Configuration of the fleet: routes, services, workspaces, limits."""

from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """How often a request may run.

    ``STREAM`` requests run at most once unless their route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Backend:
    """Share of a route's requests that goes to a service."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Requests with the same host and path prefix.

    :param timeout_s: longest time to the end of an answer.
    :param target_latency_s: time within which an answer (a stream's first event) is on time.
    :param priority: rank; 0 is the most urgent.
    :param max_attempts: endpoints on which one request may run.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    backends: tuple[Backend, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or self.is_resumable


@dataclass(slots=True, frozen=True)
class EngineLimits:
    """What all model engines of a service have.

    :param cache_tokens: memory for running requests and cached prompt parts.
    :param token_bytes: size of one token's memory.
    :param fetch_s_per_token: time to copy one cached token from a neighbour, in seconds.
    """

    cache_tokens: int
    token_bytes: int
    fetch_s_per_token: float


@dataclass(slots=True, frozen=True)
class Service:
    """A group of equivalent endpoints.

    :param engine: limits of its model engines; None for a plain service.
    """

    name: str
    engine: EngineLimits | None


@dataclass(slots=True, frozen=True)
class CacheStore:
    """A store of kept prompt parts.

    :param link_bits_per_s: speed of its link.
    """

    service: str
    address: str
    failure_domain: str
    link_bits_per_s: float


@dataclass(slots=True, frozen=True)
class Workspace:
    """A caller with keys and a rate.

    :param rate: tokens per second over all hosts; 0 for no limit.
    :param burst: tokens beyond the rate.
    :param plain_tokens: charge of a request that has no token counts.
    :param priority: rank that replaces the route's; None to keep it.
    :param is_isolated: whether it shares no cached prompt part with others.
    """

    name: str
    rate: float
    burst: float
    plain_tokens: int
    priority: int | None
    is_isolated: bool


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits of what callers may send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(slots=True)
class FleetConfig:
    """One accepted version of the configuration.

    :param workspaces: by key; empty if callers need none.
    """

    version: int
    routes: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    cache_stores: list[CacheStore] = field(default_factory=list)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    has_workspaces: bool = False

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path among those of the host."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, list[Route]]:
    """Return routes by host, the longest prefix first."""
    index: dict[str, list[Route]] = {}
    for route in routes:
        index.setdefault(route.host, []).append(route)
    for group in index.values():
        group.sort(key=lambda route: -len(route.path_prefix))
    return index
