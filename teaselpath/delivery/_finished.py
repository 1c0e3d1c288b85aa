"""Memory of ids that need no buffer any more."""

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
    """What is left of an attempt: whether it ran, and its last answer."""

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


class FinishedMemory:
    """Finished and fenced attempts, for a bounded time and number.

    Each entry numbers its starts. When an attempt is forgotten, the floor of its entry rises to the
    attempt's number. A start or fence at or below the floor may have been known before, so it gets
    the answer "unknown" and never runs. The floors need one pair of numbers per entry host.

    :param retention_s: time that an attempt is remembered, in seconds.
    :param max_count: attempts that are remembered at most.
    """

    def __init__(self, retention_s: float, max_count: int) -> None:
        self.retention_s = retention_s
        self.max_count = max_count
        self.requests: dict[tuple[str, int], FinishedRequest] = {}
        self.floors: dict[str, tuple[int, int]] = {}
        self._forget_at: deque[tuple[float, tuple[str, int]]] = deque()

    def add(self, key: tuple[str, int], request: FinishedRequest, now: float) -> None:
        """Remember an attempt until its retention ends."""
        self.requests[key] = request
        self._forget_at.append((now + self.retention_s, key))

    def forget(self, now: float) -> list[tuple[tuple[str, int], FinishedRequest]]:
        """Forget what is too old or too much; return what was forgotten."""
        forgotten = []
        while self._forget_at and (
            self._forget_at[0][0] <= now or len(self.requests) > self.max_count
        ):
            key = self._forget_at.popleft()[1]
            request = self.requests.pop(key)
            host, incarnation, sequence = request.origin
            self.floors[host] = max(self.floors.get(host, (0, 0)), (incarnation, sequence))
            forgotten.append((key, request))
        return forgotten

    def is_forgotten(self, origin: tuple[str, int, int]) -> bool:
        """Whether a start with this origin may have been known and forgotten."""
        host, incarnation, sequence = origin
        return sequence <= 0 or (incarnation, sequence) <= self.floors.get(host, (0, 0))
