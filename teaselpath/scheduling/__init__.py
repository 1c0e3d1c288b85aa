"""Weighted fair queueing, admission control, retry budget and circuit breaker."""

from teaselpath.scheduling._budget import CircuitBreaker, RetryBudget
from teaselpath.scheduling._events import (
    Drop,
    Finished,
    Run,
    SchedulerEvent,
    SlotsChanged,
    Submit,
    Withdraw,
)
from teaselpath.scheduling._scheduler import Scheduler

__all__ = [
    "CircuitBreaker",
    "Drop",
    "Finished",
    "RetryBudget",
    "Run",
    "Scheduler",
    "SchedulerEvent",
    "SlotsChanged",
    "Submit",
    "Withdraw",
]
