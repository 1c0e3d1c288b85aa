"""Load that one request adds to an endpoint."""

from dataclasses import dataclass, field
from functools import partial
from itertools import count

from teaselpath.dispatch._room import ServiceRoom
from teaselpath.dispatch._views import EndpointView


@dataclass(slots=True)
class Reservation:
    """Load reserved for one attempt at an endpoint, from its placement to its end.

    :param pending_prefill_tokens: prompt tokens that the engine has still to prefill.
    :param held_tokens: prompt tokens that it adds to ``Load.held_tokens``.
    :param sent_at: time at which the request is sent to the engine.
    :param room: room at the engines of the service, if requests compete for it.
    :param is_long: whether the request counts there as a long prompt.
    :param backlog_mark: mark of the prompt in the engine's backlog; None if it is not in it.
    :param number: its number among the reservations of this process.
    :param backlog_s: duration by which it was added to the backlog, in seconds.
    """

    view: EndpointView
    pending_prefill_tokens: int = 0
    held_tokens: int = 0
    backlog_mark: float | None = None
    backlog_s: float = 0.0
    number: int = field(default_factory=partial(next, count()))
    sent_at: float = 0.0
    room: ServiceRoom | None = None
    is_long: bool = False

    def begin(self, first_event_at: float | None = None) -> None:
        """Add the request to the endpoint's load.

        :param first_event_at: time by which its first event is expected; None if that is unknown.
        """
        if first_event_at is not None:
            self.view.awaited[self.number] = first_event_at
        own = self.view.own
        own.requests += 1
        own.pending_prefill_tokens += self.pending_prefill_tokens
        own.held_tokens += self.held_tokens

    def mark_prefilled(self, now: float) -> None:
        """Record that the engine has prefilled the prompt."""
        self.view.awaited.pop(self.number, None)
        self.view.own.pending_prefill_tokens -= self.pending_prefill_tokens
        if self.backlog_mark is not None:
            self.view.backlog.mark_done(self.backlog_mark, now)
        self.pending_prefill_tokens, self.backlog_mark = 0, None

    def end(self) -> None:
        """Remove the request from the endpoint's load and cancel its pending prefill."""
        own = self.view.own
        self.view.awaited.pop(self.number, None)
        own.requests -= 1
        own.pending_prefill_tokens -= self.pending_prefill_tokens
        own.held_tokens -= self.held_tokens
        if self.backlog_mark is not None:
            self.view.backlog.cancel(self.backlog_s)
