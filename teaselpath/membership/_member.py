"""State of a member as known to this node."""

from dataclasses import dataclass, field

from teaselpath.wire import MemberDelta

# A missed reply counts as evidence against a member for this long.
MISS_LIFETIME_S = 15.0
# Suspicions from other nodes are ignored for this long after a direct contact, so that gossip that
# is still in flight does not renew a refuted suspicion.
REFUTATION_GRACE_PERIOD_S = 5.0
# Missed replies reported by at least this many sources make a member suspect.
MIN_SUSPICION_SOURCES = 2
# Prefix of the source names for misses of this node itself; the space distinguishes them from host
# names.
OWN_SOURCE_PREFIX = "self "

ADDRESS_FIELDS = (
    "role",
    "region",
    "failure_domain",
    "address",
    "control_port",
    "http_port",
    "curve_public",
    "endpoint",
)


@dataclass(slots=True)
class Member:
    """A node of the system.

    :param incarnation: number of the process start; 0 if only the host list names the member.
    :param has_declared_leaving: whether the process announced its shutdown.
    :param is_listed_leaving: whether the host list marks the host as leaving.
    :param list_trusted_at: time from which a leaving entry of the host list applies to this
        incarnation; an earlier one may be about the previous incarnation.
    :param unlisted_since: time since which the host is not in the host list; None while it is.
    :param misses: expiry time of each missed reply, by source.
    """

    host: str
    role: str = ""
    region: str = ""
    failure_domain: str = ""
    address: str = ""
    control_port: int = 0
    http_port: int = 0
    curve_public: str = ""
    endpoint: str = ""
    incarnation: int = 0
    engine_incarnation: str = ""
    has_declared_leaving: bool = False
    is_listed_leaving: bool = False
    is_suspect: bool = False
    is_gone: bool = False
    is_listed: bool = False
    list_trusted_at: float = 0.0
    unlisted_since: float | None = None
    last_contact_at: float = float("-inf")
    suspect_at: float = 0.0
    gone_at: float = 0.0
    misses: dict[str, float] = field(default_factory=dict)

    @property
    def state(self) -> str:
        """``alive``, ``leaving``, ``suspect`` or ``gone``."""
        if self.is_gone:
            return "gone"
        if self.has_declared_leaving or self.is_listed_leaving:
            return "leaving"
        return "suspect" if self.is_suspect else "alive"

    @property
    def has_own_miss(self) -> bool:
        """Whether a reply that this node itself missed is still recorded.

        Only own misses are gossiped: a forwarded observation would return to its observer and
        count as a second source.
        """
        return any(source.startswith(OWN_SOURCE_PREFIX) for source in self.misses)

    def delta(self) -> MemberDelta:
        """Return the state to send to other nodes.

        A leaving entry of the host list is not forwarded: it has no incarnation, and other nodes
        read the list themselves.
        """
        state = "suspect" if self.is_suspect or self.has_own_miss else "alive"
        if self.has_declared_leaving:
            state = "leaving"
        if self.is_gone:
            state = "gone"
        return MemberDelta(
            self.host,
            self.role,
            self.region,
            self.failure_domain,
            self.address,
            self.control_port,
            self.http_port,
            self.curve_public,
            self.endpoint,
            self.incarnation,
            state,
            self.engine_incarnation,
        )

    def copy_address(self, source: object) -> None:
        """Copy the role, location and addresses of a host-list entry or a delta."""
        for name in ADDRESS_FIELDS:
            setattr(self, name, getattr(source, name))

    def start_incarnation(self, incarnation: int, list_trusted_at: float) -> None:
        """Reset the state that was about the previous process."""
        self.incarnation = incarnation
        self.has_declared_leaving = False
        self.is_listed_leaving = False
        self.list_trusted_at = list_trusted_at
        self.mark_reachable()

    def mark_reachable(self) -> None:
        """Clear the states suspect and gone, and the recorded misses."""
        self.is_suspect = False
        self.is_gone = False
        self.misses.clear()

    def add_miss(self, source: str, now: float) -> None:
        """Record a missed reply; ``MIN_SUSPICION_SOURCES`` sources make the member suspect."""
        self.misses = {name: until for name, until in self.misses.items() if until > now}
        self.misses[source] = now + MISS_LIFETIME_S
        if len(self.misses) >= MIN_SUSPICION_SOURCES and not self.is_suspect:
            self.is_suspect = True
            self.suspect_at = now
