"""Token bucket of the rate-limited stand-ins."""


class RateLimit:
    """Token bucket.

    :param rate: units per second.
    :param burst: units that may pass at once.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = max(burst, 1.0)
        self.level = self.burst
        self.updated_at = now

    def try_take(self, now: float) -> float:
        """Take one unit; return 0, or the seconds until one is there."""
        self.level = min(self.burst, self.level + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / self.rate if self.rate > 0 else 3600.0
