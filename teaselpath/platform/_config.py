"""Decoding of the records that operators and engines write to the store."""

import msgspec
from eliot import log_message

from teaselpath.fleet import (
    Backend,
    CacheStore,
    CallerLimits,
    Endpoint,
    EndpointEntry,
    EndpointState,
    EngineLimits,
    FleetConfig,
    RequestKind,
    Revision,
    Route,
    Service,
    StoredRecord,
    Workspace,
    index_routes,
)
from teaselpath.platform._numbers import MAX_COUNT, Count
from teaselpath.utils import Unreadable, decode_json, is_ipv4_with_port

CONFIG_KEY = "config"
BITS_PER_MBIT = 1_000_000
# Time to fetch the KV cache of one token if the bandwidth of the link is not stated, in seconds.
DEFAULT_FETCH_S_PER_TOKEN = 5e-6
# Longest version of an engine's software, in characters.
MAX_VERSION_LENGTH = 200
WEIGHTS_PREFIX = "version/"
_STATES = {"ready": EndpointState.READY, "draining": EndpointState.LEAVING}


class _Backend(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = 30_000
    target_latency_ms: float = 1000
    priority: int = 5
    service: str | None = None
    # Services among which the route's requests are divided by weight; overrides ``service``.
    backends: list[_Backend] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    # Longest pause between the events of a stream that is still on time.
    gap_aim_ms: float = 0


class _Engine(msgspec.Struct, rename="camel"):
    kv_capacity_tokens: int = 0
    kv_token_bytes: int = 0
    link_mbps: float = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    engine: _Engine | None = None
    kv_store_addr: str | None = None
    link_mbps: float = 0
    zone: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    # Overrides the priority of the route.
    priority: int | None = None
    # Tokens charged for a request that states no token counts.
    plain_tokens: int = 0
    isolated: bool = False
    # Quota in tokens per second; ``burst`` is in tokens.
    rate_per_s: float = 0
    burst: float = 0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Weights(msgspec.Struct):
    model: str
    version: Count


class _ServerModel(msgspec.Struct):
    name: str
    version: Count


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    slots: Count = 1
    # Version of the software; its type is checked where it is used.
    version: object = None
    # Unix time of start-up in ms.
    born: Count | None = None
    # Number of the statement since start-up; its type is checked where it is used.
    seq: object = None
    models: list[_ServerModel] = []
    # Remaining time in ms for which it is slow; its type is checked where it is used.
    cold_left_ms: object = None


def decode_config(record: StoredRecord) -> FleetConfig | None:
    """Return the configuration in a record; None for other records and invalid ones."""
    if record.key != CONFIG_KEY:
        return None
    try:
        raw = decode_json(record.value, _Config)
        routes = [_to_route(route) for route in raw.routes]
    except (Unreadable, ValueError):
        return None
    stores = [
        CacheStore(s.name, s.kv_store_addr, s.zone, s.link_mbps * BITS_PER_MBIT)
        for s in raw.services
        if s.kv_store_addr
    ]
    return FleetConfig(
        version=raw.version,
        routes=index_routes(routes),
        services={s.name: _to_service(s) for s in raw.services if not s.kv_store_addr},
        cache_stores=stores,
        workspaces={key: _to_workspace(t) for t in raw.tenants or [] for key in t.api_keys},
        limits=_to_caller_limits(raw.limits),
        has_workspaces=raw.tenants is not None,
    )


def decode_weights(record: StoredRecord) -> tuple[str, int] | None:
    """Return model and weights version in a record; None for other records and invalid ones."""
    if not record.key.startswith(WEIGHTS_PREFIX):
        return None
    try:
        raw = decode_json(record.value, _Weights)
    except Unreadable:
        return None
    return raw.model, raw.version


def decode_endpoint(record: StoredRecord) -> EndpointEntry:
    """Return the endpoint entry in a record.

    The endpoint of the entry is None if the record is empty or invalid.
    """
    endpoint = revision = None
    try:
        raw = decode_json(record.value, _Server) if record.value else None
        state = _STATES.get(raw.state) if raw else None
        if raw is not None and state is not None and _names_engine(record.key, raw):
            endpoint = Endpoint(
                endpoint_id=record.key,
                service=raw.service,
                address=raw.address,
                failure_domain=raw.zone,
                slots=max(1, raw.slots),
                state=state,
                started_at_ms=raw.born,
                weights=tuple((m.name, m.version) for m in raw.models),
                software=_software(raw),
                cold_s=_cold_s(raw),
            )
            revision = _revision(raw)
    except Unreadable as error:
        log_message("record_ignored", key=record.key, reason=str(error))
    return EndpointEntry(record, endpoint, revision)


def _software(server: _Server) -> str | None:
    version = server.version
    return version if isinstance(version, str) and 0 < len(version) <= MAX_VERSION_LENGTH else None


def _cold_s(server: _Server) -> float:
    left_ms = server.cold_left_ms
    if not isinstance(left_ms, int | float) or not 0 <= left_ms <= MAX_COUNT:
        return 0.0
    return left_ms / 1000


def _revision(server: _Server) -> Revision | None:
    if server.born is None or type(server.seq) is not int or not 0 <= server.seq <= MAX_COUNT:
        return None
    return Revision(server.born, server.seq)


def _names_engine(endpoint_id: str, server: _Server) -> bool:
    """Return whether requests can be sent to what an entry names, with its id in a header field."""
    is_header_value = endpoint_id.isascii() and endpoint_id.isprintable() and " " not in endpoint_id
    return bool(endpoint_id) and is_header_value and is_ipv4_with_port(server.address)


def _to_route(route: _Route) -> Route:
    backends = tuple(Backend(b.service, b.weight) for b in route.backends)
    if not backends and route.service:
        backends = (Backend(route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=RequestKind(route.kind),
        backends=backends,
        timeout_s=route.timeout_ms / 1000,
        target_latency_s=route.target_latency_ms / 1000,
        priority=route.priority,
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        event_gap_s=route.gap_aim_ms / 1000,
    )


def _to_service(service: _Service) -> Service:
    engine = None
    if service.engine is not None:
        engine = EngineLimits(
            cache_tokens=service.engine.kv_capacity_tokens,
            token_bytes=service.engine.kv_token_bytes,
            fetch_s_per_token=_fetch_s_per_token(service.engine),
        )
    return Service(service.name, engine)


def _fetch_s_per_token(engine: _Engine) -> float:
    if not engine.link_mbps:
        return DEFAULT_FETCH_S_PER_TOKEN
    return engine.kv_token_bytes * 8 / (engine.link_mbps * BITS_PER_MBIT)


def _to_workspace(tenant: _Tenant) -> Workspace:
    return Workspace(
        name=tenant.name,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        plain_tokens=tenant.plain_tokens,
        priority=tenant.priority,
        is_isolated=tenant.isolated,
    )


def _to_caller_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )
