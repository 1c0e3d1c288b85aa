"""Response body for a caller, assembled from one or several attempts."""

from dataclasses import dataclass, field

import orjson
from result import Ok

from teaselpath.delivery import ContinuedStream, check_continuable
from teaselpath.entry._call import Call
from teaselpath.wire import Chunk

# An answer that is not streamed is held back up to this size: until a byte is sent, a failed
# attempt can be retried without the caller noticing.
MAX_HELD_BYTES = 1024 * 1024
# Raw events are stored up to this size, to be parsed if the stream has to be continued.
MAX_REPLAY_BYTES = 1024 * 1024
EVENT_END = b"\n\n"


@dataclass(slots=True)
class AnswerBody:
    """Decides which bytes of an answer are sent to the caller, and when.

    Events of a stream are forwarded whole and unparsed. They are parsed only if the stream breaks
    and is continued, because parsing an event costs more than all other work on it.

    :param call: the validated request.
    """

    call: Call
    status: int = 502
    headers: list[tuple[str, str]] = field(default_factory=list)
    held: list[bytes] = field(default_factory=list)
    held_bytes: int = 0
    partial_event: bytes = b""
    delivered: list[bytes] = field(default_factory=list)
    delivered_bytes: int = 0
    attempt: int = 0
    continued: ContinuedStream | None = None
    body: bytes = b""

    @property
    def is_event_stream(self) -> bool:
        """Return whether the answer is forwarded event by event."""
        return self.call.stream and self.status == 200

    def handle_chunk(self, chunk: Chunk) -> bytes:
        """Handle a chunk and return the bytes to send to the caller now."""
        if chunk.attempt != self.attempt:
            self._start_attempt(chunk)
        if not self.is_event_stream:
            return self._hold_back(chunk.data)
        if self.continued is not None:
            match self.continued.feed(chunk.data):
                case Ok(data):
                    return data
            return b""
        return self._forward_events(chunk.data)

    def complete(self) -> bytes:
        """Return the bytes still held back at the end of a complete answer."""
        if self.continued is not None:
            return self.continued.finish()
        rest = b"".join([*self.held, self.partial_event])
        self.held.clear()
        self.partial_event = b""
        return rest

    def start_continuation(self) -> bool:
        """Build the request body that continues after the delivered text; False if not possible.

        A request of which nothing was delivered is retried with its original body.
        """
        if not self.delivered and self.continued is None:
            return True
        if self.continued is None and not self._parse_delivered():
            return False
        assert self.continued is not None
        self.continued.begin_next_run()
        continuation = self.continued.continuation_body()
        if continuation is None or not self.continued.is_continuable:
            return False
        self.body = orjson.dumps(continuation)
        return True

    def _parse_delivered(self) -> bool:
        if self.delivered_bytes > MAX_REPLAY_BYTES:
            return False
        body = orjson.loads(self.call.body)
        if check_continuable(self.call.path, body):
            return False
        self.continued = ContinuedStream(self.call.path, body)
        parsed = self.continued.feed(b"".join(self.delivered))
        self.delivered.clear()
        return parsed.is_ok()

    def _start_attempt(self, chunk: Chunk) -> None:
        self.attempt = chunk.attempt
        self.status = chunk.status or 200
        self.headers = list(chunk.headers)
        self.held.clear()
        self.held_bytes = 0
        self.partial_event = b""

    def _hold_back(self, data: bytes) -> bytes:
        if self.held_bytes > MAX_HELD_BYTES:
            return data
        self.held.append(data)
        self.held_bytes += len(data)
        if self.held_bytes <= MAX_HELD_BYTES:
            return b""
        held = b"".join(self.held)
        self.held.clear()
        return held

    def _forward_events(self, data: bytes) -> bytes:
        if self.partial_event:
            data = self.partial_event + data
            self.partial_event = b""
        found = data.rfind(EVENT_END)
        end = found + len(EVENT_END) if found >= 0 else 0
        if end != len(data):
            self.partial_event = data[end:]
            data = data[:end]
        if data:
            self.delivered_bytes += len(data)
            if self.delivered_bytes <= MAX_REPLAY_BYTES:
                self.delivered.append(data)
        return data
