"""Times at which refused callers are told to return.

Requests beyond the limits of all endpoints of a service find room one after the other, and so do
those that arrive while all endpoints want none. Each refused caller is told a time of its own, so
that they do not all return to the same room.
"""

from collections.abc import Mapping

# Openings of one service whose bookings are kept; the earliest booked are discarded first.
MAX_OPENINGS = 256


class ReturnTimes:
    """Booked return times of one service.

    Times are in seconds, from one steady clock.

    :ivar next_at: earliest time that is not booked yet.
    :ivar next_after_opening: earliest time that is not booked yet, by the time of an opening.
    """

    __slots__ = ("next_after_opening", "next_at")

    def __init__(self) -> None:
        self.next_at = 0.0
        self.next_after_opening: dict[float, float] = {}

    def book(
        self, wait_s: float, rate: float, now: float, longest_s: float = float("inf")
    ) -> float:
        """Return the time after which to return, in seconds.

        :param wait_s: time until there is room behind the requests that wait.
        :param rate: requests per second for which there is room.
        :param longest_s: time beyond which nothing is booked, in seconds.
        """
        return_at = max(now + wait_s, self.next_at)
        if return_at > now + longest_s:
            return longest_s
        self.next_at = return_at + (1.0 / rate if rate > 0.0 else 0.0)
        return return_at - now

    def book_after_opening(self, openings: Mapping[float, float], now: float) -> float:
        """Return the time after which to return to a service that is closed, in seconds.

        It is the earliest that is not booked. Bookings for an opening that is no longer expected
        do not count.

        :param openings: requests per second that endpoints take from a time on, by that time;
            endpoints that open at different times add up, and their callers form one sequence.
        """
        return_at = max(now, min(self.next_after_opening.get(at, at) for at in openings))
        rate, next_at = 0.0, float("inf")
        joined = []
        for opens_at in sorted(openings):
            if opens_at >= next_at:
                break
            rate += openings[opens_at]
            next_at = max(opens_at, return_at + 1.0 / rate)
            joined.append(opens_at)
        for opens_at in joined:
            booked_until = self.next_after_opening.get(opens_at, opens_at)
            self.next_after_opening[opens_at] = max(booked_until, next_at)
        self._discard_past(now)
        return return_at - now

    def _discard_past(self, now: float) -> None:
        """Discard the openings whose booked times have passed, and those beyond the maximum."""
        kept = {at: next_at for at, next_at in self.next_after_opening.items() if next_at > now}
        self.next_after_opening = dict(list(kept.items())[-MAX_OPENINGS:])
