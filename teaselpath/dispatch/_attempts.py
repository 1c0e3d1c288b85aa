"""Retry decisions after one attempt at an endpoint.

A request that may run at most once is resent only if the previous attempt provably did not run.
"""

from dataclasses import dataclass

from teaselpath.fleet import Route

# Shortest remaining time in which another attempt is worthwhile, in seconds.
MIN_ATTEMPT_S = 0.05


@dataclass(slots=True, frozen=True)
class NotSent:
    """The connection could not be established; nothing was sent."""


@dataclass(slots=True, frozen=True)
class NotRun:
    """The endpoint states that it did not run the request."""

    status: int


@dataclass(slots=True, frozen=True)
class Answered:
    """The endpoint sent a complete answer."""

    status: int


@dataclass(slots=True, frozen=True)
class Broken:
    """The answer was truncated, invalid or did not arrive in time.

    :param is_timeout: whether the attempt timed out.
    """

    is_timeout: bool = False


Outcome = NotSent | NotRun | Answered | Broken


@dataclass(slots=True)
class Progress:
    """Attempts of one request so far.

    :param runs: attempts that ran or may have run.
    :param sends: attempts that were sent.
    """

    runs: int = 0
    sends: int = 0


@dataclass(slots=True, frozen=True)
class Resend:
    """Send the request to another endpoint.

    :param is_retry: whether the request was already sent to an endpoint.
    """

    is_retry: bool


@dataclass(slots=True, frozen=True)
class ForwardAnswer:
    """Forward the endpoint's answer to the caller."""


@dataclass(slots=True, frozen=True)
class Refuse:
    """Reply to the caller that the request did not run."""


@dataclass(slots=True, frozen=True)
class Fail:
    """Reply to the caller that the request failed and may have run."""

    status: int


@dataclass(slots=True, frozen=True)
class Cut:
    """Break off the stream of which the caller has received a part."""


# What may follow while the caller has received nothing, and once it has received a part.
FirstStep = Resend | ForwardAnswer | Refuse | Fail
StreamStep = Resend | Cut


def next_step(
    route: Route, outcome: Outcome, progress: Progress, now: float, deadline: float
) -> FirstStep:
    """Return the next step of a request whose caller has received nothing.

    :param outcome: outcome that ``progress`` already includes.
    """
    has_time = deadline - now > MIN_ATTEMPT_S
    can_retry = route.is_idempotent and progress.runs < route.max_attempts
    match outcome:
        case Answered(status) if status < 500:
            return ForwardAnswer()
        case Answered():
            return Resend(True) if can_retry and has_time else ForwardAnswer()
        case NotSent() | NotRun():
            can_send = progress.runs == 0 or can_retry
            if can_send and has_time:
                return Resend(progress.sends > 0)
            return Refuse() if progress.runs == 0 else Fail(502)
        case Broken():
            if can_retry and has_time:
                return Resend(True)
            return Fail(502 if has_time else 504)


def next_stream_step(
    route: Route,
    outcome: Outcome,
    progress: Progress,
    now: float,
    deadline: float,
    *,
    can_resume: bool,
) -> StreamStep:
    """Return the next step of a stream of which the caller has received a part.

    Another endpoint can only continue it; any other answer of that endpoint ends it.

    :param outcome: outcome that ``progress`` already includes.
    :param can_resume: whether another endpoint can be told where the stream goes on.
    """
    if not can_resume:
        return Cut()
    step = next_step(route, outcome, progress, now, deadline)
    return step if isinstance(step, Resend) else Cut()
