"""Decision records for ``explain``."""

from teaselpath.records._log import DecisionLog

__all__ = ["DecisionLog"]
