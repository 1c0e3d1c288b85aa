"""The gateway: one process between callers and endpoints."""

from teaselpath.gateway._log import LogSink
from teaselpath.gateway._service import GatewayService

__all__ = ["GatewayService", "LogSink"]
