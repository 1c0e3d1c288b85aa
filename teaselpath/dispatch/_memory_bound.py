"""What a gateway knows of others that place requests at the same engines."""

from dataclasses import dataclass

# Time for which the size of an announced request counts, in seconds.
LARGEST_S = 10.0


@dataclass(slots=True, frozen=True)
class MemoryBound:
    """Gateways that share the memory of engines.

    :param host: this gateway.
    :param others: those that may be sending requests, sorted.
    :param heard_fraction: fraction of all, this one included, whose load is known.
    :param is_complete: whether this gateway runs long enough to know of all others.
    """

    host: str
    others: tuple[str, ...]
    heard_fraction: float = 1.0
    is_complete: bool = True


@dataclass(slots=True)
class LargestRequest:
    """The largest request that gateways have announced for an engine lately."""

    size: int = 0
    seen_at: float = float("-inf")

    def record(self, tokens: int, now: float) -> None:
        """Record an announced request."""
        if tokens >= self.tokens(now):
            self.size, self.seen_at = tokens, now

    def tokens(self, now: float) -> int:
        """Return its prompt and output tokens; 0 if there was none."""
        return self.size if now - self.seen_at < LARGEST_S else 0
