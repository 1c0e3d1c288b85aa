"""Simulated host list with delayed updates."""

from standins.hosts._core import HostListCore
from standins.hosts._server import HostListServer

__all__ = ["HostListCore", "HostListServer"]
