"""The operators' tool ``teaselpath``."""

from teaselpath.cli._main import main

__all__ = ["main"]
