"""Fixtures of the stand-ins' own tests."""

from standins.testing import start_standin

__all__ = ["start_standin"]
