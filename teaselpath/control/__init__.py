"""What both roles share: configuration, membership, decision records and metrics."""

from teaselpath.control._metrics import Metrics

__all__ = ["Metrics"]
