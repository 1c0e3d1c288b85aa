"""Streams of the log service, without I/O."""

from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from standins._rate import TokenBucket


@dataclass(slots=True)
class Record:
    """A retained record; ``appended_at`` is in monotonic seconds."""

    offset: int
    appended_at: float
    data: bytes


@dataclass(slots=True)
class Stream:
    """Records of one stream; offsets start at 0 and are never reused."""

    records: deque[Record] = field(default_factory=deque)
    next_offset: int = 0

    @property
    def first(self) -> int:
        """Offset of the oldest retained record."""
        return self.next_offset - len(self.records)

    def append(self, data: bytes, now: float) -> int:
        """Append a record and return its offset."""
        self.records.append(Record(self.next_offset, now, data))
        self.next_offset += 1
        return self.next_offset - 1

    def trim(self, before: int) -> None:
        """Remove the records below an offset."""
        while self.records and self.records[0].offset < before:
            self.records.popleft()

    def read(self, start: int, limit: int) -> list[Record]:
        """Return records from an offset, which must not have been trimmed."""
        skip = start - self.first
        return list(islice(self.records, skip, skip + limit))


class LogCore:
    """All streams, with their common retention policy and append rate limit."""

    def __init__(
        self, keep_records: int, keep_s: float, appends_per_s: float, burst: float, now: float
    ) -> None:
        self.keep_records = keep_records
        self.keep_s = keep_s
        self.streams: dict[str, Stream] = {}
        self.rate = TokenBucket(appends_per_s, burst, now)

    def stream(self, name: str, now: float) -> Stream:
        """Return a stream after applying the retention policy."""
        stream = self.streams.setdefault(name, Stream())
        stream.trim(stream.next_offset - self.keep_records)
        while stream.records and stream.records[0].appended_at < now - self.keep_s:
            stream.records.popleft()
        return stream
