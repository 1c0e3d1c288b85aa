"""Where a request would go now, and why: for operators, without sending it.

The endpoint is chosen by the functions that real requests go through. Nothing is reserved, booked,
charged or announced.
"""

import asyncio
from dataclasses import asdict, replace

import msgspec

from teaselpath.dispatch import (
    Demand,
    EndpointView,
    NoEndpoint,
    OverRate,
    Placed,
    choose_endpoint,
)
from teaselpath.fleet import CallerRequest, Prompt, PromptPart, Route, Service, Workspace
from teaselpath.gateway._call import Call
from teaselpath.gateway._placement import IMMEDIATE_REFUSALS, Placer
from teaselpath.gateway._quarantine import QuarantineGate
from teaselpath.gateway._responses import TOO_LARGE_RETRY_AFTER_S
from teaselpath.gateway._state import GatewayState
from teaselpath.results import Code

# Endpoints that an explanation lists, the cheapest first.
MAX_LISTED = 12
REQUEST_ID = "explained"


class ExplainedRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request to explain.

    :param workspace: name of its workspace; empty for none.
    :param parts: parts of its prompt, id and tokens; empty for a request without a prompt.
    :param time_left_s: how long its caller waits, in seconds.
    """

    host: str
    path: str
    workspace: str = ""
    model: str = ""
    parts: list[tuple[str, int]] = []
    output_tokens: int = 0
    time_left_s: float = 30.0

    @property
    def tokens(self) -> int:
        """Return its prompt and output tokens."""
        return sum(tokens for _, tokens in self.parts) + self.output_tokens


class Explainer:
    """Explains where requests would go.

    :param state: state of this gateway.
    :param placer: placement of its requests.
    :param gate: its quarantine.
    """

    def __init__(self, state: GatewayState, placer: Placer, gate: QuarantineGate):
        self.state = state
        self.placer = placer
        self.gate = gate
        self.loop = asyncio.get_running_loop()

    def explain(self, body: bytes) -> dict[str, object]:
        """Return the explanation of an encoded ``ExplainedRequest``.

        :raises msgspec.DecodeError: if it cannot be read.
        """
        request = msgspec.json.decode(body, type=ExplainedRequest)
        state, now = self.state, self.loop.time()
        config = state.config
        found: dict[str, object] = {
            "gateway": state.settings.host,
            "is_stopping": state.is_stopping,
        }
        if config is None:
            return {**found, **_refusal(Code.NO_BUNDLE)}
        found["config_version"] = config.version
        route = config.find_route(request.host, request.path)
        if route is None or not route.backends:
            return {**found, **_refusal(Code.UNKNOWN_ROUTE)}
        found["route"] = route.name
        found["services"] = {backend.service: backend.weight for backend in route.backends}
        workspace = self._workspace(request.workspace)
        if workspace is None and config.has_workspaces and not route.is_public:
            return {**found, **_refusal(Code.UNKNOWN_KEY)}
        if workspace is not None:
            found["workspace"] = self._describe_rate(workspace, request)
            grant = state.quota.peek(workspace, self._charge(workspace, request), now)
            if isinstance(grant, OverRate):
                return {**found, **_refusal(Code.RATE_EXCEEDED, grant.retry_after_s)}
        backend = max(route.backends, key=lambda backend: backend.weight)
        service = config.services.get(backend.service)
        if service is None:
            return {**found, **_refusal(Code.NO_ENDPOINT)}
        call = self._call(request, route, service, workspace, now)
        found["quarantine"] = self.gate.preview(call)
        found["queue"] = self.placer.describe_queue(call, now)
        choice = self.placer.preview(call, now)
        found |= self._describe_choice(call, choice, now)
        found["candidates"] = self._describe_candidates(call, choice, now)
        return found

    def _workspace(self, name: str) -> Workspace | None:
        config = self.state.config
        assert config is not None
        return next((w for w in config.workspaces.values() if w.name == name), None)

    def _charge(self, workspace: Workspace, request: ExplainedRequest) -> int:
        return request.tokens if request.parts else workspace.plain_tokens

    def _describe_rate(self, workspace: Workspace, request: ExplainedRequest) -> dict[str, object]:
        level = self.state.quota.level_of(workspace, self.loop.time())
        return {
            "name": workspace.name,
            "rate": workspace.rate,
            "level": None if level is None else round(level),
            "charge": self._charge(workspace, request),
            "heard_fraction": round(self.state.quota.reachable_fraction, 3),
        }

    def _call(
        self,
        request: ExplainedRequest,
        route: Route,
        service: Service,
        workspace: Workspace | None,
        now: float,
    ) -> Call:
        prompt = None
        if request.parts:
            parts = tuple(PromptPart(part_id, tokens) for part_id, tokens in request.parts)
            tokens = sum(part.tokens for part in parts)
            prompt = Prompt(request.model, parts, tokens, request.output_tokens)
        caller_request = CallerRequest(
            b"POST", request.path.encode(), request.host, request.path, REQUEST_ID, None,
            request.time_left_s, None, prompt, request.tokens, [], b"",
        )  # fmt: skip
        deadline = now + min(request.time_left_s, route.timeout_s)
        return Call(caller_request, route, service, workspace, now, deadline)

    def _describe_choice(
        self, call: Call, choice: Placed | NoEndpoint, now: float
    ) -> dict[str, object]:
        if isinstance(choice, Placed):
            if not self.placer.must_queue(call, choice, now):
                return {
                    "decision": "claim" if choice.must_claim else "send",
                    **_describe_endpoint(choice),
                }
        elif choice.reason in IMMEDIATE_REFUSALS:
            is_large = choice.reason == "too_large"
            code = Code.LARGER_THAN_ENGINE if is_large else Code.NO_ENDPOINT
            wait_s = TOO_LARGE_RETRY_AFTER_S if is_large else choice.retry_after_s
            return {**_refusal(code, wait_s), "reason": choice.reason}
        refusal = self.placer.preview_refusal(call, choice, now)
        if refusal is not None:
            return {**_refusal(Code.OVERLOADED, refusal.retry_after_s), "reason": refusal.reason}
        if isinstance(choice, Placed):
            return {"decision": "queue", **_describe_endpoint(choice)}
        return {"decision": "queue", "reason": choice.reason}

    def _describe_candidates(
        self, call: Call, choice: Placed | NoEndpoint, now: float
    ) -> list[dict[str, object]]:
        """Return the endpoints in the order in which they would be tried, then those left out."""
        demand, views = self.placer.preview_candidates(call, now)
        listed: list[dict[str, object]] = []
        excluded: set[str] = set()
        while len(listed) < MAX_LISTED:
            tried = replace(demand, excluded=frozenset(excluded))
            found = choose_endpoint(views, tried, self.state.topology, now)
            if isinstance(found, NoEndpoint):
                break
            excluded.add(found.view.endpoint.endpoint_id)
            listed.append(self._describe_placed(found, demand, now))
        for view in views:
            endpoint_id = view.endpoint.endpoint_id
            if endpoint_id in excluded or len(listed) >= MAX_LISTED:
                continue
            others = frozenset(v.endpoint.endpoint_id for v in views) - {endpoint_id}
            alone = replace(demand, excluded=others)
            found = choose_endpoint(views, alone, self.state.topology, now)
            if isinstance(found, NoEndpoint):
                listed.append({**self._describe_view(view, now), "left_out": found.reason})
        return listed

    def _describe_placed(self, placed: Placed, demand: Demand, now: float) -> dict[str, object]:
        prompt = demand.prompt
        uncached = max(0, prompt.prompt_tokens - placed.cached_tokens) if prompt else 0
        return {
            **self._describe_view(placed.view, now),
            "cost_s": round(placed.cost_s, 4),
            "first_event_s": round(placed.first_event_s, 4),
            "times": {name: round(value, 4) for name, value in asdict(placed.times).items()},
            "uncached_tokens": uncached,
            "fetch_from": placed.fetch_from,
            "must_claim": placed.must_claim,
            "weights": placed.weights,
            "left_out": None,
        }

    def _describe_view(self, view: EndpointView, now: float) -> dict[str, object]:
        return {
            "endpoint": view.endpoint.endpoint_id,
            "failure_domain": view.endpoint.failure_domain,
            "requests": view.requests(now),
            "slots": view.endpoint.slots,
            "pending_tokens": view.pending_prefill_tokens(now),
            "held_tokens": view.held_tokens(),
            "rtt_s": self.state.topology.rtt_s(view.endpoint.failure_domain),
            "failure_rate": round(view.health.failure_rate(now), 3),
            "pace": view.stated_pace,
        }


def _describe_endpoint(placed: Placed) -> dict[str, object]:
    return {
        "endpoint": placed.view.endpoint.endpoint_id,
        "first_event_s": round(placed.first_event_s, 4),
    }


def _refusal(code: Code, retry_after_s: float | None = None) -> dict[str, object]:
    wait_s = None if retry_after_s is None else round(retry_after_s, 3)
    return {"decision": "refuse", "code": code.name, "retry_after_s": wait_s}
