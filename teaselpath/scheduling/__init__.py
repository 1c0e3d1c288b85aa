"""Weighted fair queueing, admission control, retry budget and circuit breaker."""

from teaselpath.scheduling._budget import CircuitBreaker, RetryBudget
from teaselpath.scheduling._events import (
    CallerGone,
    Drop,
    Finished,
    Run,
    SchedulerEvent,
    SlotsChanged,
    Submit,
)
from teaselpath.scheduling._scheduler import Scheduler
from teaselpath.scheduling._tags import FlowTags

__all__ = [
    "CallerGone",
    "CircuitBreaker",
    "Drop",
    "Finished",
    "FlowTags",
    "RetryBudget",
    "Run",
    "Scheduler",
    "SchedulerEvent",
    "SlotsChanged",
    "Submit",
]
