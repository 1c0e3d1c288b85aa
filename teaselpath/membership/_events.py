"""Events and actions of the member table."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from teaselpath.membership._member import Member
from teaselpath.wire import ConfigPull, Gossip, SignedRecord


class ListedHost(Protocol):
    """An entry of the platform's host list; ``state`` is ``live`` or ``leaving``."""

    host: str
    role: str
    region: str
    failure_domain: str
    address: str
    control_port: int
    http_port: int
    curve_public: str
    endpoint: str
    state: str


@dataclass(slots=True, frozen=True)
class HostList:
    """The host list was read."""

    hosts: Sequence[ListedHost]


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """A gossip message arrived from the host that it names."""

    gossip: Gossip


@dataclass(slots=True, frozen=True)
class PullReceived:
    """A peer asks for the accepted bundle or for revocations."""

    pull: ConfigPull


@dataclass(slots=True, frozen=True)
class ReplySeen:
    """A host answered a message other than gossip."""

    host: str


@dataclass(slots=True, frozen=True)
class ProbeMissed:
    """A host did not answer in time.

    :param path: the kind of message that was not answered, for example ``probe`` or ``start``.
    """

    host: str
    path: str = "probe"


@dataclass(slots=True, frozen=True)
class LeaveStarted:
    """This process begins to stop."""


@dataclass(slots=True, frozen=True)
class ConfigChanged:
    """The accepted bundle or the revocation set of this process changed.

    :param record: the accepted record, with the offset up to which it is known to be the accepted.
    :param revocations: the signed revocations.
    :param has_gap: whether the accepted record is in doubt because the log was trimmed.
    """

    record: SignedRecord | None
    version: int
    digest: bytes
    revocation_digest: bytes
    revocations: Sequence[bytes] = ()
    has_gap: bool = False


@dataclass(slots=True, frozen=True)
class RevocationAdded:
    """A revocation was new to this process."""

    data: bytes


@dataclass(slots=True, frozen=True)
class LogChecked:
    """The log answered, or failed to."""

    is_reachable: bool


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """The state or the incarnation of a member changed.

    :param member: the member in the table, which changes further.
    :param previous: state before; empty for a new member.
    :param state: state after the change.
    :param is_restart: whether the incarnation is a new one.
    """

    member: Member
    previous: str
    state: str
    is_restart: bool = False


MemberEvent = (
    HostList
    | GossipReceived
    | PullReceived
    | ReplySeen
    | ProbeMissed
    | LeaveStarted
    | ConfigChanged
    | RevocationAdded
    | LogChecked
)
