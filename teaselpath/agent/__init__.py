"""The agent: the only way to one endpoint."""

from teaselpath.agent._kept_cache import KeptCache
from teaselpath.agent._service import AgentService

__all__ = ["AgentService", "KeptCache"]
