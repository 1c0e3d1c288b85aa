"""Times at which refused callers are told to return.

Requests beyond the limits of all endpoints of a service find room one after the other. Each refused
caller is told a time of its own, so that they do not all return to the same room.
"""


class ReturnTimes:
    """Booked return times of one service.

    Times are in seconds, from one steady clock.

    :ivar next_at: earliest time that is not booked yet.
    """

    __slots__ = ("next_at",)

    def __init__(self) -> None:
        self.next_at = 0.0

    def book(self, wait_s: float, rate: float, now: float) -> float:
        """Return the time after which to return, in seconds.

        :param wait_s: time until there is room behind the requests that wait.
        :param rate: requests per second for which there is room.
        """
        return_at = max(now + wait_s, self.next_at)
        self.next_at = return_at + (1.0 / rate if rate > 0.0 else 0.0)
        return return_at - now
