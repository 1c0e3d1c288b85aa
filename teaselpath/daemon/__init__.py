"""The daemon: one process in role entry or agent."""

from teaselpath.daemon._main import main

__all__ = ["main"]
