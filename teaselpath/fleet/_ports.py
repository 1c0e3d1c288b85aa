"""Interfaces that a deployment platform has to implement."""

from typing import Protocol

from teaselpath.fleet._endpoints import EndpointEntry
from teaselpath.fleet._model import FleetConfig
from teaselpath.fleet._records import Position, RecordPage, StoredRecord, Topic
from teaselpath.fleet._rollouts import RolloutOrder, RolloutRecord


class StoreError(Exception):
    """A call to the store failed.

    :param is_outcome_unknown: whether a write may have taken effect, or may still do so.
    :param is_conflict: whether a precondition of the write failed.
    """

    def __init__(self, reason: str, *, is_outcome_unknown: bool = False, is_conflict: bool = False):
        super().__init__(reason)
        self.is_outcome_unknown = is_outcome_unknown
        self.is_conflict = is_conflict


class MetadataStore(Protocol):
    """The platform's store of configuration, endpoints and the gateways' own records."""

    async def poll(self, topic: Topic, start: Position | None, wait_s: float) -> RecordPage:
        """Return the records from ``start`` on, with a long poll of ``wait_s``.

        Returns a full listing if ``start`` is None, no longer stored, or of another era.
        """

    async def append(
        self, topic: Topic, key: str, value: bytes, end: Position | None = None
    ) -> Position:
        """Append a record and return the new end of the topic.

        :param end: fail with a conflict unless the topic ends there; None for no check. The outcome
            is unknown if the store turns out to be in another era.
        """

    def decode_config(self, record: StoredRecord) -> FleetConfig | None:
        """Return the configuration in a record of the operators' topic, None if it has none."""

    def decode_weights(self, record: StoredRecord) -> tuple[str, int] | None:
        """Return model and weights version announced by a record of the operators' topic."""

    def decode_rollout(self, record: StoredRecord) -> RolloutOrder | None:
        """Return the rollout that a record of the operators' topic asks for, None without one."""

    def decode_rollout_status(self, record: StoredRecord) -> RolloutRecord | None:
        """Return the rollout in a record of the status topic, None if it has none."""

    def encode_rollout_status(self, rollout: RolloutRecord) -> tuple[str, bytes]:
        """Return key and value of the record of a rollout in the status topic."""

    def decode_endpoint(self, record: StoredRecord) -> EndpointEntry:
        """Return the endpoint entry in a record of the endpoint topic."""
