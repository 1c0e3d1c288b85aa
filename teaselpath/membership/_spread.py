"""Bounded queue of member deltas that still have to be told to others."""

from math import ceil, log2

# Each change is sent this many times log2(members), as in SWIM (Das, Gupta, Motivala, 2002).
RESEND_FACTOR = 3


class DeltaQueue:
    """Hosts whose state is news, with the number of messages that still carry it.

    :param limit: greatest number of hosts; the least sent news are kept.
    """

    def __init__(self, limit: int = 1024) -> None:
        self.limit = limit
        self.remaining: dict[str, int] = {}

    def add(self, host: str, members: int) -> None:
        """Queue a host's state."""
        self.remaining[host] = RESEND_FACTOR * ceil(log2(members + 2))
        if len(self.remaining) > self.limit:
            del self.remaining[min(self.remaining, key=self.remaining.__getitem__)]

    def take(self, count: int) -> list[str]:
        """Return the hosts for the next message, least sent first."""
        hosts = sorted(self.remaining, key=self.remaining.__getitem__, reverse=True)[:count]
        for host in hosts:
            self.remaining[host] -= 1
            if self.remaining[host] <= 0:
                del self.remaining[host]
        return hosts
