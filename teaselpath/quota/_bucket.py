"""Token bucket with reservations that are settled after use."""

from collections import OrderedDict


class Bucket:
    """Token bucket of one workspace at one host.

    The invariant ``level + refundable <= capacity`` holds after each call. A reservation charges
    its tokens immediately, and unused tokens may be refunded when it is settled. Without the
    invariant, a refund into a bucket that refilled in the meantime would let the charges of an
    interval exceed rate x t + burst.

    :param now: monotonic instant of creation, in seconds; the bucket starts empty.
    :ivar refundable: sum of the refund limits of all reservations, in tokens.
    :ivar reservations: tokens charged and refund limit of each reservation, oldest first.
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
        """Add the tokens accrued since the last call; an earlier ``now`` is ignored."""
        if now <= self.updated_at:
            return
        self.level += self.rate * (now - self.updated_at)
        self.updated_at = now
        self._enforce_capacity()

    def resize(self, capacity: float, rate: float, now: float) -> None:
        """Set capacity (tokens) and rate (tokens/s) from ``now`` on."""
        self.accrue(now)
        self.capacity = capacity
        self.rate = rate
        self._enforce_capacity()

    def try_reserve(self, reservation_id: str, tokens: float, now: float) -> bool:
        """Charge tokens if the bucket has them; return whether it did."""
        self.accrue(now)
        if self.level < tokens:
            return False
        self.level -= tokens
        self.refundable += tokens
        self.reservations[reservation_id] = (tokens, tokens)
        return True

    def settle(self, reservation_id: str, used: float, now: float) -> float:
        """End a reservation and refund the unused tokens.

        :param used: tokens used; use beyond the charge becomes a debt of the bucket.
        :returns: tokens refunded, negative for a debt; 0 if the reservation is not, or no longer,
            recorded.
        """
        self.accrue(now)
        tokens, refund_limit = self.reservations.pop(reservation_id, (0.0, 0.0))
        if not tokens:
            return 0.0
        self.refundable = max(0.0, self.refundable - refund_limit)
        refund = min(tokens - used, refund_limit)
        self.level += refund
        return refund

    def debit(self, tokens: float) -> None:
        """Remove tokens transferred to another host; the caller then reduces the capacity."""
        self.level -= tokens

    def credit(self, tokens: float) -> None:
        """Add tokens transferred from another host; the caller has raised the capacity before."""
        self.level += tokens
        self._enforce_capacity()

    def _enforce_capacity(self) -> None:
        """Restore the invariant.

        Reduces the refund limits of the oldest reservations, and the level only if no reservation
        is left.
        """
        excess = self.level + self.refundable - self.capacity
        while excess > 0.0 and self.reservations:
            oldest, (tokens, refund_limit) = next(iter(self.reservations.items()))
            if refund_limit > excess:
                self.reservations[oldest] = (tokens, refund_limit - excess)
                self.refundable -= excess
                return
            del self.reservations[oldest]
            self.refundable -= refund_limit
            excess -= refund_limit
        if not self.reservations:
            self.refundable = 0.0
            self.level = min(self.level, self.capacity)
