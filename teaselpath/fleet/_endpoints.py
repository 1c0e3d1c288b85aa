"""Table of the endpoints listed by the store, with rules for entries that lapse in an outage."""

from dataclasses import dataclass, replace
from enum import StrEnum
from functools import lru_cache
from hashlib import blake2b

# Grace period after an outage of the store in which lapsed entries may be listed again, in seconds.
LAPSE_GRACE_S = 2.5
# Size of an endpoint's number, which is a hash: collisions are improbable among thousands.
NUMBER_BYTES = 6
MAX_CACHED_NUMBERS = 16_384


class EndpointState(StrEnum):
    """State reported by an endpoint."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A running server of a service.

    :param endpoint_id: id; two starts of a server can have the same one, see ``incarnation``.
    :param started_at_ms: Unix time of its start as it reports; None if unknown.
    :param slots: requests that it processes concurrently.
    :param weights: version of the weights by model.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: EndpointState
    started_at_ms: int | None
    weights: tuple[tuple[str, int], ...]

    @property
    def incarnation(self) -> tuple[str, int | None]:
        """Key that distinguishes two starts of an endpoint, also with the same id."""
        return self.endpoint_id, self.started_at_ms

    @property
    def number(self) -> int:
        """Number that stands for this start of the endpoint in messages between gateways."""
        return _number(self.endpoint_id, self.started_at_ms)

    def weights_of(self, model: str) -> int | None:
        """Return the version of a model's weights, None if it does not serve the model."""
        for name, version in self.weights:
            if name == model:
                return version
        return None


@lru_cache(maxsize=MAX_CACHED_NUMBERS)
def _number(endpoint_id: str, started_at_ms: int | None) -> int:
    key = f"{endpoint_id}/{started_at_ms}".encode()
    return int.from_bytes(blake2b(key, digest_size=NUMBER_BYTES).digest(), "big")


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """A record of the endpoint list.

    :param endpoint: None for a removal or for a record without a usable endpoint.
    """

    key: str
    offset: int
    endpoint: Endpoint | None


class EndpointTable:
    """The newest known record of each endpoint.

    A removal recorded during or shortly after an outage of the store may be a lapse: the entry of a
    running endpoint expired because it could not be renewed. Such a removal takes effect only
    ``LAPSE_GRACE_S`` after the end of the outage.

    :ivar lapsed: time at which each pending removal takes effect, by key.
    :ivar offset: highest offset of any record applied.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EndpointEntry] = {}
        self.lapsed: dict[str, float] = {}
        self.offset = -1

    def apply(self, entry: EndpointEntry, now: float, *, may_be_lapse: bool) -> str | None:
        """Apply a record; return the kind of change, or None if nothing changed.

        The kinds are ``added``, ``changed``, ``removed`` and ``lapsed``.

        :param may_be_lapse: whether a removal may be caused by an outage of the store.
        """
        known = self.entries.get(entry.key)
        if known is not None and known.offset >= entry.offset:
            return None
        self.offset = max(self.offset, entry.offset)
        if entry.endpoint is None and may_be_lapse and known and known.endpoint:
            self.entries[entry.key] = replace(known, offset=entry.offset)
            self.lapsed.setdefault(entry.key, now + LAPSE_GRACE_S)
            return "lapsed"
        self.lapsed.pop(entry.key, None)
        self.entries[entry.key] = entry
        before = known.endpoint if known else None
        if before == entry.endpoint:
            return None
        if entry.endpoint is None:
            return "removed" if before else None
        return "added" if before is None else "changed"

    def remove_unlisted(self, keys: set[str], now: float, *, may_be_lapse: bool) -> list[str]:
        """Remove the entries that are missing from a full listing; return their keys.

        :param may_be_lapse: mark the entries as lapsed instead of removing them.
        """
        unlisted = [
            key for key, entry in self.entries.items() if entry.endpoint and key not in keys
        ]
        for key in unlisted:
            known = self.entries[key]
            if may_be_lapse:
                self.lapsed.setdefault(key, now + LAPSE_GRACE_S)
            else:
                self.entries[key] = replace(known, endpoint=None)
        return unlisted

    def extend_lapses(self, now: float) -> None:
        """Postpone the pending removals during an outage of the store."""
        for key in self.lapsed:
            self.lapsed[key] = now + LAPSE_GRACE_S

    def expire(self, now: float) -> list[str]:
        """Remove lapsed entries that were not listed again in time; return their keys."""
        expired = [key for key, at in self.lapsed.items() if at <= now]
        for key in expired:
            del self.lapsed[key]
            self.entries[key] = replace(self.entries[key], endpoint=None)
        return expired

    def get(self, key: str) -> Endpoint | None:
        """Return an endpoint; None if it is not listed."""
        entry = self.entries.get(key)
        return entry.endpoint if entry else None
