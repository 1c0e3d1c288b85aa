"""Forwarding of requests: admission, attempts, retries and the answer to the caller."""

import asyncio
import random
from collections.abc import Callable

from eliot import log_message

from teaselpath.dispatch import (
    LONG_PROMPT_TOKENS,
    Answered,
    Broken,
    Fail,
    ForwardAnswer,
    NoEndpoint,
    NotRun,
    NotSent,
    Outcome,
    OverRate,
    Placed,
    Refuse,
    Resend,
    next_step,
)
from teaselpath.fleet import CallerRequest, RequestCodec, Route, Service, Workspace
from teaselpath.gateway._attempt import Attempt, AttemptContext, describe_outcome
from teaselpath.gateway._call import Call
from teaselpath.gateway._engine_ends import EngineEndDetector
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._placement import Placer
from teaselpath.gateway._quarantine import Quarantined, QuarantineGate
from teaselpath.gateway._state import GatewayState, LongPlacement
from teaselpath.http1 import Exchange, HttpClient
from teaselpath.results import Code

# Time limit of a request that states none, in seconds.
DEFAULT_CALLER_TIMEOUT_S = 30.0
# Retry-After while this gateway has no configuration, or no service for a route, in seconds.
UNCONFIGURED_RETRY_AFTER_S = 1.0
# Shortest Retry-After of a refusal by a stopping gateway, in seconds.
MIN_RETRY_AFTER_S = 0.2
# Limit on the number of times one request is sent, including sends after which the endpoint did not
# run it; failed connection attempts do not count.
MAX_SENDS = 4
# Parts of a prompt that the log line of its request lists.
MAX_LOGGED_PARTS = 8


class Forwarder:
    """Admits the requests of callers, forwards them to endpoints and returns the answers.

    :param state: state of this gateway.
    :param codec: translation of requests and answers.
    :param http: client for calls to endpoints.
    :param metrics: metrics of this gateway.
    :param announce: sends the placement of a long prompt to the other gateways.
    :param gate: quarantine of prompt parts.
    """

    def __init__(
        self,
        state: GatewayState,
        codec: RequestCodec,
        http: HttpClient,
        metrics: GatewayMetrics,
        announce: Callable[[LongPlacement], None],
        gate: QuarantineGate,
    ):
        self.state = state
        self.codec = codec
        self.gate = gate
        detector = EngineEndDetector(state, http, metrics, gate.handle_end)
        self.context = AttemptContext(
            state, codec, http, metrics, detector, gate, self._acquire_retry
        )
        self.placer = Placer(state, announce)
        self.metrics = metrics
        self.random = random.Random()
        self.loop = asyncio.get_running_loop()
        self.running = 0
        self.tasks: set[asyncio.Task] = set()
        self.is_ending = False

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request of a caller."""
        raw = exchange.request
        request = self.codec.decode_request(raw.method, raw.target, raw.headers, raw.body)
        if request is None:
            exchange.respond(400, [])
            return
        call = self._admit(exchange, request)
        if call is None:
            return
        self.running += 1
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        # Logged if this handler raises or is cancelled because the caller disconnects.
        code = Code.CALLER_GONE
        try:
            code = await self._serve(exchange, call)
        except asyncio.CancelledError:
            if not self.is_ending or exchange.connection.is_closing:
                raise
            code = self._end_unfinished(exchange, call)
        finally:
            self.gate.end_trial(call)
            self.running -= 1
            self.tasks.discard(task)
            self._log(call, code)

    def end_unfinished(self) -> None:
        """End all requests in flight with a final answer, because the process ends."""
        self.is_ending = True
        for task in self.tasks:
            task.cancel()

    def _end_unfinished(self, exchange: Exchange, call: Call) -> Code:
        # An attempt that the cancellation has interrupted may have run.
        if call.was_sent or exchange.is_started:
            return self._respond_failed(exchange, call, 502)
        wait_s = max(MIN_RETRY_AFTER_S, self.state.successor_at - self.loop.time())
        return self._respond_refused(exchange, call, Code.STOPPING, wait_s)

    def _admit(self, exchange: Exchange, request: CallerRequest) -> Call | None:
        """Return the call, or respond with a refusal and return None."""
        state, now = self.state, exchange.request.received_at
        config = state.config
        if config is None:
            self._refuse(exchange, request, Code.NO_BUNDLE, 503, UNCONFIGURED_RETRY_AFTER_S)
            return None
        prompt = request.prompt
        is_long = prompt is not None and prompt.prompt_tokens >= LONG_PROMPT_TOKENS
        if state.refuses_requests or (state.refuses_long_prompts and is_long):
            wait_s = max(MIN_RETRY_AFTER_S, state.successor_at - now)
            self._refuse(exchange, request, Code.STOPPING, 503, wait_s)
            return None
        route = config.find_route(request.host, request.path)
        if route is None or not route.backends:
            self._refuse(exchange, request, Code.UNKNOWN_ROUTE, 404)
            return None
        workspace = None
        if config.has_workspaces and not route.is_public:
            workspace = state.workspace_of(request.key)
            if workspace is None:
                self._refuse(exchange, request, Code.UNKNOWN_KEY, 401)
                return None
        service = self._choose_service(route)
        if service is None:
            self._refuse(exchange, request, Code.NO_ENDPOINT, 503, UNCONFIGURED_RETRY_AFTER_S)
            return None
        time_left_s = request.time_left_s
        time_left_s = DEFAULT_CALLER_TIMEOUT_S if time_left_s is None else time_left_s
        deadline = now + min(time_left_s, route.timeout_s)
        call = Call(request, route, service, workspace, now, deadline)
        if workspace is not None:
            call.tokens = workspace.plain_tokens if request.tokens is None else request.tokens
            state.quota.set_reachable_fraction(*state.count_gateways(now))
            grant = state.quota.charge(workspace, call.tokens, now)
            if isinstance(grant, OverRate):
                self._refuse(
                    exchange,
                    request,
                    Code.RATE_EXCEEDED,
                    429,
                    grant.retry_after_s,
                    workspace,
                    tokens=request.tokens,
                    level=round(grant.level),
                    rate=round(grant.rate),
                    share=round(grant.reachable_fraction, 3),
                )
                return None
        state.retry_budget(service.name).record_request(now)
        return call

    def _choose_service(self, route: Route) -> Service | None:
        assert self.state.config is not None
        backends = route.backends
        chosen = backends[0]
        if len(backends) > 1:
            weights = [b.weight for b in backends]
            chosen = self.random.choices(backends, weights)[0]
        return self.state.config.services.get(chosen.service)

    def _refuse(
        self,
        exchange: Exchange,
        request: CallerRequest,
        code: Code,
        status: int,
        retry_after_s: float | None = None,
        workspace: Workspace | None = None,
        **inputs: float | None,
    ) -> None:
        """Respond to a request that is not admitted.

        :param inputs: values on which the refusal is based, for the log.
        """
        exchange.respond(status, self.codec.own_response_headers(request.request_id, retry_after_s))
        config = self.state.config
        name = workspace.name if workspace else None
        log_message(
            "request_refused",
            request_id=request.request_id,
            path=request.path,
            workspace=name,
            status=status,
            code=int(code),
            reason=code.name,
            retry_after_s=retry_after_s,
            config_version=config.version if config else None,
            **inputs,
        )
        self.metrics.count_refusal(name or "", code.name)

    async def _serve(self, exchange: Exchange, call: Call) -> Code:
        """Send the request to endpoints until the caller has a response; return its result code."""
        while True:
            quarantined = await self.gate.admit(call)
            if quarantined is not None:
                return self._end_quarantined(exchange, call, quarantined)
            placed = await self.placer.acquire(call, self.loop.time())
            if isinstance(placed, NoEndpoint):
                return self._end_unplaced(exchange, call, placed)
            if not self.gate.may_send(call):
                self.placer.release(call)
                self.gate.end_trial(call)
                continue
            outcome = await self._attempt(exchange, call, placed)
            now = self.loop.time()
            # The attempt has relayed a complete stream.
            if exchange.is_finished:
                return Code.OK
            step = next_step(call.route, outcome, call.progress, now, call.deadline)
            if isinstance(step, Resend) and not self._can_resend(call, step):
                step = self._step_without_resend(call, outcome)
            match step:
                case Resend():
                    continue
                case ForwardAnswer():
                    return self._respond_answer(exchange, call)
                case Refuse():
                    wait_s = self.placer.retry_after_s(call, now)
                    return self._respond_refused(exchange, call, Code.ENDPOINT_LEAVING, wait_s)
                case Fail(status):
                    return self._respond_failed(exchange, call, status)

    def _can_resend(self, call: Call, step: Resend) -> bool:
        if call.progress.sends >= MAX_SENDS:
            return False
        if not step.is_retry:
            return True
        has_retry = call.has_retry or self._acquire_retry(call)
        call.has_retry = False
        return has_retry

    def _acquire_retry(self, call: Call) -> bool:
        now = self.loop.time()
        _, gateways = self.state.count_gateways(now)
        return self.state.retry_budget(call.service.name).try_acquire(now, gateways)

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
        try:
            outcome = await attempt.run()
        finally:
            self.placer.release(call)
        call.lost_engine = attempt.engine_end is not None and await attempt.engine_end
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

    # responses

    def _respond_answer(self, exchange: Exchange, call: Call) -> Code:
        assert call.answer is not None
        call.first_byte_at = self.loop.time()
        exchange.respond(call.answer.status, call.answer.forwarded_headers, call.answer_body)
        return Code.OK if call.answer.status < 500 else Code.ENDPOINT_FAILED

    def _end_unplaced(self, exchange: Exchange, call: Call, no_endpoint: NoEndpoint) -> Code:
        is_overload = no_endpoint.reason in ("queue", "limited", "held_off")
        code = Code.OVERLOADED if is_overload else Code.NO_ENDPOINT
        call.attempts.append(("", no_endpoint.reason, 0.0))
        if call.progress.runs == 0:
            return self._respond_refused(exchange, call, code, no_endpoint.retry_after_s)
        return self._respond_failed(exchange, call, 502)

    def _end_quarantined(self, exchange: Exchange, call: Call, quarantined: Quarantined) -> Code:
        call.attempts.append(("", quarantined.reason, 0.0))
        if call.progress.runs == 0:
            return self._respond_refused(
                exchange, call, quarantined.code, quarantined.retry_after_s
            )
        self._respond_failed(exchange, call, 502)
        return quarantined.code

    def _respond_refused(
        self, exchange: Exchange, call: Call, code: Code, retry_after_s: float
    ) -> Code:
        if call.workspace is not None:
            self.state.quota.refund(call.workspace, call.tokens)
        headers = self.codec.own_response_headers(call.request.request_id, retry_after_s)
        exchange.respond(503, headers)
        return code

    def _respond_failed(self, exchange: Exchange, call: Call, status: int) -> Code:
        if exchange.is_started:
            exchange.abort()
            return Code.STREAM_INCOMPLETE
        if call.answer is not None:
            return self._respond_answer(exchange, call)
        exchange.respond(status, self.codec.own_response_headers(call.request.request_id, None))
        return Code.DEADLINE_EXCEEDED if status == 504 else Code.OUTCOME_UNKNOWN

    def _log(self, call: Call, code: Code) -> None:
        now = self.loop.time()
        config = self.state.config
        first_byte_at = call.first_byte_at
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
            events=call.splitter.count,
            prompt_tokens=prompt.prompt_tokens if prompt else 0,
            prefix=prompt.parts[0].part_id if prompt and prompt.parts else None,
            parts=[part.part_id for part in prompt.parts[:MAX_LOGGED_PARTS]] if prompt else None,
            cached_tokens=placed.cached_tokens if placed else 0,
            copied_from=placed.fetch_from if placed else None,
            saved_to=placed.save_to if placed else None,
            scope=placed.scope if placed else None,
            weights=placed.weights if placed else None,
            cost_ms=round(placed.cost_s * 1000, 1) if placed else None,
            first_ms=round((first_byte_at - call.arrived_at) * 1000, 1) if first_byte_at else None,
            total_ms=round((now - call.arrived_at) * 1000, 1),
            config_version=config.version if config else None,
        )
        name = call.workspace.name if call.workspace else ""
        first_s = first_byte_at - call.arrived_at if first_byte_at else None
        self.metrics.observe(name, call.route.kind, code.name, first_s, now - call.arrived_at)
