"""Ledger of the requests at an agent; every request to its endpoint passes through it."""

from math import inf
from typing import assert_never

from teaselpath.delivery._events import (
    Accept,
    CancelRun,
    DeliveryLimits,
    EntryLost,
    FromEntry,
    LeaveStarted,
    LedgerEvent,
    PauseRun,
    ResumeRun,
    RunChunk,
    RunEnd,
    RunStarting,
)
from teaselpath.delivery._finished import AttemptState, FinishedAttempt, FinishedTable
from teaselpath.delivery._record import AttemptRecord, Key, is_repeatable
from teaselpath.delivery._replies import (
    cancelled_reply,
    end_reply,
    expired_reply,
    reply_chunks,
    wrong_workspace_reply,
)
from teaselpath.results import Code, Ran
from teaselpath.wire import Ack, Cancel, Chunk, End, Refused, Resume, Send, Start

# Highest attempt number that a resume by request id alone looks up.
MAX_LOOKUP_ATTEMPT = 8

Action = Accept | Send | CancelRun | PauseRun | ResumeRun


class RequestLedger:
    """Accepts, fences and delivers the requests of one endpoint.

    :param incarnation: number of this agent process. A start or fence that names another process
        may have reached that one, so it never runs and is never reported as not run.
    :param limits: limits of the buffers and of the table of finished attempts.
    """

    def __init__(self, incarnation: int, limits: DeliveryLimits | None = None) -> None:
        self.incarnation = incarnation
        self.limits = limits or DeliveryLimits()
        self.is_leaving = False
        self.records: dict[Key, AttemptRecord] = {}
        self.finished = FinishedTable(self.limits.finished_retention_s, self.limits.max_finished)
        # Number of attempts per request id that are queued, running or finished after a run.
        self._possible_runs: dict[str, int] = {}

    @property
    def is_drained(self) -> bool:
        """Whether nothing is queued or running and every stream was acknowledged or discarded."""
        return not self.records

    def handle(self, event: LedgerEvent, now: float) -> list[Action]:
        """Apply one event and return the resulting actions."""
        match event:
            case RunChunk():
                return self._handle_run_chunk(event)
            case FromEntry(host, message):
                return self._handle_message(host, message, now)
            case RunStarting(request_id, attempt):
                return self._handle_run_starting((request_id, attempt))
            case RunEnd():
                return self._handle_run_end(event, now)
            case EntryLost(host):
                return self._handle_entry_lost(host, now)
            case LeaveStarted():
                return self._handle_leave(now)
            case _:
                assert_never(event)

    def tick(self, now: float) -> list[Action]:
        """Discard expired buffers, resend unacknowledged ends and remove old finished attempts."""
        actions: list[Action] = []
        for record in list(self.records.values()):
            if record.expires_at <= now:
                actions += self._expire(record, now)
            elif record.resend_at <= now:
                actions += self._resend_end(record, now)
        for (request_id, _), attempt in self.finished.expire(now):
            if attempt.state is not AttemptState.NOT_RUN:
                self._decrement_possible_runs(request_id)
        return actions

    def _handle_message(
        self, host: str, message: Start | Ack | Cancel | Resume, now: float
    ) -> list[Action]:
        match message:
            case Ack():
                return self._handle_ack(host, message, now)
            case Start():
                return self._handle_start(host, message, now)
            case Resume():
                return self._handle_resume(host, message, now)
            case Cancel():
                return self._handle_cancel(host, message, now)
            case _:
                assert_never(message)

    # Starts and cancels

    def _handle_start(self, host: str, start: Start, now: float) -> list[Action]:
        key = (start.request_id, start.attempt)
        if (finished := self.finished.attempts.get(key)) is not None:
            return [Send(host, self._finished_reply(key, finished))]
        if (record := self.records.get(key)) is not None:
            return self._handle_duplicate_start(host, record)
        origin = (host, start.entry_incarnation, start.sequence)
        if start.agent_incarnation != self.incarnation or self.finished.is_below_floor(origin):
            detail = "the start is older than the memory of this agent"
            return [end_reply(host, key, Code.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail)]
        if self.is_leaving:
            return [Send(host, Refused(*key, Code.ENDPOINT_LEAVING, "the endpoint is leaving"))]
        if not is_repeatable(start) and self._possible_runs.get(start.request_id):
            detail = "another attempt of this request may have run"
            refused = Refused(*key, Code.DUPLICATE_REQUEST, detail)
            self._record_not_run(refused, start.workspace, origin, now)
            return [Send(host, refused)]
        expires_at = now + self.limits.buffer_retention_s
        self.records[key] = AttemptRecord(host, start, self.limits.window_chunks, expires_at)
        self._possible_runs[start.request_id] = self._possible_runs.get(start.request_id, 0) + 1
        return [Accept(host, start)]

    def _handle_duplicate_start(self, host: str, record: AttemptRecord) -> list[Action]:
        # A duplicate of the start from the same entry must not end its stream.
        if host in (record.host, record.origin[0]):
            return []
        detail = "the request was started through another entry; resume it"
        return [end_reply(host, record.key, Code.DUPLICATE_REQUEST, record.ran, detail)]

    def _handle_cancel(self, host: str, cancel: Cancel, now: float) -> list[Action]:
        key = (cancel.request_id, cancel.attempt)
        if (finished := self.finished.attempts.get(key)) is not None:
            return [Send(host, cancelled_reply(key, finished.ran))]
        if (record := self.records.get(key)) is not None:
            return self._cancel_record(host, record, now)
        origin = (host, cancel.entry_incarnation, cancel.sequence)
        is_own_incarnation = cancel.agent_incarnation == self.incarnation
        if not cancel.fence or not is_own_incarnation or self.finished.is_below_floor(origin):
            return [Send(host, cancelled_reply(key, Ran.UNKNOWN))]
        refused = Refused(*key, Code.FENCED, "the request was cancelled before it arrived")
        self._record_not_run(refused, "", origin, now)
        return [Send(host, cancelled_reply(key, Ran.NOT_RUN))]

    def _cancel_record(self, host: str, record: AttemptRecord, now: float) -> list[Action]:
        # Once the caller has resumed through another entry, the former one must not stop the run.
        if record.host not in (host, None):
            return [Send(host, cancelled_reply(record.key, record.ran))]
        if record.state is AttemptState.QUEUED:
            self._finish_not_run(record, Code.FENCED, "the request was cancelled in the queue", now)
            return [CancelRun(*record.key), Send(host, cancelled_reply(record.key, Ran.NOT_RUN))]
        actions: list[Action] = [Send(host, cancelled_reply(record.key, Ran.RAN))]
        if record.state is AttemptState.ENDED:
            self._move_to_finished(record, now)
            return actions
        return self._cancel_run(record) + actions

    def _cancel_run(self, record: AttemptRecord) -> list[Action]:
        """Stop a run; chunks that it still produces are discarded."""
        if record.is_cancelled:
            return []
        record.is_cancelled = True
        return [CancelRun(*record.key)]

    # Runs

    def _handle_run_starting(self, key: Key) -> list[Action]:
        record = self.records.get(key)
        if record is None or record.state is not AttemptState.QUEUED:
            return [CancelRun(*key)]
        record.state = AttemptState.RUNNING
        return []

    def _handle_run_chunk(self, event: RunChunk) -> list[Action]:
        record = self.records.get((event.request_id, event.attempt))
        if record is None or record.is_cancelled or record.state is AttemptState.ENDED:
            return []
        buffer = record.buffer
        number = buffer.last + 1
        if record.is_abandoned:
            buffer.skip(number)
            return []
        chunk = Chunk(event.request_id, event.attempt, number, event.data)
        if event.status:
            chunk.status, chunk.headers = event.status, event.headers or []
        buffer.last = number
        buffer.chunks.append(chunk)
        buffer.size += len(event.data)
        actions: list[Action] = []
        if record.host is not None and buffer.sent == number - 1 and number <= buffer.send_limit:
            buffer.sent = number
            actions.append(Send(record.host, chunk))
        if not record.is_paused and buffer.is_full(self.limits):
            record.is_paused = True
            actions.append(PauseRun(event.request_id, event.attempt))
        return actions

    def _handle_run_end(self, event: RunEnd, now: float) -> list[Action]:
        record = self.records.get((event.request_id, event.attempt))
        if record is None or record.state is AttemptState.ENDED:
            return []
        if event.ran == Ran.NOT_RUN and record.buffer.last == 0:
            return self._refuse_record(record, event, now)
        code, ran = event.code, event.ran
        if record.is_cancelled:
            code = Code.CANCELLED
        # Chunks have arrived, so it is not certain that the attempt did not run.
        if ran == Ran.NOT_RUN:
            ran = Ran.UNKNOWN
        record.state = AttemptState.ENDED
        record.expires_at = now + self.limits.buffer_retention_s
        record.resend_at = now + self.limits.end_resend_s
        record.buffer.end = End(
            *record.key,
            record.buffer.last,
            code,
            ran,
            event.prompt_tokens,
            event.cached_tokens,
            event.output_tokens,
            event.detail,
        )
        if record.is_abandoned:
            self._move_to_finished(record, now)
            return []
        return self._send_due(record)

    def _refuse_record(self, record: AttemptRecord, event: RunEnd, now: float) -> list[Action]:
        refused = self._finish_not_run(
            record, event.code, event.detail, now, retry_after_ms=event.retry_after_ms
        )
        return [Send(record.host, refused)] if record.host is not None else []

    # Acknowledgements and resumes

    def _handle_ack(self, host: str, ack: Ack, now: float) -> list[Action]:
        record = self.records.get((ack.request_id, ack.attempt))
        # Once another entry has resumed the stream, the former one must not discard chunks
        # that the new one still needs.
        if record is None or host != record.host:
            return []
        record.expires_at = now + self.limits.buffer_retention_s
        buffer = record.buffer
        buffer.acknowledge(ack.number)
        buffer.send_limit = max(buffer.send_limit, ack.number + ack.window)
        if buffer.is_delivered:
            self._move_to_finished(record, now)
            return []
        return self._send_due(record) + self._resume_run(record)

    def _handle_resume(self, host: str, resume: Resume, now: float) -> list[Action]:
        is_by_id = resume.attempt == 0
        key = (resume.request_id, resume.attempt or self._newest_attempt(resume.request_id))
        if (finished := self.finished.attempts.get(key)) is not None:
            return [Send(host, self._resume_finished(key, finished, resume))]
        record = self.records.get(key)
        if record is None:
            detail = "this agent does not know the request"
            return [end_reply(host, key, Code.UNKNOWN_REQUEST, Ran.UNKNOWN, detail)]
        if resume.workspace != record.workspace:
            return [wrong_workspace_reply(host, key)]
        if is_by_id and record.is_continuation:
            # The beginning of the answer came from another attempt, so this stream is incomplete.
            # At least 1, because an assembler without chunks ignores the message otherwise.
            return [Send(host, expired_reply(key, max(1, record.buffer.last), record.ran))]
        buffer = record.buffer
        if resume.after < buffer.acked:
            return [Send(host, expired_reply(key, buffer.acked, record.ran))]
        record.host = host
        record.is_abandoned = False
        record.expires_at = now + self.limits.buffer_retention_s
        buffer.acknowledge(min(resume.after, buffer.last))
        buffer.rewind(resume.after, self.limits.window_chunks)
        return self._send_due(record) + self._resume_run(record)

    def _newest_attempt(self, request_id: str) -> int:
        """Return the newest attempt of a request at this agent, or 0 if there is none."""
        for attempt in range(MAX_LOOKUP_ATTEMPT, 0, -1):
            key = (request_id, attempt)
            if key in self.records or key in self.finished.attempts:
                return attempt
        return 0

    def _resume_finished(
        self, key: Key, finished: FinishedAttempt, resume: Resume
    ) -> End | Refused:
        reply = finished.reply
        if finished.state is AttemptState.NOT_RUN:
            return reply
        if resume.workspace != finished.workspace:
            return End(*key, 0, Code.WRONG_WORKSPACE, Ran.UNKNOWN)
        has_all_chunks = resume.attempt != 0 and resume.after >= reply_chunks(reply)
        return reply if has_all_chunks else self._finished_reply(key, finished)

    def _finished_reply(self, key: Key, finished: FinishedAttempt) -> End | Refused:
        """Return the reply for a finished attempt, whose buffer was discarded."""
        if finished.state is AttemptState.NOT_RUN:
            return finished.reply
        # At least 1, because an assembler without chunks ignores the message otherwise.
        return expired_reply(key, max(1, reply_chunks(finished.reply)), finished.ran)

    def _resend_end(self, record: AttemptRecord, now: float) -> list[Action]:
        """Resend the end, so that an entry whose acknowledgement was lost acknowledges it again."""
        record.resend_at = now + self.limits.end_resend_s
        buffer = record.buffer
        if record.host is None or buffer.end is None or buffer.sent <= buffer.last:
            return []
        return [Send(record.host, buffer.end)]

    def _send_due(self, record: AttemptRecord) -> list[Action]:
        if record.host is None:
            return []
        return [Send(record.host, message) for message in record.buffer.collect_due()]

    def _resume_run(self, record: AttemptRecord) -> list[Action]:
        if not (record.is_paused and record.buffer.is_low(self.limits)):
            return []
        record.is_paused = False
        return [ResumeRun(*record.key)] if record.state is AttemptState.RUNNING else []

    # Lost entries, expiry and leaving

    def _handle_entry_lost(self, host: str, now: float) -> list[Action]:
        for record in self.records.values():
            if record.host == host:
                record.host = None
                record.expires_at = now + self.limits.buffer_retention_s
        return []

    def _expire(self, record: AttemptRecord, now: float) -> list[Action]:
        if record.state is AttemptState.QUEUED:
            self._finish_not_run(record, Code.CALLER_GONE, "the entry is gone", now)
            return [CancelRun(*record.key)]
        if record.state is AttemptState.ENDED:
            self._move_to_finished(record, now)
            return []
        record.buffer.discard()
        record.host = None
        record.is_abandoned = True
        record.expires_at = inf
        # A run that is not repeatable is left to finish: stopped midway it could not be retried.
        return self._cancel_run(record) if record.repeatable else self._resume_run(record)

    def _handle_leave(self, now: float) -> list[Action]:
        self.is_leaving = True
        actions: list[Action] = []
        queued = [r for r in self.records.values() if r.state is AttemptState.QUEUED]
        for record in queued:
            detail = "the endpoint is leaving"
            refused = self._finish_not_run(record, Code.ENDPOINT_LEAVING, detail, now)
            actions.append(CancelRun(*record.key))
            if record.host is not None:
                actions.append(Send(record.host, refused))
        return actions

    # Finished attempts

    def _move_to_finished(self, record: AttemptRecord, now: float) -> None:
        end = record.buffer.end
        if end is None:
            raise ValueError("cannot finish an attempt whose stream has not ended")
        del self.records[record.key]
        finished = FinishedAttempt(record.state, record.workspace, end, record.origin)
        self.finished.add(record.key, finished, now)

    def _finish_not_run(
        self, record: AttemptRecord, code: int, detail: str, now: float, retry_after_ms: int = 0
    ) -> Refused:
        refused = Refused(*record.key, code, detail, retry_after_ms)
        del self.records[record.key]
        self._decrement_possible_runs(record.key[0])
        self._record_not_run(refused, record.workspace, record.origin, now)
        return refused

    def _record_not_run(
        self, refused: Refused, workspace: str, origin: tuple[str, int, int], now: float
    ) -> None:
        key = (refused.request_id, refused.attempt)
        attempt = FinishedAttempt(AttemptState.NOT_RUN, workspace, refused, origin)
        self.finished.add(key, attempt, now)

    def _decrement_possible_runs(self, request_id: str) -> None:
        count = self._possible_runs[request_id] - 1
        if count:
            self._possible_runs[request_id] = count
        else:
            del self._possible_runs[request_id]
