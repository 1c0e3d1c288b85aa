"""Times at which refused callers are told to return.

Requests beyond the limits of all endpoints of a service find room one after the other, and so do
those that arrive while all endpoints want none. Each refused caller is told a time of its own, so
that they do not all return to the same room.
"""

# Difference up to which two opening times are the same, in seconds.
OPENING_TOLERANCE_S = 1e-3


class ReturnTimes:
    """Booked return times of one service.

    Times are in seconds, from one steady clock.

    :ivar next_at: earliest time that is not booked yet.
    :ivar opens_at: time from which on ``book_after_opening`` has booked.
    """

    __slots__ = ("next_at", "opens_at")

    def __init__(self) -> None:
        self.next_at = 0.0
        self.opens_at = 0.0

    def book(self, wait_s: float, rate: float, now: float) -> float:
        """Return the time after which to return, in seconds.

        :param wait_s: time until there is room behind the requests that wait.
        :param rate: requests per second for which there is room.
        """
        return_at = max(now + wait_s, self.next_at)
        self.next_at = return_at + (1.0 / rate if rate > 0.0 else 0.0)
        return return_at - now

    def book_after_opening(self, opens_at: float, rate: float, now: float) -> float:
        """Return the time after which to return to a service that is closed, in seconds.

        Bookings for another opening time no longer count.

        :param opens_at: time from which on the service takes requests.
        :param rate: requests per second that it takes from then on.
        """
        if abs(opens_at - self.opens_at) > OPENING_TOLERANCE_S:
            self.opens_at = self.next_at = opens_at
        return self.book(opens_at - now, rate, now)
