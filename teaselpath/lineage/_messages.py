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
    :param service: service of the stream; empty if its versions are not asked for.
    :param since_ms: time in which the stream may have begun, in ms before now.
    """

    number: int
    key: int
    service: str = ""
    since_ms: int = 0


class OriginReply(msgspec.Struct, array_like=True, tag="origin_reply"):
    """Answer to an ``OriginQuery``.

    :param is_known: whether the sender knows where the stream began.
    :param version: its version; None if its engine stated none.
    :param versions: versions that may have begun streams of the service in the time that was asked
        for; None if the sender cannot tell them all.
    """

    number: int
    is_known: bool
    version: str | None
    left_ms: int
    versions: list[str | None] | None = None


LineageMessage = VersionNote | OriginNote | OriginQuery | OriginReply
