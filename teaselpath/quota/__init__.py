"""Distributed token-bucket quotas: buckets, shares, loans between hosts and share tables."""

from teaselpath.quota._bucket import Bucket
from teaselpath.quota._core import QuotaCore
from teaselpath.quota._events import (
    Denied,
    FromPeer,
    Granted,
    LeaseConfirmed,
    LeaveStarted,
    LiveEntriesChanged,
    LiveEntry,
    QuotaEvent,
    ReserveTokens,
    SettleTokens,
    TableRecord,
    WorkspaceQuota,
    WorkspacesChanged,
)
from teaselpath.quota._state import QuotaAction
from teaselpath.quota._table import SHARES_STREAM, ShareTable

__all__ = [
    "SHARES_STREAM",
    "Bucket",
    "Denied",
    "FromPeer",
    "Granted",
    "LeaseConfirmed",
    "LeaveStarted",
    "LiveEntriesChanged",
    "LiveEntry",
    "QuotaAction",
    "QuotaCore",
    "QuotaEvent",
    "ReserveTokens",
    "SettleTokens",
    "ShareTable",
    "TableRecord",
    "WorkspaceQuota",
    "WorkspacesChanged",
]
