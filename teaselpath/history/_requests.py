"""Checkers for requests: cache reuse, workspaces, keys, number of executions, and answers."""

from collections import defaultdict

from teaselpath.history._events import (
    CacheReused,
    EngineStarted,
    ExecutionStarted,
    KeyGranted,
    KeyRevoked,
    RequestAnswered,
    RequestSent,
    StreamDelivered,
    StreamProduced,
)
from teaselpath.history._history import Counterexamples, History, checker
from teaselpath.results import Code, Ran

# Time within which a revocation must reach all nodes (P6).
REVOCATION_LIMIT_S = 5.0


def _requests_by_id(history: History) -> dict[str, RequestSent]:
    return {event.request_id: event for event in history.of_type(RequestSent)}


def _executions_by_id(history: History) -> dict[str, list[ExecutionStarted]]:
    executions: dict[str, list[ExecutionStarted]] = defaultdict(list)
    for event in history.of_type(ExecutionStarted):
        executions[event.request_id].append(event)
    return executions


@checker("P1")
def check_cache_reuse(history: History) -> Counterexamples:
    """No cached block of another incarnation, workspace or weights version is reused."""
    running: dict[str, str] = {}
    for event in history.events:
        if isinstance(event, EngineStarted):
            running[event.node] = event.incarnation
        elif isinstance(event, CacheReused):
            if event.block_workspace != event.workspace:
                yield "a block of another workspace was reused", (event,)
            if event.block_weights != event.weights:
                yield "a block of another weights version was reused", (event,)
            if event.block_incarnation != running.get(event.node, event.incarnation):
                yield "a block of another engine incarnation was reused", (event,)


def _produced_answers(history: History) -> dict[str, tuple[str, bool]]:
    """Return the text that the executions of each request produced, and whether it is complete."""
    answers: dict[str, tuple[str, bool]] = {}
    runs = sorted(history.of_type(StreamProduced), key=lambda run: (run.position, run.is_whole))
    for run in runs:
        text, is_whole = answers.get(run.request_id, ("", False))
        if run.position <= len(text):
            combined = text[: run.position] + run.text
            if run.is_whole or (not is_whole and len(combined) > len(text)):
                text = combined
            answers[run.request_id] = (text, is_whole or run.is_whole)
    return answers


@checker("P2")
def check_streams(history: History) -> Counterexamples:
    """Each delivered stream is the produced answer, or a prefix of it that ends with an error."""
    answers = _produced_answers(history)
    for event in history.of_type(StreamDelivered):
        text, is_whole = answers.get(event.request_id, ("", False))
        if event.is_whole and not (is_whole and event.text == text):
            yield "a stream ended without an error but differs from the produced answer", (event,)
        elif not text.startswith(event.text):
            yield "a stream is not a prefix of the produced answer", (event,)


@checker("P4")
def check_workspaces(history: History) -> Counterexamples:
    """Each request is executed for the workspace of its key, or without a key on an open route."""
    owners = {event.key: event.workspace for event in history.of_type(KeyGranted)}
    sent = _requests_by_id(history)
    for event in history.of_type(ExecutionStarted):
        request = sent.get(event.request_id)
        if request is None:
            yield "a request was executed that no caller sent", (event,)
            continue
        is_keyless = request.is_open and not request.key
        if not is_keyless and owners.get(request.key) != event.workspace:
            yield "a request was executed for another workspace", (request, event)


@checker("P5")
def check_key_secrecy(history: History) -> Counterexamples:
    """No endpoint receives a caller's key."""
    keys = {event.key for event in history.of_type(RequestSent) if event.key}
    keys |= {event.key for event in history.of_type(KeyGranted)}
    for event in history.of_type(ExecutionStarted):
        if any(key in event.received for key in keys):
            yield "an endpoint received a key", (event,)


@checker("P6")
def check_revoked_keys(history: History) -> Counterexamples:
    """After the limit, a revoked key starts no execution and gets no complete answer."""
    revoked = {event.key: event for event in history.of_type(KeyRevoked)}
    sent = _requests_by_id(history)
    for event in history.events:
        if isinstance(event, ExecutionStarted) or (
            isinstance(event, StreamDelivered) and event.is_whole
        ):
            request = sent.get(event.request_id)
            revocation = revoked.get(request.key) if request is not None else None
            if revocation is not None and event.at > revocation.at + REVOCATION_LIMIT_S:
                yield "a revoked key is still accepted", (revocation, event)


@checker("P8")
def check_answers(history: History) -> Counterexamples:
    """Each caller gets the complete answer to its own request, and no other one."""
    sent = _requests_by_id(history)
    whole: set[str] = set()
    for event in history.of_type(StreamDelivered):
        request = sent.get(event.request_id)
        if request is None or request.caller != event.caller:
            yield "an answer was delivered to a caller that did not send the request", (event,)
        elif event.is_whole:
            whole.add(event.request_id)
    for answer in history.of_type(RequestAnswered):
        if answer.code == Code.OK and answer.request_id not in whole:
            yield "a request was reported as successful without its complete answer", (answer,)


@checker("P9")
def check_not_run(history: History) -> Counterexamples:
    """No request that was reported as "not run" is executed, before or after the report."""
    executions = _executions_by_id(history)
    for event in history.of_type(RequestAnswered):
        if event.ran == Ran.NOT_RUN and event.request_id in executions:
            yield (
                'a request was reported as "not run" but was executed',
                (event, executions[event.request_id][0]),
            )


@checker("P10")
def check_single_runs(history: History) -> Counterexamples:
    """Non-repeatable requests and idempotency keys are executed at most once."""
    sent = _requests_by_id(history)
    runs: dict[str, ExecutionStarted] = {}
    for event in history.of_type(ExecutionStarted):
        request = sent.get(event.request_id)
        if request is None or request.repeatable:
            continue
        for name in {f"request {event.request_id}", f"claim {request.claim}"}:
            if name == "claim ":
                continue
            if name in runs:
                yield f"{name} was executed twice", (runs[name], event)
            runs[name] = event
