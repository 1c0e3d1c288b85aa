"""Estimate of the pending work of an engine or a link, over the requests of all gateways.

Gateways that share engines exchange their load in status messages. These can be seconds old,
longer than an engine takes to prefill a prompt. Each gateway therefore announces long prompts
as it sends them, and the expected completion time is computed from these announcements.
"""


class Backlog:
    """Work that is processed first in, first out.

    :ivar idle_at: time at which all pending work is expected to be done.
    :ivar added_s: total duration of all work added so far, in seconds.
    """

    __slots__ = ("added_s", "idle_at")

    def __init__(self) -> None:
        self.idle_at = 0.0
        self.added_s = 0.0

    def add(self, work_s: float, now: float) -> float:
        """Add work of this duration and return its mark for ``mark_done``.

        The mark is the total duration of all work added up to and including this one, in seconds.
        """
        self.added_s += work_s
        self.idle_at = max(now, self.idle_at) + work_s
        return self.added_s

    def mark_done(self, mark: float, now: float) -> None:
        """Record that the work with this mark, and all work before it, is done."""
        self.idle_at = min(self.idle_at, now + self.added_s - mark)

    def cancel(self, work_s: float) -> None:
        """Subtract cancelled work from the expected completion time; marks do not change."""
        self.idle_at -= work_s

    def wait_s(self, now: float) -> float:
        """Return the expected queueing time of new work, in seconds."""
        return max(0.0, self.idle_at - now)
