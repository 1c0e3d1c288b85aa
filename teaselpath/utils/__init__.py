"""Utilities shared by all packages."""

from teaselpath.utils._decoding import (
    MAX_PORT,
    Unreadable,
    decode_json,
    decode_msgpack,
    is_ipv4_with_port,
)
from teaselpath.utils._hashing import rendezvous_rank, rendezvous_top
from teaselpath.utils._ids import new_id

__all__ = [
    "MAX_PORT",
    "Unreadable",
    "decode_json",
    "decode_msgpack",
    "is_ipv4_with_port",
    "new_id",
    "rendezvous_rank",
    "rendezvous_top",
]
