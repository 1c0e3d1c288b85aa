"""Events and actions of the scheduler."""

from dataclasses import dataclass

from teaselpath.results import Code


@dataclass(slots=True, frozen=True)
class Submit:
    """Queue a request.

    :param weight: share of the workspace under fair queueing; positive.
    :param tokens: estimate of the tokens it will use.
    :param priority: lower runs first.
    :param deadline: instant by which it must have started, in monotonic seconds.
    :param overdue_at: instant from which it goes before requests of higher priority.
    """

    request_id: str
    workspace: str
    weight: float
    tokens: float
    priority: int
    deadline: float
    overdue_at: float


@dataclass(slots=True, frozen=True)
class Finished:
    """A running request ended and used this many tokens."""

    request_id: str
    used: float


@dataclass(slots=True, frozen=True)
class Withdraw:
    """The caller of a request is gone; a running one still ends by ``Finished``."""

    request_id: str


@dataclass(slots=True, frozen=True)
class SlotsChanged:
    """The engine's batch holds this many requests at once."""

    slots: int


SchedulerEvent = Submit | Finished | Withdraw | SlotsChanged


@dataclass(slots=True, frozen=True)
class Run:
    """Start the request at the endpoint."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Drop:
    """The request was not run.

    :param retry_after_s: seconds after which the queue is expected to have room.
    """

    request_id: str
    code: Code
    retry_after_s: float
