"""State that the agent keeps for one attempt of a request."""

from math import inf

from teaselpath.delivery._buffer import StreamBuffer
from teaselpath.delivery._finished import AttemptState
from teaselpath.results import Ran
from teaselpath.wire import Start

Key = tuple[str, int]


def is_repeatable(start: Start) -> bool:
    """Whether a request may run twice; one with an idempotency key never may."""
    return start.repeatable and not start.claim_key


class AttemptRecord:
    """An attempt that is queued, running or not fully acknowledged.

    :param host: entry that receives the stream.
    :param start: message that started the attempt.
    :param window: chunks that may be sent before the first acknowledgement.
    :param expires_at: instant at which the attempt expires unless the entry acknowledges or resumes
        the stream before. A queued attempt is then cancelled. The buffer of any other is discarded,
        and its run is cancelled if it is repeatable.

    ``origin`` identifies the start: host and incarnation of the entry, and the sequence number.
    ``is_continuation`` means that the stream does not begin with the first chunk of the answer.
    ``resend_at`` is the instant at which an unacknowledged end is resent. ``is_abandoned`` means
    that the record expired during the run: chunks are discarded until an entry resumes the stream.
    ``is_cancelled`` means that the run was cancelled: what it still produces is discarded.
    """

    __slots__ = (
        "buffer",
        "expires_at",
        "host",
        "is_abandoned",
        "is_cancelled",
        "is_continuation",
        "is_paused",
        "key",
        "origin",
        "repeatable",
        "resend_at",
        "state",
        "workspace",
    )

    def __init__(self, host: str, start: Start, window: int, expires_at: float) -> None:
        self.key: Key = (start.request_id, start.attempt)
        self.host: str | None = host
        self.workspace = start.workspace
        self.repeatable = is_repeatable(start)
        self.origin = (host, start.entry_incarnation, start.sequence)
        self.expires_at = expires_at
        self.resend_at = inf
        self.state = AttemptState.QUEUED
        self.buffer = StreamBuffer(window)
        self.is_paused = False
        self.is_cancelled = False
        self.is_continuation = start.resume_after > 0
        self.is_abandoned = False

    @property
    def ran(self) -> Ran:
        """Whether the attempt ran; unknown while it is queued, because it may still run."""
        return Ran.UNKNOWN if self.state is AttemptState.QUEUED else Ran.RAN
