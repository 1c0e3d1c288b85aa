"""Simulated plain service with bookings, payments and records, which counts its executions."""

from standins.service._core import ServiceCore
from standins.service._server import ServiceServer

__all__ = ["ServiceCore", "ServiceServer"]
