"""Outcome of one request at the entry, over all its attempts."""

from enum import IntEnum
from typing import assert_never

from teaselpath.delivery._assembler import Completed
from teaselpath.delivery._outcome_events import (
    AgentLost,
    AgentReply,
    Delivered,
    Finished,
    NoRoute,
    Outcome,
    OutcomeAction,
    OutcomeEvent,
    Routed,
    RouteRequested,
    SendCancel,
    SendStart,
    StopRequested,
    StreamCompleted,
)
from teaselpath.results import Code, Ran
from teaselpath.wire import Cancelled, Refused

# Refusals for reasons of the endpoint, not of the request; another endpoint may accept it.
REROUTED_REFUSALS = frozenset(
    (
        Code.ENDPOINT_LEAVING,
        Code.ENDPOINT_FAILED,
        Code.CIRCUIT_OPEN,
        Code.QUEUE_FULL,
        Code.OVERLOADED,
        Code.WEIGHTS_MISMATCH,
        Code.FENCED,
        Code.STOPPING,
    )
)
# Failures of an attempt that may have run; retried only if the request is repeatable or its stream
# can be continued.
RETRIED_FAILURES = frozenset(
    (
        Code.ENDPOINT_FAILED,
        Code.ENDPOINT_PROTOCOL,
        Code.ENDPOINT_LEAVING,
        Code.STREAM_INCOMPLETE,
        Code.BUFFER_EXPIRED,
        Code.UNKNOWN_REQUEST,
        Code.OUTCOME_UNKNOWN,
        Code.PEER_UNREACHABLE,
        Code.PEER_TIMEOUT,
    )
)


class _State(IntEnum):
    """State of the request."""

    ROUTING = 1
    SENT = 2
    FENCING = 3
    STOPPING = 4
    DONE = 5


class Attempt:
    """One attempt and whether it is known to have run."""

    __slots__ = ("agent_incarnation", "host", "ran")

    def __init__(self, host: str, agent_incarnation: int) -> None:
        self.host = host
        self.agent_incarnation = agent_incarnation
        self.ran = Ran.UNKNOWN


class RequestOutcome:
    """Routes, retries and cancels one request until its outcome is final.

    A request that is not repeatable gets a new attempt only after the previous one is proven not
    run. :meth:`begin` is called once, before any event.

    :param repeatable: whether the request may run twice; false for a request with a claim key.
    :param continuable: whether a broken stream may be continued on another engine.
    :param first_byte_deadline: instant by which the first byte of the answer has to be delivered.
    :param max_attempts: maximum number of attempts.
    :param cancel_timeout_s: how long to wait for the reply to a cancel, in seconds.
    :param cancel_resend_s: interval at which a cancel is resent, in seconds.
    """

    def __init__(
        self,
        *,
        repeatable: bool,
        continuable: bool,
        first_byte_deadline: float,
        max_attempts: int = 3,
        cancel_timeout_s: float = 3.0,
        cancel_resend_s: float = 0.25,
    ) -> None:
        self.repeatable = repeatable
        self.continuable = continuable
        self.first_byte_deadline = first_byte_deadline
        self.max_attempts = max_attempts
        self.cancel_timeout_s = cancel_timeout_s
        self.cancel_resend_s = cancel_resend_s
        self.attempts: list[Attempt] = []
        self.has_delivered = False
        self.finished: Finished | None = None
        self._state = _State.ROUTING
        self._stop_code = Code.OK
        self._cancel_deadline = 0.0
        self._resend_at = 0.0

    @property
    def ran(self) -> Ran:
        """Whether any attempt ran, as far as is known."""
        known = {attempt.ran for attempt in self.attempts}
        if Ran.RAN in known:
            return Ran.RAN
        return Ran.UNKNOWN if Ran.UNKNOWN in known else Ran.NOT_RUN

    def begin(self) -> list[OutcomeAction]:
        """Request the route of the first attempt."""
        return [RouteRequested(1)]

    def handle(self, event: OutcomeEvent, now: float) -> list[OutcomeAction]:
        """Apply one event and return the resulting actions."""
        if self._state is _State.DONE:
            return []
        match event:
            case Delivered(attempt):
                self.has_delivered = True
                self.attempts[attempt - 1].ran = Ran.RAN
                return []
            case Routed(host, agent_incarnation):
                return self._handle_routed(host, agent_incarnation)
            case NoRoute(code, detail, retry_after_ms):
                if self._state is not _State.ROUTING:
                    return []
                return self._finish(code, detail, retry_after_ms)
            case AgentReply(host, message):
                return self._handle_reply(host, message)
            case StreamCompleted(attempt, completed):
                return self._handle_completed(attempt, completed, now)
            case AgentLost(host):
                return self._handle_agent_lost(host)
            case StopRequested(code):
                return self._stop(Code(code), now)
            case _:
                assert_never(event)

    def tick(self, now: float) -> list[OutcomeAction]:
        """Apply deadlines and timeouts."""
        if self._state in (_State.FENCING, _State.STOPPING):
            return self._tick_cancel(now)
        is_late = not self.has_delivered and now >= self.first_byte_deadline
        if self._state is _State.DONE or not is_late:
            return []
        return self._stop(Code.DEADLINE_EXCEEDED, now)

    def _tick_cancel(self, now: float) -> list[OutcomeAction]:
        if now >= self._cancel_deadline:
            detail = "the agent did not answer the cancel"
            if self._state is _State.STOPPING:
                return self._finish(self._stop_code, detail)
            return self._retry_or_finish(Code.OUTCOME_UNKNOWN, detail)
        if now < self._resend_at:
            return []
        self._resend_at = now + self.cancel_resend_s
        return [self._cancel_current()]

    # Routing

    def _handle_routed(self, host: str, agent_incarnation: int) -> list[OutcomeAction]:
        if self._state is not _State.ROUTING:
            return []
        self.attempts.append(Attempt(host, agent_incarnation))
        self._state = _State.SENT
        return [SendStart(host, len(self.attempts), agent_incarnation)]

    def _reroute(self, code: int, detail: str, retry_after_ms: int = 0) -> list[OutcomeAction]:
        if len(self.attempts) >= self.max_attempts:
            return self._finish(code, detail, retry_after_ms)
        excluded = tuple(dict.fromkeys(attempt.host for attempt in self.attempts))
        self._state = _State.ROUTING
        number = len(self.attempts) + 1
        return [RouteRequested(number, excluded, is_continuation=self.has_delivered)]

    # Replies of agents

    def _handle_reply(self, host: str, message: Refused | Cancelled) -> list[OutcomeAction]:
        number = message.attempt
        if not 1 <= number <= len(self.attempts) or self.attempts[number - 1].host != host:
            return []
        attempt = self.attempts[number - 1]
        if isinstance(message, Refused) or not message.started:
            # A delivered byte proves that the attempt ran; a reply to the contrary is wrong.
            if attempt.ran is Ran.RAN:
                return []
            attempt.ran = Ran.NOT_RUN
        elif message.ran == Ran.RAN:
            attempt.ran = Ran.RAN
        is_current = number == len(self.attempts) and self._state is not _State.ROUTING
        if not is_current:
            return []
        if isinstance(message, Refused):
            return self._handle_refused(message)
        return self._handle_cancelled(attempt)

    def _handle_refused(self, refused: Refused) -> list[OutcomeAction]:
        if self._state is _State.STOPPING:
            return self._finish(self._stop_code, refused.detail)
        if refused.code == Code.DUPLICATE_REQUEST:
            # The agent has another attempt of this request, which may have run.
            self.attempts[-1].ran = Ran.UNKNOWN
            return self._finish(refused.code, refused.detail)
        if refused.code in REROUTED_REFUSALS:
            return self._reroute(refused.code, refused.detail, refused.retry_after_ms)
        return self._finish(refused.code, refused.detail, refused.retry_after_ms)

    def _handle_cancelled(self, attempt: Attempt) -> list[OutcomeAction]:
        if self._state is _State.STOPPING:
            return self._finish(self._stop_code, "the request was stopped")
        if self._state is not _State.FENCING:
            return []
        if attempt.ran is Ran.NOT_RUN:
            return self._reroute(Code.UNKNOWN_REQUEST, "the request did not reach its agent")
        return self._retry_or_finish(Code.OUTCOME_UNKNOWN, "the answer of the request is lost")

    def _handle_completed(
        self, number: int, completed: Completed, now: float
    ) -> list[OutcomeAction]:
        if number != len(self.attempts) or self._state is _State.ROUTING:
            return []
        attempt = self.attempts[-1]
        if completed.ran == Ran.RAN or completed.code == Code.OK:
            attempt.ran = Ran.RAN
        if completed.code == Code.OK:
            return self._finish(Code.OK, "")
        if self._state is _State.STOPPING:
            return self._finish(self._stop_code, completed.detail)
        if completed.code == Code.UNKNOWN_REQUEST and attempt.ran is Ran.UNKNOWN:
            return self._fence(now)
        return self._retry_or_finish(completed.code, completed.detail)

    def _retry_or_finish(self, code: int, detail: str) -> list[OutcomeAction]:
        """Start another attempt after one that may have run, if the request allows it."""
        is_allowed = self.continuable if self.has_delivered else self.repeatable
        if not is_allowed or code not in RETRIED_FAILURES:
            return self._finish(code, detail)
        # The failed attempt may still be running; the cancel saves that work and needs no reply.
        return [self._cancel_current(), *self._reroute(code, detail)]

    def _handle_agent_lost(self, host: str) -> list[OutcomeAction]:
        if self._state is _State.ROUTING or self.attempts[-1].host != host:
            return []
        detail = "the agent of the request is gone"
        if self._state is _State.STOPPING:
            return self._finish(self._stop_code, detail)
        if self.attempts[-1].ran is Ran.RAN:
            return self._retry_or_finish(Code.STREAM_INCOMPLETE, detail)
        return self._retry_or_finish(Code.OUTCOME_UNKNOWN, detail)

    # Cancel and fence

    def _cancel_current(self) -> SendCancel:
        attempt = self.attempts[-1]
        return SendCancel(attempt.host, len(self.attempts), attempt.agent_incarnation)

    def _fence(self, now: float) -> list[OutcomeAction]:
        self._state = _State.FENCING
        return self._send_cancel(now)

    def _stop(self, code: Code, now: float) -> list[OutcomeAction]:
        if self._state is _State.ROUTING:
            return self._finish(code, "the request was stopped before it was sent")
        if self._state is _State.STOPPING:
            return []
        self._stop_code = code
        self._state = _State.STOPPING
        return self._send_cancel(now)

    def _send_cancel(self, now: float) -> list[OutcomeAction]:
        self._cancel_deadline = now + self.cancel_timeout_s
        self._resend_at = now + self.cancel_resend_s
        return [self._cancel_current()]

    def _finish(self, code: int, detail: str, retry_after_ms: int = 0) -> list[OutcomeAction]:
        self._state = _State.DONE
        ran = self.ran
        if code == Code.OK:
            outcome = Outcome.SERVED
        elif ran is Ran.NOT_RUN:
            outcome = Outcome.NOT_RUN
        else:
            outcome = Outcome.FAILED if ran is Ran.RAN else Outcome.UNKNOWN
        self.finished = Finished(outcome, code, ran, detail, retry_after_ms)
        return [self.finished]
