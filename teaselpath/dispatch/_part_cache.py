"""What engines have cached of the prompts."""

from collections.abc import Iterable

from teaselpath.fleet import Prompt, PromptPart

# Cached parts remembered per engine; the least recently stored go first.
MAX_PARTS = 4096
# Time for which a part that was just sent to an engine counts as cached without an event.
PENDING_S = 3.0
# Time for which a store whose events are not followed counts as having a part that was saved there.
SAVED_S = 10.0
# Time that reading and saving a part takes at most on a sound engine, in seconds.
SAVE_S = 1.0


class PartCache:
    """Parts that one engine or store has cached, by scope.

    A scope separates parts that must not be mixed (weights, isolated workspaces).

    :ivar pending: parts that were sent: tokens and the time of the sending.
    :param is_store: whether this is a store, which keeps parts for long.
    :ivar is_followed: whether events tell what is stored and evicted.
    """

    __slots__ = ("is_followed", "is_store", "parts", "pending")

    def __init__(self, *, is_store: bool = False) -> None:
        self.is_store = is_store
        self.parts: dict[tuple[str, str], int] = {}
        self.pending: dict[tuple[str, str], tuple[int, float]] = {}
        self.is_followed = False

    def store(self, scope: str, part_id: str, tokens: int) -> None:
        """Record that a part is cached with this many tokens."""
        key = (scope, part_id)
        self.pending.pop(key, None)
        self.parts.pop(key, None)
        self.parts[key] = tokens
        if len(self.parts) > MAX_PARTS:
            del self.parts[next(iter(self.parts))]

    def evict(self, scope: str, part_id: str) -> None:
        """Record that a part was dropped."""
        self.parts.pop((scope, part_id), None)

    def clear(self) -> None:
        """Forget all parts."""
        self.parts.clear()
        self.pending.clear()

    def record_expected(self, scope: str, parts: Iterable[PromptPart], now: float) -> None:
        """Record that parts are about to be read by the engine."""
        for part in parts:
            key = (scope, part.part_id)
            if self.parts.get(key, 0) < part.tokens:
                self.pending[key] = (part.tokens, now)
        if len(self.pending) > MAX_PARTS:
            since = now - self._pending_s()
            self.pending = {k: v for k, v in self.pending.items() if v[1] > since}

    def _pending_s(self) -> float:
        return SAVED_S if self.is_store and not self.is_followed else PENDING_S

    def match(self, scope: str, prompt: Prompt, now: float, *, confirmed: bool = False) -> int:
        """Return how many leading tokens of the prompt are cached.

        :param confirmed: leave out parts that may not be read yet.
        """
        total = 0
        for part in prompt.parts:
            key = (scope, part.part_id)
            tokens = self.parts.get(key, 0)
            if key in self.pending:
                expected, sent_at = self.pending[key]
                age_s = now - sent_at
                is_saved = self.is_store and not self.is_followed and age_s >= SAVE_S
                if age_s < self._pending_s() and (is_saved or not confirmed):
                    tokens = max(tokens, expected)
            total += min(tokens, part.tokens)
            if tokens < part.tokens:
                break
        return total
