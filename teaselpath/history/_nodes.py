"""Checks of nodes: restarts, quota, leaving, planned stops and configuration."""

from collections import defaultdict

from teaselpath.history._events import (
    CandidatesChosen,
    ConfigAccepted,
    ConfigInForce,
    EndpointLeaving,
    ExecutionEnded,
    ExecutionStarted,
    LimitInForce,
    ProcessReady,
    ProcessStopped,
    QuotaCharged,
    RequestAnswered,
    RequestSent,
    StopStarted,
)
from teaselpath.history._history import Found, History, checker
from teaselpath.results import Code, Ran

# A leaving endpoint may get new work for this long, in seconds (P11).
LEAVING_LIMIT_S = 3.0
# An accepted bundle is in force everywhere after this time, in seconds (P13).
IN_FORCE_LIMIT_S = 15.0
# Rounding of the sums of charges, in tokens.
TOLERANCE_TOKENS = 1e-3

# Refusals that show missing state of a router, if another one serves at the same time.
_COLD_CODES = frozenset((Code.NO_ENDPOINT, Code.QUOTA_UNCONFIRMED))
# Answers to a caller that left or lost its right are no cut.
_CALLER_CODES = frozenset(
    (Code.OK, Code.CALLER_GONE, Code.KEY_WITHDRAWN, Code.DEADLINE_EXCEEDED, Code.REQUEST_TIMEOUT)
)


@checker("P3")
def check_restarts(history: History) -> Found:
    """A ready entry lacks no state, and computes the same candidates as every other one."""
    ready: dict[str, ProcessReady] = {}
    entries: dict[str, str] = {}
    served: dict[str, RequestAnswered] = {}
    chosen: dict[tuple[str, str], CandidatesChosen] = {}
    for event in history.events:
        match event:
            case ProcessReady():
                ready[event.node] = event
            case RequestSent():
                entries[event.request_id] = event.node
            case RequestAnswered():
                entry = entries.get(event.request_id, event.node)
                start = ready.get(entry)
                if event.code == Code.OK:
                    served[entry] = event
                elif start is not None and _is_cold(entry, start, event, served):
                    yield "an entry that was ready lacked state", (start, event)
            case CandidatesChosen():
                first = chosen.setdefault((event.prefix, event.context), event)
                if first.endpoints != event.endpoints:
                    yield "two candidate lists from the same inputs differ", (first, event)


def _is_cold(
    entry: str, start: ProcessReady, answer: RequestAnswered, served: dict[str, RequestAnswered]
) -> bool:
    """Whether an entry refused for want of state that another one had since its start."""
    if answer.code not in _COLD_CODES:
        return answer.code == Code.NO_BUNDLE
    return any(other != entry and last.at >= start.at for other, last in served.items())


@checker("P7")
def check_quota(history: History) -> Found:
    """The charges of all hosts fit one bucket of the workspace's rate and burst."""
    limits: dict[str, LimitInForce] = {}
    levels: dict[str, tuple[float, float]] = {}
    for event in history.events:
        if isinstance(event, LimitInForce):
            old = limits.get(event.workspace)
            level, at = levels.get(event.workspace, (event.burst, event.at))
            if old is not None:
                level = min(old.burst, level + old.rate * (event.at - at))
                # A larger burst adds its difference, a smaller one cuts the level.
                level += max(0.0, event.burst - old.burst)
            limits[event.workspace] = event
            levels[event.workspace] = (min(level, event.burst), event.at)
        elif isinstance(event, QuotaCharged):
            limit = limits.get(event.workspace)
            if limit is None:
                yield "tokens were charged to a workspace without a limit", (event,)
                continue
            level, at = levels[event.workspace]
            level = min(limit.burst, level + limit.rate * (event.at - at)) - event.tokens
            levels[event.workspace] = (min(level, limit.burst), event.at)
            if level < -TOLERANCE_TOKENS:
                yield f"a workspace got {-level:.1f} tokens too many", (limit, event)


@checker("P11")
def check_leaving(history: History) -> Found:
    """A leaving endpoint gets no new work after the limit, until its process ends or is ready."""
    leaving: dict[str, EndpointLeaving] = {}
    for event in history.events:
        match event:
            case EndpointLeaving():
                leaving.setdefault(event.node, event)
            case ProcessReady() | ProcessStopped():
                leaving.pop(event.node, None)
            case ExecutionStarted():
                left = leaving.get(event.node)
                if left is not None and event.at > left.at + LEAVING_LIMIT_S:
                    yield "a leaving endpoint got new work", (left, event)


@checker("P12")
def check_planned_stops(history: History) -> Found:
    """A planned stop cuts no request that its node was handling."""
    answers = {event.request_id: event for event in history.of(RequestAnswered)}
    open_at: dict[str, dict[str, RequestSent | ExecutionStarted]] = defaultdict(dict)
    involved: dict[str, StopStarted] = {}
    stopping: dict[str, StopStarted] = {}
    for event in history.events:
        match event:
            case RequestSent() | ExecutionStarted():
                open_at[event.node][event.request_id] = event
                if event.node in stopping:
                    involved[event.request_id] = stopping[event.node]
            case RequestAnswered():
                for requests in open_at.values():
                    requests.pop(event.request_id, None)
            case StopStarted():
                stopping[event.node] = event
                involved |= dict.fromkeys(open_at[event.node], event)
            case ProcessStopped() | ProcessReady():
                stopping.pop(event.node, None)
            case ExecutionEnded() if event.is_cut and event.node in stopping:
                yield "a planned stop cut a run", (stopping[event.node], event)
    for request_id, stop in involved.items():
        answer = answers.get(request_id)
        if answer is None:
            yield f"request {request_id} was not answered after a planned stop", (stop,)
        elif answer.code not in _CALLER_CODES and answer.ran != Ran.NOT_RUN:
            yield "a planned stop cut a request", (stop, answer)


def _nodes_in_time(history: History, accepted: ConfigAccepted) -> dict[str, float]:
    """Return the nodes that ran from the acceptance on for the whole limit."""
    deadline = accepted.at + IN_FORCE_LIMIT_S
    nodes: dict[str, float] = {}
    for event in history.events:
        if event.at > deadline:
            break
        if isinstance(event, ProcessReady) and event.at <= accepted.at:
            nodes[event.node] = event.at
        elif isinstance(event, ProcessStopped):
            nodes.pop(event.node, None)
    return nodes


@checker("P13")
def check_configuration(history: History) -> Found:
    """Each accepted version, or a later one, is in force in time and no node goes back."""
    in_force: dict[str, ConfigInForce] = {}
    changes = history.of(ConfigInForce)
    for event in changes:
        last = in_force.get(event.node)
        if last is not None and event.version < last.version:
            yield "a node went back to an older version", (last, event)
        in_force[event.node] = event
    newest: ConfigAccepted | None = None
    for accepted in history.of(ConfigAccepted):
        if newest is not None and accepted.version <= newest.version:
            yield "an older version was accepted", (newest, accepted)
        newest = accepted
        deadline = accepted.at + IN_FORCE_LIMIT_S
        if history.end < deadline:
            continue
        current = {c.node for c in changes if c.at <= deadline and c.version >= accepted.version}
        for node in sorted(_nodes_in_time(history, accepted).keys() - current):
            yield f"version {accepted.version} is not in force at {node} in time", (accepted,)
