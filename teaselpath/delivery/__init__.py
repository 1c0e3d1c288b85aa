"""Delivery: numbered stream buffers, resume, fences, claims and outcomes of requests."""

from teaselpath.delivery._assembler import (
    AckDue,
    AssemblerAction,
    Completed,
    Deliver,
    ResumeDue,
    StreamAssembler,
)
from teaselpath.delivery._events import (
    Accept,
    CancelRun,
    DeliveryLimits,
    EntryLost,
    FromEntry,
    LeaveStarted,
    PauseRun,
    ResumeRun,
    RunChunk,
    RunEnd,
    RunStarted,
)
from teaselpath.delivery._ledger import RequestLedger

__all__ = [
    "Accept",
    "AckDue",
    "AssemblerAction",
    "CancelRun",
    "Completed",
    "Deliver",
    "DeliveryLimits",
    "EntryLost",
    "FromEntry",
    "LeaveStarted",
    "PauseRun",
    "RequestLedger",
    "ResumeDue",
    "ResumeRun",
    "RunChunk",
    "RunEnd",
    "RunStarted",
    "StreamAssembler",
]
