"""Queue and virtual-time tags of one workspace."""

from collections import OrderedDict

from teaselpath.scheduling._events import Submit


class Flow:
    """Queued requests of one workspace, in FIFO order within a priority.

    :param weight: weight of the workspace in fair queueing.
    """

    __slots__ = ("backlog", "finish_tag", "queues", "running", "start_tag", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.queues: dict[int, OrderedDict[str, Submit]] = {}
        # Estimated tokens of the queued requests.
        self.backlog = 0.0
        self.running = 0
        self.start_tag = 0.0
        self.finish_tag = 0.0

    @property
    def demand(self) -> float:
        """Number of queued and running requests, divided by the weight."""
        return (self.running + sum(map(len, self.queues.values()))) / self.weight

    def push(self, request: Submit, virtual_time: float) -> None:
        """Queue a request.

        A flow without queued requests restarts at the virtual time or, if later, its finish tag.
        """
        if not self.queues:
            self.start_tag = max(virtual_time, self.finish_tag)
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

    def charge(self, request: Submit) -> None:
        """Advance the tags by the tokens of a request that starts."""
        self.finish_tag = self.start_tag + request.tokens / self.weight
        self.start_tag = self.finish_tag

    def correct(self, token_difference: float) -> None:
        """Advance the tags by the difference between actual and estimated tokens."""
        self.finish_tag += token_difference / self.weight
        self.start_tag += token_difference / self.weight
