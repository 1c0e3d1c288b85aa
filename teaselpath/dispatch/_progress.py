"""Time limits of an attempt at an endpoint.

Only complete events count as progress of a stream: an endpoint in trouble may send a byte, a
comment or a part of an event now and then. A slow endpoint is not cut off as long as events arrive,
nor is one without events whose request may not run again: its caller waits until the request's
deadline. Without a retry budget an attempt goes on beyond its limits: in an overload, engines are
late but not lost, and giving up their work would serve nobody.
"""

from teaselpath.fleet import RequestKind, Route

# Timeout for the head of the answer and for the first event, as a multiple of the route's target
# latency.
FIRST_EVENT_TIMEOUT_FACTOR = 2.0
# Timeout for a further event, as a multiple of the longest pause that is still on time. Callers
# give up a stream after eight such pauses, or two seconds at least.
STALL_TIMEOUT_FACTOR = 4.0
# Shortest timeout of a stream, in seconds: a sound endpoint may be silent for a second or two and
# go on, and would still work on a stream that has gone on elsewhere.
MIN_STREAM_TIMEOUT_S = 2.1
# Callers abandon a stream, also before its first event, after the longest of three gaps: this one,
# in seconds, and multiples of the route's target latency and of the longest pause on time.
MIN_CALLER_GAP_S = 2.0
CALLER_LATENCY_FACTOR = 4.0
CALLER_PAUSE_FACTOR = 8.0
# Interval at which an attempt that has exceeded its limit checks whether the retry budget allows to
# send the request elsewhere, in seconds.
RETRY_CHECK_INTERVAL_S = 0.25


def caller_gap_limit_s(route: Route) -> float:
    """Return the time without an event after which a caller leaves, in seconds.

    It is infinite unless the route's answers are streams: callers wait until the deadline.
    """
    if route.kind is not RequestKind.STREAM:
        return float("inf")
    return max(
        MIN_CALLER_GAP_S,
        CALLER_LATENCY_FACTOR * route.target_latency_s,
        CALLER_PAUSE_FACTOR * route.event_gap_s,
    )


class AttemptLimits:
    """Time limits of one attempt.

    :param runs: attempts that ran or may have run before this one.
    :param started_at: time at which the attempt began, in seconds.
    :param deadline: time at which the request ends.
    :ivar progress_deadline: time until which the answer, or the next event, has to arrive.
    """

    __slots__ = ("can_run_again", "deadline", "progress_deadline", "route")

    def __init__(self, route: Route, runs: int, started_at: float, deadline: float):
        self.route = route
        self.deadline = deadline
        self.can_run_again = route.is_idempotent and runs + 1 < route.max_attempts
        first_s = FIRST_EVENT_TIMEOUT_FACTOR * route.target_latency_s
        if route.kind is RequestKind.STREAM:
            first_s = max(MIN_STREAM_TIMEOUT_S, first_s)
        self.progress_deadline = self._limited(started_at + first_s)

    def record_event(self, now: float) -> None:
        """Record that a complete event has arrived."""
        stall_s = max(MIN_STREAM_TIMEOUT_S, STALL_TIMEOUT_FACTOR * self.route.event_gap_s)
        self.progress_deadline = self._limited(now + stall_s)

    def extend(self, now: float) -> None:
        """Wait on, because the request cannot be sent elsewhere now."""
        self.progress_deadline = min(self.deadline, now + RETRY_CHECK_INTERVAL_S)

    def _limited(self, limit: float) -> float:
        return min(limit, self.deadline) if self.can_run_again else self.deadline
