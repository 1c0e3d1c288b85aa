"""Settings of a process.

They are defined in ``teaselpath.platform``: the operators' tool checks them too, and does not
import the daemon.
"""

from teaselpath.platform import (
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
