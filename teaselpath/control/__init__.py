"""Control plane of both roles: configuration, membership, decision records and metrics."""

from teaselpath.control._http import StatusPages
from teaselpath.control._log_follower import LogFollower
from teaselpath.control._metrics import Metrics
from teaselpath.control._plane import ControlPlane, Role
from teaselpath.control._rates import RateMeter

__all__ = ["ControlPlane", "LogFollower", "Metrics", "RateMeter", "Role", "StatusPages"]
