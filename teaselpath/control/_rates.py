"""Moving-average event rate."""

from math import exp

DEFAULT_TIME_CONSTANT_S = 10.0


class RateMeter:
    """Exponentially weighted rate of events.

    :param window_s: time constant of the average, in seconds.
    """

    def __init__(self, window_s: float = DEFAULT_TIME_CONSTANT_S):
        self.window_s = window_s
        self.value = 0.0
        self.updated_at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self.value = self.per_second(now) + 1.0 / self.window_s
        self.updated_at = now

    def per_second(self, now: float) -> float:
        """Return the current rate in events per second."""
        return self.value * exp(-max(0.0, now - self.updated_at) / self.window_s)
