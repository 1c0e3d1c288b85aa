"""Times that one model engine needs for its work.

An engine of which nothing is learned has the assumed speed of all engines.
"""

# Assumed prefill speed of an engine, in tokens per second.
PREFILL_TOKENS_PER_S = 40_000.0


class EngineTimes:
    """Times of one engine.

    :ivar prefill_s_per_token: time to prefill one token while nothing else runs, in seconds.
    """

    __slots__ = ("prefill_s_per_token",)

    def __init__(self) -> None:
        self.prefill_s_per_token = 1.0 / PREFILL_TOKENS_PER_S

    def prefill_s(self, tokens: int, now: float) -> float:
        """Return the expected time to prefill tokens at this moment, in seconds."""
        return tokens * self.prefill_s_per_token
