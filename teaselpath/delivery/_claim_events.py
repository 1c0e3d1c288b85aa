"""Records, events and actions of idempotency claims."""

import msgspec

from teaselpath.wire import Append


class ClaimEntry(msgspec.Struct, tag="claim", array_like=True, frozen=True):
    """A key is claimed for one attempt of a request.

    :param serial: number of the claim in its process. A copy of a record that the log takes late
        then never counts for another claim of the same attempt.
    """

    key: bytes
    request_id: str
    attempt: int
    host: str
    incarnation: int
    serial: int


class ResultEntry(msgspec.Struct, tag="result", array_like=True, frozen=True):
    """The claimed attempt ended; ``ran`` is a value of ``results.Ran``.

    ``not_run`` releases the key. Only the process that made the claim writes this entry.
    """

    key: bytes
    request_id: str
    attempt: int
    host: str
    incarnation: int
    serial: int
    ran: str


_Group = list[ClaimEntry | ResultEntry]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Group)


def encode_group(entries: _Group) -> bytes:
    """Encode the entries of one log record."""
    return _encoder.encode(entries)


def decode_group(data: bytes) -> _Group:
    """Decode a log record; a malformed one has no entries, on each reader alike."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return []


class ClaimRequested(msgspec.Struct, frozen=True):
    """A request with an idempotency key wants to run.

    :param key: digest of workspace, route and idempotency key.
    :param deadline: instant until which an answer is of use.
    """

    key: bytes
    request_id: str
    attempt: int
    deadline: float


class ClaimRecord(msgspec.Struct, frozen=True):
    """A record was read from the claim stream.

    :param age_s: age of the record when it was read, in seconds.
    """

    offset: int
    data: bytes
    age_s: float = 0.0


class ReadProgress(msgspec.Struct, frozen=True):
    """All records below ``next_offset`` that the log still keeps were handed in."""

    next_offset: int


class AppendDone(msgspec.Struct, frozen=True):
    """The append in flight took effect at this offset."""

    offset: int


class AppendFailed(msgspec.Struct, frozen=True):
    """The append in flight failed.

    :param may_have_applied: whether the record may be in the log, or may still get there.
    :param retry_after_s: wait that the log asked for, in seconds; 0 if it did not.
    """

    may_have_applied: bool
    retry_after_s: float = 0.0


class ClaimFinished(msgspec.Struct, frozen=True):
    """The attempt with a granted claim ended, or was given up before it started.

    :param answer: whole answer, kept for repeats of the key; None if it is too large or failed.
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
    """The attempt may run; nobody else runs for this key before ``expires_at``."""

    key: bytes
    request_id: str
    attempt: int
    expires_at: float


class ClaimRefused(msgspec.Struct, frozen=True):
    """The attempt must not run.

    :param code: CLAIM_UNAVAILABLE, DUPLICATE_CLAIM or DEADLINE_EXCEEDED.
    :param ran: whether the key's request ran; with DUPLICATE_CLAIM it is that of the first holder.
    :param answer: answer of the first holder, if this agent still has it.
    """

    key: bytes
    request_id: str
    attempt: int
    code: int
    ran: str
    detail: str
    answer: StoredAnswer | None = None


ClaimEvent = ClaimRequested | ClaimRecord | ReadProgress | AppendDone | AppendFailed | ClaimFinished
ClaimAction = ClaimGranted | ClaimRefused | Append
