"""Table of finished attempts, whose buffers are no longer needed."""

from collections import deque
from enum import IntEnum

from teaselpath.results import Ran
from teaselpath.wire import End, Refused


class AttemptState(IntEnum):
    """State of one attempt at the agent."""

    QUEUED = 1
    RUNNING = 2
    ENDED = 3
    NOT_RUN = 4


class FinishedAttempt:
    """What is kept of a finished attempt: its state and the last message about it."""

    __slots__ = ("origin", "reply", "state", "workspace")

    def __init__(
        self,
        state: AttemptState,
        workspace: str,
        reply: End | Refused,
        origin: tuple[str, int, int],
    ) -> None:
        self.state = state
        self.workspace = workspace
        self.reply = reply
        self.origin = origin

    @property
    def ran(self) -> Ran:
        """Whether the attempt ran."""
        return Ran(self.reply.ran) if isinstance(self.reply, End) else Ran.NOT_RUN


class FinishedTable:
    """Finished and fenced attempts, bounded in age and number.

    Each entry numbers its starts. When an attempt is removed, the floor of its entry rises to the
    attempt's number. A start or fence at or below the floor may belong to a removed attempt, so
    the reply is "unknown" and it never runs. A floor is a pair of incarnation and sequence number,
    and one is stored per entry host, so the memory for floors is bounded.

    :param retention_s: how long an attempt is kept, in seconds.
    :param max_count: maximum number of attempts that are kept.
    """

    def __init__(self, retention_s: float, max_count: int) -> None:
        self.retention_s = retention_s
        self.max_count = max_count
        self.attempts: dict[tuple[str, int], FinishedAttempt] = {}
        self.floors: dict[str, tuple[int, int]] = {}
        self._expiry_queue: deque[tuple[float, tuple[str, int]]] = deque()

    def add(self, key: tuple[str, int], attempt: FinishedAttempt, now: float) -> None:
        """Record an attempt until its retention ends."""
        self.attempts[key] = attempt
        self._expiry_queue.append((now + self.retention_s, key))

    def expire(self, now: float) -> list[tuple[tuple[str, int], FinishedAttempt]]:
        """Remove and return the attempts that exceed the retention or the maximum number."""
        expired = []
        while self._expiry_queue and (
            self._expiry_queue[0][0] <= now or len(self.attempts) > self.max_count
        ):
            key = self._expiry_queue.popleft()[1]
            attempt = self.attempts.pop(key)
            host, incarnation, sequence = attempt.origin
            self.floors[host] = max(self.floors.get(host, (0, 0)), (incarnation, sequence))
            expired.append((key, attempt))
        return expired

    def is_below_floor(self, origin: tuple[str, int, int]) -> bool:
        """Whether a start with this origin may have been recorded and removed."""
        host, incarnation, sequence = origin
        # A start without a sequence number cannot be compared with the floor.
        return sequence <= 0 or (incarnation, sequence) <= self.floors.get(host, (0, 0))
