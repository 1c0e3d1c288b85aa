"""Sends one call of the load tool and checks that its answer is complete."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic
from typing import Any

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout

from teaselpath.cli._load_profile import PlannedCall

# Takes the path, the body and the text of the answer; returns an empty string or the error found.
Verifier = Callable[[str, dict[str, Any] | None, str], str]

MAX_EVENT_BYTES = 1 << 20
MAX_DETAIL_CHARS = 200
DONE = b"[DONE]"


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str = ""
    delta: _Delta | None = None
    message: _Delta | None = None
    finish_reason: str | None = None

    def content(self) -> str:
        part = self.delta or self.message
        return (part.content or "") if part else self.text


class _CachedTokens(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _CachedTokens | None = None


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: Any = None


_event_decoder = msgspec.json.Decoder(_Event)


@dataclass(slots=True)
class CallOutcome:
    """Outcome of a call.

    :param result: ``ok``, ``refused`` (an error status), ``failed`` (no answer), ``incomplete``,
        ``wrong`` (complete, but not the answer to this call) or ``unfinished`` (cancelled at the
        end of the run).
    :param code: result code in the entry's error, such as ``rate_exceeded``.
    :param ran: whether the request ran, from the entry's error: ``not_run``, ``ran`` or
        ``unknown``.
    :param first_token_at: monotonic seconds; 0 if no token arrived.
    :param done_at: monotonic seconds.
    :param gaps_s: intervals between successive chunks of a stream, in seconds.
    """

    call: PlannedCall
    result: str = "unfinished"
    status: int = 0
    code: str = ""
    ran: str = ""
    detail: str = ""
    first_token_at: float = 0.0
    done_at: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    gaps_s: list[float] = field(default_factory=list)


class _IncompleteAnswer(Exception):
    """The answer is truncated, malformed or reports an error."""


async def send_call(
    session: ClientSession,
    base_url: str,
    call: PlannedCall,
    key: str,
    timeout_s: float,
    verify: Verifier | None,
) -> CallOutcome:
    """Send a call and check that its answer is complete and its events are in order."""
    outcome = CallOutcome(call)
    headers = dict(call.headers)
    if key:
        headers["Authorization"] = f"Bearer {key}"
    data = None
    if call.body is not None:
        data = msgspec.json.encode(call.body)
        headers["Content-Type"] = "application/json"
    try:
        async with session.request(
            call.method,
            base_url + call.path,
            data=data,
            headers=headers,
            timeout=ClientTimeout(total=timeout_s),
        ) as answer:
            outcome.status = answer.status
            if answer.status >= 400:
                outcome.result = "refused"
                _record_error(await answer.read(), outcome)
            else:
                text = await _read_answer(answer, call, outcome)
                mismatch = verify(call.path, call.body, text) if verify else ""
                outcome.result = "wrong" if mismatch else "ok"
                outcome.detail = mismatch
    except _IncompleteAnswer as error:
        outcome.result = "incomplete"
        outcome.detail = str(error)
    except (ClientError, TimeoutError, OSError) as error:
        outcome.result = "incomplete" if outcome.first_token_at else "failed"
        outcome.detail = f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARS]
    outcome.done_at = monotonic()
    return outcome


def _record_error(data: bytes, outcome: CallOutcome) -> None:
    outcome.detail = data[:MAX_DETAIL_CHARS].decode(errors="replace")
    try:
        _record_error_fields(_event_decoder.decode(data).error, outcome)
    except msgspec.DecodeError:
        return


def _record_error_fields(error: Any, outcome: CallOutcome) -> None:
    if isinstance(error, dict):
        outcome.code = str(error.get("code", ""))
        outcome.ran = str(error.get("ran", ""))


async def _read_answer(answer: Any, call: PlannedCall, outcome: CallOutcome) -> str:
    if call.stream:
        return await _read_stream(answer, outcome)
    data = await answer.read()
    outcome.first_token_at = monotonic()
    if call.kind == "service":
        return data.decode(errors="replace")
    event = _decode(data)
    _record_usage(event, outcome)
    if not event.choices or event.choices[0].finish_reason not in ("stop", "length"):
        raise _IncompleteAnswer("answer has no finish_reason stop or length")
    return event.choices[0].content()


async def _read_stream(answer: Any, outcome: CallOutcome) -> str:
    parts: list[str] = []
    pending = b""
    has_finish_reason = has_done_marker = False
    last_at = 0.0
    async for data in answer.content.iter_any():
        now = monotonic()
        pending += data
        *events, pending = pending.split(b"\n\n")
        if len(pending) > MAX_EVENT_BYTES:
            raise _IncompleteAnswer("event is too large")
        for raw in events:
            if not raw.startswith(b"data: "):
                continue
            if has_done_marker:
                raise _IncompleteAnswer("event after [DONE]")
            if raw[6:] == DONE:
                has_done_marker = True
                continue
            count = len(parts)
            if _handle_event(_decode(raw[6:]), parts, outcome):
                has_finish_reason = True
            elif has_finish_reason and len(parts) > count:
                raise _IncompleteAnswer("text after the event with the finish_reason")
        if parts and not outcome.first_token_at:
            outcome.first_token_at = now
        elif last_at and parts:
            outcome.gaps_s.append(now - last_at)
        last_at = now if parts else 0.0
    if not has_done_marker or not has_finish_reason:
        raise _IncompleteAnswer(
            f"stream ended without finish_reason or [DONE] after {len(parts)} parts"
        )
    if not outcome.first_token_at:
        outcome.first_token_at = monotonic()
    return "".join(parts)


def _handle_event(event: _Event, parts: list[str], outcome: CallOutcome) -> bool:
    """Append the text and record the usage of an event; return whether it has a finish_reason."""
    if event.error is not None:
        _record_error_fields(event.error, outcome)
        raise _IncompleteAnswer(f"error event: {event.error}"[:MAX_DETAIL_CHARS])
    _record_usage(event, outcome)
    reason = None
    for choice in event.choices:
        text = choice.content()
        if text:
            parts.append(text)
        reason = choice.finish_reason or reason
    if reason not in (None, "stop", "length"):
        raise _IncompleteAnswer(f"stream ended with finish_reason {reason}")
    return reason is not None


def _record_usage(event: _Event, outcome: CallOutcome) -> None:
    usage = event.usage
    if usage is not None:
        outcome.prompt_tokens = usage.prompt_tokens
        outcome.output_tokens = usage.completion_tokens
        if usage.prompt_tokens_details is not None:
            outcome.cached_tokens = usage.prompt_tokens_details.cached_tokens


def _decode(data: bytes) -> _Event:
    try:
        return _event_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise _IncompleteAnswer(f"event is malformed: {error}"[:MAX_DETAIL_CHARS]) from error
