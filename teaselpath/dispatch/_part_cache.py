"""Index of the prompt parts that an engine or store has cached."""

from collections.abc import Iterable

from teaselpath.fleet import Prompt, PromptPart

# Largest number of confirmed parts recorded per engine or store; the least recently stored are
# discarded first. With more unconfirmed parts than this, those that timed out are discarded.
MAX_PARTS = 4096
# Time for which a part sent to an engine, or to a store whose events are followed, counts as cached
# without an event, in seconds.
PENDING_TIMEOUT_S = 3.0
# Time for which a part sent to a store counts as cached there if this gateway does not receive the
# store's events, in seconds.
UNFOLLOWED_SAVE_TIMEOUT_S = 10.0
# Longest time in which a healthy engine computes and saves a part, in seconds.
MAX_SAVE_S = 1.0


class PartCache:
    """Parts that one engine or store has cached, by scope.

    Parts of different scopes are never shared (weights versions, isolated workspaces).

    :param is_store: whether this is a store, which retains parts longer than an engine.
    :ivar parts: tokens of each part whose caching was confirmed by an event.
    :ivar pending: tokens of each part that was sent and not yet confirmed, and the send time.
    :ivar is_followed: whether this gateway receives the events for stored and evicted parts.
    """

    __slots__ = ("is_followed", "is_store", "parts", "pending")

    def __init__(self, *, is_store: bool = False) -> None:
        self.is_store = is_store
        self.parts: dict[tuple[str, str], int] = {}
        self.pending: dict[tuple[str, str], tuple[int, float]] = {}
        self.is_followed = False

    def record_stored(self, scope: str, part_id: str, tokens: int) -> None:
        """Record that a part is cached with this many tokens."""
        key = (scope, part_id)
        self.pending.pop(key, None)
        self.parts.pop(key, None)
        self.parts[key] = tokens
        if len(self.parts) > MAX_PARTS:
            del self.parts[next(iter(self.parts))]

    def record_evicted(self, scope: str, part_id: str) -> None:
        """Record that a part was evicted."""
        self.parts.pop((scope, part_id), None)

    def clear(self) -> None:
        """Discard all parts."""
        self.parts.clear()
        self.pending.clear()

    def record_expected(self, scope: str, parts: Iterable[PromptPart], now: float) -> None:
        """Record that parts were sent to the engine or store and are about to be cached."""
        for part in parts:
            key = (scope, part.part_id)
            if self.parts.get(key, 0) < part.tokens:
                self.pending[key] = (part.tokens, now)
        if len(self.pending) > MAX_PARTS:
            since = now - self._pending_timeout_s()
            self.pending = {k: v for k, v in self.pending.items() if v[1] > since}

    def _pending_timeout_s(self) -> float:
        return (
            UNFOLLOWED_SAVE_TIMEOUT_S
            if self.is_store and not self.is_followed
            else PENDING_TIMEOUT_S
        )

    def match(self, scope: str, prompt: Prompt, now: float, *, confirmed: bool = False) -> int:
        """Return how many leading tokens of the prompt are cached.

        :param confirmed: count only parts confirmed by an event or, for a store whose events are
            not followed, sent at least ``MAX_SAVE_S`` ago.
        """
        total = 0
        for part in prompt.parts:
            key = (scope, part.part_id)
            tokens = self.parts.get(key, 0)
            if key in self.pending:
                expected, sent_at = self.pending[key]
                age_s = now - sent_at
                is_saved = self.is_store and not self.is_followed and age_s >= MAX_SAVE_S
                if age_s < self._pending_timeout_s() and (is_saved or not confirmed):
                    tokens = max(tokens, expected)
            total += min(tokens, part.tokens)
            if tokens < part.tokens:
                break
        return total
