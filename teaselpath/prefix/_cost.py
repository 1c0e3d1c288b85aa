"""Expected time to first token, corrected by the measured times of finished requests."""

from dataclasses import dataclass

from teaselpath.prefix._events import Choice
from teaselpath.wire import ProbeReply

# Weight of the newest observation in the moving average, which spans about ten requests.
SMOOTHING_FACTOR = 0.1
# A correction decays to zero within this time, so that an endpoint that was slow is tried again.
CORRECTION_LIFETIME_S = 10.0
# Larger errors are clipped, so that a single tail latency does not dominate the mean.
MAX_ERROR_S = 1.0


@dataclass(slots=True)
class _Correction:
    """Correction of the expected time at one endpoint.

    :param error_s: mean of measured minus expected time to first token, in seconds.
    """

    error_s: float = 0.0
    updated_at: float = 0.0


class CostModel:
    """Corrections per endpoint, learned at this entry; empty after a restart."""

    def __init__(self) -> None:
        self.corrections: dict[str, _Correction] = {}

    def retain(self, endpoints: frozenset[str]) -> None:
        """Discard the corrections of all other endpoints."""
        for endpoint in self.corrections.keys() - endpoints:
            del self.corrections[endpoint]

    def expected_s(
        self, reply: ProbeReply, matched_tokens: float, prompt_tokens: int, now: float
    ) -> float:
        """Return the corrected wait plus the prefill time at the replying endpoint, in seconds."""
        wait_s = reply.wait_ms / 1e3
        correction = self.corrections.get(reply.endpoint)
        if correction is not None:
            remaining_fraction = max(0.0, 1 - (now - correction.updated_at) / CORRECTION_LIFETIME_S)
            wait_s = max(0.0, wait_s + remaining_fraction * correction.error_s)
        missed_tokens = max(0.0, prompt_tokens - matched_tokens)
        return wait_s + missed_tokens * reply.prefill_us_per_token / 1e6

    def learn(self, choice: Choice, first_token_s: float, now: float) -> None:
        """Update the correction of the chosen endpoint with a measured time to first token."""
        correction = self.corrections.setdefault(choice.endpoint, _Correction())
        error_s = max(-MAX_ERROR_S, min(MAX_ERROR_S, first_token_s - choice.expected_s))
        correction.error_s += SMOOTHING_FACTOR * (error_s - correction.error_s)
        correction.updated_at = now
