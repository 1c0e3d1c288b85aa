"""Actions that several cores return and the outer layer carries out."""

from dataclasses import dataclass

from teaselpath.wire._codec import Message


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to a host; losing it must be harmless."""

    host: str
    message: Message


@dataclass(slots=True, frozen=True)
class Append:
    """Append a record to a stream of the log."""

    stream: str
    data: bytes
