"""Randomized soak test: gateways run as processes, faults are injected from outside.

The guarantees of the router are then checked against the records of callers and endpoints.
"""

from standins.soak._checks import check_guarantees
from standins.soak._proxy import FaultyProxy
from standins.soak._soak import SoakPlan, SoakReport, run_soak

__all__ = ["FaultyProxy", "SoakPlan", "SoakReport", "check_guarantees", "run_soak"]
