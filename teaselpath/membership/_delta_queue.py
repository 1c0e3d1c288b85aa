"""Bounded queue of member deltas that still have to be sent to peers."""

from math import ceil, log2

# Each delta is sent this many times log2(members), as in SWIM (Das, Gupta, Motivala, 2002).
RESEND_FACTOR = 3


class DeltaQueue:
    """Hosts with changed states, and the number of messages that each state is still sent in.

    :param limit: maximum number of hosts; beyond it, the host with the fewest sends left is
        discarded.
    """

    def __init__(self, limit: int = 1024) -> None:
        self.limit = limit
        self.remaining_sends: dict[str, int] = {}

    def add(self, host: str, members: int) -> None:
        """Queue the state of a host."""
        self.remaining_sends[host] = RESEND_FACTOR * ceil(log2(members + 2))
        if len(self.remaining_sends) > self.limit:
            del self.remaining_sends[
                min(self.remaining_sends, key=self.remaining_sends.__getitem__)
            ]

    def next_hosts(self, count: int) -> list[str]:
        """Return the hosts for the next message, those with the most sends left first."""
        hosts = sorted(self.remaining_sends, key=self.remaining_sends.__getitem__, reverse=True)[
            :count
        ]
        for host in hosts:
            self.remaining_sends[host] -= 1
            if self.remaining_sends[host] <= 0:
                del self.remaining_sends[host]
        return hosts
