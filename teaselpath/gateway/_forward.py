"""Forwarding of requests: attempts and retries."""

import asyncio
from collections.abc import Callable

from eliot import log_message

from teaselpath.dispatch import (
    Answered,
    Broken,
    Cut,
    Fail,
    FirstStep,
    ForwardAnswer,
    NoEndpoint,
    NotRun,
    NotSent,
    Outcome,
    Placed,
    Refuse,
    Resend,
    StreamStep,
    next_step,
    next_stream_step,
)
from teaselpath.exchange import ServiceTimes
from teaselpath.fleet import RequestCodec
from teaselpath.gateway._admission import Admission
from teaselpath.gateway._attempt import Attempt, AttemptContext, describe_outcome
from teaselpath.gateway._call import Call
from teaselpath.gateway._engine_ends import MAX_CHECK_S, EngineEndDetector
from teaselpath.gateway._entities import LongPlacement
from teaselpath.gateway._held import HeldExchange, HeldMemory
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._origins import StreamOrigins
from teaselpath.gateway._placement import Placer
from teaselpath.gateway._quarantine import QuarantineGate
from teaselpath.gateway._responses import MIN_RETRY_AFTER_S, Responder
from teaselpath.gateway._state import GatewayState
from teaselpath.http1 import Exchange, HttpClient
from teaselpath.results import Code

# Limit on the number of times one request is sent, including sends after which the endpoint did not
# run it; failed connection attempts do not count.
MAX_SENDS = 4
# Parts of a prompt that the log line of its request lists.
MAX_LOGGED_PARTS = 8


class Forwarder:
    """Forwards the requests of callers to endpoints and returns the answers.

    :param state: state of this gateway.
    :param codec: translation of requests and answers.
    :param http: client for calls to endpoints.
    :param metrics: metrics of this gateway.
    :param announce: sends the placement of a long prompt to the other gateways.
    :param gate: quarantine of prompt parts and requests.
    :param origins: software versions at which streams began.
    """

    def __init__(
        self,
        state: GatewayState,
        codec: RequestCodec,
        http: HttpClient,
        metrics: GatewayMetrics,
        announce: Callable[[LongPlacement], None],
        gate: QuarantineGate,
        origins: StreamOrigins,
    ):
        self.state = state
        self.codec = codec
        self.gate = gate
        self.origins = origins
        detector = EngineEndDetector(state, http, metrics, gate.handle_end)
        self.context = AttemptContext(
            state, codec, http, metrics, detector, gate, origins, self._acquire_early_retry
        )
        self.placer = Placer(state, announce)
        self.times = ServiceTimes()
        self.held = HeldMemory()
        self.admission = Admission(state, codec, metrics, self.times)
        self.responder = Responder(state, codec)
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.running = 0
        self.tasks: set[asyncio.Task] = set()
        self.is_ending = False

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of a caller.

        An exception is raised again once the caller has its response. A cancellation ends the
        request with an answer, too, unless it is the caller that has left.
        """
        call = self.admission.admit(exchange)
        if call is None:
            return
        exchange = self._hold(exchange, call)
        self.running += 1
        call.number = self.times.begin(call.kind, call.arrived_at)
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        # Logged if this handler raises or is cancelled because the caller disconnects.
        code = Code.CALLER_GONE
        try:
            if isinstance(exchange, HeldExchange):
                code = await self._serve_held(exchange, call)
            else:
                code = await self._serve(exchange, call)
        except asyncio.CancelledError:
            if exchange.connection.is_closing:
                raise
            code = self._end_cancelled(exchange, call)
        except Exception:
            code = self.responder.end_failed(exchange, call)
            raise
        finally:
            self.gate.end_trial(call)
            self._give_retry_back(call)
            if isinstance(exchange, HeldExchange):
                exchange.discard_data()
            if code is Code.OK:
                self.origins.record_finished(call)
            self.running -= 1
            self.times.end(call.kind, call.number, self.loop.time(), was_sent=call.was_sent)
            self.tasks.discard(task)
            self._log(call, code)

    def _hold(self, exchange: Exchange, call: Call) -> Exchange:
        """Return the exchange, or one that holds back an answer that may outlast the process."""
        stop = self.state.stop
        if stop is None or not stop.must_hold(call.arrived_at, call.deadline):
            return exchange
        headers = self.codec.own_response_headers(call.request.request_id, None)
        fails_at = stop.fails_held_at(call.abandoned_at)
        return HeldExchange(exchange, (502, headers), self.held, fails_at)

    def _end_cancelled(self, exchange: Exchange, call: Call) -> Code:
        """End a request whose handler was cancelled though its caller still waits."""
        if self.is_ending:
            return self._end_by_stop(exchange, call)
        log_message("handler_cancelled", request_id=call.request.request_id)
        return self.responder.end_failed(exchange, call)

    def _end_by_stop(self, exchange: Exchange, call: Call) -> Code:
        wait_s = self.admission.stop_wait_s(self.loop.time())
        return self.responder.end_unfinished(exchange, call, wait_s)

    def end_unfinished(self) -> None:
        """End all requests in flight with a final answer, because the process ends."""
        self.is_ending = True
        for task in self.tasks:
            task.cancel()

    async def _serve_held(self, exchange: HeldExchange, call: Call) -> Code:
        """Serve a request until its caller is about to leave, which has received nothing."""
        try:
            async with asyncio.timeout_at(exchange.fails_at) as limit:
                exchange.on_full = lambda: limit.reschedule(self.loop.time())
                return await self._serve(exchange, call)
        except TimeoutError:
            if not limit.expired():
                raise
            return self._end_by_stop(exchange, call)

    async def _serve(self, exchange: Exchange, call: Call) -> Code:
        """Send the request to endpoints until the caller has a response; return its result code."""
        if not await self.origins.resolve(call):
            return self.responder.refuse(
                exchange, call, Code.STREAM_ORIGIN_UNKNOWN, MIN_RETRY_AFTER_S
            )
        while True:
            quarantined = await self.gate.admit(call)
            if quarantined is not None:
                return self.responder.end_quarantined(exchange, call, quarantined)
            placed = await self.placer.acquire(call, self.loop.time())
            if isinstance(placed, NoEndpoint):
                return self.responder.end_unplaced(exchange, call, placed)
            if not self.gate.may_send(call):
                self.placer.withdraw(call)
                self.gate.end_trial(call)
                continue
            # The end of a stop has come nearer while the request waited, or was sent elsewhere.
            if not self._may_send(exchange, call):
                self.placer.withdraw(call)
                wait_s = self.admission.stop_wait_s(self.loop.time())
                return self.responder.end_stopping(exchange, call, wait_s)
            outcome = await self._attempt(exchange, call, placed)
            if call.reads_slowly:
                return self.responder.discard(exchange)
            # The attempt has relayed a complete stream.
            if exchange.is_finished:
                return Code.OK
            match self._next_step(exchange, call, outcome):
                case Resend():
                    continue
                case ForwardAnswer():
                    return self.responder.forward_answer(exchange, call)
                case Refuse():
                    wait_s = self.placer.retry_after_s(call, self.loop.time())
                    return self.responder.refuse(exchange, call, Code.ENDPOINT_LEAVING, wait_s)
                case Fail(status):
                    return self.responder.fail(exchange, call, status)
                case Cut():
                    return self.responder.cut(exchange)

    def _next_step(
        self, exchange: Exchange, call: Call, outcome: Outcome
    ) -> FirstStep | StreamStep:
        now = self.loop.time()
        step: FirstStep | StreamStep
        if exchange.is_started:
            step = next_stream_step(
                call.route,
                outcome,
                call.progress,
                now,
                call.deadline,
                can_resume=call.can_go_on,
            )
        else:
            step = next_step(call.route, outcome, call.progress, now, call.deadline)
        if not isinstance(step, Resend) or self._can_resend(call, step):
            return step
        return Cut() if exchange.is_started else self._step_without_resend(call, outcome)

    def _can_resend(self, call: Call, step: Resend) -> bool:
        if call.progress.sends >= MAX_SENDS:
            return False
        if not step.is_retry:
            return True
        return call.retry is not None or self._acquire_retry(call)

    def _may_send(self, exchange: Exchange, call: Call) -> bool:
        """Return whether a stop of this gateway leaves the time for another attempt."""
        return exchange.is_started or self.admission.has_time(call, self.loop.time())

    def _acquire_early_retry(self, exchange: Exchange, call: Call) -> bool:
        """Take a retry for a request whose attempt is late but goes on if there is none."""
        return self._may_send(exchange, call) and self._acquire_retry(call)

    def _acquire_retry(self, call: Call) -> bool:
        now, service = self.loop.time(), call.service.name
        budget = self.state.retry_budget(service, now)
        call.retry = budget.try_acquire(now, self.state.count_retry_shares(now))
        self.metrics.count_retry(service, "refused" if call.retry is None else "taken")
        return call.retry is not None

    def _give_retry_back(self, call: Call) -> None:
        """Give back a retry that was taken for a request that has ended without sending it."""
        if call.retry is not None:
            service, grant, call.retry = call.service.name, call.retry, None
            self.state.retry_budget(service, self.loop.time()).give_back(grant)
            self.metrics.count_retry(service, "given_back")

    def _step_without_resend(self, call: Call, outcome: Outcome) -> ForwardAnswer | Refuse | Fail:
        match outcome:
            case Answered():
                return ForwardAnswer()
            case _ if call.progress.runs == 0:
                return Refuse()
            case _:
                return Fail(502)

    async def _attempt(self, exchange: Exchange, call: Call, placed: Placed) -> Outcome:
        """Send the request to one endpoint and record the outcome."""
        view = placed.view
        started_at = self.loop.time()
        call.was_sent = True
        attempt = Attempt(self.context, exchange, call, placed)
        rollouts = self.placer.rollouts
        flight = rollouts.begin(call, placed) if rollouts is not None else None
        try:
            outcome = await attempt.run()
        except BaseException:
            if rollouts is not None:
                rollouts.finish(flight, None)
            raise
        finally:
            self.placer.release(call)
        call.lost_engine = False
        if attempt.engine_end is not None:
            call.checked_until = self.loop.time() + MAX_CHECK_S
            try:
                call.lost_engine = await attempt.engine_end
            except BaseException:
                if rollouts is not None:
                    rollouts.finish(flight, outcome)
                raise
            call.checked_until = 0.0
        if rollouts is not None:
            rollouts.finish(flight, outcome, lost=call.lost_engine)
        self.gate.end_trial(call)
        now = self.loop.time()
        if call.lost_engine:
            view.health.record_unreachable(now)
        self._record_outcome(call, placed, outcome, now)
        call.was_sent = call.progress.runs > 0
        call.attempts.append(
            (view.endpoint.endpoint_id, describe_outcome(outcome), round(now - started_at, 4))
        )
        return outcome

    def _record_outcome(self, call: Call, placed: Placed, outcome: Outcome, now: float) -> None:
        health = placed.view.health
        is_held_off = placed.view.availability.is_held_off(now)
        # An endpoint that wants no requests for now may take this one later.
        if not (is_held_off and isinstance(outcome, NotSent | NotRun)):
            call.tried.add(placed.view.endpoint.endpoint_id)
        match outcome:
            case NotSent():
                if not is_held_off:
                    health.record_unreachable(now)
            case NotRun():
                call.progress.sends += 1
            case Answered(status):
                call.progress.sends += 1
                call.progress.runs += 1
                if status >= 500:
                    health.record_failure(now)
                else:
                    health.record_success(now)
            case Broken():
                call.progress.sends += 1
                call.progress.runs += 1
                health.record_failure(now)

    def _log(self, call: Call, code: Code) -> None:
        now = self.loop.time()
        config = self.state.config
        first_byte_at = call.first_byte_at
        predicted_s, attempt_s = call.first_event_s or (None, None)
        prompt, placed = call.request.prompt, call.placed
        log_message(
            "request",
            request_id=call.request.request_id,
            route=call.route.name,
            workspace=call.workspace.name if call.workspace else None,
            code=int(code),
            reason=code.name,
            status=call.answer.status if call.answer else None,
            attempts=call.attempts,
            retry_waits_s=[round(wait_s, 3) for wait_s in call.retry_waits],
            software=placed.view.endpoint.software if placed else None,
            resumes=call.request.resumes,
            events=call.splitter.count,
            prompt_tokens=prompt.prompt_tokens if prompt else 0,
            prefix=prompt.parts[0].part_id if prompt and prompt.parts else None,
            parts=[part.part_id for part in prompt.parts[:MAX_LOGGED_PARTS]] if prompt else None,
            digest=call.known_digest,
            cached_tokens=placed.cached_tokens if placed else 0,
            copied_from=placed.fetch_from if placed else None,
            saved_to=placed.save_to if placed else None,
            scope=placed.scope if placed else None,
            weights=placed.weights if placed else None,
            room=call.room,
            cost_ms=round(placed.cost_s * 1000, 1) if placed else None,
            first_ms=round((first_byte_at - call.arrived_at) * 1000, 1) if first_byte_at else None,
            predicted_ms=None if predicted_s is None else round(predicted_s * 1000, 1),
            first_event_ms=None if attempt_s is None else round(attempt_s * 1000, 1),
            total_ms=round((now - call.arrived_at) * 1000, 1),
            config_version=config.version if config else None,
        )
        name = call.workspace.name if call.workspace else ""
        first_s = first_byte_at - call.arrived_at if first_byte_at else None
        self.metrics.observe(name, call.route.kind, code.name, first_s, now - call.arrived_at)
