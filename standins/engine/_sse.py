"""SSE encoding of answers, valid or deliberately invalid."""

from typing import Any

import msgspec

from standins.engine._core import Sequence
from standins.engine._faults import SseMode

DONE = b"data: [DONE]\n\n"
OVERSIZED_BYTES = 4 << 20
CONTENT_TYPE = "text/event-stream"


def usage(sequence: Sequence) -> dict[str, Any]:
    """Return the usage field, including the origin of the reused blocks."""
    return {
        "prompt_tokens": sequence.prompt_tokens,
        "completion_tokens": len(sequence.tokens),
        "total_tokens": sequence.prompt_tokens + len(sequence.tokens),
        "prompt_tokens_details": {"cached_tokens": sequence.cached_tokens},
        "reused": {
            "salt": sequence.salt.hex(),
            "incarnations": sorted({b.incarnation for b in sequence.reused}),
            "weights": sorted({b.weights for b in sequence.reused}),
        },
    }


def reuse_headers(sequence: Sequence) -> dict[str, str]:
    """Return the response headers that describe the reused blocks."""
    reused = usage(sequence)["reused"]
    return {
        "X-Request-Id": sequence.request_id,
        "X-Engine-Incarnation": sequence.incarnation,
        "X-Engine-Weights": sequence.weights,
        "X-Cached-Tokens": str(sequence.cached_tokens),
        "X-Cache-Salt": reused["salt"],
        "X-Cache-Incarnations": ",".join(reused["incarnations"]),
        "X-Cache-Weights": ",".join(reused["weights"]),
    }


class Framing:
    """Encodes the events of one answer in the format of the completion or chat API."""

    def __init__(self, sequence: Sequence, chat: bool) -> None:
        self.sequence = sequence
        self.chat = chat
        start = {"id": sequence.request_id, "object": self.object_name(True)}
        head = msgspec.json.encode({**start, "model": sequence.model})[:-1]
        content_field = b'"delta":{"content":"' if chat else b'"text":"'
        self.head = b"data: " + head + b',"choices":[{"index":0,' + content_field
        # Tokens consist of ASCII letters and spaces, so they need no JSON escaping.
        self.tail = b'"},"finish_reason":null}]}\n\n' if chat else b'","finish_reason":null}]}\n\n'

    def object_name(self, stream: bool) -> str:
        """Return the value of the API's ``object`` field."""
        if self.chat:
            return "chat.completion.chunk" if stream else "chat.completion"
        return "text_completion"

    def tokens(self, tokens: list[str]) -> bytes:
        """Return one encoded event for each token."""
        return b"".join([self.head + token.encode() + self.tail for token in tokens])

    def final_event(self) -> bytes:
        """Return the final event, with finish reason and usage."""
        empty: dict[str, Any] = {"delta": {}} if self.chat else {"text": ""}
        choice = {"index": 0, **empty, "finish_reason": self.sequence.finish_reason}
        return b"data: " + msgspec.json.encode(self._body(choice, True)) + b"\n\n"

    def full_body(self) -> dict[str, Any]:
        """Return the body of an answer that is not streamed."""
        text = "".join(self.sequence.tokens)
        content: dict[str, Any] = (
            {"message": {"role": "assistant", "content": text}} if self.chat else {"text": text}
        )
        choice = {"index": 0, **content, "finish_reason": self.sequence.finish_reason}
        return self._body(choice, False)

    def _body(self, choice: dict[str, Any], stream: bool) -> dict[str, Any]:
        return {
            "id": self.sequence.request_id,
            "object": self.object_name(stream),
            "model": self.sequence.model,
            "choices": [choice],
            "usage": usage(self.sequence),
        }

    def faulty_end(self, mode: SseMode) -> bytes:
        """Return the bytes that a faulty engine sends instead of the rest of a stream."""
        match mode:
            case "truncated":
                return self.tokens(["lost"])[:-20]
            case "malformed":
                return b'data: {"choices":[{"index":0,"text":\x00\xff\n\n' + DONE
            case "oversized":
                return b"data: " + b"a" * OVERSIZED_BYTES
            case "after_done":
                return self.final_event() + DONE + self.tokens(["more "]) + DONE
            case "no_usage":
                return DONE
            case "shuffled":
                return DONE + self.final_event() + self.tokens(["late "])
