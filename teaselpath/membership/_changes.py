"""Changes of a member caused by the host list, by gossip or by timeouts."""

from teaselpath.membership._events import ListedHost
from teaselpath.membership._member import Member
from teaselpath.wire import MemberDelta

# A leaving state in the host list is ignored for this long after a restart, because it may be about
# the previous process: the list lags by up to 30 s.
HOST_LIST_LAG_S = 60.0
# A suspect that does not reply within this time is marked as gone.
SUSPECT_TIMEOUT_S = 30.0
# A host that is not in the host list is marked as gone this long after its removal from the list or
# its last contact, whichever is later.
UNLISTED_TIMEOUT_S = 60.0


def apply_listed(member: Member, entry: ListedHost, now: float) -> None:
    """Apply an entry of the host list."""
    member.is_listed = True
    member.unlisted_since = None
    if now >= member.list_trusted_at:
        member.copy_address(entry)
    if entry.state == "leaving" and now >= member.list_trusted_at:
        member.is_listed_leaving = True


def apply_delta(member: Member, delta: MemberDelta, now: float) -> None:
    """Apply a delta from a peer.

    Suspicions about the known incarnation are not applied: the member table records them as missed
    replies instead.
    """
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
    """Record that the process was restarted."""
    member.start_incarnation(incarnation, now + HOST_LIST_LAG_S)


def mark_leaving(member: Member) -> None:
    """Record that the process announced its shutdown."""
    member.has_declared_leaving = True


def mark_gone(member: Member) -> None:
    """Record that the member is gone, because it is unreachable or unlisted."""
    member.is_gone = True


def has_timed_out(member: Member, now: float) -> bool:
    """Return whether the member has been unreachable or unlisted for long enough to be gone."""
    if member.is_suspect and now >= member.suspect_at + SUSPECT_TIMEOUT_S:
        return True
    if member.unlisted_since is None:
        return False
    return now >= max(member.unlisted_since, member.last_contact_at) + UNLISTED_TIMEOUT_S
