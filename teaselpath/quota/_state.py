"""State that the parts of the quota core share."""

from collections import deque
from dataclasses import dataclass, field

from teaselpath.quota._bucket import Bucket
from teaselpath.quota._events import Denied, Granted, LiveEntry, ReserveTokens
from teaselpath.quota._table import ShareTable
from teaselpath.wire import Append, Message, QuotaTransfer, Send

QuotaAction = Granted | Denied | Send | Append

# A borrower may use a loan this long after it sent the last ask that the lender answered. A
# lender takes back what it lent after the guard time in addition, which covers clock drift. A
# long time saves renewals (24 against 31 messages/s per node with 10 s); a short one would let a
# restarted host wait less for a home that does not answer.
LOAN_S = 60.0
LOAN_GUARD_S = 3.0
# A holder that neither read the log nor heard from a peer for this long stops to spend. It is
# longer than the minutes for which regions lose contact, because a cut region keeps serving.
LEASE_S = 600.0
LEASE_GUARD_S = 60.0


@dataclass(slots=True)
class PeerOffer:
    """What another home could still give when it last answered."""

    tokens: float
    capacity: float
    rate: float
    at: float
    reachable: bool = True

    def tokens_at(self, now: float, burst: float, rate: float) -> float:
        """Return what the peer could give now if nothing else arrived there."""
        accrued = self.tokens + self.rate * rate * max(0.0, now - self.at)
        return min(self.capacity * burst, accrued)


class Share:
    """Share of one workspace at this host.

    ``base``, ``lent`` and ``borrowed`` are fractions of the workspace's rate and burst. In
    fractions, a transfer between hosts that have different bundle versions conserves the sum.
    """

    __slots__ = (
        "asked_at",
        "base",
        "borrowed",
        "bucket",
        "burst",
        "lent",
        "offers",
        "rate",
        "reserved_at",
        "waiting",
        "workspace",
    )

    def __init__(self, workspace: str, now: float) -> None:
        self.workspace = workspace
        self.rate = 0.0
        self.burst = 0.0
        self.base = 0.0
        self.lent: dict[str, float] = {}
        self.borrowed: dict[str, float] = {}
        self.bucket = Bucket(now)
        self.waiting: deque[ReserveTokens] = deque()
        self.offers: dict[str, PeerOffer] = {}
        self.asked_at: dict[str, float] = {}
        self.reserved_at = float("-inf")

    @property
    def own(self) -> float:
        """Fraction that is owned and not lent."""
        return max(0.0, self.base - sum(self.lent.values()))

    @property
    def hold(self) -> float:
        """Fraction that may be spent here."""
        return self.own + sum(self.borrowed.values())

    def refresh(self, now: float) -> None:
        """Fit the bucket to the fraction, rate and burst after a change of one of them."""
        hold = self.hold
        self.bucket.resize(hold * self.burst, hold * self.rate, now)


class PeerLink:
    """Ledger with one other host, for all workspaces.

    As a lender, this host numbers its loans to the peer by ``epoch``; taking back what was lent
    starts a new epoch. As a borrower, it drops the loans of an older (incarnation, epoch) of the
    peer and refuses transfers of it.
    """

    __slots__ = (
        "asks",
        "borrows",
        "confirmed",
        "confirmed_at",
        "epoch",
        "hello_at",
        "host",
        "incarnation",
        "last_contact_at",
        "lender_epoch",
        "lends",
        "next_number",
        "oldest_seen",
        "outbox",
        "resend_at",
        "seen",
        "table",
        "valid_until",
    )

    def __init__(self, host: str) -> None:
        self.host = host
        self.incarnation = 0
        self.table = 0
        self.confirmed = False
        self.confirmed_at = float("-inf")
        # Whether there may be loans to the peer, and from it.
        self.lends = False
        self.borrows = False
        self.epoch = 0
        self.last_contact_at = float("-inf")
        self.hello_at = float("-inf")
        self.resend_at = float("-inf")
        self.outbox: dict[int, QuotaTransfer] = {}
        self.next_number = 1
        self.lender_epoch = 0
        self.valid_until = float("-inf")
        self.oldest_seen = 0
        self.seen: set[int] = set()
        self.asks: dict[int, float] = {}

    def first_sight(self, number: int, oldest: int) -> bool:
        """Return whether a transfer of the peer is new, and remember it.

        :param oldest: lowest number that the peer still resends; lower ones are never accepted.
        """
        if oldest > self.oldest_seen:
            self.oldest_seen = oldest
            self.seen = {known for known in self.seen if known >= oldest}
        if number < self.oldest_seen or number in self.seen:
            return False
        self.seen.add(number)
        return True


@dataclass(slots=True)
class QuotaState:
    """State of the core; ``out`` collects the actions of the current call."""

    host: str
    region: str
    incarnation: int
    now: float = float("-inf")
    started_at: float = float("inf")
    table: ShareTable = field(default_factory=ShareTable)
    # Rate and burst of all workspaces; shares exist where this host is a home.
    quotas: dict[str, tuple[float, float]] = field(default_factory=dict)
    shares: dict[str, Share] = field(default_factory=dict)
    links: dict[str, PeerLink] = field(default_factory=dict)
    live_entries: dict[str, LiveEntry] = field(default_factory=dict)
    lease_until: float = float("-inf")
    log_confirmed: bool = False
    leaving: bool = False
    next_ask_id: int = 1
    ordered_table: int = 0
    ordered_homes: dict[str, list[str]] = field(default_factory=dict)
    # Shares with a queue, and shares with a balance that changed in this call.
    waiting: set[str] = field(default_factory=set)
    changed: set[str] = field(default_factory=set)
    out: list[QuotaAction] = field(default_factory=list)

    def send(self, host: str, message: Message) -> None:
        """Add a message to the actions."""
        self.out.append(Send(host, message))

    def link(self, host: str) -> PeerLink:
        """Return the ledger with a host."""
        found = self.links.get(host)
        if found is None:
            found = self.links[host] = PeerLink(host)
        return found

    def has_valid_lease(self) -> bool:
        """Return whether the lease holds."""
        return self.log_confirmed and self.now <= self.lease_until

    def other_homes(self, workspace: str) -> list[str]:
        """Return the other homes of a workspace, own region first."""
        if self.ordered_table != self.table.number:
            self.ordered_table = self.table.number
            self.ordered_homes.clear()
        found = self.ordered_homes.get(workspace)
        if found is None:
            homes = [host for host in self.table.shareholders(workspace) if host != self.host]
            found = sorted(homes, key=lambda host: self.table.slots[host] != self.region)
            self.ordered_homes[workspace] = found
        return found

    def lenders(self) -> list[str]:
        """Return the hosts that this one borrows from, and forget those that got all back."""
        hosts = {host for share in self.shares.values() for host in share.borrowed}
        for link in self.links.values():
            link.borrows = link.borrows and link.host in hosts
        return sorted(hosts)
