"""Test configuration shared by all packages."""

from hypothesis import settings

from standins.testing import start_standin

__all__ = ["start_standin"]

# Derandomized, and without a time limit per example: the same verdict on every machine and run.
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=100, database=None)
settings.load_profile("fixed")
