"""Token bucket with reservations that are settled later."""

from collections import OrderedDict


class Bucket:
    """Token bucket of one workspace at one host.

    The invariant ``level + refundable <= capacity`` holds after each call. A reservation charges
    its tokens at once and may be refunded at its end. Without the invariant, a refund into a
    bucket that refilled in the meantime would let an interval exceed rate x t + burst.

    :param now: monotonic instant of the start, in seconds; the bucket starts empty.
    """

    __slots__ = ("capacity", "level", "rate", "refundable", "reservations", "updated_at")

    def __init__(self, now: float) -> None:
        self.level = 0.0
        self.capacity = 0.0
        self.rate = 0.0
        self.refundable = 0.0
        self.reservations: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.updated_at = now

    def accrue(self, now: float) -> None:
        """Add the tokens since the last call; an earlier ``now`` adds none and is not stored."""
        if now <= self.updated_at:
            return
        self.level += self.rate * (now - self.updated_at)
        self.updated_at = now
        self._fit()

    def resize(self, capacity: float, rate: float, now: float) -> None:
        """Change capacity (tokens) and rate (tokens/s) from ``now`` on."""
        self.accrue(now)
        self.capacity = capacity
        self.rate = rate
        self._fit()

    def try_reserve(self, reservation_id: str, tokens: float, now: float) -> bool:
        """Charge tokens if the bucket holds them."""
        self.accrue(now)
        if self.level < tokens:
            return False
        self.level -= tokens
        self.refundable += tokens
        self.reservations[reservation_id] = (tokens, tokens)
        return True

    def settle(self, reservation_id: str, used: float, now: float) -> float:
        """End a reservation and refund what it did not use.

        :param used: tokens used; more than was charged becomes a debt of the bucket.
        :returns: tokens refunded; 0 for a reservation that has lost its right to a refund.
        """
        self.accrue(now)
        tokens, right = self.reservations.pop(reservation_id, (0.0, 0.0))
        if not tokens:
            return 0.0
        self.refundable = max(0.0, self.refundable - right)
        refund = min(tokens - used, right)
        self.level += refund
        return refund

    def take(self, tokens: float) -> None:
        """Remove tokens that are handed over; the caller resizes by the same amount."""
        self.level -= tokens

    def add(self, tokens: float) -> None:
        """Add tokens that were handed over; the caller has enlarged the capacity before."""
        self.level += tokens
        self._fit()

    def _fit(self) -> None:
        over = self.level + self.refundable - self.capacity
        while over > 0.0 and self.reservations:
            oldest, (tokens, right) = next(iter(self.reservations.items()))
            if right > over:
                self.reservations[oldest] = (tokens, right - over)
                self.refundable -= over
                return
            del self.reservations[oldest]
            self.refundable -= right
            over -= right
        if not self.reservations:
            self.refundable = 0.0
            self.level = min(self.level, self.capacity)
