"""Simulated append-only log service."""

from standins.log._core import LogCore, Record, Stream
from standins.log._server import LogServer

__all__ = ["LogCore", "LogServer", "Record", "Stream"]
