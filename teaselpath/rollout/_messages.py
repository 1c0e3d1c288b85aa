"""What gateways tell each other of a rollout of software, within their status messages."""

import msgspec

from teaselpath.fleet import RolloutRecord


class AnswerCounts(msgspec.Struct, array_like=True):
    """Answers of one engine on one route, since a gateway learnt of the rollout.

    :param engine: ``Endpoint.number``; 0 for all engines of other versions.
    :param route: place of the route's name in ``RolloutNote.routes``.
    """

    engine: int
    route: int
    answered: int
    failed: int
    slow: int


class TimeCounts(msgspec.Struct, array_like=True):
    """Times of the old version on one route, since a gateway learnt of the rollout.

    :param size: size class of the uncached prompts.
    :param bins: number of answers by bin.
    """

    route: int
    size: int
    bins: dict[int, int]


class RolloutNote(msgspec.Struct, array_like=True):
    """What a gateway knows of a rollout.

    :param record: newest known record.
    :param decider_age_ms: time since the lease holder confirmed it, in ms; below 0 if unknown.
    :param conviction: why the target is bad; empty while that is not shown.
    :param old_running: requests of this gateway in flight at engines of other versions.
    :param ended: numbers of the target's engines that ended while they ran requests.
    """

    record: RolloutRecord
    decider_age_ms: int
    conviction: str
    old_running: int
    routes: list[str]
    counts: list[AnswerCounts]
    times: list[TimeCounts]
    ended: list[int]
