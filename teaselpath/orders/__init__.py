"""Orders to engines: desired state, fencing numbers and load leases on the log."""

from teaselpath.orders._core import (
    DesiredState,
    EngineReported,
    Order,
    OrderCore,
    OrderDone,
    OrderFailed,
    SendOrder,
)
from teaselpath.orders._ledger import LEASE_GRACE_PERIOD_S, LEASE_S, MAX_LOADS, LoadLedger
from teaselpath.orders._records import STREAM, Claim, LoadRecord, Release, Turn

__all__ = [
    "LEASE_GRACE_PERIOD_S",
    "LEASE_S",
    "MAX_LOADS",
    "STREAM",
    "Claim",
    "DesiredState",
    "EngineReported",
    "LoadLedger",
    "LoadRecord",
    "Order",
    "OrderCore",
    "OrderDone",
    "OrderFailed",
    "Release",
    "SendOrder",
    "Turn",
]
