"""Splitting of server-sent event streams at event boundaries."""

# Largest event; a longer one is not an event of an engine but an answer in trouble.
MAX_EVENT_BYTES = 262_144


class EventTooLong(Exception):
    """An event is longer than the limit."""


class EventSplitter:
    """Splits a byte stream into complete events.

    :ivar last_id: id of the last complete event that has one; None before the first.
    """

    __slots__ = ("count", "last_id", "rest")

    def __init__(self) -> None:
        self.rest = b""
        self.last_id: bytes | None = None
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event; buffer the rest.

        :raises EventTooLong: if the rest exceeds ``MAX_EVENT_BYTES``.
        """
        data = self.rest + data
        end = data.rfind(b"\n\n")
        if len(data) - max(0, end) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event of more than {MAX_EVENT_BYTES} bytes")
        if end < 0:
            self.rest = data
            return b""
        complete_events, self.rest = data[: end + 2], data[end + 2 :]
        for event in complete_events.split(b"\n\n")[:-1]:
            self.count += 1
            for line in event.split(b"\n"):
                if line.startswith(b"id:"):
                    self.last_id = line[3:].strip()
        return complete_events

    def restart(self) -> None:
        """Discard a partial event before another endpoint resumes the stream."""
        self.rest = b""
