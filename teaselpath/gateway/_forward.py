"""One request from arrival to its answer."""

import asyncio
import random
from dataclasses import dataclass, field

from eliot import log_message

from teaselpath.dispatch import (
    LONG_TOKENS,
    PREFILL_TOKENS_PER_S,
    Answered,
    Broken,
    Demand,
    Fail,
    NoPlace,
    NotRun,
    NotSent,
    Outcome,
    OverRate,
    PassOn,
    Placed,
    Progress,
    Refuse,
    SendAgain,
    Ticket,
    WaitingRoom,
    choose_endpoint,
    next_step,
)
from teaselpath.fleet import (
    AnswerInfo,
    CallerRequest,
    Forwarding,
    RequestCodec,
    RequestKind,
    Route,
    Service,
    Workspace,
)
from teaselpath.gateway._events import EventSplitter
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._state import GatewayState, WantedWeights
from teaselpath.http1 import (
    ClientConnection,
    ConnectFailed,
    ConnectionBroken,
    Exchange,
    HttpClient,
    ReadTimeout,
)
from teaselpath.results import Code

# Time that a caller waits if it does not say, in seconds.
DEFAULT_TIME_LEFT_S = 30.0
# Answer to a caller while this gateway knows no configuration, in seconds.
START_RETRY_AFTER_S = 1.0
# Silence after which an idempotent request goes to another endpoint, as a multiple of its target.
SILENCE_FACTOR = 2.0
# Part of the time for a rollout after which older weights run no more requests.
OLD_WEIGHTS_PART = 0.85
# Shared tokens from which a prompt's parts are kept in the store of cached parts.
MIN_SAVE_TOKENS = 1_000
# Interval between tries to place the waiting requests, in seconds.
QUEUE_INTERVAL_S = 0.015
# Part of a request's time after which a wait for an endpoint ends in a refusal.
MAX_WAIT_PART = 0.5
# Longest time that a refusal names, in seconds.
MAX_RETRY_AFTER_S = 3.0
# Reasons for which a request is refused at once.
NOT_WORTH_WAITING = frozenset({"none_listed", "unreachable"})
# Largest number of endpoints that one request is sent to, whether they run it or not.
MAX_SENDS = 4


@dataclass(slots=True)
class Call:
    """A request on its way.

    :param deadline: event loop time at which nobody waits any more.
    :param tried: endpoints that it was sent to.
    :param attempts: endpoint, outcome and duration of each attempt, for the log.
    """

    request: CallerRequest
    route: Route
    service: Service
    workspace: Workspace | None
    arrived_at: float
    deadline: float
    progress: Progress = field(default_factory=Progress)
    tried: set[str] = field(default_factory=set)
    attempts: list[tuple[str, str, float]] = field(default_factory=list)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    tokens: int = 0
    first_byte_at: float | None = None
    answer: AnswerInfo | None = None
    body: bytes = b""
    placed: Placed | None = None
    unread: int = 0

    @property
    def priority(self) -> int:
        """Return the workspace's priority if it has one, else the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority


class Forwarder:
    """Answers the requests of callers.

    :param state: what this gateway knows.
    :param codec: translation of requests and answers.
    :param http: connections to endpoints.
    """

    def __init__(
        self, state: GatewayState, codec: RequestCodec, http: HttpClient, metrics: GatewayMetrics
    ):
        self.state = state
        self.codec = codec
        self.http = http
        self.metrics = metrics
        self.random = random.Random()
        self.loop = asyncio.get_running_loop()
        self.running = 0
        self.waiting = WaitingRoom()
        self.waiters: dict[int, tuple[Call, asyncio.Future[Placed]]] = {}

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        raw = exchange.request
        request = self.codec.decode_request(raw.method, raw.target, raw.headers, raw.body)
        if request is None:
            exchange.respond(400, [])
            return
        call = self._admit(exchange, request)
        if call is None:
            return
        self.running += 1
        code = Code.CALLER_GONE
        try:
            code = await self._serve(exchange, call)
        finally:
            self.running -= 1
            self._log(call, code)

    def _admit(self, exchange: Exchange, request: CallerRequest) -> Call | None:
        """Return the call, or answer it if it is not allowed."""
        state, now = self.state, exchange.request.received_at
        config = state.config
        if config is None:
            self._refuse(exchange, request, Code.NO_BUNDLE, 503, START_RETRY_AFTER_S)
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
            self._refuse(exchange, request, Code.NO_ENDPOINT, 503, START_RETRY_AFTER_S)
            return None
        time_left_s = request.time_left_s
        time_left_s = DEFAULT_TIME_LEFT_S if time_left_s is None else time_left_s
        deadline = now + min(time_left_s, route.timeout_s)
        call = Call(request, route, service, workspace, now, deadline)
        if workspace is not None:
            call.tokens = workspace.plain_tokens if request.tokens is None else request.tokens
            state.quota.set_share(*state.gateways(now))
            grant = state.quota.take(workspace, call.tokens, now)
            if isinstance(grant, OverRate):
                self._refuse(
                    exchange, request, Code.RATE_EXCEEDED, 429, grant.retry_after_s, workspace
                )
                return None
        state.retry_window(service.name).record_request(now)
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
    ) -> None:
        exchange.respond(status, self.codec.refusal_headers(request.request_id, retry_after_s))
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
        )
        self.metrics.count_refusal(name or "", code.name)

    async def _serve(self, exchange: Exchange, call: Call) -> Code:
        """Send the request to endpoints until there is an answer."""
        while True:
            now = self.loop.time()
            placed = await self._find_place(call, now)
            if isinstance(placed, NoPlace):
                return self._end_without_place(exchange, call, placed)
            outcome = await self._attempt(exchange, call, placed)
            now = self.loop.time()
            if exchange.is_finished:
                return Code.OK
            step = next_step(call.route, outcome, call.progress, now, call.deadline)
            if isinstance(step, SendAgain) and not self._may_send_again(call, step, now):
                step = self._without_repeat(call, outcome)
            match step:
                case SendAgain():
                    continue
                case PassOn():
                    return self._pass_on(exchange, call)
                case Refuse():
                    return self._end_refused(exchange, call, Code.ENDPOINT_LEAVING, 0.2)
                case Fail(status):
                    return self._end_failed(exchange, call, status)

    async def _find_place(self, call: Call, now: float) -> Placed | NoPlace:
        """Return a reserved endpoint, at once or after a wait."""
        prompt = call.request.prompt
        tokens = prompt.prompt_tokens if prompt else 0
        ticket = Ticket(call.service.name, call.priority, tokens, call.deadline)
        place = self._place(call, now)
        if isinstance(place, Placed) and (
            tokens < LONG_TOKENS or not self.waiting.has_before(ticket)
        ):
            self._reserve(call, place)
            return place
        if isinstance(place, NoPlace) and place.reason in NOT_WORTH_WAITING:
            return place
        return await self._wait(call, ticket, now)

    async def _wait(self, call: Call, ticket: Ticket, now: float) -> Placed | NoPlace:
        views = self.state.by_service.get(call.service.name, [])
        backlog = sum(view.unread_tokens() for view in views)
        speed = PREFILL_TOKENS_PER_S * len(views)
        if self.waiting.is_hopeless(ticket, backlog, speed, now):
            wait_s = self.waiting.expected_wait_s(ticket, backlog, speed)
            return NoPlace("queue", min(MAX_RETRY_AFTER_S, max(0.2, wait_s)))
        future: asyncio.Future[Placed] = self.loop.create_future()
        self.waiting.join(ticket)
        self.waiters[ticket.number] = (call, future)
        try:
            async with asyncio.timeout_at(now + MAX_WAIT_PART * (call.deadline - now)):
                return await future
        except TimeoutError:
            return NoPlace("queue", 0.5)
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._release(call, future.result())
            raise
        finally:
            self.waiting.leave(ticket)
            del self.waiters[ticket.number]

    async def run_queue(self) -> None:
        """Place waiting requests as endpoints become free, until cancelled."""
        while True:
            await asyncio.sleep(QUEUE_INTERVAL_S)
            blocked: set[str] = set()
            for ticket in self.waiting.in_order():
                call, future = self.waiters[ticket.number]
                if future.done() or ticket.service in blocked:
                    continue
                place = self._place(call, self.loop.time())
                if isinstance(place, Placed):
                    self._reserve(call, place)
                    future.set_result(place)
                else:
                    blocked.add(ticket.service)

    def _reserve(self, call: Call, placed: Placed) -> None:
        """Count a request at an endpoint from now on."""
        own = placed.view.own
        call.unread = 0
        if call.request.prompt is not None:
            call.unread = max(0, call.request.prompt.prompt_tokens - placed.cached_tokens)
            placed.view.cache.expect(placed.scope, call.request.prompt, self.loop.time())
        call.placed = placed
        own.requests += 1
        own.unread_tokens += call.unread
        own.memory_tokens += call.tokens

    def _release(self, call: Call, placed: Placed) -> None:
        """End the count of a request at an endpoint."""
        own = placed.view.own
        own.requests -= 1
        own.memory_tokens -= call.tokens
        own.unread_tokens -= call.unread
        call.unread = 0

    def _place(self, call: Call, now: float) -> Placed | NoPlace:
        state, prompt = self.state, call.request.prompt
        wanted = state.wanted.get(prompt.model) if prompt else None
        workspace = call.workspace
        scope_prefix = f"{workspace.name}/" if workspace and workspace.is_isolated else ""
        demand = Demand(
            prompt=prompt if call.service.engine else None,
            scope_prefix=scope_prefix,
            wanted_weights=wanted.version if wanted else None,
            oldest_weights=self._oldest_weights(wanted, now),
            excluded=frozenset(call.tried),
            engine=call.service.engine,
            sources=tuple(state.cache_stores.values()),
            body_bytes=len(call.request.body),
        )
        return choose_endpoint(state.candidates(call.service.name), demand, state.topology, now)

    def _oldest_weights(self, wanted: WantedWeights | None, now: float) -> int:
        if wanted is None:
            return 0
        return wanted.oldest_usable(now, OLD_WEIGHTS_PART * self.state.settings.bounds.weights_s)

    def _may_send_again(self, call: Call, step: SendAgain, now: float) -> bool:
        if call.progress.sends >= MAX_SENDS:
            return False
        if not step.is_repeat:
            return True
        _, gateways = self.state.gateways(now)
        return self.state.retry_window(call.service.name).try_repeat(now, gateways)

    def _without_repeat(self, call: Call, outcome: Outcome) -> PassOn | Refuse | Fail:
        match outcome:
            case Answered():
                return PassOn()
            case _ if call.progress.runs == 0:
                return Refuse()
            case _:
                return Fail(502)

    async def _attempt(self, exchange: Exchange, call: Call, placed: Placed) -> Outcome:
        """Send the request to one endpoint and count the outcome."""
        view = placed.view
        started_at = self.loop.time()
        try:
            outcome = await _Attempt(self, exchange, call, placed).run()
        finally:
            self._release(call, placed)
        now = self.loop.time()
        self._count(call, placed, outcome, now)
        call.attempts.append(
            (view.endpoint.endpoint_id, _describe(outcome), round(now - started_at, 4))
        )
        return outcome

    def _count(self, call: Call, placed: Placed, outcome: Outcome, now: float) -> None:
        health = placed.view.health
        call.tried.add(placed.view.endpoint.endpoint_id)
        match outcome:
            case NotSent():
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

    # ends

    def _pass_on(self, exchange: Exchange, call: Call) -> Code:
        assert call.answer is not None
        call.first_byte_at = self.loop.time()
        exchange.respond(call.answer.status, call.answer.passed_headers, call.body)
        return Code.OK if call.answer.status < 500 else Code.ENDPOINT_FAILED

    def _end_without_place(self, exchange: Exchange, call: Call, place: NoPlace) -> Code:
        code = Code.OVERLOADED if place.reason == "queue" else Code.NO_ENDPOINT
        call.attempts.append(("", place.reason, 0.0))
        if call.progress.runs == 0:
            return self._end_refused(exchange, call, code, place.retry_after_s)
        return self._end_failed(exchange, call, 502)

    def _end_refused(
        self, exchange: Exchange, call: Call, code: Code, retry_after_s: float
    ) -> Code:
        if call.workspace is not None:
            self.state.quota.give_back(call.workspace, call.tokens)
        headers = self.codec.refusal_headers(call.request.request_id, retry_after_s)
        exchange.respond(503, headers)
        return code

    def _end_failed(self, exchange: Exchange, call: Call, status: int) -> Code:
        if exchange.is_started:
            exchange.abort()
            return Code.STREAM_INCOMPLETE
        if call.answer is not None:
            return self._pass_on(exchange, call)
        exchange.respond(status, self.codec.refusal_headers(call.request.request_id, None))
        return Code.DEADLINE_EXCEEDED if status == 504 else Code.OUTCOME_UNKNOWN

    def _log(self, call: Call, code: Code) -> None:
        now = self.loop.time()
        config = self.state.config
        first = call.first_byte_at
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
            cached_tokens=placed.cached_tokens if placed else 0,
            copied_from=placed.fetch_from if placed else None,
            weights=placed.weights if placed else None,
            cost_ms=round(placed.cost_s * 1000, 1) if placed else None,
            first_ms=round((first - call.arrived_at) * 1000, 1) if first else None,
            total_ms=round((now - call.arrived_at) * 1000, 1),
            config_version=config.version if config else None,
        )
        name = call.workspace.name if call.workspace else ""
        first_s = first - call.arrived_at if first else None
        self.metrics.observe(name, call.route.kind, code.name, first_s, now - call.arrived_at)


def _describe(outcome: Outcome) -> str:
    match outcome:
        case Answered(status) | NotRun(status):
            return f"{type(outcome).__name__} {status}"
        case Broken(True):
            return "TimedOut"
        case _:
            return type(outcome).__name__


class _Attempt:
    """One request at one endpoint."""

    def __init__(self, forwarder: Forwarder, exchange: Exchange, call: Call, placed: Placed):
        self.forwarder = forwarder
        self.exchange = exchange
        self.call = call
        self.placed = placed
        self.loop = forwarder.loop

    def mark_read(self) -> None:
        """Note that the engine has read the prompt."""
        self.placed.view.own.unread_tokens -= self.call.unread
        self.call.unread = 0

    async def run(self) -> Outcome:
        """Send the request and read the answer."""
        call, endpoint = self.call, self.placed.view.endpoint
        pool = self.forwarder.http.pool(endpoint.address)
        try:
            connection = await pool.acquire(call.deadline)
        except ConnectFailed:
            return NotSent()
        head = None
        try:
            connection.send(
                call.request.method,
                self._encode(),
                self.forwarder.codec.id_header,
                call.request.request_id.encode("latin-1") or None,
            )
            head = await connection.read_head(self._head_deadline())
            info = self.forwarder.codec.decode_answer(head.status, head.headers)
            outcome = await self._read(connection, info)
        except ConnectionBroken:
            outcome = Broken()
        except ReadTimeout:
            outcome = Broken(is_timeout=True)
        except BaseException:
            connection.close()
            raise
        if isinstance(outcome, Broken):
            connection.close()
        else:
            pool.release(connection, head)
        return outcome

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
            priority=min(9, call.priority) if is_prompt else None,
            last_event_id=last_event_id,
            fetch_from=placed.fetch_from,
            save_to=self._save_to() if is_prompt else None,
        )
        return self.forwarder.codec.encode_request(call.request, forwarding)

    def _save_to(self) -> str | None:
        """Return the store that is to keep the prompt's parts, if it lacks them."""
        prompt, now = self.call.request.prompt, self.loop.time()
        if prompt is None or prompt.shared_tokens < MIN_SAVE_TOKENS:
            return None
        for view in self.forwarder.state.cache_stores.values():
            if view.health.is_suspect(now):
                continue
            if view.cache.match(self.placed.scope, prompt, now) < prompt.shared_tokens:
                return view.store.address
        return None

    def _head_deadline(self) -> float:
        call = self.call
        if not call.route.is_idempotent or call.progress.runs + 1 >= call.route.max_attempts:
            return call.deadline
        return min(call.deadline, self.loop.time() + SILENCE_FACTOR * call.route.target_latency_s)

    async def _read(self, connection: ClientConnection, info: AnswerInfo) -> Outcome:
        call, view = self.call, self.placed.view
        self._learn(info)
        if info.status == 200 and call.route.kind is RequestKind.STREAM and info.is_authentic:
            return await self._relay(connection, info)
        body = await connection.read_body(call.deadline)
        if info.did_not_run:
            if info.is_other_endpoint:
                view.health.record_unreachable(self.loop.time())
            return NotRun(info.status)
        if info.status < 300 and (not info.is_authentic or info.is_encoded):
            return Broken()
        if not self.exchange.is_started:
            call.answer, call.body = info, body
        return Answered(info.status)

    def _learn(self, info: AnswerInfo) -> None:
        view, now = self.placed.view, self.loop.time()
        if info.load is not None:
            view.reported = (info.load[0], info.load[1], now)
        prompt = self.call.request.prompt
        if info.weights is not None and prompt is not None:
            known = view.weights.get(prompt.model, 0)
            view.weights[prompt.model] = max(known, info.weights)

    async def _relay(self, connection: ClientConnection, info: AnswerInfo) -> Outcome:
        """Pass events on as they arrive, whole events only."""
        call, exchange = self.call, self.exchange
        splitter = call.splitter
        splitter.restart()
        while True:
            data = await connection.read_chunk(call.deadline)
            if data is None:
                break
            whole = splitter.feed(data)
            if not whole:
                continue
            if not exchange.is_started:
                self.mark_read()
                call.first_byte_at = self.loop.time()
                call.answer = info
                exchange.start(200, info.passed_headers)
            exchange.write(whole)
            await exchange.drain()
        if splitter.rest or not exchange.is_started:
            return Broken()
        exchange.finish()
        return Answered(200)
