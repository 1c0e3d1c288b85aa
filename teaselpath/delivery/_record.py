"""Record of one attempt at the agent."""

from math import inf

from teaselpath.delivery._buffer import StreamBuffer
from teaselpath.delivery._finished import RequestState
from teaselpath.results import Ran
from teaselpath.wire import Start

Key = tuple[str, int]


def is_repeatable(start: Start) -> bool:
    """Whether a second run is harmless; one for a claimed key never is."""
    return start.repeatable and not start.claim_key


class RequestRecord:
    """An attempt that is queued, running or not fully acknowledged.

    :param host: entry that gets the stream.
    :param expires_at: instant at which the buffer is dropped unless its entry is heard before.

    ``resend_at`` is the instant at which an unacknowledged end is sent again. ``is_abandoned``
    means that the deadline passed during the run: chunks are dropped until an entry resumes.
    """

    __slots__ = (
        "buffer",
        "expires_at",
        "host",
        "is_abandoned",
        "is_continuation",
        "is_cut",
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
        self.state = RequestState.QUEUED
        self.buffer = StreamBuffer(window)
        self.is_paused = False
        self.is_cut = False
        self.is_continuation = start.resume_after > 0
        self.is_abandoned = False

    @property
    def ran(self) -> Ran:
        """What can be said about a run; a queued attempt may still run."""
        return Ran.UNKNOWN if self.state is RequestState.QUEUED else Ran.RAN
