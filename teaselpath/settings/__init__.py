"""Settings of a process."""

from teaselpath.settings._settings import (
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

__all__ = [
    "ControlSettings",
    "EndpointSettings",
    "HttpSettings",
    "Limits",
    "PeerSettings",
    "Settings",
    "check_settings",
    "load_settings",
    "read_secret",
]
