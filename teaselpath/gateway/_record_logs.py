"""Records of the store that are applied or ignored, and the log lines on them."""

from collections.abc import Callable
from typing import TypeVar

from eliot import log_message

from teaselpath.fleet import EndpointEntry, StoredRecord
from teaselpath.utils import Unreadable, decode_json

T = TypeVar("T")


def read_record(
    record: StoredRecord, kind: type[T], decode: Callable[[bytes, type[T]], T] = decode_json
) -> T | None:
    """Return what a record holds; None, with a log line, if it cannot be read."""
    try:
        return decode(record.value, kind)
    except Unreadable as error:
        log_message("record_ignored", key=record.key, reason=str(error))
        return None


def log_endpoint(change: str, entry: EndpointEntry, source: str) -> None:
    """Log a change of the endpoint table.

    :param change: kind of change, as ``EndpointTable.apply`` returns it.
    """
    endpoint = entry.endpoint
    log_message(
        "endpoint_" + change,
        endpoint=entry.key,
        offset=entry.position.offset,
        era=entry.position.era,
        source=source,
        service=endpoint.service if endpoint else None,
        address=endpoint.address if endpoint else None,
        state=endpoint.state if endpoint else None,
        weights=dict(endpoint.weights) if endpoint else None,
        software=endpoint.software if endpoint else None,
    )


def log_if_older(record: StoredRecord, known: StoredRecord | None, source: str) -> None:
    """Log that a record is ignored as older than what is known, unless it is only repeated.

    :param known: None if its key is unknown in the newest era.
    """
    if known is None or record.value != known.value:
        log_message(
            "record_older",
            key=record.key,
            era=record.position.era,
            offset=record.position.offset,
            known_era=known.position.era if known else None,
            known_offset=known.position.offset if known else None,
            source=source,
        )
