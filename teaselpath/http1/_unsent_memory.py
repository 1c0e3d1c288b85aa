"""Memory of a process for responses that callers have not taken yet."""

from typing import Protocol

from eliot import log_message

# Memory for all such responses together, in bytes.
MAX_UNSENT_BYTES = 16_777_216


class UnsentHolder(Protocol):
    """Connection whose caller may read slowly."""

    def unsent_bytes(self) -> int:
        """Return the bytes that its caller has not taken."""

    def discard(self) -> None:
        """Break off its response at once, and free its memory."""


class UnsentMemory:
    """Limits what all callers together have not taken of their responses.

    Many callers that read slowly would else fill the memory of the process within the limit of each
    response. Once the memory is used up, the response of which most is left is broken off.

    :param limit_bytes: size of all responses together.
    :ivar sizes: bytes left of each response as last recorded, not less than are left now.
    """

    def __init__(self, limit_bytes: int = MAX_UNSENT_BYTES):
        self.limit_bytes = limit_bytes
        self.sizes: dict[UnsentHolder, int] = {}
        self.total = 0

    def record(self, holder: UnsentHolder, size: int) -> None:
        """Record what is left of a response after data was added to it."""
        self._set(holder, size)
        if self.total <= self.limit_bytes:
            return
        for other in list(self.sizes):
            self._set(other, other.unsent_bytes())
        while self.total > self.limit_bytes:
            largest = max(self.sizes, key=self.sizes.__getitem__)
            log_message("response_given_up", bytes=self.sizes[largest], all_bytes=self.total)
            self.remove(largest)
            largest.discard()

    def remove(self, holder: UnsentHolder) -> None:
        """Record that nothing is left of a response."""
        self._set(holder, 0)

    def _set(self, holder: UnsentHolder, size: int) -> None:
        self.total += size - self.sizes.pop(holder, 0)
        if size:
            self.sizes[holder] = size
