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
    Revision,
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
from teaselpath.fleet._ports import MetadataStore, StoreError
from teaselpath.fleet._prompts import Prompt, PromptPart
from teaselpath.fleet._records import (
    BEFORE_ALL,
    UNKNOWN_ERA,
    Position,
    RecordPage,
    StoredRecord,
    Topic,
)
from teaselpath.fleet._settings import Bounds, GatewaySettings

__all__ = [
    "BEFORE_ALL",
    "UNKNOWN_ERA",
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
    "Revision",
    "Route",
    "Service",
    "StoreError",
    "StoredRecord",
    "Topic",
    "WeightsOrder",
    "Workspace",
    "index_routes",
]
