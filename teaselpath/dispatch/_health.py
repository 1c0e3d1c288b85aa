"""Health of an endpoint as observed by one gateway."""

# Time for which an unreachable endpoint is avoided, in seconds; it doubles with each consecutive
# failure up to the maximum.
SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
# Half-life of the exponentially decaying failure average, in seconds.
FAILURE_HALF_LIFE_S = 4.0
# Assumed prior successes, so that a single failure does not give a high failure rate.
PRIOR_SUCCESSES = 4.0


class EndpointHealth:
    """Reachability and recent failure rate of one endpoint.

    :ivar is_unreachable: whether the endpoint stopped replying to polls of its cache events;
        not changed by ``record_unreachable``.
    :ivar unreachable_at: time of the last failed contact, or of the last poll without a reply; None
        if there was none.
    :ivar unreachable_count: consecutive suspect periods caused by ``record_unreachable``.
    """

    __slots__ = (
        "failures",
        "is_unreachable",
        "successes",
        "suspect_until",
        "unreachable_at",
        "unreachable_count",
        "updated_at",
    )

    def __init__(self) -> None:
        self.suspect_until = 0.0
        self.unreachable_count = 0
        self.unreachable_at: float | None = None
        self.failures = 0.0
        self.successes = 0.0
        self.updated_at = 0.0
        self.is_unreachable = False

    def record_success(self, now: float) -> None:
        """Count a complete answer."""
        self._decay(now)
        self.successes += 1
        self.unreachable_count = 0
        self.suspect_until = 0.0

    def record_failure(self, now: float) -> None:
        """Count an answer that failed, was truncated or did not arrive."""
        self._decay(now)
        self.failures += 1

    def record_unreachable(self, now: float) -> None:
        """Count a failure and mark the endpoint as suspect for a while."""
        self.record_failure(now)
        self.unreachable_at = now
        if now >= self.suspect_until:
            delay_s = min(MAX_SUSPECT_S, SUSPECT_S * 2**self.unreachable_count)
            self.unreachable_count += 1
            self.suspect_until = now + delay_s

    def is_suspect(self, now: float) -> bool:
        """Return whether the endpoint should be avoided."""
        return self.is_unreachable or now < self.suspect_until

    def failure_rate(self, now: float) -> float:
        """Return the fraction of recent requests that failed."""
        self._decay(now)
        return self.failures / (self.failures + self.successes + PRIOR_SUCCESSES)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self.updated_at) / FAILURE_HALF_LIFE_S)
        self.failures *= factor
        self.successes *= factor
        self.updated_at = now
