"""Incremental parser of server-sent events."""

from result import Err, Ok, Result

from teaselpath.results import Code, Failure, Ran

DONE = b"[DONE]"
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class SseParser:
    """Splits a byte stream into the data of its events.

    Lines end with LF, CR or CRLF, which may be split between two reads. Comments and fields other
    than ``data`` are skipped. After a failure every call fails; events that were complete before it
    are returned first, and the failure from the next call on.

    :param max_line_bytes: maximum length of a line.
    :param max_event_bytes: maximum length of the data of an event.
    """

    __slots__ = (
        "_data",
        "_data_size",
        "_failure",
        "_skip_lf",
        "_tail",
        "_tail_size",
        "max_event_bytes",
        "max_line_bytes",
    )

    def __init__(self, max_line_bytes: int = 1 << 18, max_event_bytes: int = 1 << 20) -> None:
        self.max_line_bytes = max_line_bytes
        self.max_event_bytes = max_event_bytes
        self._tail: list[bytes] = []
        self._tail_size = 0
        self._data: list[bytes] = []
        self._data_size = 0
        self._skip_lf = False
        self._failure: Failure | None = None

    def feed(self, data: bytes) -> Result[list[bytes], Failure]:
        """Parse bytes and return the data of the events that they complete.

        :returns: the events, or ENDPOINT_PROTOCOL if a line or an event is too long.
        """
        if self._failure is not None:
            return Err(self._failure)
        if not data:
            return Ok([])
        if self._skip_lf and data.startswith(b"\n"):
            data = data[1:]
        self._skip_lf = data.endswith(b"\r")
        if b"\n" not in data and b"\r" not in data:
            return self._buffer_tail(data)
        lines = b"".join([*self._tail, data]).splitlines(keepends=True)
        self._tail.clear()
        self._tail_size = 0
        last = b"" if lines[-1].endswith((b"\n", b"\r")) else lines.pop()
        events: list[bytes] = []
        for line in lines:
            if (error_detail := self._handle_line(line.rstrip(b"\r\n"), events)) is not None:
                error = self._fail(error_detail)
                return Ok(events) if events else error
        tail_result = self._buffer_tail(last)
        return Ok(events) if events else tail_result

    def _buffer_tail(self, data: bytes) -> Result[list[bytes], Failure]:
        """Buffer an unfinished line in parts, so that small reads do not copy the whole line."""
        if data:
            self._tail.append(data)
            self._tail_size += len(data)
        if self._tail_size > self.max_line_bytes:
            return self._fail("a line of the event stream is too long")
        return Ok([])

    def _handle_line(self, line: bytes, events: list[bytes]) -> str | None:
        if not line:
            if self._data:
                events.append(b"\n".join(self._data))
            self._data = []
            self._data_size = 0
            return None
        if len(line) > self.max_line_bytes:
            return "a line of the event stream is too long"
        name, _, value = line.partition(b":")
        if name != b"data":
            return None
        value = value.removeprefix(b" ")
        self._data.append(value)
        self._data_size += len(value) + 1
        if self._data_size > self.max_event_bytes:
            return "an event is too long"
        return None

    def set_failure(self, failure: Failure) -> None:
        """Return this failure from all further calls."""
        self._failure = failure

    def _fail(self, detail: str) -> Err[Failure]:
        self._failure = Failure(Code.ENDPOINT_PROTOCOL, detail, Ran.RAN)
        self._tail = []
        self._data = []
        return Err(self._failure)


class EventAligner:
    """Splits a byte stream between events, so that a caller can resume after any chunk.

    :param max_tail_bytes: maximum number of buffered bytes; a longer event is split.
    """

    __slots__ = ("_tail", "max_tail_bytes")

    def __init__(self, max_tail_bytes: int = 1 << 18) -> None:
        self.max_tail_bytes = max_tail_bytes
        self._tail = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Buffer bytes and return those up to the end of the last complete event."""
        # The end of an event can begin in the tail, with up to three bytes of CR LF CR LF.
        start = max(0, len(self._tail) - 3)
        self._tail += data
        found = ((self._tail.rfind(end, start), len(end)) for end in _EVENT_ENDS)
        cut = max((position + length for position, length in found if position >= 0), default=0)
        if not cut and len(self._tail) > self.max_tail_bytes:
            return self.flush()
        complete = bytes(self._tail[:cut])
        del self._tail[:cut]
        return complete

    def flush(self) -> bytes:
        """Return the buffered bytes at the end of the stream."""
        rest = bytes(self._tail)
        self._tail.clear()
        return rest


def format_event(data: bytes) -> bytes:
    """Format an event with one line of data."""
    return b"data: " + data + b"\n\n"
