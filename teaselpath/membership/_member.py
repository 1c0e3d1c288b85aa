"""One member as this node knows it."""

from dataclasses import dataclass, field

from teaselpath.wire import MemberDelta

# A missed answer counts against a member for this long.
EVIDENCE_S = 15.0
# After a direct answer other nodes' misses are ignored for this long, so that a rumour that is
# still going round does not bring the suspicion back.
REFUTED_S = 5.0
# Missed answers from this many sources make a member suspect.
EVIDENCE_SOURCES = 2
# Sources of this node begin with this; a host name holds no space.
OWN_MISS = "self "

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

    :param incarnation: start of the process; 0 if only the host list names the member.
    :param has_declared_leaving: the process said that it stops.
    :param is_listed_leaving: the host list says that the host stops.
    :param list_trusted_at: instant from which a leaving entry of the host list applies to this
        incarnation; before it the entry may be about the previous one.
    :param unlisted_since: instant from which the host list lacks the host; None while it is listed.
    :param misses: source of a missed answer to the instant until which it counts.
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
        """Whether this node missed an answer itself.

        Only that is told to others: an observation that is passed on would come back to its
        observer as a second one.
        """
        return any(source.startswith(OWN_MISS) for source in self.misses)

    def delta(self) -> MemberDelta:
        """Return what other nodes are told.

        A leaving entry of the host list is not passed on: it names no incarnation, and other nodes
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
        """Take role, place and addresses from a host-list entry or a delta."""
        for name in ADDRESS_FIELDS:
            setattr(self, name, getattr(source, name))

    def start_incarnation(self, incarnation: int, list_trusted_at: float) -> None:
        """Forget what was known about the previous process."""
        self.incarnation = incarnation
        self.has_declared_leaving = False
        self.is_listed_leaving = False
        self.list_trusted_at = list_trusted_at
        self.clear_suspicion()

    def clear_suspicion(self) -> None:
        """Note that the member is reachable."""
        self.is_suspect = False
        self.is_gone = False
        self.misses.clear()

    def add_miss(self, source: str, now: float) -> None:
        """Count a missed answer; two sources make the member suspect."""
        self.misses = {name: until for name, until in self.misses.items() if until > now}
        self.misses[source] = now + EVIDENCE_S
        if len(self.misses) >= EVIDENCE_SOURCES and not self.is_suspect:
            self.is_suspect = True
            self.suspect_at = now
