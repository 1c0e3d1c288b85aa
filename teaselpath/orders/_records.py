"""Records of the stream ``loads``.

``Turn`` makes a process the sender of an engine's orders, ``Claim`` asks for the lease under which
one order is sent, ``Release`` gives it up. The offset of a claim is the order's fencing number.
"""

from dataclasses import dataclass

import msgspec

STREAM = "loads"


class _Record(msgspec.Struct, tag_field="kind", forbid_unknown_fields=True):
    """Base of all records."""


class Turn(_Record, tag="turn"):
    """Become the sender of an engine's orders.

    :param sender: unique name of the process.
    :param base: last offset that the sender had read; -1 for none.
    """

    sender: str
    endpoint: str
    base: int


class Claim(_Record, tag="claim"):
    """Ask for a lease for one order.

    :param lease: unique id; appending the record again changes nothing.
    :param term: offset of the sender's turn.
    :param load: whether the order is a load, of which a limited number may run.
    :param base: last offset that the sender had read when it counted ``active``.
    :param active: load leases of all engines that may still be held, as of ``base``.
    """

    lease: str
    endpoint: str
    term: int
    load: bool
    base: int
    active: int


class Release(_Record, tag="release"):
    """Give a lease up before its deadline, after the order has ended."""

    lease: str
    endpoint: str


Record = Turn | Claim | Release
_decoder = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encode a record for the log."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Decode a record; None for anything else, which every node skips alike."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None


@dataclass(slots=True, frozen=True)
class LoadRecord:
    """A record of the stream ``loads`` as it was read; records come in offset order.

    :param age_ms: time since the append by the clock of the log service, in milliseconds.
    """

    offset: int
    age_ms: float
    data: bytes
