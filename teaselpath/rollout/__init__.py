"""Rollout of weights: the lease on giving orders and the plan of the orders."""

from teaselpath.rollout._lease import LeaseRecord, LeaseState, OrderLease
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
]
