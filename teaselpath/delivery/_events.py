"""Events and actions of the request ledger at the agent."""

import msgspec

from teaselpath.wire import Ack, Cancel, Resume, Start


class DeliveryLimits(msgspec.Struct, frozen=True):
    """Limits of the stream buffers and of the table of finished attempts.

    :param window_chunks: number of unacknowledged chunks at which reading the endpoint's answer is
        paused; also the number of chunks that may be sent before the first acknowledgement.
    :param window_bytes: size of the unacknowledged chunks at which reading is paused, in bytes.
    :param buffer_retention_s: how long an attempt is retained without an acknowledgement or resume
        from its entry, in seconds; the end of its run or a lost connection restarts the period.
    :param end_resend_s: interval at which an unacknowledged end is resent, in seconds.
    :param finished_retention_s: how long a finished or fenced attempt is recorded, in seconds.
    :param max_finished: maximum number of recorded finished and fenced attempts.
    """

    window_chunks: int = 64
    window_bytes: int = 1 << 20
    buffer_retention_s: float = 60.0
    end_resend_s: float = 1.0
    finished_retention_s: float = 900.0
    max_finished: int = 50_000


class FromEntry(msgspec.Struct, frozen=True):
    """A message arrived from an entry."""

    host: str
    message: Start | Ack | Cancel | Resume


class RunStarting(msgspec.Struct, frozen=True):
    """The request is about to be sent to the endpoint, or its stored answer to be replayed.

    It must not be sent if the ledger returns ``CancelRun``.
    """

    request_id: str
    attempt: int


class RunChunk(msgspec.Struct, frozen=True, gc=False):
    """Bytes of the endpoint's answer; the first chunk carries status and headers."""

    request_id: str
    attempt: int
    data: bytes
    status: int = 0
    headers: list[tuple[str, str]] | None = None


class RunEnd(msgspec.Struct, frozen=True):
    """The run ended, or never started (``ran`` is ``not_run``)."""

    request_id: str
    attempt: int
    code: int
    ran: str
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    detail: str = ""
    retry_after_ms: int = 0


class EntryLost(msgspec.Struct, frozen=True):
    """The connection to an entry was lost, or its process ended."""

    host: str


class LeaveStarted(msgspec.Struct, frozen=True):
    """The endpoint is leaving: new requests are refused and running ones finish."""


class Accept(msgspec.Struct, frozen=True):
    """Add the request to the queue of the endpoint."""

    host: str
    start: Start


class CancelRun(msgspec.Struct, frozen=True):
    """Remove the request from the queue, or stop its run."""

    request_id: str
    attempt: int


class PauseRun(msgspec.Struct, frozen=True):
    """Stop reading the endpoint's answer."""

    request_id: str
    attempt: int


class ResumeRun(msgspec.Struct, frozen=True):
    """Resume reading the endpoint's answer."""

    request_id: str
    attempt: int


LedgerEvent = FromEntry | RunStarting | RunChunk | RunEnd | EntryLost | LeaveStarted
