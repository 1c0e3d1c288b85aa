"""Records of the stream ``loads``.

``Turn`` makes a process the sender of an engine's orders, ``Claim`` requests the lease for sending
one order, and ``Release`` releases it. The offset of a claim is the fencing number of its order.
"""

from dataclasses import dataclass

import msgspec

STREAM = "loads"


class _Record(msgspec.Struct, tag_field="kind", forbid_unknown_fields=True):
    """Base of all records."""


class Turn(_Record, tag="turn"):
    """Become the sender of an engine's orders.

    :param sender: unique name of the process.
    :param base: last offset that the sender had read; -1 if none.
    """

    sender: str
    endpoint: str
    base: int


class Claim(_Record, tag="claim"):
    """Request a lease for one order.

    :param lease: unique id, which makes retried appends of the record idempotent.
    :param term: offset of the sender's ``Turn`` record.
    :param load: whether the order is a load; the number of concurrent loads is limited.
    :param base: last offset that the sender had read when it counted ``active``.
    :param active: number of load leases of all engines that may still be held as of ``base``.
    """

    lease: str
    endpoint: str
    term: int
    load: bool
    base: int
    active: int


class Release(_Record, tag="release"):
    """Release a lease before its end, because its order has ended or will not be sent."""

    lease: str
    endpoint: str


Record = Turn | Claim | Release
_decoder = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Decode a record; return None for invalid data, which all nodes skip."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None


@dataclass(slots=True, frozen=True)
class LoadRecord:
    """A record read from the stream ``loads``; records are read in offset order.

    :param age_ms: time since the append, by the clock of the log service, in milliseconds.
    """

    offset: int
    age_ms: float
    data: bytes
