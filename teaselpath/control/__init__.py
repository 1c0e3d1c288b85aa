"""What both roles share: configuration, membership, decision records and metrics."""

from teaselpath.control._log_follower import LogFollower
from teaselpath.control._metrics import Metrics
from teaselpath.control._plane import ControlPlane, Role

__all__ = ["ControlPlane", "LogFollower", "Metrics", "Role"]
