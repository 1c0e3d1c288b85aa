"""Test doubles of a hosted platform: metadata store, model engines and plain services.

They implement the platform's wire protocol over real sockets. Each fault can be enabled at run
time.
"""

from standins.hosted._answers import LONG_ANSWER, shared_parts_of
from standins.hosted._client import Answer, Caller
from standins.hosted._engine import HostedEngine
from standins.hosted._engine_faults import EngineFaults
from standins.hosted._records import Run
from standins.hosted._site import (
    ENGINE_TOKENS,
    HEARTBEAT_INTERVAL_S,
    GatewayProcess,
    HostedSite,
    ListedEngine,
    SiteRoute,
    SiteTenant,
    expected_signature,
)
from standins.hosted._store import HostedStore, StoreCopy, StoreFaults

__all__ = [
    "ENGINE_TOKENS",
    "HEARTBEAT_INTERVAL_S",
    "LONG_ANSWER",
    "Answer",
    "Caller",
    "EngineFaults",
    "GatewayProcess",
    "HostedEngine",
    "HostedSite",
    "HostedStore",
    "ListedEngine",
    "Run",
    "SiteRoute",
    "SiteTenant",
    "StoreCopy",
    "StoreFaults",
    "expected_signature",
    "shared_parts_of",
]
