"""Input events and output actions of the quota core."""

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
    """A live entry of the host list; it may become a shareholder."""

    host: str
    region: str


@dataclass(slots=True, frozen=True)
class WorkspacesChanged:
    """Workspaces of the accepted bundle, as any objects with id, rate and burst."""

    workspaces: Sequence[WorkspaceQuota]


@dataclass(slots=True, frozen=True)
class LiveEntriesChanged:
    """The set of live entries of the host list changed."""

    entries: Sequence[LiveEntry]


@dataclass(slots=True, frozen=True)
class TableRecord:
    """A record of the log stream ``shares``; records are delivered in offset order."""

    offset: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ReserveTokens:
    """Reserve tokens.

    :param deadline: monotonic instant in seconds until which the reservation may wait for tokens.
    """

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
    """A quota message from another node."""

    host: str
    message: Message


@dataclass(slots=True, frozen=True)
class LeaseConfirmed:
    """The stream ``shares`` was read to its end, which renews the lease.

    The lease is the time for which this host may spend its shares.

    :param started_at: monotonic instant before the read request was sent; None means now.
    """

    started_at: float | None = None


@dataclass(slots=True, frozen=True)
class LeaveStarted:
    """The process is draining: it exits when its running requests end."""


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
    """The reservation is charged; it must be settled exactly once."""

    reservation_id: str


@dataclass(slots=True, frozen=True)
class Denied:
    """The reservation is refused and nothing is charged.

    :param retry_after_s: seconds after which the reservation would be granted if no other
        reservations arrive; 0 if unknown or never.
    """

    reservation_id: str
    code: Code
    retry_after_s: float
