"""Memory of a process for the bodies of requests."""

from teaselpath.http1._memory_limit import MemoryLimit

# Memory for all bodies together, in bytes; each is held a second time while it is sent on.
MAX_BODIES_BYTES = 16_777_216
# Bodies up to this size, in bytes, are taken beyond that, up to twice as much in all.
SMALL_BODY_BYTES = 65_536


class RequestMemory(MemoryLimit):
    """Limits what the bodies of all requests hold that are being read or handled.

    Endpoints that read slowly would else fill the memory of the process with large requests. Small
    ones have room left when large ones do not.
    """

    def __init__(self, limit_bytes: int = MAX_BODIES_BYTES):
        super().__init__(limit_bytes)

    def take_part(self, size: int, held: int) -> bool:
        """Take memory for a part of a body; return whether there is enough.

        :param held: what the body holds already.
        """
        return self.take(size, 2 if held + size <= SMALL_BODY_BYTES else 1)
