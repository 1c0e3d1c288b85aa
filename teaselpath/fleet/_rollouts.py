"""Rollouts of software: what operators ask for, and how far a rollout is."""

from dataclasses import dataclass
from enum import StrEnum

from teaselpath.fleet._records import Position


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """An operator's request to move a service to another version of its software.

    :param target: version of the software that is to run all requests.
    :param duration_s: time from the order to its deadline, in seconds.
    :param position: position of its record.
    """

    service: str
    target: str
    duration_s: float
    position: Position

    @property
    def content(self) -> tuple[str, float]:
        """Key that equal orders have in common."""
        return self.target, self.duration_s


class RolloutState(StrEnum):
    """State of a rollout; all but the first are final."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


class Step(StrEnum):
    """Part of the requests that the target gets, from none to all new ones."""

    NONE = "none"
    FEW = "few"
    SOME = "some"
    FULL = "full"
    PARTLY = "partly"
    ALL = "all"


@dataclass(slots=True, frozen=True)
class RolloutRecord:
    """The newest rollout of a service, as the lease holder wrote it.

    :param duration_s: as in the order that it answers.
    :param serial: number of the rollout within its service.
    :param revision: number of the record within the rollout.
    :param ends_at_ms: Unix time of the deadline in ms.
    :param avoided: versions that get no new request: those that were rolled back and, once a
        rollout has succeeded, those that it replaced.
    :param reason: why it was rolled back; empty otherwise.
    """

    service: str
    target: str
    duration_s: float
    state: RolloutState
    serial: int
    revision: int
    step: Step
    ends_at_ms: int
    avoided: tuple[str, ...] = ()
    reason: str = ""

    @property
    def number(self) -> tuple[int, int]:
        """Key that orders the records of a service, over all eras of the store."""
        return self.serial, self.revision

    @property
    def is_final(self) -> bool:
        """Return whether the rollout has ended."""
        return self.state is not RolloutState.RUNNING

    def answers(self, order: RolloutOrder) -> bool:
        """Return whether this is the rollout of an order, or of an equal one before."""
        return (self.target, self.duration_s) == (order.target, order.duration_s)
