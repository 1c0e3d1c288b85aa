"""Streams of the log service."""

from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from standins._rate import RateLimit


@dataclass(slots=True)
class Record:
    """A kept record; ``appended_at`` is in monotonic seconds."""

    offset: int
    appended_at: float
    data: bytes


@dataclass(slots=True)
class Stream:
    """Records of one stream; offsets start at 0 and are never used again."""

    records: deque[Record] = field(default_factory=deque)
    next_offset: int = 0

    @property
    def first(self) -> int:
        """Oldest kept offset."""
        return self.next_offset - len(self.records)

    def append(self, data: bytes, now: float) -> int:
        """Append a record and return its offset."""
        self.records.append(Record(self.next_offset, now, data))
        self.next_offset += 1
        return self.next_offset - 1

    def trim(self, before: int) -> None:
        """Drop the records below an offset."""
        while self.records and self.records[0].offset < before:
            self.records.popleft()

    def read(self, start: int, limit: int) -> list[Record]:
        """Return records from an offset that is not trimmed."""
        skip = start - self.first
        return list(islice(self.records, skip, skip + limit))


class LogCore:
    """All streams, with the retention and the append rate that they share."""

    def __init__(
        self, keep_records: int, keep_s: float, appends_per_s: float, burst: float, now: float
    ) -> None:
        self.keep_records = keep_records
        self.keep_s = keep_s
        self.streams: dict[str, Stream] = {}
        self.rate = RateLimit(appends_per_s, burst, now)

    def stream(self, name: str, now: float) -> Stream:
        """Return a stream as it is after retention."""
        stream = self.streams.setdefault(name, Stream())
        stream.trim(stream.next_offset - self.keep_records)
        while stream.records and stream.records[0].appended_at < now - self.keep_s:
            stream.records.popleft()
        return stream
