"""Rollout of weights: the lease on giving orders and the plan of the orders."""

from teaselpath.rollout._lease import LeaseRecord, LeaseState, OrderLease
from teaselpath.rollout._weights import (
    Action,
    AskReport,
    EngineStatus,
    GaveUp,
    GiveOrder,
    Loaded,
    WeightsRollout,
)

__all__ = [
    "Action",
    "AskReport",
    "EngineStatus",
    "GaveUp",
    "GiveOrder",
    "LeaseRecord",
    "LeaseState",
    "Loaded",
    "OrderLease",
    "WeightsRollout",
]
