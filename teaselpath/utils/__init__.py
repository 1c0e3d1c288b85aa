"""Utilities shared by all packages."""

from teaselpath.utils._decoding import (
    DECODE_ERRORS,
    Unreadable,
    decode_json,
    decode_msgpack,
    is_ipv4,
    is_ipv4_with_port,
)
from teaselpath.utils._hashing import hash_fields, rendezvous_rank, rendezvous_top
from teaselpath.utils._ids import new_id

__all__ = [
    "DECODE_ERRORS",
    "Unreadable",
    "decode_json",
    "decode_msgpack",
    "hash_fields",
    "is_ipv4",
    "is_ipv4_with_port",
    "new_id",
    "rendezvous_rank",
    "rendezvous_top",
]
