"""Load of this entry's region and cost of a block, learned from probe replies."""

from collections.abc import Sequence

# Weights of the newest reply in the means; about 10 and 50 requests change them.
LOAD_RATE = 0.1
MEAN_RATE = 0.02
# A region whose engines make requests wait this long on average counts as fully busy.
BUSY_WAIT_S = 0.25
# Bounded load: a prefix's engines may make requests wait this many times the region's mean.
OVERLOAD = 2.0


class RegionLoad:
    """Moving means over requests.

    ``local_wait_s`` is the wait at the best endpoint that was probed, ``mean_wait_s`` that at the
    sampled endpoints, ``block_s`` the time to recompute a block of ``block_tokens`` tokens.
    """

    __slots__ = ("block_s", "block_tokens", "local_wait_s", "mean_wait_s")

    def __init__(self) -> None:
        self.local_wait_s = 0.0
        self.mean_wait_s = 0.0
        self.block_s = 0.0
        self.block_tokens = 0.0

    def busy(self) -> float:
        """Return how busy the region is, from 0 to 1."""
        return min(1.0, self.mean_wait_s / BUSY_WAIT_S)

    def observe_block(self, block_tokens: float, prefill_us_per_token: float) -> None:
        """Learn the size of blocks and the time to recompute one."""
        block_s = block_tokens * prefill_us_per_token / 1e6
        self.block_s += LOAD_RATE * (block_s - self.block_s)
        self.block_tokens += LOAD_RATE * (block_tokens - self.block_tokens)

    def observe_waits(self, homes: Sequence[float], samples: Sequence[float]) -> float:
        """Learn from the waits at the homes of a prompt and at sampled endpoints, in seconds.

        :returns: by how much the best home exceeds the bound. More copies do not help when all
            engines are busy, so the bound follows the mean of the samples.
        """
        for wait_s in samples:
            self.mean_wait_s += MEAN_RATE * (wait_s - self.mean_wait_s)
        if homes or samples:
            best_s = min([*homes, *samples])
            self.local_wait_s += LOAD_RATE * (best_s - self.local_wait_s)
        return min(homes) - OVERLOAD * self.mean_wait_s if homes else 0.0
