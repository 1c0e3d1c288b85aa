"""Input events and output actions of the scheduler."""

from dataclasses import dataclass

from teaselpath.results import Code


@dataclass(slots=True, frozen=True)
class Submit:
    """Queue a request.

    :param weight: positive weight of the workspace in fair queueing.
    :param tokens: estimated tokens of the request.
    :param priority: lower runs first.
    :param deadline: instant by which it must be started, in monotonic seconds.
    :param overdue_at: instant from which it competes with the requests of the highest priority that
        is queued, in monotonic seconds.
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
class CallerGone:
    """The caller no longer waits; a running request still ends with ``Finished``."""

    request_id: str


@dataclass(slots=True, frozen=True)
class SlotsChanged:
    """The number of requests that the engine's batch can run at once changed."""

    slots: int


SchedulerEvent = Submit | Finished | CallerGone | SlotsChanged


@dataclass(slots=True, frozen=True)
class Run:
    """Start the request at the endpoint."""

    request_id: str


@dataclass(slots=True, frozen=True)
class Drop:
    """The request is dropped without being run.

    :param retry_after_s: expected queueing time of a new request, in seconds; 0 if the caller no
        longer waits.
    """

    request_id: str
    code: Code
    retry_after_s: float
