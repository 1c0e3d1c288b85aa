"""Plain service: bookings, payments and records, with each execution counted."""

from standins.service._core import ServiceCore
from standins.service._server import ServiceServer

__all__ = ["ServiceCore", "ServiceServer"]
