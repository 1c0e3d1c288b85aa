"""Plan of a rollout of software: what part of the requests the target gets, and how it ends.

The lease holder plans; every other gateway follows the newest record. The move to all requests is
as late as the streams at old engines allow, so that a version which turns bad is found out while it
gets few.
"""

from dataclasses import dataclass, replace

from teaselpath.fleet import RolloutOrder, RolloutRecord, RolloutState, Step

# Time that a step lasts at least, in seconds, and answers of the target by its end.
MIN_STEP_S = 0.8
MIN_ANSWERS = {Step.FEW: 3, Step.SOME: 8}
# Time for the move and for the old streams to end: part of the order's duration, and at most, in
# seconds.
MOVE_PART = 0.28
MAX_MOVE_S = 10.0
# The same part while a route has brought too few answers.
LATE_MOVE_PART = 0.2
# The same for the first step of the move, in which each route brings evidence.
PARTLY_PART = 0.5
MAX_PARTLY_S = 14.0
# Time for which the target gets all new requests before the rollout can succeed, in seconds.
MIN_ALL_S = 1.6
# Time between the last moment for the final record and the deadline: part of the order's duration,
# and at most, in seconds.
WRITE_PART = 0.1
MAX_WRITE_S = 1.0
# Part of the old engines' slots that those of the target must have before the move.
MIN_SLOTS_PART = 0.5
# Time without word of the lease holder after which a gateway sends the target nothing new, in
# seconds.
DECIDER_TIMEOUT_S = 2.0
# Versions that are kept as avoided.
MAX_AVOIDED = 8


@dataclass(slots=True, frozen=True)
class Situation:
    """What the lease holder knows when it plans.

    :param now: time in seconds.
    :param deadline: time at which the rollout must have ended.
    :param step_since: time from which the present record counts.
    :param target_engines: engines of the target that take requests.
    :param target_slots: requests that they process concurrently.
    :param old_slots: the same of all other engines of the service.
    :param old_running: requests in flight at other versions, from all gateways.
    :param old_versions: versions of the other engines.
    :param answered: answers of the target.
    :param is_accepted: whether they show a good version.
    :param is_suspect: whether the newest of them may be those of a bad one.
    :param has_unproven_route: whether a route has brought too few of them.
    :param conviction: why the target is bad; empty while that is not shown.
    """

    now: float
    deadline: float
    step_since: float
    target_engines: int
    target_slots: int
    old_slots: int
    old_running: int
    old_versions: tuple[str, ...]
    answered: int
    is_accepted: bool
    is_suspect: bool
    has_unproven_route: bool
    conviction: str


def begin(
    order: RolloutOrder, before: RolloutRecord | None, ends_at_ms: int, *, is_alone: bool = False
) -> RolloutRecord | None:
    """Return the first record of an order; None if it was answered, or one must end before.

    :param before: newest record of the service.
    :param is_alone: whether all listed engines are of the target, so that there is nothing to move.
    """
    if before is not None and (before.answers(order) or not before.is_final):
        return None
    serial = 1 if before is None else before.serial + 1
    avoided = () if before is None else tuple(v for v in before.avoided if v != order.target)
    record = RolloutRecord(
        order.service, order.target, order.duration_s, RolloutState.RUNNING, serial, 1,
        Step.NONE, ends_at_ms, avoided,
    )  # fmt: skip
    if is_alone:
        return replace(record, state=RolloutState.SUCCEEDED, step=Step.ALL)
    return roll_back(record, "the deadline has passed") if order.duration_s <= 0 else record


def roll_back(record: RolloutRecord, reason: str) -> RolloutRecord:
    """Return the record of a rollout whose target gets no new request."""
    avoided = (record.target, *(v for v in record.avoided if v != record.target))
    return replace(
        record, state=RolloutState.ROLLED_BACK, revision=record.revision + 1, step=Step.NONE,
        avoided=avoided[:MAX_AVOIDED], reason=reason,
    )  # fmt: skip


def plan(record: RolloutRecord, order: RolloutOrder | None, at: Situation) -> RolloutRecord | None:
    """Return the next record of a rollout that runs; None while it stays as it is.

    :param order: newest order for the service; None if it is not known.
    """
    if at.conviction:
        return roll_back(record, at.conviction)
    if order is not None and not record.answers(order):
        return roll_back(record, f"replaced by an order for {order.target}")
    if at.now >= at.deadline:
        return roll_back(record, "the deadline has passed")
    if at.now >= at.deadline - min(MAX_WRITE_S, WRITE_PART * record.duration_s):
        return _end(record, at)
    if record.step is Step.ALL and _is_moved(at):
        return _succeed(record, at)
    step = _next_step(record, at)
    return None if step is record.step else _with_step(record, step)


def _end(record: RolloutRecord, at: Situation) -> RolloutRecord:
    """Return the final record at the last moment."""
    if not at.target_engines:
        return roll_back(record, "no engine of the target takes requests")
    is_shown = at.is_accepted and (record.step is Step.ALL or not at.is_suspect)
    if not is_shown and at.old_slots:
        return roll_back(record, f"too little evidence: {at.answered} answers")
    if not _has_room(at):
        return roll_back(record, f"too few engines of the target: {at.target_engines}")
    return _succeed(record, at)


def _succeed(record: RolloutRecord, at: Situation) -> RolloutRecord:
    replaced = tuple(v for v in at.old_versions if v != record.target)
    avoided = (*replaced, *(v for v in record.avoided if v not in replaced))
    return replace(
        record, state=RolloutState.SUCCEEDED, revision=record.revision + 1, step=Step.ALL,
        avoided=avoided[:MAX_AVOIDED],
    )  # fmt: skip


def _with_step(record: RolloutRecord, step: Step) -> RolloutRecord:
    return replace(record, step=step, revision=record.revision + 1)


def _has_room(at: Situation) -> bool:
    return at.target_engines > 0 and at.target_slots >= MIN_SLOTS_PART * at.old_slots


def _is_moved(at: Situation) -> bool:
    """Return whether the target has run all requests for a while, and the old engines none."""
    return at.now >= at.step_since + MIN_ALL_S and not at.old_running and at.is_accepted


def _next_step(record: RolloutRecord, at: Situation) -> Step:
    step = record.step
    if not at.target_engines:
        return Step.NONE
    if step is Step.NONE:
        return Step.FEW
    if at.now < at.step_since + MIN_STEP_S or step is Step.ALL:
        return step
    if at.is_suspect:
        return step
    if step in MIN_ANSWERS:
        if at.answered < MIN_ANSWERS[step]:
            return step
        return Step.SOME if step is Step.FEW else Step.FULL
    if step is Step.PARTLY:
        move_part = LATE_MOVE_PART if at.has_unproven_route else MOVE_PART
        moves_at = at.deadline - min(MAX_MOVE_S, move_part * record.duration_s)
        return Step.ALL if at.now >= moves_at else step
    moves_at = at.deadline - min(MAX_PARTLY_S, PARTLY_PART * record.duration_s)
    may_move = at.now >= moves_at and at.is_accepted and _has_room(at)
    return Step.PARTLY if may_move else step
