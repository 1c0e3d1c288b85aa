"""Requests that wait for an endpoint.

Answers bursts of long prompts on engines that read one prompt after the other: a long prompt waits
at the gateway while every engine still has much to read, so that short requests, which go to an
engine at once, wait behind one long prompt at most. A request that would wait past its deadline is
refused when it arrives.
"""

from dataclasses import dataclass
from itertools import count

# Part of a request's remaining time that may pass in the queue.
WAIT_PART = 0.5


@dataclass(slots=True)
class Ticket:
    """A waiting request.

    :param service: service that it waits for.
    :param rank: priority; 0 goes first.
    :param tokens: prompt tokens that an engine will have to read.
    :param deadline: event loop time at which nobody waits any more.
    """

    service: str
    rank: int
    tokens: int
    deadline: float
    number: int = 0


class WaitingRoom:
    """Waiting requests in the order in which they are tried."""

    def __init__(self) -> None:
        self.tickets: dict[int, Ticket] = {}
        self.numbers = count(1)

    def has_before(self, ticket: Ticket) -> bool:
        """Return whether requests of the same service go before this new one."""
        return any(
            t.service == ticket.service and t.rank <= ticket.rank for t in self.tickets.values()
        )

    def expected_wait_s(self, ticket: Ticket, backlog_tokens: int, tokens_per_s: float) -> float:
        """Return the expected wait of a new request.

        :param backlog_tokens: tokens that the engines still have to read.
        :param tokens_per_s: tokens that all engines together read in a second.
        """
        ahead = backlog_tokens + sum(
            t.tokens
            for t in self.tickets.values()
            if t.service == ticket.service and t.rank <= ticket.rank
        )
        return ahead / tokens_per_s if tokens_per_s > 0 else float("inf")

    def is_hopeless(
        self, ticket: Ticket, backlog_tokens: int, tokens_per_s: float, now: float
    ) -> bool:
        """Return whether a new request would wait past its deadline."""
        wait_s = self.expected_wait_s(ticket, backlog_tokens, tokens_per_s)
        return wait_s > WAIT_PART * (ticket.deadline - now)

    def join(self, ticket: Ticket) -> None:
        """Add a request at the end of its rank."""
        ticket.number = next(self.numbers)
        self.tickets[ticket.number] = ticket

    def leave(self, ticket: Ticket) -> None:
        """Remove a request that was placed, refused or given up."""
        self.tickets.pop(ticket.number, None)

    def in_order(self) -> list[Ticket]:
        """Return the waiting requests, the next one to try first."""
        return sorted(self.tickets.values(), key=lambda t: (t.rank, t.number))
