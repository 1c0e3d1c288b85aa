"""Idempotency claims for a plain service: log stream, appends, stored answers."""

import time
from collections.abc import Callable

from result import Ok, Result

from teaselpath.clients import LogRecord
from teaselpath.control import ControlPlane, LogFollower
from teaselpath.delivery import (
    AppendDone,
    AppendFailed,
    ClaimFinished,
    ClaimGranted,
    ClaimRefused,
    ClaimRequested,
    ClaimTable,
    ReadProgress,
    RecordRead,
    RunChunk,
    StoredAnswer,
)
from teaselpath.results import Code, Failure, Ran
from teaselpath.wire import Append, Start

# Larger answers are not stored; a retry with the same key then only gets the fact that it ran.
MAX_ANSWER_BYTES = 1024 * 1024
RETRY_AFTER_S = 1.0


class ClaimService:
    """Claims the idempotency key of each request before it runs.

    :param plane: log and settings of this process.
    :param service: name of the plain service.
    :param window_s: retention time of a key, in seconds.
    :param on_decision: called with the start and whether its claim was granted or refused.
    """

    def __init__(
        self,
        plane: ControlPlane,
        service: str,
        window_s: float,
        on_decision: Callable[[Start, ClaimGranted | ClaimRefused], None],
    ):
        self.plane = plane
        self.on_decision = on_decision
        self.table = ClaimTable(service, plane.settings.host, plane.incarnation, window_s=window_s)
        self.starts: dict[tuple[bytes, str, int], Start] = {}
        self.answers: dict[tuple[str, int], StoredAnswer | None] = {}
        self.follower: LogFollower | None = plane.follow(
            f"claims.{service}", self._handle_record, self._on_read
        )

    def claim(self, start: Start, deadline: float) -> None:
        """Claim the key of a request; ``on_decision`` gets the outcome."""
        key = (start.claim_key, start.request_id, start.attempt)
        self.starts[key] = start
        self._act(self.table.handle(ClaimRequested(*key, deadline), time.monotonic()))

    def record_chunk(self, chunk: RunChunk) -> None:
        """Store a chunk of the answer to a claimed request."""
        key = (chunk.request_id, chunk.attempt)
        if chunk.headers is not None:
            self.answers[key] = StoredAnswer(chunk.status, chunk.headers, chunk.data)
            return
        answer = self.answers.get(key)
        if answer is None:
            return
        body = answer.body + chunk.data
        fits = len(body) <= MAX_ANSWER_BYTES
        self.answers[key] = StoredAnswer(answer.status, answer.headers, body) if fits else None

    def finish(self, start: Start, code: int, ran: str) -> None:
        """Record the end of a claimed request."""
        answer = self.answers.pop((start.request_id, start.attempt), None)
        if code != Code.OK:
            answer = None
        event = ClaimFinished(start.claim_key, start.request_id, start.attempt, ran, answer)
        self._act(self.table.handle(event, time.monotonic()))

    def tick(self, now: float) -> None:
        """Process the timeouts of claims."""
        self._act(self.table.tick(now))

    def _handle_record(self, record: LogRecord) -> None:
        event = RecordRead(record.offset, record.data, record.age_ms / 1e3)
        self._act(self.table.handle(event, time.monotonic()))

    def _on_read(self, is_up: bool) -> None:
        follower = self.follower
        if is_up and follower is not None and follower.is_caught_up:
            event = ReadProgress(follower.next_offset)
            self._act(self.table.handle(event, time.monotonic()))

    def _act(self, actions: list) -> None:
        for action in actions:
            match action:
                case ClaimGranted() | ClaimRefused():
                    key = (action.key, action.request_id, action.attempt)
                    start = self.starts.pop(key, None)
                    if start is not None:
                        self.on_decision(start, action)
                case Append():
                    self.plane.append(action, self._on_append)

    def _on_append(self, result: Result[int, Failure]) -> None:
        event: AppendDone | AppendFailed
        match result:
            case Ok(offset):
                event = AppendDone(offset)
            case _:
                failure = result.unwrap_err()
                may_have_applied = failure.code is Code.APPEND_UNKNOWN
                event = AppendFailed(may_have_applied, failure.retry_after_s)
        self._act(self.table.handle(event, time.monotonic()))


def claim_failure(refused: ClaimRefused) -> Failure:
    """Return the failure to report for a refused claim."""
    ran = Ran(refused.ran)
    retry_after_s = RETRY_AFTER_S if refused.code == Code.CLAIM_UNAVAILABLE else 0.0
    return Failure(Code(refused.code), refused.detail, ran, retry_after_s)
