"""Continuation of a broken stream on another engine."""

from typing import Any

import msgspec
from result import Err, Ok, Result

from teaselpath.delivery._sse import DONE, SseParser, format_event
from teaselpath.results import Code, Failure, Ran

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"
_TOKEN_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")


def check_continuable(path: str, body: dict[str, Any]) -> str:
    """Return why a request cannot be continued, or an empty string if it can.

    The answer has to be a single text that another engine can continue.
    """
    if not body.get("stream"):
        return "the answer is not a stream"
    if body.get("n", 1) != 1 or body.get("best_of", 1) != 1:
        return "the answer has several choices"
    if body.get("echo") or body.get("tools") or body.get("response_format"):
        return "the answer is more than the text that follows the prompt"
    if path == COMPLETIONS_PATH:
        return "" if isinstance(body.get("prompt"), str) else "the prompt is not a string"
    if path != CHAT_PATH:
        return "the route does not support continuation"
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return "there are no messages"
    if not all(isinstance(message, dict) for message in messages):
        return "a message is not an object"
    return "" if isinstance(messages[-1].get("content"), str) else "the content is not a string"


class ContinuedStream:
    """Joins the events of several runs into one unbroken stream for the caller.

    Only complete events are forwarded, so a run may break at any byte.

    :param path: path of the request.
    :param body: decoded JSON body that :func:`check_continuable` accepts.
    :param max_text_chars: maximum length of the collected text, in characters; a longer answer is
        not continued.
    """

    def __init__(self, path: str, body: dict[str, Any], max_text_chars: int = 1 << 22) -> None:
        self.path = path
        self.body = body
        self.max_text_chars = max_text_chars
        self.text: list[str] = []
        self.text_chars = 0
        self.earlier_run_tokens = 0
        self.finish_reason = ""
        self.is_done = False
        self.is_continuable = True
        self._run_tokens = 0
        self._parser = SseParser()
        self._runs = 1
        self._answer_fields: dict[str, Any] = {}
        self._has_role = False

    @property
    def delivered_tokens(self) -> int:
        """Tokens delivered to the caller: as the engines report, else one per event with text."""
        return self.earlier_run_tokens + self._run_tokens

    def feed(self, data: bytes, event_id: str = "") -> Result[bytes, Failure]:
        """Process bytes of the current run and return bytes for the caller.

        :param data: bytes of the stream.
        :param event_id: id that is added to the last event, for a caller that reconnects with
            ``Last-Event-ID``; ``data`` then has to end with a complete event, see
            :class:`EventAligner`.
        :returns: complete events, or a failure if the engine violated the protocol or sent an
            error. A failure ends the run; the stream may be continued by another one.
        """
        events = self._parser.feed(data)
        if isinstance(events, Err):
            return events
        out: list[bytes] = []
        for event in events.ok_value:
            result = self._handle_event(event)
            if isinstance(result, Err):
                # Events before the faulty one are returned; the failure follows at the next call.
                return result if not out else self._defer_failure(out, result.err_value)
            out.append(result.ok_value)
        joined = b"".join(out)
        if event_id and joined:
            joined = joined[:-1] + b"id: " + event_id.encode() + b"\n\n"
        return Ok(joined)

    def _defer_failure(self, out: list[bytes], failure: Failure) -> Result[bytes, Failure]:
        self._parser = SseParser()
        self._parser.set_failure(failure)
        return Ok(b"".join(out))

    def check_complete(self) -> Failure | None:
        """Return why the stream is not complete although its run ended, or None if it is."""
        if self.is_done:
            return None
        # A call without data returns the failure of an earlier call, if any.
        failure = self._parser.feed(b"").err()
        return failure or Failure(Code.STREAM_INCOMPLETE, "the stream has no [DONE]", Ran.RAN)

    def begin_next_run(self) -> None:
        """Discard the partial event of a broken run and prepare for the next run."""
        self._parser = SseParser()
        self.earlier_run_tokens += self._run_tokens
        self._run_tokens = 0
        self._runs += 1

    def continuation_body(self) -> dict[str, Any] | None:
        """Return the request body that continues the delivered text.

        :returns: None if nothing is left to generate; :meth:`finish` then ends the stream.
        """
        if self.finish_reason or self.is_done:
            return None
        body = dict(self.body)
        for field in _TOKEN_LIMIT_FIELDS:
            if isinstance(limit := body.get(field), int):
                if limit <= self.delivered_tokens:
                    return None
                body[field] = limit - self.delivered_tokens
        if not self.text:
            return body
        text = "".join(self.text)
        if self.path == COMPLETIONS_PATH:
            body["prompt"] = body["prompt"] + text
            return body
        return self._continue_chat(body, text)

    def _continue_chat(self, body: dict[str, Any], text: str) -> dict[str, Any]:
        messages = list(body["messages"])
        if body.get("continue_final_message") and messages[-1].get("role") == "assistant":
            last = messages.pop()
            messages.append({**last, "content": last["content"] + text})
        else:
            messages.append({"role": "assistant", "content": text})
        body["messages"] = messages
        body["continue_final_message"] = True
        # Engines reject continue_final_message together with a generation prompt.
        body["add_generation_prompt"] = False
        return body

    def finish(self) -> bytes:
        """Return the events that end a stream whose text was delivered completely."""
        if self.is_done:
            return b""
        self.is_done = True
        if self.finish_reason:
            return format_event(DONE)
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
        if self.path == COMPLETIONS_PATH:
            choice["text"] = ""
        else:
            choice["delta"] = {}
        event = msgspec.json.encode({**self._answer_fields, "choices": [choice]})
        return format_event(event) + format_event(DONE)

    # Events of a run

    def _handle_event(self, data: bytes) -> Result[bytes, Failure]:
        if self.is_done:
            return Ok(b"")
        if data == DONE:
            self.is_done = True
            return Ok(format_event(DONE))
        try:
            event = msgspec.json.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return _protocol_error("an event is not JSON")
        if not isinstance(event, dict):
            return _protocol_error("an event is not an object")
        if "error" in event:
            return Err(Failure(Code.ENDPOINT_FAILED, "the engine reported an error", Ran.RAN))
        if (choice := _read_choice(event)) is None:
            return _protocol_error("the choices of an event are malformed")
        self._collect(event, choice)
        return Ok(self._rewrite_event(data, event, choice))

    def _collect(self, event: dict[str, Any], choice: dict[str, Any]) -> None:
        text = self._choice_text(choice)
        if text:
            self.text.append(text)
            self.text_chars += len(text)
            self._run_tokens += 1
            if self.text_chars > self.max_text_chars:
                self.is_continuable = False
                self.text.clear()
        if isinstance(reason := choice.get("finish_reason"), str):
            self.finish_reason = reason
        usage = event.get("usage")
        if (
            isinstance(usage, dict)
            and (count := _read_count(usage, "completion_tokens")) is not None
        ):
            self._run_tokens = count

    def _choice_text(self, choice: dict[str, Any]) -> str:
        if self.path == COMPLETIONS_PATH:
            text = choice.get("text")
        else:
            delta = choice.get("delta")
            delta = delta if isinstance(delta, dict) else {}
            # Only text content can be continued through a trailing assistant message.
            if delta.keys() - {"role", "content"}:
                self.is_continuable = self.is_continuable and not any(
                    value for name, value in delta.items() if name not in ("role", "content")
                )
            text = delta.get("content")
        return text if isinstance(text, str) else ""

    def _rewrite_event(self, data: bytes, event: dict[str, Any], choice: dict[str, Any]) -> bytes:
        if not self._answer_fields:
            names = ("id", "object", "created", "model", "system_fingerprint")
            self._answer_fields = {name: event[name] for name in names if name in event}
        is_repeated_role = self._drop_repeated_role(choice)
        if self._runs == 1:
            # format_event takes one line; line breaks in JSON are whitespace.
            return format_event(b" ".join(data.splitlines()))
        event.update(self._answer_fields)
        usage = event.get("usage")
        if isinstance(usage, dict):
            self._sum_usage(usage)
        elif is_repeated_role and not self._choice_text(choice) and not choice.get("finish_reason"):
            # The event only repeats the role, so nothing of it is left for the caller.
            return b""
        return format_event(msgspec.json.encode(event))

    def _drop_repeated_role(self, choice: dict[str, Any]) -> bool:
        delta = choice.get("delta")
        if not isinstance(delta, dict) or "role" not in delta:
            return False
        is_repeated = self._has_role and self._runs > 1
        self._has_role = True
        if is_repeated:
            del delta["role"]
        return is_repeated

    def _sum_usage(self, usage: dict[str, Any]) -> None:
        """Count the tokens of earlier runs as completion; the engine counted them as prompt."""
        prompt = _read_count(usage, "prompt_tokens")
        completion = _read_count(usage, "completion_tokens")
        if prompt is None or completion is None:
            return
        prompt = max(0, prompt - self.earlier_run_tokens)
        completion += self.earlier_run_tokens
        usage.update(
            prompt_tokens=prompt, completion_tokens=completion, total_tokens=prompt + completion
        )
        details = usage.get("prompt_tokens_details")
        if (
            isinstance(details, dict)
            and (cached := _read_count(details, "cached_tokens")) is not None
        ):
            details["cached_tokens"] = min(cached, prompt)


def _read_choice(event: dict[str, Any]) -> dict[str, Any] | None:
    """Return the only choice, an empty object if there is none, or None if it is malformed."""
    choices = event.get("choices", [])
    if not isinstance(choices, list) or len(choices) > 1:
        return None
    if not choices:
        return {}
    return choices[0] if isinstance(choices[0], dict) else None


def _read_count(values: dict[str, Any], name: str) -> int | None:
    count = values.get(name)
    return count if isinstance(count, int) and count >= 0 else None


def _protocol_error(detail: str) -> Err[Failure]:
    return Err(Failure(Code.ENDPOINT_PROTOCOL, detail, Ran.RAN))
