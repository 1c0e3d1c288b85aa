"""Statements of an endpoint on whether it takes requests of this gateway.

They concern one start of the endpoint, and hold for as long as its process runs: also while the
metadata store is unavailable, and if a stale record lists the endpoint as ready again. Times are in
seconds, from the steady clock of this gateway.
"""

from dataclasses import dataclass

# Starts of endpoints that are remembered. It exceeds the number of listed endpoints of a large
# fleet; the earliest are discarded first.
MAX_REMEMBERED_STARTS = 16_384


@dataclass(slots=True)
class Availability:
    """What one start of an endpoint has stated.

    :param leaves_at: time from which on it takes no requests, because it leaves; infinite if it has
        not stated that it leaves.
    :param held_off_until: time until which it wants no requests of this gateway.
    """

    leaves_at: float = float("inf")
    held_off_until: float = float("-inf")

    @property
    def is_leaving(self) -> bool:
        """Return whether the endpoint leaves, so that others are preferred."""
        return self.leaves_at < float("inf")

    def is_held_off(self, now: float) -> bool:
        """Return whether the endpoint wants no requests of this gateway for now."""
        return now < self.held_off_until

    def takes_requests(self, now: float) -> bool:
        """Return whether a request may be sent to the endpoint."""
        return self.held_off_until <= now < self.leaves_at

    def opens_at(self, now: float) -> float:
        """Return the time from which on requests may be sent; infinite if it leaves before."""
        opens_at = max(now, self.held_off_until)
        return opens_at if opens_at < self.leaves_at else float("inf")

    def record_leaving(self, leaves_at: float) -> bool:
        """Record that the endpoint leaves; return whether that was unknown.

        The earliest time counts: the endpoint leaves from its first statement on.
        """
        was_unknown = not self.is_leaving
        self.leaves_at = min(self.leaves_at, leaves_at)
        return was_unknown

    def record_hold_off(self, until: float) -> bool:
        """Record that the endpoint wants no requests of this gateway until a time.

        :returns: whether that is later than known; the latest time counts.
        """
        is_later = until > self.held_off_until
        self.held_off_until = max(self.held_off_until, until)
        return is_later


class AvailabilityTable:
    """Availability of each start of an endpoint, by ``Endpoint.number``.

    It outlasts the endpoint's record, which may lapse and come back.
    """

    __slots__ = ("by_number",)

    def __init__(self) -> None:
        self.by_number: dict[int, Availability] = {}

    def get(self, number: int) -> Availability:
        """Return the availability of a start; the same object each time."""
        availability = self.by_number.get(number)
        if availability is None:
            availability = self.by_number[number] = Availability()
            if len(self.by_number) > MAX_REMEMBERED_STARTS:
                del self.by_number[next(iter(self.by_number))]
        return availability
