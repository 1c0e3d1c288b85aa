"""Choice of an endpoint for a request, at the entry."""

from collections.abc import Sequence

from teaselpath.prefix._events import Choice, Finished, Routed
from teaselpath.prefix._placement import Placement
from teaselpath.wire import ProbeReply

MAX_PROBES = 4


def level_positions(length: int, count: int) -> list[int]:
    """Return the chain positions used as levels, deepest first.

    They are the last position and the powers of two below it: a prefix of n blocks that requests
    share is then told apart by a level of at least n/2 blocks, wherever its boundary lies.
    """
    positions = [length - 1] if length else []
    size = 1 << max(length - 1, 0).bit_length() >> 1
    while size and len(positions) < count:
        if size < length:
            positions.append(size - 1)
        size >>= 1
    return positions


class PrefixRouter:
    """Candidates for a request, and the choice among those that answered a probe."""

    def __init__(self, max_probes: int = MAX_PROBES) -> None:
        self.max_probes = max_probes
        self.placement = Placement(())

    def candidates(self, chain: Sequence[bytes], endpoints: Sequence[str], now: float) -> list[str]:
        """Return the endpoints to probe, at most ``max_probes``.

        :param endpoints: endpoints that serve the model; pass the same object until it changes.
        """
        if endpoints is not self.placement.endpoints:
            self.placement.change(endpoints)
        if not endpoints:
            return []
        found: dict[str, None] = {}
        for position in level_positions(len(chain), self.max_probes):
            found[self.placement.nth(chain[position], 0)] = None
        for endpoint in self.placement.top(chain[-1] if chain else b"", self.max_probes):
            if len(found) < self.max_probes:
                found[endpoint] = None
        return list(found)

    def choose(
        self, chain: Sequence[bytes], prompt_tokens: int, replies: Sequence[ProbeReply], now: float
    ) -> Choice | None:
        """Return the endpoint with the lowest expected time to first token, if any accepts."""
        choices = [
            self._choice(chain, prompt_tokens, reply) for reply in replies if reply.accepting
        ]
        return min(choices, key=lambda choice: choice.expected_s, default=None)

    def _choice(self, chain: Sequence[bytes], prompt_tokens: int, reply: ProbeReply) -> Choice:
        matched = min(reply.matched_blocks, len(chain))
        missed = prompt_tokens * (1 - matched / len(chain)) if chain else prompt_tokens
        expected_s = reply.wait_ms / 1e3 + missed * reply.prefill_us_per_token / 1e6
        return Choice(reply.endpoint, matched, expected_s, reply.weights, reply.engine_incarnation)

    def handle(self, event: Routed | Finished, now: float) -> list:
        """Learn from a request that was sent or that ended."""
        return []
