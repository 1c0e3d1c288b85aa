"""Retry budget and circuit breaker."""


class RetryBudget:
    """Budget of retries, including hedged requests, as a fraction of recent successes.

    Without it, retries multiply the load on endpoints that already fail. The counts
    of successes and retries decay exponentially.

    :param fraction: retries allowed per success.
    :param half_life_s: half-life of the decay, in seconds.
    :param reserve: retries available without recent successes, so that an idle entry can retry.
    """

    def __init__(
        self, fraction: float = 0.1, half_life_s: float = 10.0, reserve: float = 3.0
    ) -> None:
        self.fraction = fraction
        self.half_life_s = half_life_s
        self.reserve = reserve
        self.successes = 0.0
        self.spent = 0.0
        self.updated_at: float | None = None

    def record_success(self, now: float) -> None:
        """Count a request that succeeded."""
        self._decay(now)
        self.successes += 1.0

    def try_acquire(self, now: float) -> bool:
        """Spend one retry if the budget allows; return whether it did."""
        self._decay(now)
        if self.spent >= self.reserve + self.fraction * self.successes:
            return False
        self.spent += 1.0
        return True

    def _decay(self, now: float) -> None:
        if self.updated_at is not None and now <= self.updated_at:
            return
        if self.updated_at is not None:
            decay = 0.5 ** ((now - self.updated_at) / self.half_life_s)
            self.successes *= decay
            self.spent *= decay
        self.updated_at = now


class CircuitBreaker:
    """Circuit breaker of one endpoint: closed, open until a deadline, then half-open.

    Half-open, it allows one trial request at a time.

    :param failure_threshold: consecutive failures that open it.
    :param open_s: seconds for which it opens the first time; doubled after each failed trial.
    :param max_open_s: upper limit of the open time, in seconds.
    """

    def __init__(
        self, failure_threshold: int = 5, open_s: float = 1.0, max_open_s: float = 30.0
    ) -> None:
        self.failure_threshold = failure_threshold
        self.open_s = open_s
        self.max_open_s = max_open_s
        self.consecutive_failures = 0
        self.consecutive_openings = 0
        self.open_until: float | None = None
        self.trial_until: float | None = None

    def record_success(self, now: float) -> None:
        """Close the breaker."""
        self.consecutive_failures = 0
        self.consecutive_openings = 0
        self.open_until = None
        self.trial_until = None

    def record_failure(self, now: float) -> None:
        """Count a failure; a failed trial reopens the breaker for longer."""
        if self.open_until is not None and now < self.open_until:
            return
        self.consecutive_failures += 1
        if self.trial_until is None and self.consecutive_failures < self.failure_threshold:
            return
        delay = min(self.max_open_s, self.open_s * 2.0 ** min(self.consecutive_openings, 32))
        self.consecutive_openings += 1
        self.open_until = now + delay
        self.trial_until = None

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent; after the open time, admits a trial.

        A trial without an outcome blocks further trials for ``max_open_s``.
        """
        if self.open_until is None:
            return True
        if now < self.open_until or (self.trial_until is not None and now < self.trial_until):
            return False
        self.trial_until = now + self.max_open_s
        return True
