"""How long requests take now, from those that have ended lately and those that are in flight."""

from collections import deque
from collections.abc import Hashable

# Requests that ended within this time count, in seconds, and their largest number for each kind.
SAMPLE_WINDOW_S = 10.0
MAX_SAMPLES = 64


class ServiceTimes:
    """Times from arrival to the end of requests, by kind of request.

    :ivar ended: end and duration of the last requests of each kind, in seconds.
    :ivar running: arrival of the requests in flight of each kind, by number.
    """

    __slots__ = ("ended", "number", "running")

    def __init__(self) -> None:
        self.ended: dict[Hashable, deque[tuple[float, float]]] = {}
        self.running: dict[Hashable, dict[int, float]] = {}
        self.number = 0

    def begin(self, kind: Hashable, now: float) -> int:
        """Record the arrival of a request; return its number."""
        self.number += 1
        self.running.setdefault(kind, {})[self.number] = now
        return self.number

    def end(self, kind: Hashable, number: int, now: float, *, was_sent: bool) -> None:
        """Record the end of a request.

        :param was_sent: whether an endpoint worked on it; others say nothing about the time.
        """
        running = self.running[kind]
        began_at = running.pop(number)
        if not running:
            del self.running[kind]
        if was_sent:
            ended = self.ended.setdefault(kind, deque(maxlen=MAX_SAMPLES))
            ended.append((now, now - began_at))

    def quantile_s(
        self, kind: Hashable, fraction: float, now: float, *, without: int = 0
    ) -> float | None:
        """Return the time that a fraction of the requests of a kind does not exceed, in seconds.

        Requests in flight count with their age, which they will exceed.

        :param without: number of a request in flight that does not count.
        :returns: None if nothing is known.
        """
        ended = self.ended.get(kind, ())
        samples = [duration for at, duration in ended if now - at <= SAMPLE_WINDOW_S]
        running = self.running.get(kind, {})
        samples += [now - began_at for number, began_at in running.items() if number != without]
        if not samples:
            return None
        samples.sort()
        return samples[min(len(samples) - 1, int(fraction * len(samples)))]
