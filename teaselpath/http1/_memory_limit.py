"""Memory that several holders share."""


class MemoryLimit:
    """Limits what all holders of data hold together.

    :param limit_bytes: size of all data together.
    :ivar held_bytes: size of the data that is held now.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def take(self, size: int, multiple: int = 1) -> bool:
        """Take memory for data; return whether there is enough.

        :param multiple: multiple of the limit up to which it may be taken.
        """
        if self.held_bytes + size > multiple * self.limit_bytes:
            return False
        self.held_bytes += size
        return True

    def free(self, size: int) -> None:
        """Free memory that was taken."""
        self.held_bytes -= size
