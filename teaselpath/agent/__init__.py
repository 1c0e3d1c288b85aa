"""The agent: the process that proxies all requests to one endpoint."""

from teaselpath.agent._cache_transfers import CacheTransfers
from teaselpath.agent._service import AgentService

__all__ = ["AgentService", "CacheTransfers"]
