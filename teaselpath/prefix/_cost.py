"""Expected time to first token, corrected by what replies and finished requests report."""

from dataclasses import dataclass

from teaselpath.prefix._events import Choice
from teaselpath.wire import ProbeReply

# Weight of the newest observation; about ten requests change an estimate.
LEARNING_RATE = 0.1
# A correction fades within this time, so that an endpoint that looked slow is tried again.
FORGET_S = 10.0
# One measurement moves the correction by no more than this, because a tail is not a mean.
MAX_ERROR_S = 1.0


@dataclass(slots=True)
class _Learned:
    """Corrections of one endpoint.

    :param error_s: mean of measured minus expected time to first token, in seconds.
    """

    error_s: float = 0.0
    learned_at: float = 0.0


class CostModel:
    """Costs per endpoint, learned at this entry; empty after a restart."""

    def __init__(self) -> None:
        self.learned: dict[str, _Learned] = {}

    def keep(self, endpoints: frozenset[str]) -> None:
        """Forget endpoints that are no longer members."""
        for endpoint in self.learned.keys() - endpoints:
            del self.learned[endpoint]

    def expected_s(
        self, reply: ProbeReply, matched_tokens: float, prompt_tokens: int, now: float
    ) -> float:
        """Return wait plus recomputation on the replying endpoint, in seconds."""
        wait_s = reply.wait_ms / 1e3
        learned = self.learned.get(reply.endpoint)
        if learned is not None:
            fresh = max(0.0, 1 - (now - learned.learned_at) / FORGET_S)
            wait_s = max(0.0, wait_s + fresh * learned.error_s)
        missed = max(0.0, prompt_tokens - matched_tokens)
        return wait_s + missed * reply.prefill_us_per_token / 1e6

    def learn(self, choice: Choice, first_token_s: float, now: float) -> None:
        """Compare the expected time to first token with the measured one."""
        learned = self.learned.setdefault(choice.endpoint, _Learned())
        error_s = max(-MAX_ERROR_S, min(MAX_ERROR_S, first_token_s - choice.expected_s))
        learned.error_s += LEARNING_RATE * (error_s - learned.error_s)
        learned.learned_at = now
