"""Interfaces of what the product needs from a deployment's platform."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from teaselpath.fleet._endpoints import EndpointEntry
from teaselpath.fleet._model import FleetConfig


class StoreError(Exception):
    """A call to the store failed.

    :param is_outcome_unknown: whether a write may have taken effect, or may still do so.
    :param is_conflict: whether a condition of the write did not hold.
    """

    def __init__(self, reason: str, *, is_outcome_unknown: bool = False, is_conflict: bool = False):
        super().__init__(reason)
        self.is_outcome_unknown = is_outcome_unknown
        self.is_conflict = is_conflict


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
    """Record topics of the product.

    The operators and the endpoints write the first two; the gateways write the others.
    """

    OPERATORS = "operators"
    ENDPOINTS = "endpoints"
    LEASE = "lease"
    MEMBERS = "members"


class MetadataStore(Protocol):
    """The platform's store of configuration, endpoints and own records."""

    async def poll(self, topic: Topic, after: int | None, wait_s: float) -> RecordPage:
        """Return records from ``after`` on, or a listing if ``after`` is None or deleted."""

    async def append(self, topic: Topic, key: str, value: bytes, end: int | None = None) -> int:
        """Append a record, with ``end`` only if the topic ends there; return the new end."""

    def decode_config(self, record: StoredRecord) -> FleetConfig | None:
        """Return the configuration in a record of the operators' topic."""

    def decode_weights(self, record: StoredRecord) -> tuple[str, int] | None:
        """Return model and version named by a record of the operators' topic."""

    def decode_endpoint(self, record: StoredRecord) -> EndpointEntry:
        """Return the endpoint entry in a record of the endpoint topic."""
