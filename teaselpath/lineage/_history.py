"""Software versions that may have begun streams of each service.

Times are in seconds, from the steady clock of this gateway.
"""

from collections import Counter

# Time for which a caller may take a stream up after it began: at least this, in seconds, and in
# timeouts of its route, since the caller's own deadline may span several of them.
MIN_TAKE_UP_S = 30.0
TAKE_UP_TIMEOUTS = 2.0
# Time after which a version that has left a service is forgotten, in seconds: longer than a caller
# may take for any route.
FORGET_S = 600.0
# Versions of one service that are kept; a service seldom has more than two.
MAX_VERSIONS = 64


def take_up_time_s(route_timeout_s: float) -> float:
    """Return for how long a stream of a route may be taken up after it began, in seconds."""
    return min(FORGET_S, max(MIN_TAKE_UP_S, TAKE_UP_TIMEOUTS * route_timeout_s))


class ServiceHistory:
    """Versions of the engines of one service, now and before.

    A version that cannot be read is None: its engines may differ from each other.

    :ivar engines: number of listed engines by version.
    :ivar last_seen_at: time until which other versions were listed.
    """

    __slots__ = ("engines", "last_seen_at")

    def __init__(self) -> None:
        self.engines: Counter[str | None] = Counter()
        self.last_seen_at: dict[str | None, float] = {}

    @property
    def listed(self) -> frozenset[str | None]:
        """Return the versions of the engines that are listed."""
        return frozenset(self.engines)

    def add_engine(self, version: str | None) -> bool:
        """Record an engine that is listed; return whether its version is new here."""
        is_new = version not in self.engines and version not in self.last_seen_at
        self.engines[version] += 1
        return is_new

    def remove_engine(self, version: str | None, now: float) -> None:
        """Record that an engine is no longer listed."""
        self.engines[version] -= 1
        if not self.engines[version]:
            del self.engines[version]
            self.observe(version, now)

    def observe(self, version: str | None, at: float) -> bool:
        """Record that a version was in service at a time; return whether it is new here."""
        known_at = self.last_seen_at.get(version)
        self.last_seen_at[version] = at if known_at is None else max(at, known_at)
        if len(self.last_seen_at) > MAX_VERSIONS:
            del self.last_seen_at[min(self.last_seen_at, key=lambda v: self.last_seen_at[v])]
        return known_at is None and version not in self.engines

    def versions_since(self, at: float) -> frozenset[str | None]:
        """Return the versions that may have begun streams since a time."""
        return self.listed | {v for v, seen_at in self.last_seen_at.items() if seen_at >= at}

    def only_version_since(self, at: float) -> str | None:
        """Return the version that began all streams since a time; None if it is not known."""
        versions = self.versions_since(at)
        return next(iter(versions)) if len(versions) == 1 else None

    def expire(self, now: float) -> None:
        """Forget the versions that left long ago."""
        self.last_seen_at = {
            version: at for version, at in self.last_seen_at.items() if now - at < FORGET_S
        }


class VersionHistory:
    """Histories by service."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceHistory] = {}

    def of(self, service: str) -> ServiceHistory:
        """Return the history of a service."""
        return self.services.setdefault(service, ServiceHistory())

    def expire(self, now: float) -> None:
        """Forget the versions that left long ago."""
        for history in self.services.values():
            history.expire(now)
