"""Delivery: numbered stream buffers, resume, fences, claims and outcomes of requests."""

from teaselpath.delivery._assembler import (
    AckDue,
    AssemblerAction,
    Completed,
    Deliver,
    ResumeDue,
    StreamAssembler,
)
from teaselpath.delivery._continuation import ContinuedStream, check_continuable
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
from teaselpath.delivery._outcome import RequestOutcome
from teaselpath.delivery._outcome_events import (
    AgentLost,
    Delivered,
    Finished,
    NoRoute,
    Outcome,
    Received,
    Routed,
    RouteWanted,
    SendCancel,
    SendStart,
    StopWanted,
    StreamCompleted,
)
from teaselpath.delivery._sse import SseParser

__all__ = [
    "Accept",
    "AckDue",
    "AgentLost",
    "AssemblerAction",
    "CancelRun",
    "Completed",
    "ContinuedStream",
    "Deliver",
    "Delivered",
    "DeliveryLimits",
    "EntryLost",
    "Finished",
    "FromEntry",
    "LeaveStarted",
    "NoRoute",
    "Outcome",
    "PauseRun",
    "Received",
    "RequestLedger",
    "RequestOutcome",
    "ResumeDue",
    "ResumeRun",
    "RouteWanted",
    "Routed",
    "RunChunk",
    "RunEnd",
    "RunStarted",
    "SendCancel",
    "SendStart",
    "SseParser",
    "StopWanted",
    "StreamAssembler",
    "StreamCompleted",
    "check_continuable",
]
