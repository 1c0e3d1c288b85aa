"""Clients of the platform (log, host list, stores) and the settings of a process."""

from teaselpath.platform._hosts import HostEntry, HostListClient
from teaselpath.platform._log import LogClient, LogPage, LogRecord, Trimmed
from teaselpath.platform._settings import (
    ControlSettings,
    EndpointSettings,
    HttpSettings,
    Limits,
    PeerSettings,
    Settings,
    check_settings,
    load_settings,
    read_secret,
)
from teaselpath.platform._stores import CacheStoreClient, WeightStoreClient

__all__ = [
    "CacheStoreClient",
    "ControlSettings",
    "EndpointSettings",
    "HostEntry",
    "HostListClient",
    "HttpSettings",
    "Limits",
    "LogClient",
    "LogPage",
    "LogRecord",
    "PeerSettings",
    "Settings",
    "Trimmed",
    "WeightStoreClient",
    "check_settings",
    "load_settings",
    "read_secret",
]
