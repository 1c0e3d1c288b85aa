"""Clients of the platform: log, host list, KV cache store and weight store."""

from teaselpath.platform._hosts import HostEntry, HostListClient
from teaselpath.platform._log import LogClient, LogPage, LogRecord, Trimmed
from teaselpath.platform._stores import CacheStoreClient, WeightStoreClient

__all__ = [
    "CacheStoreClient",
    "HostEntry",
    "HostListClient",
    "LogClient",
    "LogPage",
    "LogRecord",
    "Trimmed",
    "WeightStoreClient",
]
