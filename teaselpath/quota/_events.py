"""Events and actions of the quota core."""

from collections.abc import Sequence
from dataclasses import dataclass

from teaselpath.results import Code
from teaselpath.wire import Message


@dataclass(slots=True, frozen=True)
class WorkspaceQuota:
    """Rate (tokens/s) and burst (tokens) of a workspace."""

    id: str
    rate: float
    burst: float


@dataclass(slots=True, frozen=True)
class LiveEntry:
    """An entry host that may hold shares."""

    host: str
    region: str


@dataclass(slots=True, frozen=True)
class WorkspacesChanged:
    """The accepted bundle has these workspaces; anything with id, rate and burst will do."""

    workspaces: Sequence[WorkspaceQuota]


@dataclass(slots=True, frozen=True)
class LiveEntriesChanged:
    """The entries of the host list that are live."""

    entries: Sequence[LiveEntry]


@dataclass(slots=True, frozen=True)
class TableRecord:
    """A record of the log stream ``shares``; records come in offset order."""

    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ReserveTokens:
    """Reserve tokens, waiting for other homes until the deadline at most."""

    reservation_id: str
    workspace: str
    tokens: float
    deadline: float


@dataclass(slots=True, frozen=True)
class SettleTokens:
    """The request of a reservation ended and used this many tokens."""

    reservation_id: str
    used: float


@dataclass(slots=True, frozen=True)
class FromPeer:
    """A quota message of another node."""

    host: str
    message: Message


@dataclass(slots=True, frozen=True)
class LeaseConfirmed:
    """The stream ``shares`` was read to its end.

    :param started_at: monotonic instant before the read was sent; None stands for now.
    """

    started_at: float | None = None


@dataclass(slots=True, frozen=True)
class LeaveStarted:
    """The process stops after its running requests."""


QuotaEvent = (
    WorkspacesChanged
    | LiveEntriesChanged
    | TableRecord
    | ReserveTokens
    | SettleTokens
    | FromPeer
    | LeaseConfirmed
    | LeaveStarted
)


@dataclass(slots=True, frozen=True)
class Granted:
    """The reservation is charged; it must be settled once."""

    reservation_id: str


@dataclass(slots=True, frozen=True)
class Denied:
    """The reservation is refused and nothing is charged.

    :param retry_after_s: seconds after which the reservation is admitted if nothing else
        arrives; 0 if unknown.
    """

    reservation_id: str
    code: Code
    retry_after_s: float
