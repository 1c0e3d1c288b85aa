"""What engines have cached of the prompts."""

from teaselpath.fleet import Prompt

# Cached parts remembered per engine; the least recently stored go first.
MAX_PARTS = 4096
# Time for which a part that was just sent to an engine counts as cached without an event.
PENDING_S = 3.0


class PartCache:
    """Parts that one engine or store has cached, by scope.

    A scope separates parts that must not be mixed (weights, isolated workspaces).
    """

    __slots__ = ("parts", "pending")

    def __init__(self) -> None:
        self.parts: dict[tuple[str, str], int] = {}
        self.pending: dict[tuple[str, str], tuple[int, float]] = {}

    def store(self, scope: str, part_id: str, tokens: int) -> None:
        """Record that a part is cached with this many tokens."""
        key = (scope, part_id)
        self.pending.pop(key, None)
        self.parts.pop(key, None)
        self.parts[key] = tokens
        if len(self.parts) > MAX_PARTS:
            del self.parts[next(iter(self.parts))]

    def evict(self, scope: str, part_id: str, tokens_left: int) -> None:
        """Record that a part was dropped, or shortened to ``tokens_left``."""
        key = (scope, part_id)
        if tokens_left > 0:
            self.parts[key] = tokens_left
        else:
            self.parts.pop(key, None)

    def clear(self) -> None:
        """Forget all parts."""
        self.parts.clear()
        self.pending.clear()

    def expect(self, scope: str, prompt: Prompt, now: float) -> None:
        """Record that a prompt is about to be read by the engine."""
        for part in prompt.parts:
            key = (scope, part.part_id)
            if self.parts.get(key, 0) < part.tokens:
                self.pending[key] = (part.tokens, now + PENDING_S)
        if len(self.pending) > MAX_PARTS:
            self.pending = {k: v for k, v in self.pending.items() if v[1] > now}

    def match(self, scope: str, prompt: Prompt, now: float, *, confirmed: bool = False) -> int:
        """Return how many leading tokens of the prompt are cached.

        :param confirmed: leave out parts that are only expected.
        """
        total = 0
        for part in prompt.parts:
            key = (scope, part.part_id)
            tokens = self.parts.get(key, 0)
            if not confirmed and key in self.pending:
                expected, until = self.pending[key]
                if until > now:
                    tokens = max(tokens, expected)
            total += min(tokens, part.tokens)
            if tokens < part.tokens:
                break
        return total
