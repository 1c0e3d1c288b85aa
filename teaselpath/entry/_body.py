"""Body of the answer to a caller, over one or several attempts."""

from dataclasses import dataclass, field

import orjson
from result import Ok

from teaselpath.delivery import ContinuedStream, check_continuable
from teaselpath.entry._call import Call
from teaselpath.wire import Chunk

# A plain answer is held back up to this size, so that a broken one can be run again unseen.
HOLD_BYTES = 1024 * 1024
# Raw events are kept for a continuation up to this size.
KEEP_BYTES = 1024 * 1024
EVENT_END = b"\n\n"


@dataclass(slots=True)
class AnswerBody:
    """Decides which bytes of an answer the caller gets, and when.

    Events of a stream are passed on whole and unparsed. They are parsed only if the stream breaks
    and is continued, because parsing each event costs more than all other work on it.

    :param call: the request.
    """

    call: Call
    status: int = 502
    headers: list[tuple[str, str]] = field(default_factory=list)
    held: list[bytes] = field(default_factory=list)
    held_bytes: int = 0
    tail: bytes = b""
    delivered: list[bytes] = field(default_factory=list)
    delivered_bytes: int = 0
    attempt: int = 0
    continued: ContinuedStream | None = None
    body: bytes = b""

    @property
    def is_event_stream(self) -> bool:
        """Return whether the answer is passed on event by event."""
        return self.call.stream and self.status == 200

    def take(self, chunk: Chunk) -> bytes:
        """Take a chunk and return the bytes that the caller gets now."""
        if chunk.attempt != self.attempt:
            self._start_attempt(chunk)
        if not self.is_event_stream:
            return self._hold(chunk.data)
        if self.continued is not None:
            match self.continued.feed(chunk.data):
                case Ok(data):
                    return data
            return b""
        return self._pass_events(chunk.data)

    def complete(self) -> bytes:
        """Return what is still held back at the end of a complete answer."""
        if self.continued is not None:
            return self.continued.finish()
        rest = b"".join([*self.held, self.tail])
        self.held.clear()
        self.tail = b""
        return rest

    def start_continuation(self) -> bool:
        """Prepare the body that goes on from the delivered text; False if that is not possible.

        A request of which nothing was delivered runs again with its first body.
        """
        if not self.delivered and self.continued is None:
            return True
        if self.continued is None and not self._parse_delivered():
            return False
        assert self.continued is not None
        self.continued.begin_next_run()
        follow_up = self.continued.continuation_body()
        if follow_up is None or not self.continued.is_continuable:
            return False
        self.body = orjson.dumps(follow_up)
        return True

    def _parse_delivered(self) -> bool:
        if self.delivered_bytes > KEEP_BYTES:
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
        self.tail = b""

    def _hold(self, data: bytes) -> bytes:
        if self.held_bytes > HOLD_BYTES:
            return data
        self.held.append(data)
        self.held_bytes += len(data)
        if self.held_bytes <= HOLD_BYTES:
            return b""
        held = b"".join(self.held)
        self.held.clear()
        return held

    def _pass_events(self, data: bytes) -> bytes:
        if self.tail:
            data = self.tail + data
            self.tail = b""
        found = data.rfind(EVENT_END)
        end = found + len(EVENT_END) if found >= 0 else 0
        if end != len(data):
            self.tail = data[end:]
            data = data[:end]
        if data:
            self.delivered_bytes += len(data)
            if self.delivered_bytes <= KEEP_BYTES:
                self.delivered.append(data)
        return data
