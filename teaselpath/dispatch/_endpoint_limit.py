"""Limit on the requests per second that an endpoint takes from all gateways together.

An endpoint states it in its answers for as long as it needs relief. Times are in seconds, from the
steady clock of this gateway.
"""

from collections import deque

# Window in which the own sends to a limited endpoint are counted, in seconds.
SEND_WINDOW_S = 4.0


class EndpointLimit:
    """Newest statement of an endpoint about its limit, and the own sends to it.

    :ivar rate: requests per second; None if the endpoint states no limit.
    :ivar stated_at: time of that statement.
    :ivar sends: times of the sends of this gateway in the last ``SEND_WINDOW_S``.
    """

    __slots__ = ("rate", "sends", "stated_at")

    def __init__(self) -> None:
        self.rate: float | None = None
        self.stated_at = float("-inf")
        self.sends: deque[float] = deque()

    def record_statement(self, rate: float | None, at: float) -> bool:
        """Record what an answer states; return whether the limit begins, changes or ends.

        :param rate: None if the answer states no limit.
        """
        if at < self.stated_at:
            return False
        self.stated_at = at
        is_change = rate != self.rate
        self.rate = rate
        return is_change

    def record_send(self, now: float) -> None:
        """Record that a request is sent to the endpoint."""
        self.sends.append(now)
        self.count_sends(now)

    def count_sends(self, now: float) -> int:
        """Return the number of own sends in the last ``SEND_WINDOW_S``."""
        while self.sends and self.sends[0] < now - SEND_WINDOW_S:
            self.sends.popleft()
        return len(self.sends)
