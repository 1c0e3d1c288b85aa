"""Token bucket for the rate-limited stand-ins."""


class TokenBucket:
    """Token bucket.

    :param rate: tokens added per second.
    :param burst: capacity in tokens.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = max(burst, 1.0)
        self.tokens = self.burst
        self.updated_at = now

    def try_acquire(self, now: float) -> float:
        """Acquire a token; return 0, or the time in seconds until one is available."""
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
        self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate if self.rate > 0 else 3600.0
