"""Table of finished attempts, whose buffers are no longer needed."""

from collections import deque
from enum import IntEnum

from teaselpath.results import Ran
from teaselpath.wire import End, Refused


class RequestState(IntEnum):
    """State of one attempt at the agent."""

    QUEUED = 1
    RUNNING = 2
    ENDED = 3
    NOT_RUN = 4


class FinishedRequest:
    """What is kept of a finished attempt: its state and the last message about it."""

    __slots__ = ("answer", "origin", "state", "workspace")

    def __init__(
        self,
        state: RequestState,
        workspace: str,
        answer: End | Refused,
        origin: tuple[str, int, int],
    ) -> None:
        self.state = state
        self.workspace = workspace
        self.answer = answer
        self.origin = origin

    @property
    def ran(self) -> Ran:
        """Whether the attempt ran."""
        return Ran(self.answer.ran) if isinstance(self.answer, End) else Ran.NOT_RUN


class FinishedTable:
    """Finished and fenced attempts, bounded in age and number.

    Each entry numbers its starts. When an attempt is removed, the floor of its entry rises to the
    attempt's number. A start or fence at or below the floor may belong to a removed attempt, so it
    is answered with "unknown" and never runs. The floors take one pair of numbers per entry host.

    :param retention_s: how long an attempt is kept, in seconds.
    :param max_count: maximum number of attempts that are kept.
    """

    def __init__(self, retention_s: float, max_count: int) -> None:
        self.retention_s = retention_s
        self.max_count = max_count
        self.requests: dict[tuple[str, int], FinishedRequest] = {}
        self.floors: dict[str, tuple[int, int]] = {}
        self._expiry_queue: deque[tuple[float, tuple[str, int]]] = deque()

    def add(self, key: tuple[str, int], request: FinishedRequest, now: float) -> None:
        """Record an attempt until its retention ends."""
        self.requests[key] = request
        self._expiry_queue.append((now + self.retention_s, key))

    def expire(self, now: float) -> list[tuple[tuple[str, int], FinishedRequest]]:
        """Remove and return the attempts that exceed the retention or the maximum number."""
        expired = []
        while self._expiry_queue and (
            self._expiry_queue[0][0] <= now or len(self.requests) > self.max_count
        ):
            key = self._expiry_queue.popleft()[1]
            request = self.requests.pop(key)
            host, incarnation, sequence = request.origin
            self.floors[host] = max(self.floors.get(host, (0, 0)), (incarnation, sequence))
            expired.append((key, request))
        return expired

    def is_below_floor(self, origin: tuple[str, int, int]) -> bool:
        """Whether a start with this origin may have been recorded and removed."""
        host, incarnation, sequence = origin
        return sequence <= 0 or (incarnation, sequence) <= self.floors.get(host, (0, 0))
