"""Events and actions of the outcome of one request at the entry."""

from enum import StrEnum

import msgspec

from teaselpath.delivery._assembler import Completed
from teaselpath.wire import Cancelled, Refused


class Outcome(StrEnum):
    """Terminal outcome of a request.

    ``NOT_RUN`` is proven for all attempts. ``FAILED`` means that an attempt ran.
    """

    SERVED = "served"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Routed(msgspec.Struct, frozen=True):
    """An agent was chosen for the attempt that ``RouteRequested`` asked for."""

    host: str
    agent_incarnation: int


class NoRoute(msgspec.Struct, frozen=True):
    """No agent can take the attempt, or the retry budget is empty."""

    code: int
    detail: str = ""
    retry_after_ms: int = 0


class AgentReply(msgspec.Struct, frozen=True):
    """An agent refused an attempt or answered a cancel."""

    host: str
    message: Refused | Cancelled


class Delivered(msgspec.Struct, frozen=True):
    """The caller got the first bytes of an attempt."""

    attempt: int


class StreamCompleted(msgspec.Struct, frozen=True):
    """The assembler of an attempt completed, or its stream broke the protocol."""

    attempt: int
    completed: Completed


class AgentLost(msgspec.Struct, frozen=True):
    """The agent process is gone: dropped from the members, or seen with a new incarnation."""

    host: str


class StopRequested(msgspec.Struct, frozen=True):
    """The request must end: CALLER_GONE, KEY_WITHDRAWN, REQUEST_TIMEOUT or STOPPING."""

    code: int


class RouteRequested(msgspec.Struct, frozen=True):
    """Choose an agent and answer ``Routed`` or ``NoRoute``.

    :param excluded: hosts that refused or failed the request.
    :param is_continuation: whether the attempt goes on from the text that was delivered.
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
    """Send ``Cancel`` with fence and with the numbers of the attempt's ``Start``."""

    host: str
    attempt: int
    agent_incarnation: int


class Finished(msgspec.Struct, frozen=True):
    """The request is over.

    :param ran: whether any attempt ran; ``not_run`` only if it is proven for each of them.
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
