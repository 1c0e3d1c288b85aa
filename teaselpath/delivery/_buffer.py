"""Buffer of the unacknowledged chunks of a stream at the agent."""

from collections import deque
from itertools import islice

from teaselpath.delivery._events import DeliveryLimits
from teaselpath.wire import Chunk, End


class StreamBuffer:
    """Numbered chunks that the entry has not acknowledged.

    The end of the stream has the number ``last + 1``, so that it can be acknowledged as well.

    :param window: chunks that may be sent before the first acknowledgement.
    """

    __slots__ = ("acked", "chunks", "end", "last", "send_limit", "sent", "size")

    def __init__(self, window: int) -> None:
        self.chunks: deque[Chunk] = deque()
        self.end: End | None = None
        self.acked = 0
        self.last = 0
        self.sent = 0
        # Highest number of a chunk that may be sent.
        self.send_limit = window
        self.size = 0

    def acknowledge(self, number: int) -> None:
        """Discard the chunks up to a number, which is clamped to the highest number assigned."""
        chunks = self.chunks
        while chunks and chunks[0].number <= number:
            self.size -= len(chunks.popleft().data)
        top = self.last + 1 if self.end is not None else self.last
        self.acked = max(self.acked, min(number, top))
        self.sent = max(self.sent, self.acked)

    def rewind(self, after: int, window: int) -> None:
        """Resend from the chunk after number ``after`` on; it must not be below ``acked``."""
        self.sent = min(after, self.last)
        self.send_limit = self.sent + window

    def collect_due(self) -> list[Chunk | End]:
        """Return the messages that may be sent now, in order, and mark them as sent."""
        due: list[Chunk | End] = []
        last = min(self.send_limit, self.last)
        if self.sent < last:
            first = max(self.sent, self.acked)
            due.extend(islice(self.chunks, first - self.acked, last - self.acked))
            self.sent = last
        if self.end is not None and self.sent == self.last:
            due.append(self.end)
            self.sent = self.last + 1
        return due

    def discard(self) -> None:
        """Discard all chunks, as if they had been acknowledged."""
        self.acknowledge(self.last)

    def skip(self, number: int) -> None:
        """Assign a number to a chunk that is discarded instead of buffered."""
        self.last = self.acked = self.sent = number

    def is_full(self, limits: DeliveryLimits) -> bool:
        """Whether reading the endpoint's answer must pause."""
        return len(self.chunks) >= limits.window_chunks or self.size >= limits.window_bytes

    def is_low(self, limits: DeliveryLimits) -> bool:
        """Whether reading may resume: at half the limits, for hysteresis."""
        return 2 * len(self.chunks) <= limits.window_chunks and 2 * self.size <= limits.window_bytes

    @property
    def is_delivered(self) -> bool:
        """Whether the end was acknowledged."""
        return self.end is not None and self.acked > self.last
