"""Randomized fault soak: gateways as processes, faults from outside, promises checked."""

from standins.soak._checks import check_promises
from standins.soak._proxy import FaultyProxy
from standins.soak._soak import SoakPlan, SoakReport, run_soak

__all__ = ["FaultyProxy", "SoakPlan", "SoakReport", "check_promises", "run_soak"]
