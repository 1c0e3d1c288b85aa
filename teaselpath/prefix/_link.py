"""Byte budget of the narrow link between two regions."""

# A smaller number of users counts only after this time, and a process that has just started spends
# nothing for as long, so that every other process has heard of the change.
SHARE_GUARD_S = 30.0


class LinkBudget:
    """This process's share of the link, as a token bucket with a reserve for requests.

    Everything that crosses the link is charged: transfers by ``try_spend``, which leaves the
    reserve alone, and requests by ``record_request``, which are sent in any case and may drive the
    level below zero, so that transfers pause until it has recovered.

    :param bytes_per_s: budget of the whole link.
    :param burst_bytes: burst of the whole link.
    :param reserve: fraction of the burst that is kept for requests.
    """

    def __init__(self, bytes_per_s: float, burst_bytes: float, reserve: float = 0.5) -> None:
        self.bytes_per_s = bytes_per_s
        self.burst_bytes = burst_bytes
        self.reserve = reserve
        self.users = 1
        self.pending_users = 1
        self.pending_at = float("inf")
        self.level = 0.0
        self.filled_at = float("-inf")

    def set_users(self, users: int, now: float) -> None:
        """Divide the link by the number of processes that use it, this one included.

        More users take effect at once, fewer after a guard time, because the other processes may
        hear of the change later and must not spend more than the link holds together.
        """
        if users < 1:
            raise ValueError(f"users must be at least 1, got {users}")
        self._fill(now)
        if users >= self.users:
            self.users, self.pending_at = users, float("inf")
        elif users != self.pending_users or self.pending_at == float("inf"):
            self.pending_at = now + SHARE_GUARD_S
        self.pending_users = users
        self.level = min(self.level, self.burst_bytes / self.users)

    def try_spend(self, byte_count: int, now: float) -> bool:
        """Take bytes for a transfer; False, and nothing is taken, if the reserve would shrink."""
        self._fill(now)
        kept = self.reserve * self.burst_bytes / self.users
        if byte_count < 0 or self.level - byte_count < kept:
            return False
        self.level -= byte_count
        return True

    def record_request(self, byte_count: int, now: float) -> None:
        """Charge a request or an answer that crosses the link."""
        self._fill(now)
        floor = -self.burst_bytes / self.users
        self.level = max(self.level - byte_count, floor)

    def _fill(self, now: float) -> None:
        if now >= self.pending_at:
            self.users, self.pending_at = self.pending_users, float("inf")
        burst = self.burst_bytes / self.users
        if self.filled_at == float("-inf"):
            # The others may not count this process yet, and its predecessor may have spent its
            # share just before.
            self.filled_at = now + SHARE_GUARD_S
        gained = max(0.0, now - self.filled_at) * self.bytes_per_s / self.users
        self.level = min(burst, self.level + gained)
        self.filled_at = max(self.filled_at, now)
