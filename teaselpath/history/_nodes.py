"""Checkers for nodes: restarts, quota, leaving endpoints, planned shutdowns and configuration."""

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
from teaselpath.history._history import Counterexamples, History, checker
from teaselpath.results import Code, Ran

# Time for which a leaving endpoint may still receive new requests (P11).
LEAVING_LIMIT_S = 3.0
# Time within which an accepted bundle must be in force on all nodes (P13).
IN_FORCE_LIMIT_S = 15.0
# Tolerance for rounding errors in sums of charges.
TOLERANCE_TOKENS = 1e-3

# Refusals that indicate missing state of an entry if another entry serves requests meanwhile.
_MISSING_STATE_CODES = frozenset((Code.NO_ENDPOINT, Code.QUOTA_UNCONFIRMED))
# Outcomes that do not count as interrupted by a shutdown: success, a caller that disconnected, a
# revoked key, and expired time limits.
_UNAFFECTED_CODES = frozenset(
    (Code.OK, Code.CALLER_GONE, Code.KEY_WITHDRAWN, Code.DEADLINE_EXCEEDED, Code.REQUEST_TIMEOUT)
)


@checker("P3")
def check_restarts(history: History) -> Counterexamples:
    """A ready entry has all its state and computes the same candidates as the other entries."""
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
                elif start is not None and _lacked_state(entry, start, event, served):
                    yield "a ready entry lacked state", (start, event)
            case CandidatesChosen():
                first = chosen.setdefault((event.prefix, event.context), event)
                if first.endpoints != event.endpoints:
                    yield "candidate lists computed from the same inputs differ", (first, event)


def _lacked_state(
    entry: str, start: ProcessReady, answer: RequestAnswered, served: dict[str, RequestAnswered]
) -> bool:
    """Return whether an entry refused a request for lack of state that another entry had.

    NO_BUNDLE always counts. The codes in ``_MISSING_STATE_CODES`` count only if another entry
    served a request after this entry became ready.
    """
    if answer.code not in _MISSING_STATE_CODES:
        return answer.code == Code.NO_BUNDLE
    return any(other != entry and last.at >= start.at for other, last in served.items())


@checker("P7")
def check_quota(history: History) -> Counterexamples:
    """The charges of all hosts fit into one token bucket with the workspace's rate and burst."""
    limits: dict[str, LimitInForce] = {}
    levels: dict[str, tuple[float, float]] = {}
    for event in history.events:
        if isinstance(event, LimitInForce):
            old = limits.get(event.workspace)
            level, at = levels.get(event.workspace, (event.burst, event.at))
            if old is not None:
                level = min(old.burst, level + old.rate * (event.at - at))
                # A larger burst adds the difference; a smaller one caps the level.
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
                yield f"a workspace exceeded its quota by {-level:.1f} tokens", (limit, event)


@checker("P11")
def check_leaving(history: History) -> Counterexamples:
    """A leaving endpoint gets no new requests after the limit until it stops or is ready again."""
    leaving: dict[str, EndpointLeaving] = {}
    for event in history.events:
        match event:
            case EndpointLeaving():
                leaving.setdefault(event.node, event)
            case ProcessReady() | ProcessStopped():
                leaving.pop(event.node, None)
            case ExecutionStarted():
                leaving_event = leaving.get(event.node)
                if leaving_event is not None and event.at > leaving_event.at + LEAVING_LIMIT_S:
                    yield "a leaving endpoint received a new request", (leaving_event, event)


@checker("P12")
def check_planned_stops(history: History) -> Counterexamples:
    """A planned shutdown interrupts no request that its node is handling."""
    answers = {event.request_id: event for event in history.of_type(RequestAnswered)}
    in_flight: dict[str, dict[str, RequestSent | ExecutionStarted]] = defaultdict(dict)
    affected: dict[str, StopStarted] = {}
    stopping: dict[str, StopStarted] = {}
    for event in history.events:
        match event:
            case RequestSent() | ExecutionStarted():
                in_flight[event.node][event.request_id] = event
                if event.node in stopping:
                    affected[event.request_id] = stopping[event.node]
            case RequestAnswered():
                for requests in in_flight.values():
                    requests.pop(event.request_id, None)
            case StopStarted():
                stopping[event.node] = event
                affected |= dict.fromkeys(in_flight[event.node], event)
            case ProcessStopped() | ProcessReady():
                stopping.pop(event.node, None)
            case ExecutionEnded() if event.is_cut and event.node in stopping:
                yield "a planned shutdown interrupted an execution", (stopping[event.node], event)
    for request_id, stop in affected.items():
        answer = answers.get(request_id)
        if answer is None:
            yield f"request {request_id} got no answer after a planned shutdown", (stop,)
        elif answer.code not in _UNAFFECTED_CODES and answer.ran != Ran.NOT_RUN:
            yield "a planned shutdown interrupted a request", (stop, answer)


def _nodes_up_until_limit(history: History, accepted: ConfigAccepted) -> dict[str, float]:
    """Return the nodes that were up from the acceptance of a version until its time limit.

    :returns: the time at which each node became ready.
    """
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
def check_configuration(history: History) -> Counterexamples:
    """Each accepted version or a later one is in force in time, and no node reverts."""
    in_force: dict[str, ConfigInForce] = {}
    changes = history.of_type(ConfigInForce)
    for event in changes:
        last = in_force.get(event.node)
        if last is not None and event.version < last.version:
            yield "a node reverted to an older version", (last, event)
        in_force[event.node] = event
    newest: ConfigAccepted | None = None
    for accepted in history.of_type(ConfigAccepted):
        if newest is not None and accepted.version <= newest.version:
            yield "an older version was accepted", (newest, accepted)
        newest = accepted
        deadline = accepted.at + IN_FORCE_LIMIT_S
        if history.end < deadline:
            continue
        current = {c.node for c in changes if c.at <= deadline and c.version >= accepted.version}
        for node in sorted(_nodes_up_until_limit(history, accepted).keys() - current):
            yield f"version {accepted.version} is not in force at {node} in time", (accepted,)
