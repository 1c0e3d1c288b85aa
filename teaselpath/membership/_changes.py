"""Changes of one member by the host list, by gossip and by time."""

from teaselpath.membership._events import ListedHost
from teaselpath.membership._member import Member
from teaselpath.wire import MemberDelta

# The host list lags by up to 30 s; a leaving entry may be about the previous process this long.
HOST_LIST_LAG_S = 60.0
# A suspect that does not answer, or a silent host that the list dropped, is gone after this time.
GONE_AFTER_S = 30.0
UNLISTED_GONE_S = 60.0


def apply_listed(member: Member, entry: ListedHost, now: float) -> None:
    """Take over an entry of the host list."""
    member.is_listed = True
    member.unlisted_since = None
    if now >= member.list_trusted_at:
        member.copy_address(entry)
    if entry.state == "leaving" and now >= member.list_trusted_at:
        member.is_listed_leaving = True


def apply_delta(member: Member, delta: MemberDelta, now: float) -> None:
    """Take over what a peer says."""
    if delta.incarnation > member.incarnation or not member.address:
        member.copy_address(delta)
    if delta.incarnation > member.incarnation:
        start_incarnation(member, delta.incarnation, now)
        member.is_gone = delta.state == "gone"
        member.gone_at = now
    if delta.state == "leaving":
        member.has_declared_leaving = True
    if delta.engine_incarnation:
        member.engine_incarnation = delta.engine_incarnation


def start_incarnation(member: Member, incarnation: int, now: float) -> None:
    """Note that the process was replaced."""
    member.start_incarnation(incarnation, now + HOST_LIST_LAG_S)


def declare_leaving(member: Member) -> None:
    """Note that the process said that it stops."""
    member.has_declared_leaving = True


def declare_gone(member: Member) -> None:
    """Note that the member does not answer."""
    member.is_gone = True


def is_silent(member: Member, now: float) -> bool:
    """Return whether the member counts as gone."""
    if member.is_suspect and now >= member.suspect_at + GONE_AFTER_S:
        return True
    if member.unlisted_since is None:
        return False
    return now >= max(member.unlisted_since, member.last_contact_at) + UNLISTED_GONE_S
