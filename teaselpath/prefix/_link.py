"""Byte budget of the low-bandwidth link between two regions."""

# Grace period before a decrease of the number of processes applies, and before a process that has
# just started may spend. By then all other processes have learned of the change.
SHARE_GRACE_PERIOD_S = 30.0


class LinkBudget:
    """This process's share of the link: a token bucket with a reserve for requests.

    All traffic over the link is charged. Transfers use ``try_spend``, which never spends the
    reserve. Requests use ``record_request``; they are never refused and may drive the level below
    zero, which pauses transfers until the level has recovered.

    :param bytes_per_s: budget of the whole link.
    :param burst_bytes: burst size of the whole link.
    :param reserve_fraction: fraction of the burst that is reserved for requests.
    """

    def __init__(
        self, bytes_per_s: float, burst_bytes: float, reserve_fraction: float = 0.5
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes
        self.reserve_fraction = reserve_fraction
        self.process_count = 1
        self.pending_process_count = 1
        self.pending_at = float("inf")
        self.level = 0.0
        self.refilled_at = float("-inf")

    def set_process_count(self, process_count: int, now: float) -> None:
        """Set the number of processes that share the link, this one included.

        An increase applies at once, a decrease after ``SHARE_GRACE_PERIOD_S``: other processes may
        learn of the change later, and all shares together must not exceed the budget of the link.
        """
        if process_count < 1:
            raise ValueError(f"process_count must be at least 1, got {process_count}")
        self._refill(now)
        if process_count >= self.process_count:
            self.process_count, self.pending_at = process_count, float("inf")
        elif process_count != self.pending_process_count or self.pending_at == float("inf"):
            self.pending_at = now + SHARE_GRACE_PERIOD_S
        self.pending_process_count = process_count
        self.level = min(self.level, self.burst_bytes / self.process_count)

    def try_spend(self, byte_count: int, now: float) -> bool:
        """Charge a transfer; return False, without a charge, if it would cut into the reserve."""
        self._refill(now)
        reserved_bytes = self.reserve_fraction * self.burst_bytes / self.process_count
        if byte_count < 0 or self.level - byte_count < reserved_bytes:
            return False
        self.level -= byte_count
        return True

    def record_request(self, byte_count: int, now: float) -> None:
        """Charge a request or a response that crosses the link."""
        self._refill(now)
        floor = -self.burst_bytes / self.process_count
        self.level = max(self.level - byte_count, floor)

    def _refill(self, now: float) -> None:
        if now >= self.pending_at:
            self.process_count, self.pending_at = self.pending_process_count, float("inf")
        burst = self.burst_bytes / self.process_count
        if self.refilled_at == float("-inf"):
            # Other processes may not count this one yet, and its predecessor may have spent its
            # share just before the restart.
            self.refilled_at = now + SHARE_GRACE_PERIOD_S
        gained = max(0.0, now - self.refilled_at) * self.bytes_per_s / self.process_count
        self.level = min(burst, self.level + gained)
        self.refilled_at = max(self.refilled_at, now)
