"""Rollout of model weights: the lease for sending orders to engines, and the order schedule."""

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
