"""Group membership: the member table and the gossip between members."""

from teaselpath.membership._events import (
    ConfigChanged,
    GossipReceived,
    HostList,
    LeaveStarted,
    ListedHost,
    LogChecked,
    MemberChanged,
    ProbeMissed,
    PullReceived,
    ReplyReceived,
    RevocationAdded,
)
from teaselpath.membership._member import Member
from teaselpath.membership._table import MemberTable

__all__ = [
    "ConfigChanged",
    "GossipReceived",
    "HostList",
    "LeaveStarted",
    "ListedHost",
    "LogChecked",
    "Member",
    "MemberChanged",
    "MemberTable",
    "ProbeMissed",
    "PullReceived",
    "ReplyReceived",
    "RevocationAdded",
]
