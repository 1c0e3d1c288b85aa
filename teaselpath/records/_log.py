"""Bounded in-memory store of decision records."""

from collections import deque
from itertools import islice

from teaselpath.wire import DecisionRecord

DEFAULT_LIMIT = 20_000
DEFAULT_QUEUE_LIMIT = 4096


class DecisionLog:
    """Ring buffer of the newest decision records, indexed by request id and workspace.

    Copies received from another node are added by ``add_copy``, which does not queue them for
    replication.

    :param limit: maximum number of stored records.
    :param queue_limit: maximum number of records that wait for replication; the oldest are dropped.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT, queue_limit: int = DEFAULT_QUEUE_LIMIT) -> None:
        self.limit = limit
        self.queue_limit = queue_limit
        self.ring: deque[DecisionRecord] = deque()
        self.by_request: dict[str, deque[DecisionRecord]] = {}
        self.by_workspace: dict[str, deque[DecisionRecord]] = {}
        self.queue: deque[DecisionRecord] = deque(maxlen=queue_limit)
        self.dropped_copies = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self.ring)

    def add(self, record: DecisionRecord) -> None:
        """Store a record of this node and queue it for replication to a second node."""
        self.add_copy(record)
        if len(self.queue) == self.queue_limit:
            self.dropped_copies += 1
        self.queue.append(record)

    def add_copy(self, record: DecisionRecord) -> None:
        """Store a record of another node; evicts the oldest record when full."""
        if len(self.ring) >= self.limit:
            self._drop_oldest()
        self.ring.append(record)
        self.by_request.setdefault(record.request_id, deque()).append(record)
        self.by_workspace.setdefault(record.workspace, deque()).append(record)

    def for_request(self, request_id: str) -> list[DecisionRecord]:
        """Return the records of a request, oldest first."""
        return list(self.by_request.get(request_id, ()))

    def for_workspace(self, workspace: str, limit: int = 1000) -> list[DecisionRecord]:
        """Return the newest records of a workspace, oldest first."""
        newest = islice(reversed(self.by_workspace.get(workspace, deque())), limit)
        return list(newest)[::-1]

    def pop_pending_copies(self, limit: int) -> list[DecisionRecord]:
        """Remove and return up to ``limit`` records that wait for replication."""
        return [self.queue.popleft() for _ in range(min(limit, len(self.queue)))]

    def _drop_oldest(self) -> None:
        oldest = self.ring.popleft()
        for index, key in (
            (self.by_request, oldest.request_id),
            (self.by_workspace, oldest.workspace),
        ):
            records = index[key]
            records.popleft()
            if not records:
                del index[key]
