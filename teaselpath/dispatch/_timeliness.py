"""Admission of a request by its aim, while room at engines is short.

Load: bursts in which requests need more than the engines have. Answers that come after their aim
are worth little to callers and delay those that could be in time, so that in the end nearly all are
late. A request that finds no room waits only as long as its first event can still come in time; one
whose expected wait is longer is rejected at once, as is one whose time runs out while it waits. One
that would come late even from the best engine waits as well, so that this engine can answer others
in time.
"""

from dataclasses import dataclass

# Fraction of its aim for which a request may wait in any case: the expected times are means, and a
# gateway that sends nothing learns no better ones.
MIN_WAIT_FRACTION = 0.25


@dataclass(slots=True, frozen=True)
class Wait:
    """The request waits for room.

    :param until: time until which its first event can come in time if it is sent.
    """

    until: float


@dataclass(slots=True, frozen=True)
class Reject:
    """The request is rejected, because its first event would come too late.

    :param wait_s: its expected wait, in seconds.
    """

    wait_s: float


def comes_late(arrived_at: float, aim_s: float, first_event_s: float, now: float) -> bool:
    """Return whether the first event of a request that is sent now is expected after its aim.

    :param arrived_at: time at which the request arrived.
    :param aim_s: time in which its first event is to come, in seconds.
    :param first_event_s: expected time from sending it to its first event, in seconds.
    """
    return now + first_event_s > arrived_at + aim_s


def admit_by_aim(
    arrived_at: float,
    aim_s: float,
    deadline: float,
    first_event_s: float,
    wait_s: float,
    now: float,
) -> Wait | Reject:
    """Return whether a request for which there is no room now waits.

    :param arrived_at: time at which it arrived.
    :param aim_s: time in which its first event is to come, in seconds.
    :param deadline: time until which the caller waits.
    :param first_event_s: expected time from sending it to its first event, in seconds.
    :param wait_s: expected time until there is room for it, in seconds.
    """
    in_time_s = max(aim_s - first_event_s, MIN_WAIT_FRACTION * aim_s)
    until = min(arrived_at + in_time_s, deadline)
    return Reject(wait_s) if now + wait_s > until else Wait(until)
