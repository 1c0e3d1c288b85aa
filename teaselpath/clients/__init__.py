"""Settings of a self-hosted fleet, and clients of the log, host list and stores that it uses."""

from teaselpath.clients._hosts import HostEntry, HostListClient
from teaselpath.clients._log import LogClient, LogPage, LogRecord, Trimmed
from teaselpath.clients._settings import (
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
from teaselpath.clients._stores import CacheStoreClient, WeightStoreClient

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
