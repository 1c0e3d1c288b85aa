"""Actions shared by several cores, returned to their caller, which performs the I/O."""

from dataclasses import dataclass

from teaselpath.wire._codec import Message


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to a host without delivery guarantee; its loss must be harmless."""

    host: str
    message: Message


@dataclass(slots=True, frozen=True)
class Append:
    """Append a record to a stream of the log."""

    stream: str
    data: bytes
