"""Memory of a process for the bodies of requests."""

# Memory for all bodies together, in bytes; each is held a second time while it is sent on.
MAX_BODIES_BYTES = 16_777_216
# Bodies up to this size, in bytes, are taken beyond that, up to twice as much in all.
SMALL_BODY_BYTES = 65_536


class RequestMemory:
    """Limits what the bodies of all requests hold that are being read or handled.

    Endpoints that read slowly would else fill the memory of the process with large requests. Small
    ones have room left when large ones do not.

    :param limit_bytes: size of all bodies together.
    :ivar held_bytes: size of those that are held now.
    """

    def __init__(self, limit_bytes: int = MAX_BODIES_BYTES):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def take(self, size: int, held: int) -> bool:
        """Take memory for a part of a body; return whether there is enough.

        :param held: what the body holds already.
        """
        is_small = held + size <= SMALL_BODY_BYTES
        if self.held_bytes + size > self.limit_bytes * (2 if is_small else 1):
            return False
        self.held_bytes += size
        return True

    def free(self, size: int) -> None:
        """Free what a body held."""
        self.held_bytes -= size
