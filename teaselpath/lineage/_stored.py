"""The record of a service's software versions in the store, which outlasts all gateways.

Times in the record are Unix times in ms, since it is read by other processes.
"""

from collections.abc import Iterable

import msgspec

from teaselpath.lineage._history import FORGET_S, ServiceHistory

# Error of the time of day of another host that is allowed for, in seconds.
CLOCK_ERROR_S = 15.0


class StoredVersions(msgspec.Struct):
    """Software versions of a service.

    :param ended_at_ms: when each version was last in service, by version; 0 if it still is. The
        empty text stands for versions that cannot be read.
    """

    ended_at_ms: dict[str, int]


def merge_versions(
    stored: StoredVersions, listed: Iterable[str | None], now_ms: int
) -> StoredVersions:
    """Return the record with the versions that are listed now, without those that left long ago."""
    names = {version or "" for version in listed}
    ended_at_ms = {
        version: ended_at_ms or now_ms
        for version, ended_at_ms in stored.ended_at_ms.items()
        if version not in names and (not ended_at_ms or now_ms - ended_at_ms < FORGET_S * 1000)
    }
    return StoredVersions({**ended_at_ms, **dict.fromkeys(sorted(names), 0)})


def observe_stored(
    history: ServiceHistory, stored: StoredVersions, now: float, now_ms: int
) -> None:
    """Record in a history what the store says of versions before this process started.

    A version whose end is not stored may have been in service until just now.
    """
    for version, ended_at_ms in stored.ended_at_ms.items():
        age_s = (now_ms - ended_at_ms) / 1000 - CLOCK_ERROR_S if ended_at_ms else 0.0
        history.observe(version or None, now - max(0.0, age_s))
