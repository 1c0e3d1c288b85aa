"""Interfaces that a deployment platform has to implement."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from teaselpath.fleet._endpoints import EndpointEntry
from teaselpath.fleet._model import FleetConfig


class StoreError(Exception):
    """A call to the store failed.

    :param is_outcome_unknown: whether a write may have taken effect, or may still do so.
    :param is_conflict: whether a precondition of the write failed.
    """

    def __init__(self, reason: str, *, is_outcome_unknown: bool = False, is_conflict: bool = False):
        super().__init__(reason)
        self.is_outcome_unknown = is_outcome_unknown
        self.is_conflict = is_conflict


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """Position in a topic, ordered over all eras of the store.

    A store that is restored from a copy gives offsets out again, so an offset alone does not tell
    which of two records is newer. Each restoration begins a new era.

    :param era: number of the era, which rises with each restoration; 0 if the store states none.
    :param offset: offset within the topic in that era.
    """

    era: int
    offset: int


@dataclass(slots=True, frozen=True)
class StoredRecord:
    """A record of a topic; ``value`` is empty for a removed key."""

    key: str
    value: bytes
    offset: int


@dataclass(slots=True, frozen=True)
class RecordPage:
    """Records of a topic and the offset that follows the last one.

    :param is_listing: whether the page holds the newest record of every key.
    """

    records: list[StoredRecord]
    end: int
    is_listing: bool


class Topic(StrEnum):
    """Record topics of the store.

    Operators write the first, endpoints the second and gateways the others.
    """

    OPERATORS = "operators"
    ENDPOINTS = "endpoints"
    LEASE = "lease"
    MEMBERS = "members"
    VERDICTS = "verdicts"


class MetadataStore(Protocol):
    """The platform's store of configuration, endpoints and the gateways' own records."""

    async def poll(self, topic: Topic, start: int | None, wait_s: float) -> RecordPage:
        """Return the records from offset ``start`` on, with a long poll of ``wait_s``.

        Returns a full listing if ``start`` is None or no longer stored.
        """

    async def append(self, topic: Topic, key: str, value: bytes, end: int | None = None) -> int:
        """Append a record and return the new end of the topic.

        :param end: fail with a conflict unless the topic ends at this offset; None for no check.
        """

    def decode_config(self, record: StoredRecord) -> FleetConfig | None:
        """Return the configuration in a record of the operators' topic, None if it has none."""

    def decode_weights(self, record: StoredRecord) -> tuple[str, int] | None:
        """Return model and weights version announced by a record of the operators' topic."""

    def decode_endpoint(self, record: StoredRecord) -> EndpointEntry:
        """Return the endpoint entry in a record of the endpoint topic."""
