"""Model of the fleet: configuration, endpoints, requests, and interfaces to the platform."""

from teaselpath.fleet._calls import (
    AnswerInfo,
    CacheChange,
    CacheChanges,
    CallerRequest,
    EngineCallError,
    EngineCalls,
    EngineReport,
    Forwarding,
    RequestCodec,
    WeightsOrder,
)
from teaselpath.fleet._endpoints import (
    Endpoint,
    EndpointEntry,
    EndpointState,
    EndpointTable,
)
from teaselpath.fleet._model import (
    Backend,
    CacheStore,
    CallerLimits,
    EngineLimits,
    FleetConfig,
    RequestKind,
    Route,
    Service,
    Workspace,
    index_routes,
)
from teaselpath.fleet._ports import (
    MetadataStore,
    Position,
    RecordPage,
    StoredRecord,
    StoreError,
    Topic,
)
from teaselpath.fleet._prompts import Prompt, PromptPart
from teaselpath.fleet._settings import Bounds, GatewaySettings

__all__ = [
    "AnswerInfo",
    "Backend",
    "Bounds",
    "CacheChange",
    "CacheChanges",
    "CacheStore",
    "CallerLimits",
    "CallerRequest",
    "Endpoint",
    "EndpointEntry",
    "EndpointState",
    "EndpointTable",
    "EngineCallError",
    "EngineCalls",
    "EngineLimits",
    "EngineReport",
    "FleetConfig",
    "Forwarding",
    "GatewaySettings",
    "MetadataStore",
    "Position",
    "Prompt",
    "PromptPart",
    "RecordPage",
    "RequestCodec",
    "RequestKind",
    "Route",
    "Service",
    "StoreError",
    "StoredRecord",
    "Topic",
    "WeightsOrder",
    "Workspace",
    "index_routes",
]
