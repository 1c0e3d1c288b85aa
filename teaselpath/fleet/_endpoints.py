"""Table of the endpoints listed by the store, with rules for entries that lapse in an outage."""

from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import lru_cache
from hashlib import blake2b

from teaselpath.fleet._records import BEFORE_ALL, Position, StoredRecord

# Time after the return of the store within which running endpoints renew their entries, in seconds.
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
    :param software: version of its software; None if it states none, which equals no other.
    :param cold_s: time for which it stays slow after its start, in seconds as of its entry.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    state: EndpointState
    started_at_ms: int | None
    weights: tuple[tuple[str, int], ...]
    software: str | None = None
    cold_s: float = field(default=0.0, compare=False)

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


@dataclass(slots=True, frozen=True, order=True)
class Revision:
    """How recent an endpoint's own statement is, whatever the store has lost since.

    :param started_at_ms: Unix time of the start of the incarnation that made it.
    :param sequence: number of the statement within the incarnation.
    """

    started_at_ms: int
    sequence: int


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """A record of the endpoint list.

    :param endpoint: None for a removal or for a record without a usable endpoint.
    :param revision: None if the endpoint does not state it.
    """

    record: StoredRecord
    endpoint: Endpoint | None
    revision: Revision | None = None

    @property
    def key(self) -> str:
        """Key of the record."""
        return self.record.key

    @property
    def position(self) -> Position:
        """Position of the record."""
        return self.record.position

    def at(self, position: Position) -> "EndpointEntry":
        """Return the same entry at another position."""
        return replace(self, record=replace(self.record, position=position))

    def marked_removed(self, position: Position) -> "EndpointEntry":
        """Return an entry with the record of a removal, which still has its endpoint."""
        return replace(self, record=StoredRecord(self.key, b"", position))


def _is_newer(entry: EndpointEntry, known: EndpointEntry) -> bool:
    """Return whether an entry is newer than the known one of its key.

    Position decides within an era. A record of another era may have been copied, so the endpoint's
    own statements decide if both have one. A removed endpoint returns only with a later statement.
    """
    is_later = entry.position > known.position
    if entry.position.era == known.position.era and entry.position != known.position:
        return is_later
    if entry.revision is None or known.revision is None:
        return is_later
    if entry.revision == known.revision:
        return is_later and known.endpoint is not None
    return entry.revision > known.revision


def _is_listed_again(entry: EndpointEntry, known: EndpointEntry) -> bool:
    """Return whether an entry is listed whose endpoint is taken for gone."""
    is_listed = entry.endpoint is not None and entry.position >= known.position
    return is_listed and known.endpoint is None


def _lapse_end(now: float, renewed_by: float | None) -> float:
    return now + LAPSE_GRACE_S if renewed_by is None else renewed_by


class EndpointTable:
    """The newest known record of each endpoint.

    A removal recorded during or shortly after an outage of the store may be a lapse: the entry of a
    running endpoint expired because it could not be renewed, or the store has lost it. Such a
    removal takes effect once the endpoint would have renewed its entry, ``LAPSE_GRACE_S`` after the
    end of the outage, however late in that time it is recorded.

    :ivar lapsed: time at which each pending removal takes effect, by key.
    :ivar position: position up to which all records have been applied or listed.
    :ivar listed_up_to: end of the last listing, which contains no removals; those after it are
        known.
    """

    def __init__(self) -> None:
        self.entries: dict[str, EndpointEntry] = {}
        self.lapsed: dict[str, float] = {}
        self.position = BEFORE_ALL
        self.listed_up_to = BEFORE_ALL

    def apply(
        self,
        entry: EndpointEntry,
        now: float,
        *,
        may_be_lapse: bool,
        is_renewed: bool = False,
        renewed_by: float | None = None,
    ) -> str | None:
        """Apply a record; return the kind of change, or None if nothing changed.

        The kinds are ``added``, ``changed``, ``removed``, ``lapsed`` and, for an older record that
        is ignored, ``outdated``.

        :param may_be_lapse: whether a removal may be caused by an outage of the store.
        :param is_renewed: whether the store would no longer list a copied entry of an endpoint that
            is gone, so that a running endpoint renews what it lists.
        :param renewed_by: time by which running endpoints have renewed their entries, in seconds;
            None for a grace period from now on.
        """
        known = self.entries.get(entry.key)
        if known is None:
            return self._add(entry)
        is_confirmed = is_renewed and _is_listed_again(entry, known)
        if not is_confirmed and not _is_newer(entry, known):
            return self._keep(known, entry)
        is_doubtful = not entry.record.value or entry.position.era != known.position.era
        if entry.endpoint is None and may_be_lapse and is_doubtful and known.endpoint:
            self._put(known.marked_removed(entry.position))
            self.lapsed.setdefault(entry.key, _lapse_end(now, renewed_by))
            return "lapsed"
        self.lapsed.pop(entry.key, None)
        revision = entry.revision or (known.revision if entry.endpoint is None else None)
        position = max(entry.position, known.position)
        self._put(replace(entry.at(position), revision=revision))
        before = known.endpoint
        if before == entry.endpoint:
            return None
        if entry.endpoint is None:
            return "removed" if before else None
        return "added" if before is None else "changed"

    def _add(self, entry: EndpointEntry) -> str | None:
        is_unlisted = entry.position < self.listed_up_to
        if is_unlisted or entry.position.era < self.position.era:
            return "outdated"
        self._put(entry)
        return "added" if entry.endpoint else None

    def _keep(self, known: EndpointEntry, entry: EndpointEntry) -> str | None:
        """Keep the known entry; a store that lists an older one again has not removed it."""
        if entry.position.era > known.position.era:
            self.lapsed.pop(entry.key, None)
            has_record = known.record.value or known.endpoint is None
            kept = known.at(entry.position) if has_record else replace(known, record=entry.record)
            self._put(kept)
        return "outdated" if entry.record.value != known.record.value else None

    def _put(self, entry: EndpointEntry) -> None:
        self.entries[entry.key] = entry
        self.position = max(self.position, entry.position)

    def remove_unlisted(
        self,
        keys: set[str],
        end: Position,
        now: float,
        *,
        may_be_lapse: bool,
        renewed_by: float | None = None,
    ) -> list[str]:
        """Remove the entries that are missing from a full listing; return their keys.

        To be called after the records of the listing were applied.

        Entries of an earlier era are marked as lapsed: the copy may be older than they are. Those
        that were removed get the position of the listing: a record after it is no copy.

        :param end: end of the topic as of the listing; newer entries are kept.
        :param may_be_lapse: mark the entries as lapsed instead of removing them.
        :param renewed_by: as in ``apply``.
        """
        self.listed_up_to = max(self.listed_up_to, end)
        self.position = max(self.position, end.shifted(-1))
        unlisted = [
            entry
            for key, entry in self.entries.items()
            if entry.endpoint and key not in keys and entry.position < end
        ]
        self._move_removed(keys, end)
        for entry in unlisted:
            # A removal that the topic no longer contains, for peers that receive the records.
            removal = entry.marked_removed(end.shifted(-1))
            if may_be_lapse or entry.position.era < end.era:
                self.lapsed.setdefault(entry.key, _lapse_end(now, renewed_by))
                self._put(removal)
            else:
                self.lapsed.pop(entry.key, None)
                self._put(replace(removal, endpoint=None))
        return [entry.key for entry in unlisted]

    def _move_removed(self, keys: set[str], end: Position) -> None:
        """Move the removed entries of earlier eras that a listing lacks to its end."""
        for key, entry in self.entries.items():
            if not entry.endpoint and key not in keys and entry.position.era < end.era:
                self.entries[key] = entry.marked_removed(end.shifted(-1))

    def extend_lapses(self, now: float) -> None:
        """Postpone the pending removals during an outage or at a restoration of the store."""
        for key in self.lapsed:
            self.lapsed[key] = now + LAPSE_GRACE_S

    def expire(self, now: float) -> list[str]:
        """Remove lapsed entries that were not listed again in time; return their keys."""
        expired = [key for key, at in self.lapsed.items() if at <= now]
        for key in expired:
            del self.lapsed[key]
            self.entries[key] = replace(self.entries[key], endpoint=None)
        return expired

    def has_removed(self) -> bool:
        """Return whether an endpoint is known that is taken for gone."""
        return any(entry.endpoint is None for entry in self.entries.values())

    def get(self, key: str) -> Endpoint | None:
        """Return an endpoint; None if it is not listed."""
        entry = self.entries.get(key)
        return entry.endpoint if entry else None

    def records_after(self, position: Position) -> list[StoredRecord]:
        """Return the newest record of each key, unless it is at or before a position."""
        return [e.record for e in self.entries.values() if e.position > position]

    def knows_removals_after(self, position: Position) -> bool:
        """Return whether the records after a position include all removals."""
        return position.shifted(1) >= self.listed_up_to
