"""Command-line tool ``teaselpath`` for operators."""

from teaselpath.cli._main import main

__all__ = ["main"]
