"""Records of the store's topics and their positions."""

from dataclasses import dataclass
from enum import StrEnum


class Topic(StrEnum):
    """Record topics of the store.

    Operators write the first, endpoints the second and gateways the others, of which operators read
    the last.
    """

    OPERATORS = "operators"
    ENDPOINTS = "endpoints"
    LEASE = "lease"
    MEMBERS = "members"
    VERDICTS = "verdicts"
    VERSIONS = "versions"
    STREAMS = "streams"
    STATUS = "status"


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """Position in a topic, ordered over all eras of the store.

    A store that is restored from a copy gives offsets out again, so an offset alone does not tell
    which of two records is newer. Each restoration begins a new era. A record of a newer era may
    still be an older one that was copied: what it says decides, see ``EndpointTable``.

    :param era: number of the era, which rises with each restoration; 0 if the store states none.
    :param offset: offset within the topic in that era.
    """

    era: int
    offset: int

    def shifted(self, records: int) -> "Position":
        """Return the position that lies a number of records further on in the same era."""
        return Position(self.era, self.offset + records)


# Era of a store that has not been heard of. A store that states no era is in era 0.
UNKNOWN_ERA = -1
# Position before all records.
BEFORE_ALL = Position(0, -1)


@dataclass(slots=True, frozen=True)
class StoredRecord:
    """A record of a topic; ``value`` is empty for a removed key."""

    key: str
    value: bytes
    position: Position


@dataclass(slots=True, frozen=True)
class RecordPage:
    """Records of a topic, all of one era, and the position that follows the last one.

    :param is_listing: whether the page holds the newest record of every key.
    """

    records: list[StoredRecord]
    end: Position
    is_listing: bool
