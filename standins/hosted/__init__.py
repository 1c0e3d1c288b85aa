"""Stand-ins for the users' platform: metadata store, model engines and plain services.

They speak the wire format of the users' pages over real sockets, and each fault can be switched.
"""

from standins.hosted._client import Answer, Caller
from standins.hosted._engine import EngineFaults, HostedEngine, Run
from standins.hosted._site import GatewayProcess, HostedSite, SiteRoute, SiteTenant, signature
from standins.hosted._store import HostedStore, StoreFaults

__all__ = [
    "Answer",
    "Caller",
    "EngineFaults",
    "GatewayProcess",
    "HostedEngine",
    "HostedSite",
    "HostedStore",
    "Run",
    "SiteRoute",
    "SiteTenant",
    "StoreFaults",
    "signature",
]
