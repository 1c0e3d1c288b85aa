"""What follows after one attempt at an endpoint.

A request that may run only once is sent again only if the attempt provably did not run.
"""

from dataclasses import dataclass

from teaselpath.fleet import Route

# Time that must be left for another attempt to be of use, in seconds.
MIN_ATTEMPT_S = 0.05


@dataclass(slots=True, frozen=True)
class NotSent:
    """No connection: nothing was sent."""


@dataclass(slots=True, frozen=True)
class NotRun:
    """The endpoint says that it did not run the request."""

    status: int


@dataclass(slots=True, frozen=True)
class Answered:
    """A whole answer."""

    status: int


@dataclass(slots=True, frozen=True)
class Broken:
    """The answer broke off, was no valid response or did not come in time.

    :param is_timeout: whether the attempt was given up for its duration.
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
    """Send the request to another endpoint."""

    is_retry: bool


@dataclass(slots=True, frozen=True)
class ForwardAnswer:
    """Pass the endpoint's answer on to the caller."""


@dataclass(slots=True, frozen=True)
class Refuse:
    """Tell the caller that the request did not run."""


@dataclass(slots=True, frozen=True)
class Fail:
    """Tell the caller that the request may have run."""

    status: int


Step = Resend | ForwardAnswer | Refuse | Fail


def next_step(
    route: Route, outcome: Outcome, progress: Progress, now: float, deadline: float
) -> Step:
    """Return what to do after an outcome that is already counted in ``progress``."""
    has_time = deadline - now > MIN_ATTEMPT_S
    may_run_again = route.is_idempotent and progress.runs < route.max_attempts
    match outcome:
        case Answered(status) if status < 500:
            return ForwardAnswer()
        case Answered():
            return Resend(True) if may_run_again and has_time else ForwardAnswer()
        case NotSent() | NotRun():
            may_send = progress.runs == 0 or may_run_again
            if may_send and has_time:
                return Resend(progress.sends > 0)
            return Refuse() if progress.runs == 0 else Fail(502)
        case Broken():
            if may_run_again and has_time:
                return Resend(True)
            return Fail(502 if has_time else 504)
