"""Adapter to the customers' platform: translation only, without decisions or state.

Names of the platform's wire format occur only in this package.
"""

from teaselpath.platform._engines import PlatformEngines
from teaselpath.platform._requests import PlatformRequests
from teaselpath.platform._settings import read_settings
from teaselpath.platform._store import PlatformStore

__all__ = ["PlatformEngines", "PlatformRequests", "PlatformStore", "read_settings"]
