"""Queue and virtual-time tags of one workspace."""

from collections import OrderedDict

from teaselpath.scheduling._events import Submit
from teaselpath.scheduling._tags import FlowTags


class Flow(FlowTags):
    """Queued requests of one workspace, in FIFO order within a priority.

    :param weight: weight of the workspace in fair queueing.
    """

    __slots__ = ("backlog", "queues", "running")

    def __init__(self, weight: float) -> None:
        super().__init__(weight)
        self.queues: dict[int, OrderedDict[str, Submit]] = {}
        # Estimated tokens of the queued requests.
        self.backlog = 0.0
        self.running = 0

    @property
    def demand(self) -> float:
        """Number of queued and running requests, divided by the weight."""
        return (self.running + sum(map(len, self.queues.values()))) / self.weight

    def push(self, request: Submit, virtual_time: float) -> None:
        """Queue a request.

        A flow without queued requests restarts at the virtual time or, if later, its finish tag.
        """
        if not self.queues:
            self.activate(virtual_time)
        self.weight = request.weight
        self.queues.setdefault(request.priority, OrderedDict())[request.request_id] = request
        self.backlog += request.tokens

    def remove(self, request: Submit) -> None:
        """Remove a queued request."""
        queue = self.queues[request.priority]
        del queue[request.request_id]
        self.backlog -= request.tokens
        if not queue:
            del self.queues[request.priority]
        if not self.queues:
            self.backlog = 0.0

    def head(self, top_priority: int, now: float) -> Submit | None:
        """Return the next request to run if the flow competes at ``top_priority``, else None.

        Overdue requests compete at the top priority, ordered by ``overdue_at``.
        """
        best: Submit | None = None
        for priority, queue in self.queues.items():
            oldest = next(iter(queue.values()))
            if priority != top_priority and oldest.overdue_at > now:
                continue
            if best is None or oldest.overdue_at < best.overdue_at:
                best = oldest
        return best

    def newest(self) -> Submit:
        """Return the newest request of the lowest priority."""
        return next(reversed(self.queues[max(self.queues)].values()))
