"""Utilities shared by all packages."""

from teaselpath.utils._hashing import rendezvous_rank, rendezvous_top
from teaselpath.utils._ids import new_id

__all__ = ["new_id", "rendezvous_rank", "rendezvous_top"]
