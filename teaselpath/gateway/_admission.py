"""Admission of callers' requests, before anything is sent to an endpoint."""

import random

from eliot import log_message

from teaselpath.dispatch import OverRate
from teaselpath.exchange import ServiceTimes
from teaselpath.fleet import CallerRequest, RequestCodec, Route, Service, Workspace
from teaselpath.gateway._call import Call
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._responses import MIN_RETRY_AFTER_S
from teaselpath.gateway._state import GatewayState
from teaselpath.http1 import Exchange
from teaselpath.results import Code

# Time limit of a request that states none, in seconds.
DEFAULT_CALLER_TIMEOUT_S = 30.0
# Retry-After while this gateway has no configuration, or no service for a route, in seconds.
UNCONFIGURED_RETRY_AFTER_S = 1.0
# Retry-After of a request for whose body there was no memory, in seconds.
MEMORY_RETRY_AFTER_S = 2.0


class Admission:
    """Admits requests, or responds to them with a refusal.

    :param state: state of this gateway.
    :param codec: translation of requests and answers.
    :param metrics: metrics of this gateway.
    :param times: how long requests take.
    """

    def __init__(
        self,
        state: GatewayState,
        codec: RequestCodec,
        metrics: GatewayMetrics,
        times: ServiceTimes,
    ):
        self.times = times
        self.state = state
        self.codec = codec
        self.metrics = metrics
        self.random = random.Random()

    def admit(self, exchange: Exchange) -> Call | None:
        """Return the call of a request, or respond with a refusal and return None.

        An exception is raised again once the caller has its refusal.
        """
        raw = exchange.request
        try:
            request = self.codec.decode_request(raw.method, raw.target, raw.headers, raw.body)
            if request is None:
                exchange.respond(400, [])
                return None
            if raw.is_body_discarded:
                self._refuse(exchange, request, Code.OVERLOADED, 503, MEMORY_RETRY_AFTER_S)
                return None
            return self._decide(exchange, request)
        except Exception:
            if not exchange.is_started:
                request_id = (raw.header(self.codec.id_header) or b"").decode("latin-1")
                headers = self.codec.own_response_headers(request_id, MIN_RETRY_AFTER_S)
                exchange.respond(503, headers)
            raise

    def _decide(self, exchange: Exchange, request: CallerRequest) -> Call | None:
        """Return the call, or respond with a refusal and return None."""
        state, now = self.state, exchange.request.received_at
        config = state.config
        if config is None:
            self._refuse(exchange, request, Code.NO_BUNDLE, 503, UNCONFIGURED_RETRY_AFTER_S)
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
        if not self.has_time(call, now):
            self._refuse(exchange, request, Code.STOPPING, 503, self.stop_wait_s(now))
            return None
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
        state.retry_budget(service.name, now).record_request(now)
        return call

    def has_time(self, call: Call, now: float) -> bool:
        """Return whether the answer can be expected before a stop of this gateway ends.

        An answer that is held back has to be complete before its caller leaves, too.
        """
        stop = self.state.stop
        if stop is None:
            return True
        observed_s = self.times.quantile_s(call.kind, stop.quantile, now, without=call.number)
        is_held = stop.must_hold(call.arrived_at, call.deadline)
        return stop.can_take(
            now,
            call.deadline,
            observed_s,
            is_long=call.kind[1],
            abandoned_at=call.abandoned_at if is_held else float("inf"),
        )

    def stop_wait_s(self, now: float) -> float:
        """Return the time after which a caller finds another gateway, in seconds."""
        stop = self.state.stop
        return max(MIN_RETRY_AFTER_S, stop.successor_at - now if stop is not None else 0.0)

    def _choose_service(self, route: Route) -> Service | None:
        assert self.state.config is not None
        backends = route.backends
        if len(backends) > 1:
            backends = tuple(backend for backend in backends if backend.weight > 0.0)
        if not backends:
            return None
        chosen = backends[0]
        if len(backends) > 1:
            weights = [backend.weight for backend in backends]
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
