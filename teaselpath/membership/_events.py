"""Events and actions of the member table."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from teaselpath.membership._member import Member
from teaselpath.wire import ConfigPull, Gossip, SignedRecord


class ListedHost(Protocol):
    """Entry of the platform's host list; ``state`` is ``live`` or ``leaving``."""

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
    """A gossip message arrived from its sender ``gossip.host``."""

    gossip: Gossip


@dataclass(slots=True, frozen=True)
class PullReceived:
    """A peer requested the accepted bundle or the revocations."""

    pull: ConfigPull


@dataclass(slots=True, frozen=True)
class ReplyReceived:
    """A host replied to a message other than gossip."""

    host: str


@dataclass(slots=True, frozen=True)
class ProbeMissed:
    """A host did not reply in time to a message, which need not be a probe.

    :param message_kind: kind of the message without a reply, for example ``probe`` or ``start``.
    """

    host: str
    message_kind: str = "probe"


@dataclass(slots=True, frozen=True)
class LeaveStarted:
    """This process starts its shutdown."""


@dataclass(slots=True, frozen=True)
class ConfigChanged:
    """The accepted bundle or the revocation set of this process changed.

    :param record: accepted record, with the offset up to which it is known to be the accepted one.
    :param revocations: signed revocations.
    :param has_gap: whether the accepted record is unconfirmed because the log was trimmed.
    """

    record: SignedRecord | None
    version: int
    digest: bytes
    revocation_digest: bytes
    revocations: Sequence[bytes] = ()
    has_gap: bool = False


@dataclass(slots=True, frozen=True)
class RevocationAdded:
    """A revocation was added that this process did not have yet."""

    data: bytes


@dataclass(slots=True, frozen=True)
class LogChecked:
    """The log was reachable or unreachable at the last access."""

    is_reachable: bool


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """The state or the incarnation of a member changed.

    :param member: member in the table; later events modify this object.
    :param previous: state before the change; empty for a new member.
    :param state: state after the change.
    :param is_restart: whether a known member has a new incarnation.
    """

    member: Member
    previous: str
    state: str
    is_restart: bool = False


MemberEvent = (
    HostList
    | GossipReceived
    | PullReceived
    | ReplyReceived
    | ProbeMissed
    | LeaveStarted
    | ConfigChanged
    | RevocationAdded
    | LogChecked
)
