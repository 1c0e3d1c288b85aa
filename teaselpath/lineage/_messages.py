"""Messages between gateways about the origins of streams.

The clocks of hosts differ, so times are sent as remaining times, in ms.
"""

import msgspec

# Streams in one note, so that it fits a datagram.
MAX_NOTE_STREAMS = 512


class VersionNote(msgspec.Struct, array_like=True, tag="software"):
    """A software version that a gateway has just found in a service."""

    service: str
    version: str | None


class OriginNote(msgspec.Struct, array_like=True, tag="origins"):
    """Streams of a service that began at one software version.

    :param keys: keys of the streams.
    """

    service: str
    version: str | None
    left_ms: int
    keys: list[int]


class OriginQuery(msgspec.Struct, array_like=True, tag="origin_query"):
    """Question for the origin of a stream.

    :param number: number of the question at its sender.
    """

    number: int
    key: int


class OriginReply(msgspec.Struct, array_like=True, tag="origin_reply"):
    """Answer to an ``OriginQuery``.

    :param is_known: whether the sender knows where the stream began.
    :param version: its version; None if its engine stated none.
    """

    number: int
    is_known: bool
    version: str | None
    left_ms: int


LineageMessage = VersionNote | OriginNote | OriginQuery | OriginReply
