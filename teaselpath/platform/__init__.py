"""Adapter to the users' platform: only translation, no decisions and no state of its own.

Each name of the platform's wire format is decoded here, once.
"""

from teaselpath.platform._engines import PlatformEngines
from teaselpath.platform._requests import PlatformRequests
from teaselpath.platform._settings import read_settings
from teaselpath.platform._store import PlatformStore

__all__ = ["PlatformEngines", "PlatformRequests", "PlatformStore", "read_settings"]
