"""One attempt to run a request at an endpoint."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from eliot import log_message

from teaselpath.dispatch import (
    Answered,
    AttemptLimits,
    Broken,
    NotRun,
    NotSent,
    Outcome,
    Placed,
)
from teaselpath.fleet import AnswerInfo, Forwarding, RequestCodec, RequestKind
from teaselpath.gateway._call import Call
from teaselpath.gateway._engine_ends import BrokenRun, EngineEndDetector
from teaselpath.gateway._events import InvalidEvent
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._origins import StreamOrigins
from teaselpath.gateway._quarantine import PROVING_EVENTS, QuarantineGate
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway._statements import record_availability, record_load
from teaselpath.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    Exchange,
    HttpClient,
    ReadTimeout,
)
from teaselpath.results import Code

T = TypeVar("T")
# Bytes of a stream that are read ahead of its caller. Beyond them reading pauses, and the time in
# which all pauses of one attempt have to end, in seconds: less than engines wait before they cut
# off an answer.
MAX_AHEAD_BYTES = 65_536
MAX_PAUSED_S = 1.0
# Bytes of a stream that are read from an engine before they are passed on.
ENGINE_BUFFER_BYTES = 32_768
# Media type of the answers that a caller can take up.
EVENT_STREAM = b"text/event-stream"


@dataclass(slots=True, frozen=True)
class AttemptContext:
    """Objects that all attempts share.

    :param detector: finds out which engines end while they run requests.
    :param gate: quarantine, which learns of answers.
    :param origins: software versions at which streams began, which learns of first events.
    :param acquire_retry: takes a retry of a request whose attempt is late; returns whether the
        request may be sent elsewhere.
    """

    state: GatewayState
    codec: RequestCodec
    http: HttpClient
    metrics: GatewayMetrics
    detector: EngineEndDetector
    gate: QuarantineGate
    origins: StreamOrigins
    acquire_retry: Callable[[Exchange, Call], bool]


def describe_outcome(outcome: Outcome) -> str:
    """Return the text of an outcome for the log."""
    match outcome:
        case Answered(status) | NotRun(status):
            return f"{type(outcome).__name__} {status}"
        case Broken(True):
            return "TimedOut"
        case _:
            return type(outcome).__name__


class SlowCaller(Exception):
    """The caller reads so slowly that it would hold up the engine."""


class Attempt:
    """One attempt to run a request at an endpoint."""

    def __init__(self, context: AttemptContext, exchange: Exchange, call: Call, placed: Placed):
        self.context = context
        self.exchange = exchange
        self.call = call
        self.placed = placed
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        self.events_before = call.splitter.count
        self.has_proved = False
        # Where the memory of engines is bounded, no caller holds a part of it by reading slowly.
        self.reads_ahead = context.detector.memory.bound_of(call.service) is not None
        self.paused_s = 0.0
        self.last_event_at: float | None = None
        self.limits = AttemptLimits(call.route, call.progress.runs, self.started_at, call.deadline)
        # Set if the connection was lost within the answer: whether the engine has ended.
        self.engine_end: asyncio.Future[bool] | None = None

    async def run(self) -> Outcome:
        """Send the request, read the answer and return the outcome."""
        call, endpoint = self.call, self.placed.view.endpoint
        pool = self.context.http.pool(endpoint.address)
        request_id = call.request.request_id.encode("latin-1") or None
        try:
            connection = await pool.acquire_for(request_id, call.deadline)
        except ConnectFailed:
            return NotSent()
        if self.placed.view.availability.is_held_off(self.loop.time()):
            # The endpoint has refused another request since this one was placed.
            connection.abort()
            return NotSent()
        head = None
        try:
            connection.send(
                call.request.method,
                self._encode(),
                self.context.codec.id_header,
                request_id,
            )
            self._record_retry_sent()
            head = await self._with_progress(connection.read_head)
            info = self.context.codec.decode_answer(head.status, head.headers)
            outcome = await self._read_answer(connection, info)
        except InvalidEvent as error:
            outcome = Broken()
            self._log_invalid_answer(str(error))
        except ConnectionBroken as error:
            outcome = Broken()
            # A server that closes its connection is part of the line on the request.
            if connection.has_exceeded_limits or connection.has_invalid_data:
                self._log_invalid_answer(str(error))
            if not connection.has_exceeded_limits:
                self._record_broken()
        except ReadTimeout:
            outcome = Broken(is_timeout=True)
        except SlowCaller:
            # Nothing is wrong with the engine.
            connection.abort()
            call.reads_slowly = True
            return Answered(200)
        except BaseException:
            connection.abort()
            raise
        if isinstance(outcome, Broken):
            connection.abort()
        else:
            pool.release(connection, head)
        return outcome

    def _record_retry_sent(self) -> None:
        """Count the retry that was taken for this attempt, if it is one, as sent."""
        call, now, metrics = self.call, self.loop.time(), self.context.metrics
        if call.retry is None:
            return
        grant, call.retry = call.retry, None
        wait_s = now - grant.taken_at
        call.retry_waits.append(wait_s)
        service = call.service.name
        self.context.state.retry_budget(service, now).record_sent(grant, now)
        metrics.count_retry(service, "sent")
        metrics.observe_retry_wait(service, wait_s)

    def _record_broken(self) -> None:
        call = self.call
        run = BrokenRun(
            call.request.request_id,
            call.parts,
            call.splitter.count - self.events_before,
            self.loop.time() - self.started_at,
            call.trial is not None,
        )
        self.engine_end = self.context.detector.record_broken(self.placed.view, run)

    def _encode(self) -> bytes:
        call, placed = self.call, self.placed
        last_event_id = call.splitter.last_id or call.request.last_event_id
        is_prompt = call.request.prompt is not None and call.service.engine is not None
        workspace = call.workspace
        forwarding = Forwarding(
            time_left_s=max(0.001, call.deadline - self.loop.time()),
            endpoint_id=placed.view.endpoint.endpoint_id,
            workspace=workspace.name if workspace else None,
            scope=placed.scope if is_prompt else None,
            weights=placed.weights if is_prompt else None,
            # Priorities above 9 are sent as 9.
            priority=min(9, call.priority) if is_prompt else None,
            last_event_id=last_event_id,
            fetch_from=placed.fetch_from,
            save_to=placed.save_to if is_prompt else None,
        )
        return self.context.codec.encode_request(call.request, forwarding)

    def _log_invalid_answer(self, reason: str) -> None:
        self.context.metrics.count_invalid_answer(self.call.service.name)
        log_message(
            "invalid_answer",
            request_id=self.call.request.request_id,
            endpoint=self.placed.view.endpoint.endpoint_id,
            code=int(Code.ENDPOINT_PROTOCOL),
            reason=reason,
        )

    async def _with_progress(self, read: Callable[[float], Awaitable[T]]) -> T:
        """Read within the limits of the attempt.

        :raises ReadTimeout: at the deadline, or if the request can be sent elsewhere.
        """
        while True:
            try:
                return await read(self.limits.progress_deadline)
            except ReadTimeout:
                now, call = self.loop.time(), self.call
                if now >= call.deadline:
                    raise
                if call.retry is not None or self.context.acquire_retry(self.exchange, call):
                    raise
                self.limits.extend(now)

    async def _read_answer(self, connection: ClientConnection, info: AnswerInfo) -> Outcome:
        call, view = self.call, self.placed.view
        self._record_weights(info)
        self._record_limit(info)
        drain_s = self.context.state.settings.bounds.drain_s
        record_availability(view, info, drain_s, self.loop.time())
        record_load(view, info, self.loop.time())
        if info.status == 200:
            view.record_accepted()
        is_stream = call.route.kind is RequestKind.STREAM
        if info.status == 200 and is_stream and info.has_stamp and not info.is_encoded:
            if not self._is_same_kind(info):
                self._log_invalid_answer(f"a stream goes on as {info.media_type!r}")
                return Broken()
            return await self._relay_events(connection, info)
        # Something between gateway and endpoint has generated or re-encoded the answer.
        is_foreign = not info.has_stamp or info.is_encoded
        if info.status < 300 and is_foreign and not info.did_not_run:
            return Broken()
        body = await connection.read_body(call.deadline)
        if info.did_not_run:
            # The process at this address is not the expected endpoint or, for a prompt, may have
            # another weights version.
            if info.is_misdirected:
                view.health.record_unreachable(self.loop.time())
            elif call.service.engine is not None and info.limit_per_s is None:
                view.record_not_run(info.requests, self.loop.time())
            return NotRun(info.status)
        if not self.exchange.is_started:
            call.answer, call.answer_body = info, body
        if info.has_stamp and info.status < self._failure_status():
            self._record_proof()
        return Answered(info.status)

    def _is_same_kind(self, info: AnswerInfo) -> bool:
        """Return whether a body can continue the one of which the caller has a part, if any."""
        if self.exchange.is_started:
            return self.call.answer is not None and info.media_type == self.call.answer.media_type
        # What the caller has came from an earlier request, which stated a stream of events.
        return not self.call.takes_up or info.media_type in (b"", EVENT_STREAM)

    def _failure_status(self) -> int:
        """Return the lowest status that does not prove that the engine has run the request.

        A model engine can reject a prompt without having begun to answer on it.
        """
        return 500 if self.call.service.engine is None else 300

    def _record_proof(self) -> None:
        """Record once that the engine answers this request."""
        if not self.has_proved:
            self.has_proved = True
            self.context.gate.record_answer(self.call)

    def _record_limit(self, info: AnswerInfo) -> None:
        """Record the limit that an answer states, or that it states none."""
        view, now = self.placed.view, self.loop.time()
        if info.is_misdirected:
            return
        if info.invalid_limit is not None:
            log_message(
                "endpoint_limit_invalid",
                endpoint=view.endpoint.endpoint_id,
                text=info.invalid_limit,
            )
            return
        # A refusal may come from in front of the endpoint, which knows of no limit.
        if info.limit_per_s is None and not info.has_stamp:
            return
        if view.limit.record_statement(info.limit_per_s, now):
            log_message(
                "endpoint_limit_changed",
                endpoint=view.endpoint.endpoint_id,
                service=view.endpoint.service,
                limit_per_s=info.limit_per_s,
                sent_in_4_s=view.limit.count_sends(now),
            )

    def _record_weights(self, info: AnswerInfo) -> None:
        prompt = self.call.request.prompt
        if info.weights is not None and prompt is not None:
            self.placed.view.record_weights(prompt.model, info.weights)

    async def _relay_events(self, connection: ClientConnection, info: AnswerInfo) -> Outcome:
        """Forward events to the caller as they arrive, complete events only.

        Reading from the endpoint pauses while the caller does not take the events, for a short time
        only where the memory of engines is bounded.
        """
        call, exchange = self.call, self.exchange
        splitter = call.splitter
        splitter.restart()
        if self.reads_ahead:
            connection.limit_buffers(ENGINE_BUFFER_BYTES)
        while True:
            data = await self._with_progress(connection.read_chunk)
            if data is None:
                break
            complete_events = splitter.feed(data)
            if not complete_events:
                continue
            if not exchange.is_started:
                call.first_byte_at = self.loop.time()
                if call.reservation is not None:
                    call.reservation.mark_prefilled(call.first_byte_at)
                self._record_first_event(call.first_byte_at)
                call.answer = info
                if not call.has_begun:
                    self.context.origins.record_begun(call, self.placed.view)
                if self.reads_ahead:
                    exchange.limit_send_buffer(MAX_AHEAD_BYTES)
                exchange.start(200, info.forwarded_headers)
            elif self.last_event_at is not None and call.first_event_s is not None:
                self.placed.view.times.record_step(self.loop.time() - self.last_event_at)
            self.last_event_at = self.loop.time()
            exchange.write(complete_events)
            await self._drain()
            self.limits.record_event(self.loop.time())
            if splitter.count - self.events_before >= PROVING_EVENTS:
                self._record_proof()
        if not splitter.is_between_events or not exchange.is_started:
            # Without framing, the end of the engine's process looks like that of the answer.
            self._record_broken()
            return Broken()
        self._record_proof()
        self._record_slot_time()
        exchange.finish()
        return Answered(200)

    def _record_first_event(self, now: float) -> None:
        """Compare the time to the first event with the expected one, and learn from it."""
        call, placed = self.call, self.placed
        prompt, times = call.request.prompt, placed.view.times
        if prompt is None or call.service.engine is None or not times.is_learning:
            return
        elapsed_s = now - self.started_at
        uncached_tokens = max(0, prompt.prompt_tokens - placed.cached_tokens)
        times.record_first_event(placed.times, uncached_tokens, elapsed_s, now)
        call.first_event_s = placed.first_event_s, elapsed_s
        self.context.metrics.observe_first_event(call.service.name, placed.first_event_s, elapsed_s)

    def _record_slot_time(self) -> None:
        """Learn how long this request occupied a slot of its engine."""
        call, times = self.call, self.placed.times
        if call.first_event_s is None or call.first_byte_at is None:
            return
        begun_s = min(call.first_event_s[1], times.fixed_s + times.prefill_s)
        duration_s = self.loop.time() - call.first_byte_at + begun_s
        self.placed.view.times.record_slot_time(duration_s)

    async def _drain(self) -> None:
        """Wait until the caller has taken enough of the events.

        :raises ReadTimeout: at the request's deadline.
        :raises SlowCaller: if the engine has waited too long.
        """
        if self.reads_ahead and self.exchange.unsent_bytes() <= MAX_AHEAD_BYTES:
            return
        started_at, until = self.loop.time(), self.call.deadline
        if self.reads_ahead:
            until = min(until, started_at + MAX_PAUSED_S - self.paused_s)
        try:
            async with asyncio.timeout_at(until):
                await self.exchange.drain()
        except TimeoutError as error:
            raise (ReadTimeout if until == self.call.deadline else SlowCaller) from error
        self.paused_s += self.loop.time() - started_at
