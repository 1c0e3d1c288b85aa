"""Lineage of streams: the software version of the engine that began each. Does no I/O.

A stream may go on only at the version that began it. In a service that has had one version for as
long as a caller may take a stream up, that version is known without any record of the stream.
Elsewhere the gateway that forwards the first event of a stream tells others its version.
"""

from teaselpath.lineage._agreement import find_version
from teaselpath.lineage._history import (
    MIN_TAKE_UP_S,
    ServiceHistory,
    VersionHistory,
    take_up_time_s,
)
from teaselpath.lineage._messages import (
    MAX_NOTE_STREAMS,
    LineageMessage,
    OriginNote,
    OriginQuery,
    OriginReply,
    VersionNote,
)
from teaselpath.lineage._origins import (
    MAX_TOLD_GATEWAYS,
    Origin,
    OriginTable,
    choose_holders,
    stream_key,
)
from teaselpath.lineage._stored import (
    CLOCK_ERROR_S,
    StoredVersions,
    merge_versions,
    observe_stored,
)

__all__ = [
    "CLOCK_ERROR_S",
    "MAX_NOTE_STREAMS",
    "MAX_TOLD_GATEWAYS",
    "MIN_TAKE_UP_S",
    "LineageMessage",
    "Origin",
    "OriginNote",
    "OriginQuery",
    "OriginReply",
    "OriginTable",
    "ServiceHistory",
    "StoredVersions",
    "VersionHistory",
    "VersionNote",
    "choose_holders",
    "find_version",
    "merge_versions",
    "observe_stored",
    "stream_key",
    "take_up_time_s",
]
