"""Memory of a process for bodies that are read as a whole."""

from typing import Protocol

from eliot import log_message

# Memory for all such bodies together, in bytes; those of sound servers are far smaller.
MAX_BODIES_BYTES = 16_777_216


class BodyHolder(Protocol):
    """Connection on which a body is being read."""

    def give_up_body(self) -> None:
        """Give up the body, and free its memory."""


class BodyMemory:
    """Limits what all bodies that are being read hold together.

    Servers that send without end, many at a time, would else fill the memory of the process within
    the limit of each body. Once the memory is used up, the largest body is given up.

    :param limit_bytes: size of all bodies together.
    :ivar sizes: bytes read of each body.
    """

    def __init__(self, limit_bytes: int = MAX_BODIES_BYTES):
        self.limit_bytes = limit_bytes
        self.sizes: dict[BodyHolder, int] = {}
        self.total = 0

    def add(self, holder: BodyHolder, size: int) -> None:
        """Record that a part of a body was read; give up the largest one if there is no room."""
        self.sizes[holder] = self.sizes.get(holder, 0) + size
        self.total += size
        while self.total > self.limit_bytes:
            largest = max(self.sizes, key=self.sizes.__getitem__)
            log_message("body_given_up", bytes=self.sizes[largest], all_bytes=self.total)
            self.remove(largest)
            largest.give_up_body()

    def remove(self, holder: BodyHolder) -> None:
        """Record that a body was read to its end, or given up."""
        self.total -= self.sizes.pop(holder, 0)
