"""Checks of requests: who they run for, how often, and what their callers get."""

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
from teaselpath.history._history import Found, History, checker
from teaselpath.results import Code, Ran

# A withdrawal may take this long to reach every node, in seconds (P6).
WITHDRAWAL_LIMIT_S = 5.0


def _sent(history: History) -> dict[str, RequestSent]:
    return {event.request_id: event for event in history.of(RequestSent)}


def _executions(history: History) -> dict[str, list[ExecutionStarted]]:
    executions: dict[str, list[ExecutionStarted]] = defaultdict(list)
    for event in history.of(ExecutionStarted):
        executions[event.request_id].append(event)
    return executions


@checker("P1")
def check_cache_reuse(history: History) -> Found:
    """No block of a dead engine, another workspace or other weights is reused."""
    running: dict[str, str] = {}
    for event in history.events:
        if isinstance(event, EngineStarted):
            running[event.node] = event.incarnation
        elif isinstance(event, CacheReused):
            if event.block_workspace != event.workspace:
                yield "a block of another workspace was reused", (event,)
            if event.block_weights != event.weights:
                yield "a block of other weights was reused", (event,)
            if event.block_incarnation != running.get(event.node, event.incarnation):
                yield "a block of a dead engine was reused", (event,)


def _answers(history: History) -> dict[str, tuple[str, bool]]:
    """Return the text that the runs of each request produced, and whether it is whole."""
    answers: dict[str, tuple[str, bool]] = {}
    runs = sorted(history.of(StreamProduced), key=lambda run: (run.position, run.is_whole))
    for run in runs:
        text, is_whole = answers.get(run.request_id, ("", False))
        if run.position <= len(text):
            longer = text[: run.position] + run.text
            if run.is_whole or (not is_whole and len(longer) > len(text)):
                text = longer
            answers[run.request_id] = (text, is_whole or run.is_whole)
    return answers


@checker("P2")
def check_streams(history: History) -> Found:
    """Each delivered stream is the produced one, or a prefix of it with an error."""
    answers = _answers(history)
    for event in history.of(StreamDelivered):
        text, is_whole = answers.get(event.request_id, ("", False))
        if event.is_whole and not (is_whole and event.text == text):
            yield "a stream ended as whole but differs from what was produced", (event,)
        elif not text.startswith(event.text):
            yield "a stream is not a prefix of what was produced", (event,)


@checker("P4")
def check_workspaces(history: History) -> Found:
    """Each request runs for the workspace of its key, or without a key on an open route."""
    owners = {event.key: event.workspace for event in history.of(KeyGranted)}
    sent = _sent(history)
    for event in history.of(ExecutionStarted):
        request = sent.get(event.request_id)
        if request is None:
            yield "a request ran that nobody sent", (event,)
            continue
        is_keyless = request.is_open and not request.key
        if not is_keyless and owners.get(request.key) != event.workspace:
            yield "a request ran for another workspace", (request, event)


@checker("P5")
def check_key_secrecy(history: History) -> Found:
    """No endpoint receives a key of any caller."""
    keys = {event.key for event in history.of(RequestSent) if event.key}
    keys |= {event.key for event in history.of(KeyGranted)}
    for event in history.of(ExecutionStarted):
        if any(key in event.received for key in keys):
            yield "an endpoint received a key", (event,)


@checker("P6")
def check_withdrawn_keys(history: History) -> Found:
    """A withdrawn key starts nothing and gets no whole answer after the limit."""
    revoked = {event.key: event for event in history.of(KeyRevoked)}
    sent = _sent(history)
    for event in history.events:
        if isinstance(event, ExecutionStarted) or (
            isinstance(event, StreamDelivered) and event.is_whole
        ):
            request = sent.get(event.request_id)
            withdrawal = revoked.get(request.key) if request is not None else None
            if withdrawal is not None and event.at > withdrawal.at + WITHDRAWAL_LIMIT_S:
                yield "a withdrawn key still works", (withdrawal, event)


@checker("P8")
def check_answers(history: History) -> Found:
    """Each caller gets the whole answer to its own request."""
    sent = _sent(history)
    whole: set[str] = set()
    for event in history.of(StreamDelivered):
        request = sent.get(event.request_id)
        if request is None or request.caller != event.caller:
            yield "an answer reached a caller that did not ask for it", (event,)
        elif event.is_whole:
            whole.add(event.request_id)
    for answer in history.of(RequestAnswered):
        if answer.code == Code.OK and answer.request_id not in whole:
            yield "a request was answered as served without its whole answer", (answer,)


@checker("P9")
def check_not_run(history: History) -> Found:
    """No request that was called "not run" runs, before or after."""
    executions = _executions(history)
    for event in history.of(RequestAnswered):
        if event.ran == Ran.NOT_RUN and event.request_id in executions:
            yield 'a request was called "not run" but ran', (event, executions[event.request_id][0])


@checker("P10")
def check_single_runs(history: History) -> Found:
    """A request that may not be repeated, and an idempotency key, run at most once."""
    sent = _sent(history)
    runs: dict[str, ExecutionStarted] = {}
    for event in history.of(ExecutionStarted):
        request = sent.get(event.request_id)
        if request is None or request.repeatable:
            continue
        for name in {f"request {event.request_id}", f"claim {request.claim}"}:
            if name == "claim ":
                continue
            if name in runs:
                yield f"{name} ran twice", (runs[name], event)
            runs[name] = event
