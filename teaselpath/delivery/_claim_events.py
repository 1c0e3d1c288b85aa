"""Records, events and actions of idempotency claims."""

import msgspec

from teaselpath.wire import Append


class ClaimEntry(msgspec.Struct, tag="claim", array_like=True, frozen=True):
    """A log entry that claims a key for one attempt of a request.

    :param serial: number of the claim within its process. It distinguishes a late duplicate of
        the claim's record from another claim of the same attempt.
    """

    key: bytes
    request_id: str
    attempt: int
    host: str
    incarnation: int
    serial: int


class ResultEntry(msgspec.Struct, tag="result", array_like=True, frozen=True):
    """A log entry that reports the end of a claimed attempt; ``ran`` is a value of ``results.Ran``.

    ``not_run`` releases the key. Only the process that made the claim writes this entry.
    """

    key: bytes
    request_id: str
    attempt: int
    host: str
    incarnation: int
    serial: int
    ran: str


_Entries = list[ClaimEntry | ResultEntry]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Entries)


def encode_record(entries: _Entries) -> bytes:
    """Encode the entries of one log record."""
    return _encoder.encode(entries)


def decode_record(data: bytes) -> _Entries:
    """Decode a log record; every reader treats a malformed one as empty."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return []


class ClaimRequested(msgspec.Struct, frozen=True):
    """A request with an idempotency key arrived and needs a claim to run.

    :param key: digest of workspace, route and idempotency key.
    :param deadline: instant by which the claim has to be decided.
    """

    key: bytes
    request_id: str
    attempt: int
    deadline: float


class RecordRead(msgspec.Struct, frozen=True):
    """A record was read from the claim log.

    :param offset: offset of the record in the log.
    :param data: encoded entries.
    :param age_s: age of the record when it was read, in seconds.
    """

    offset: int
    data: bytes
    age_s: float = 0.0


class ReadProgress(msgspec.Struct, frozen=True):
    """The table received all retained records below ``next_offset``."""

    next_offset: int


class AppendDone(msgspec.Struct, frozen=True):
    """The record of the append in flight was written at this offset."""

    offset: int


class AppendFailed(msgspec.Struct, frozen=True):
    """The append in flight failed.

    :param may_have_applied: whether the record may have been written or may yet be written.
    :param retry_after_s: delay that the log requested, in seconds; 0 if none.
    """

    may_have_applied: bool
    retry_after_s: float = 0.0


class ClaimFinished(msgspec.Struct, frozen=True):
    """The attempt with a granted claim ended, or never started.

    :param answer: complete answer, stored for duplicates of the request; None if it is too large or
        the request failed.
    """

    key: bytes
    request_id: str
    attempt: int
    ran: str
    answer: "StoredAnswer | None" = None


class StoredAnswer(msgspec.Struct, frozen=True):
    """Answer to a claimed request."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class ClaimGranted(msgspec.Struct, frozen=True):
    """The attempt may run; no other request with this key runs before ``expires_at``."""

    key: bytes
    request_id: str
    attempt: int
    expires_at: float


class ClaimRefused(msgspec.Struct, frozen=True):
    """The attempt must not run.

    :param code: CLAIM_UNAVAILABLE, DUPLICATE_CLAIM or DEADLINE_EXCEEDED.
    :param ran: whether the attempt ran; with DUPLICATE_CLAIM, whether the attempt that holds the
        key ran.
    :param answer: answer to the request that holds the key, if this agent still stores it.
    """

    key: bytes
    request_id: str
    attempt: int
    code: int
    ran: str
    detail: str
    answer: StoredAnswer | None = None


ClaimEvent = ClaimRequested | RecordRead | ReadProgress | AppendDone | AppendFailed | ClaimFinished
ClaimAction = ClaimGranted | ClaimRefused | Append
