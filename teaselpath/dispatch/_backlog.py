"""Work that an engine or a link has still to do, from what all gateways send to it.

Answers many gateways that share engines: the status of another gateway is up to seconds old, longer
than an engine takes to read a prompt, so each long prompt is made known as it is sent and the time
at which the work is done is counted from there.
"""


class Backlog:
    """Work that is done in the order in which it comes.

    :ivar idle_at: when all work is done.
    :ivar sent_s: all work that was ever added, in seconds.
    """

    __slots__ = ("idle_at", "sent_s")

    def __init__(self) -> None:
        self.idle_at = 0.0
        self.sent_s = 0.0

    def add(self, work_s: float, now: float) -> float:
        """Count work of this length; return a mark for ``mark_done``."""
        self.sent_s += work_s
        self.idle_at = max(now, self.idle_at) + work_s
        return self.sent_s

    def mark_done(self, mark: float, now: float) -> None:
        """Note that the work with this mark, and all before it, is done."""
        self.idle_at = min(self.idle_at, now + self.sent_s - mark)

    def drop(self, work_s: float) -> None:
        """Take back work that will not be done."""
        self.idle_at -= work_s

    def wait_s(self, now: float) -> float:
        """Return the time that new work is expected to wait, in seconds."""
        return max(0.0, self.idle_at - now)
