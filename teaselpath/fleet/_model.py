"""Configuration of the fleet: routes, services, workspaces, limits."""

from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Whether a request may run more than once.

    ``SAFE`` requests may; ``UNSAFE`` and ``STREAM`` requests may only if their route is resumable.
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
    :param target_latency_s: latency objective for the answer, or for a stream's first event.
    :param priority: 0 is the most urgent.
    :param max_attempts: largest number of attempts that may run a request, if it is idempotent;
        attempts that did not run it do not count.
    :param is_public: whether its requests need no workspace's key.
    :param event_gap_s: longest pause between the events of a stream that is still on time; 0 if
        not stated.
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
    event_gap_s: float = 0.0

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RequestKind.SAFE or self.is_resumable


@dataclass(slots=True, frozen=True)
class EngineLimits:
    """Properties common to the model engines of a service.

    :param cache_tokens: KV cache capacity, for running requests and cached prompt parts together,
        in tokens; 0 if unknown.
    :param token_bytes: KV cache size of one token.
    :param fetch_s_per_token: time to fetch one cached token from another engine of the same failure
        domain, in seconds.
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
    """A store of cached prompt parts.

    :param link_bits_per_s: bandwidth of its link.
    """

    service: str
    address: str
    failure_domain: str
    link_bits_per_s: float


@dataclass(slots=True, frozen=True)
class Workspace:
    """A customer with keys and a rate limit.

    :param rate: tokens per second over all hosts; 0 for no limit.
    :param burst: capacity of the workspace's token bucket, in tokens.
    :param plain_tokens: charge of a request without token counts, in tokens.
    :param priority: priority that replaces the route's; None to keep it.
    :param is_isolated: whether it shares no cached prompt parts with other workspaces.
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

    :param workspaces: workspaces by key.
    :param has_workspaces: whether requests to routes that are not public need a workspace's key.
    """

    version: int
    routes: dict[str, list[Route]] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    cache_stores: list[CacheStore] = field(default_factory=list)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    has_workspaces: bool = False

    def target_latencies_s(self, service: str) -> list[float]:
        """Return the target latencies of the routes to a service, in seconds."""
        return [
            route.target_latency_s
            for routes in self.routes.values()
            for route in routes
            if any(backend.service == service for backend in route.backends)
        ]

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest matching path prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def index_routes(routes: list[Route]) -> dict[str, list[Route]]:
    """Return the routes by host, longest prefix first."""
    index: dict[str, list[Route]] = {}
    for route in routes:
        index.setdefault(route.host, []).append(route)
    for group in index.values():
        group.sort(key=lambda route: -len(route.path_prefix))
    return index
