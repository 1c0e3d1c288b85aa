"""Records of rollouts of software: what operators ask for, and the status that they read."""

import math

import msgspec
from eliot import log_message

from teaselpath.fleet import RolloutOrder, RolloutRecord, RolloutState, Step, StoredRecord
from teaselpath.platform._numbers import MAX_COUNT, Count
from teaselpath.utils import Unreadable, decode_json

ROLLOUT_PREFIX = "rollout/"
# Longest version of a service's software, in characters, as in the entries of engines.
MAX_VERSION_LENGTH = 200
# Longest time that an order may allow, in seconds.
MAX_DURATION_S = 7 * 24 * 3600.0


class _Order(msgspec.Struct, rename="camel"):
    service: str
    target: str
    duration_s: float


class _Status(msgspec.Struct, rename="camel"):
    """The first two fields are for operators, the others for the gateways that go on from it."""

    state: RolloutState
    target: str
    duration_s: float
    serial: Count
    revision: Count
    step: Step
    ends_at_ms: Count
    avoided: list[str] = []
    reason: str = ""


def decode_rollout(record: StoredRecord) -> RolloutOrder | None:
    """Return the order in a record; None for other records and invalid ones."""
    service = record.key.removeprefix(ROLLOUT_PREFIX)
    if service == record.key or not record.value:
        return None
    try:
        raw = decode_json(record.value, _Order)
    except Unreadable:
        return None
    is_version = 0 < len(raw.target) <= MAX_VERSION_LENGTH
    is_time = math.isfinite(raw.duration_s) and abs(raw.duration_s) <= MAX_DURATION_S
    if raw.service != service or not is_version or not is_time:
        return None
    return RolloutOrder(service, raw.target, raw.duration_s, record.position)


def decode_rollout_status(record: StoredRecord) -> RolloutRecord | None:
    """Return the rollout in a record; None, with a log line, if it cannot be read."""
    service = record.key.removeprefix(ROLLOUT_PREFIX)
    if service == record.key or not record.value:
        return None
    try:
        raw = decode_json(record.value, _Status)
    except Unreadable as error:
        log_message("record_ignored", key=record.key, reason=str(error))
        return None
    return RolloutRecord(
        service, raw.target, raw.duration_s, raw.state, raw.serial, raw.revision, raw.step,
        raw.ends_at_ms, tuple(raw.avoided), raw.reason,
    )  # fmt: skip


def encode_rollout_status(rollout: RolloutRecord) -> tuple[str, bytes]:
    """Return key and value of the record of a rollout."""
    status = _Status(
        rollout.state, rollout.target, rollout.duration_s, rollout.serial, rollout.revision,
        rollout.step, min(MAX_COUNT, max(0, rollout.ends_at_ms)), list(rollout.avoided),
        rollout.reason,
    )  # fmt: skip
    return ROLLOUT_PREFIX + rollout.service, msgspec.json.encode(status)
