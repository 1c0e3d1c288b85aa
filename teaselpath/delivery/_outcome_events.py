"""Events and actions of :class:`RequestOutcome`."""

from enum import StrEnum

import msgspec

from teaselpath.delivery._assembler import Completed
from teaselpath.wire import Cancelled, Refused


class Outcome(StrEnum):
    """Terminal outcome of a request.

    ``NOT_RUN`` means that every attempt is proven not run, ``FAILED`` that an attempt ran.
    """

    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Routed(msgspec.Struct, frozen=True):
    """An agent was chosen for the attempt of the last ``RouteRequested``."""

    host: str
    agent_incarnation: int


class NoRoute(msgspec.Struct, frozen=True):
    """No agent can accept the attempt, or the retry budget is empty."""

    code: int
    detail: str = ""
    retry_after_ms: int = 0


class AgentReply(msgspec.Struct, frozen=True):
    """An agent refused an attempt or replied to a cancel."""

    host: str
    message: Refused | Cancelled


class Delivered(msgspec.Struct, frozen=True):
    """The caller received the first bytes of an attempt."""

    attempt: int


class StreamCompleted(msgspec.Struct, frozen=True):
    """The stream of an attempt completed, or violated the protocol."""

    attempt: int
    completed: Completed


class AgentLost(msgspec.Struct, frozen=True):
    """The agent process ended: it was removed from the member table or has a new incarnation."""

    host: str


class StopRequested(msgspec.Struct, frozen=True):
    """The request must be cancelled.

    :param code: CALLER_GONE, KEY_WITHDRAWN, REQUEST_TIMEOUT or STOPPING.
    """

    code: int


class RouteRequested(msgspec.Struct, frozen=True):
    """Choose an agent and reply with ``Routed`` or ``NoRoute``.

    :param excluded: hosts of the earlier attempts.
    :param is_continuation: whether the attempt continues the delivered text.
    """

    attempt: int
    excluded: tuple[str, ...] = ()
    is_continuation: bool = False


class SendStart(msgspec.Struct, frozen=True):
    """Send ``Start`` once and open an assembler for the attempt."""

    host: str
    attempt: int
    agent_incarnation: int


class SendCancel(msgspec.Struct, frozen=True):
    """Send ``Cancel`` with ``fence`` set.

    It carries the agent incarnation, entry incarnation and sequence number of the attempt's
    ``Start``.
    """

    host: str
    attempt: int
    agent_incarnation: int


class Finished(msgspec.Struct, frozen=True):
    """The request ended.

    :param ran: whether any attempt ran; ``not_run`` only if that is proven for each attempt.
    """

    outcome: Outcome
    code: int
    ran: str
    detail: str = ""
    retry_after_ms: int = 0


OutcomeEvent = (
    Routed | NoRoute | AgentReply | Delivered | StreamCompleted | AgentLost | StopRequested
)
OutcomeAction = RouteRequested | SendStart | SendCancel | Finished
