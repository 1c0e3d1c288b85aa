"""Members of the system and the gossip between them."""

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
    ReplySeen,
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
    "ReplySeen",
    "RevocationAdded",
]
