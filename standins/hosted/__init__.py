"""Test doubles of a hosted platform: metadata store, model engines and plain services.

They implement the platform's wire protocol over real sockets. Each fault can be enabled at run
time.
"""

from standins.hosted._answers import shared_parts_of
from standins.hosted._client import Answer, Caller
from standins.hosted._engine import HostedEngine
from standins.hosted._engine_faults import EngineFaults
from standins.hosted._records import Run
from standins.hosted._site import (
    GatewayProcess,
    HostedSite,
    ListedEngine,
    SiteRoute,
    SiteTenant,
    expected_signature,
)
from standins.hosted._store import HostedStore, StoreFaults

__all__ = [
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
    "StoreFaults",
    "expected_signature",
    "shared_parts_of",
]
