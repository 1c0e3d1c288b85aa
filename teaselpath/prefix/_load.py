"""Estimates of the region's load and of a block's size and prefill time, from probe replies."""

from collections.abc import Sequence

# Weights of the newest observation in the moving averages, which span about 10 and 50 requests.
FAST_SMOOTHING_FACTOR = 0.1
SLOW_SMOOTHING_FACTOR = 0.02
# Mean wait at which a region counts as fully busy.
BUSY_WAIT_S = 0.25
# Bound of the wait at the preferred endpoints of a prompt, as a multiple of the region's mean wait.
OVERLOAD_FACTOR = 2.0


class RegionLoad:
    """Moving averages over requests.

    ``local_wait_s`` is the shortest wait among the probed endpoints of this region, ``mean_wait_s``
    the wait at the sampled endpoints, ``block_s`` the time to recompute a block of ``block_tokens``
    tokens.
    """

    __slots__ = ("block_s", "block_tokens", "local_wait_s", "mean_wait_s")

    def __init__(self) -> None:
        self.local_wait_s = 0.0
        self.mean_wait_s = 0.0
        self.block_s = 0.0
        self.block_tokens = 0.0

    def busy_fraction(self) -> float:
        """Return how busy the region is, from 0 to 1."""
        return min(1.0, self.mean_wait_s / BUSY_WAIT_S)

    def observe_block(self, block_tokens: float, prefill_us_per_token: float) -> None:
        """Update the estimates of the block size and of the time to recompute a block."""
        block_s = block_tokens * prefill_us_per_token / 1e6
        self.block_s += FAST_SMOOTHING_FACTOR * (block_s - self.block_s)
        self.block_tokens += FAST_SMOOTHING_FACTOR * (block_tokens - self.block_tokens)

    def observe_waits(self, preferred: Sequence[float], samples: Sequence[float]) -> float:
        """Update the wait estimates.

        :param preferred: waits at the preferred endpoints of a prompt, in seconds.
        :param samples: waits at the sampled endpoints, in seconds.
        :returns: by how much the shortest wait at a preferred endpoint exceeds the bound, which is
            ``OVERLOAD_FACTOR`` times the mean wait, in seconds; negative below the bound, 0 without
            a preferred endpoint. The bound follows the mean of the samples, because more copies of
            a prefix do not help when all engines are busy.
        """
        for wait_s in samples:
            self.mean_wait_s += SLOW_SMOOTHING_FACTOR * (wait_s - self.mean_wait_s)
        if preferred or samples:
            best_s = min([*preferred, *samples])
            self.local_wait_s += FAST_SMOOTHING_FACTOR * (best_s - self.local_wait_s)
        return min(preferred) - OVERLOAD_FACTOR * self.mean_wait_s if preferred else 0.0
