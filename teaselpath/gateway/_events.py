"""Splitting of server-sent event streams at event boundaries, and the order of their events."""

from dataclasses import dataclass, replace

# Largest event; a longer one is not an event of an engine but an answer in trouble.
MAX_EVENT_BYTES = 262_144
# Longest id that is read as a number.
MAX_ID_DIGITS = 18


class InvalidEvent(Exception):
    """An event that no sound engine sends at this place."""


class EventTooLong(InvalidEvent):
    """An event is longer than the limit."""


class EventOutOfOrder(InvalidEvent):
    """An event does not follow the one before it."""


@dataclass(slots=True)
class _Position:
    """Position in a stream after an event.

    :param last_id: id of the last event that has one; None before the first.
    :param number: its number, or the one after which the caller resumes; None if there is none.
    :param is_gapless: whether each event so far had the number after that of the one before.
    :param is_known: whether the last event with data has an id, so that the stream can be resumed.
    :param must_follow: whether the next event comes from an endpoint that resumes the stream.
    """

    last_id: bytes | None = None
    number: int | None = None
    is_gapless: bool = True
    is_known: bool = True
    must_follow: bool = False

    def after(self, event: bytes) -> "_Position":
        """Return the position after an event.

        :raises EventOutOfOrder: if it does not follow.
        """
        event_id, has_data = _id_and_data(event)
        if event_id is not None:
            number = _number(event_id)
            self._check_follows(event_id, number)
            is_first = self.number is None and self.last_id is None
            is_gapless = is_first or self._is_next(number)
            return _Position(event_id, number, self.is_gapless and is_gapless)
        if not has_data:
            return self
        if self.must_follow:
            raise EventOutOfOrder("a resumed stream begins with an event without id")
        return replace(self, is_known=False)

    def _check_follows(self, event_id: bytes, number: int | None) -> None:
        if self.number is None:
            is_wrong = self.must_follow and event_id == self.last_id
        elif number is None or number <= self.number:
            is_wrong = True
        else:
            is_wrong = self.must_follow and self.is_gapless and not self._is_next(number)
        if is_wrong:
            before = self.last_id if self.number is None else self.number
            raise EventOutOfOrder(f"event {event_id[:32]!r} after {before!r}")

    def _is_next(self, number: int | None) -> bool:
        return self.number is not None and number == self.number + 1


def _id_and_data(event: bytes) -> tuple[bytes | None, bool]:
    event_id, has_data = None, False
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            event_id = line[3:].strip()
        elif line.startswith(b"data"):
            has_data = True
    return event_id, has_data


def _number(event_id: bytes) -> int | None:
    return int(event_id) if event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS else None


class EventSplitter:
    """Splits a byte stream into complete events, and checks that their ids go on increasing.

    Ids that are no numbers are not compared. If the numbers had no gap so far, an endpoint that
    resumes the stream must begin with the next one.

    :ivar count: complete events.
    :ivar misses_event: whether an event that an endpoint has begun is still missing.
    """

    __slots__ = ("count", "misses_event", "position", "rest")

    def __init__(self) -> None:
        self.rest = b""
        self.position = _Position()
        self.count = 0
        self.misses_event = False

    @property
    def last_id(self) -> bytes | None:
        """Return the id of the last complete event that has one; None before the first."""
        return self.position.last_id

    @property
    def can_resume(self) -> bool:
        """Return whether another endpoint can be told where the stream goes on."""
        return self.position.is_known

    @property
    def is_between_events(self) -> bool:
        """Return whether the stream may end here."""
        return not self.rest and not self.misses_event

    def resume_after(self, event_id: bytes | None) -> None:
        """Expect the events after the one that the caller names."""
        if event_id is not None:
            self.position = _Position(number=_number(event_id))

    def require_next(self) -> None:
        """Expect the very next number after the one that the caller names."""
        self.position = replace(self.position, must_follow=True)

    @property
    def is_numbered_without_gaps(self) -> bool:
        """Return whether the events, from the first on, were numbered 1, 2, 3 and so on."""
        return self.position.is_gapless and self.position.number == self.count

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the last complete event; buffer the rest.

        :raises EventTooLong: if the rest exceeds ``MAX_EVENT_BYTES``.
        :raises EventOutOfOrder: if an event does not follow; none of ``data`` is counted.
        """
        data = self.rest + data
        end = data.rfind(b"\n\n")
        if len(data) - max(0, end) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event of more than {MAX_EVENT_BYTES} bytes")
        if end < 0:
            self.rest = data
            return b""
        complete_events, rest = data[: end + 2], data[end + 2 :]
        events = complete_events.split(b"\n\n")[:-1]
        position = self.position
        for event in events:
            position = position.after(event)
        if position.last_id != self.position.last_id:
            self.misses_event = False
        self.position, self.rest = position, rest
        self.count += len(events)
        return complete_events

    def restart(self) -> None:
        """Discard a partial event before another endpoint resumes the stream."""
        is_event = self.rest.strip()[:1] not in (b"", b":")
        self.misses_event = self.misses_event or is_event
        self.rest = b""
        must_follow = self.position.must_follow or self.position.last_id is not None
        self.position = replace(self.position, must_follow=must_follow)
