"""What a gateway has seen of an endpoint's soundness."""

# Time for which an endpoint that cannot be reached is left out; doubled up to the maximum.
SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
# Half-life of the failure average, in seconds.
FAILURE_HALF_LIFE_S = 4.0
# Weight of a prior success, so that a single failure does not stand for many.
PRIOR = 4.0


class EndpointHealth:
    """Reachability and recent failures of one endpoint, from traffic."""

    __slots__ = (
        "failures",
        "is_unreachable",
        "successes",
        "suspect_until",
        "unreachable_count",
        "updated_at",
    )

    def __init__(self) -> None:
        self.suspect_until = 0.0
        self.unreachable_count = 0
        self.failures = 0.0
        self.successes = 0.0
        self.updated_at = 0.0
        self.is_unreachable = False

    def record_success(self, now: float) -> None:
        """Count a whole answer."""
        self._decay(now)
        self.successes += 1
        self.unreachable_count = 0
        self.suspect_until = 0.0

    def record_failure(self, now: float) -> None:
        """Count an answer that failed, broke off or did not come."""
        self._decay(now)
        self.failures += 1

    def record_unreachable(self, now: float) -> None:
        """Leave the endpoint out for a while."""
        self.record_failure(now)
        if now >= self.suspect_until:
            delay_s = min(MAX_SUSPECT_S, SUSPECT_S * 2**self.unreachable_count)
            self.unreachable_count += 1
            self.suspect_until = now + delay_s

    def is_suspect(self, now: float) -> bool:
        """Return whether the endpoint is to be avoided."""
        return self.is_unreachable or now < self.suspect_until

    def failure_rate(self, now: float) -> float:
        """Return the recent fraction of failed requests."""
        self._decay(now)
        return self.failures / (self.failures + self.successes + PRIOR)

    def _decay(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self.updated_at) / FAILURE_HALF_LIFE_S)
        self.failures *= kept
        self.successes *= kept
        self.updated_at = now
