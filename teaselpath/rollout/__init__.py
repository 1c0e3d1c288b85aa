"""Rollout of model weights: the lease for sending orders to engines, and the order schedule."""

from teaselpath.rollout._lease import LeaseRecord, LeaseState, OrderLease, fence_of
from teaselpath.rollout._weights import (
    Action,
    EngineStatus,
    FetchReport,
    Loaded,
    LoadFailed,
    SendWeightsOrder,
    WeightsRollout,
)

__all__ = [
    "Action",
    "EngineStatus",
    "FetchReport",
    "LeaseRecord",
    "LeaseState",
    "LoadFailed",
    "Loaded",
    "OrderLease",
    "SendWeightsOrder",
    "WeightsRollout",
    "fence_of",
]
