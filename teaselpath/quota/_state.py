"""State shared by the components of the quota core."""

from collections import deque
from dataclasses import dataclass, field

from teaselpath.quota._bucket import Bucket
from teaselpath.quota._events import Denied, Granted, LiveEntry, ReserveTokens
from teaselpath.quota._table import ShareTable
from teaselpath.wire import Append, Message, QuotaTransfer, Send

QuotaAction = Granted | Denied | Send | Append

# A borrower may use a loan for this long after it sent the last ask that the lender answered. The
# lender reclaims the loan after an additional guard time, which covers clock drift. A long duration
# saves renewals (31 messages/s per node with 10 s, 24 with 60 s); a short one would shorten the
# wait of a restarted host for a shareholder that does not answer.
LOAN_S = 60.0
LOAN_GUARD_S = 3.0
# A shareholder that has neither read the log nor got a receipt from a peer for this long stops
# spending. The lease is longer than usual partitions between regions, which last minutes, because a
# partitioned region keeps serving.
LEASE_S = 600.0
# Additional time after which the slot of an absent host may be reassigned.
LEASE_GUARD_S = 60.0


@dataclass(slots=True)
class PeerOffer:
    """What another shareholder could still lend when it last answered.

    ``tokens`` counts tokens, but ``capacity`` and ``rate`` are fractions of the workspace's burst
    and rate.
    """

    tokens: float
    capacity: float
    rate: float
    received_at: float
    reachable: bool = True

    def tokens_at(self, now: float, burst: float, rate: float) -> float:
        """Return the tokens that the peer could lend now if nothing was spent there since."""
        accrued = self.tokens + self.rate * rate * max(0.0, now - self.received_at)
        return min(self.capacity * burst, accrued)


class Share:
    """Share of one workspace at this host.

    ``base`` is the owned fraction of the workspace's rate and burst; ``lent`` and ``borrowed`` hold
    such fractions by host. Using fractions, a transfer between hosts with different bundle versions
    conserves the total.
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
        # Time of the unanswered ask by host, and of the last granted reservation.
        self.asked_at: dict[str, float] = {}
        self.reserved_at = float("-inf")

    @property
    def lendable_fraction(self) -> float:
        """Fraction that is owned and not lent."""
        return max(0.0, self.base - sum(self.lent.values()))

    @property
    def spendable_fraction(self) -> float:
        """Fraction that may be spent here: owned and not lent, or borrowed."""
        return self.lendable_fraction + sum(self.borrowed.values())

    def refresh(self, now: float) -> None:
        """Resize the bucket after a change of the fraction, rate or burst."""
        fraction = self.spendable_fraction
        self.bucket.resize(fraction * self.burst, fraction * self.rate, now)


class PeerLink:
    """Ledger with one other host, for all workspaces.

    As a lender, this host marks its loans to the peer with ``epoch``, and increments it when it
    reclaims them. As a borrower, it discards loans of an older incarnation or epoch of the peer
    than the latest known (``incarnation``, ``lender_epoch``), and rejects their transfers.
    """

    __slots__ = (
        "accepted_numbers",
        "ask_times",
        "confirmed",
        "confirmed_at",
        "epoch",
        "has_loans_from_peer",
        "has_loans_to_peer",
        "host",
        "incarnation",
        "last_contact_at",
        "last_receipt_request_at",
        "last_sent_at",
        "lender_epoch",
        "next_number",
        "oldest_accepted",
        "outbox",
        "table",
        "valid_until",
    )

    def __init__(self, host: str) -> None:
        self.host = host
        self.incarnation = 0
        # Highest table number received from the peer, whether the peer answered a request for a
        # receipt, and when it last did.
        self.table = 0
        self.confirmed = False
        self.confirmed_at = float("-inf")
        # Whether loans to the peer, and from it, may exist.
        self.has_loans_to_peer = False
        self.has_loans_from_peer = False
        self.epoch = 0
        # Time of the peer's last ask or of the last loan to it; the loans to the peer end
        # ``LOAN_S + LOAN_GUARD_S`` later.
        self.last_contact_at = float("-inf")
        self.last_receipt_request_at = float("-inf")
        self.last_sent_at = float("-inf")
        self.outbox: dict[int, QuotaTransfer] = {}
        self.next_number = 1
        self.lender_epoch = 0
        # Time until which loans from the peer may be used.
        self.valid_until = float("-inf")
        self.oldest_accepted = 0
        self.accepted_numbers: set[int] = set()
        self.ask_times: dict[int, float] = {}

    def record_if_new(self, number: int, oldest: int) -> bool:
        """Return whether a transfer of the peer is new, and record its number.

        :param oldest: lowest number that the peer still resends; lower ones are not accepted.
        """
        if oldest > self.oldest_accepted:
            self.oldest_accepted = oldest
            self.accepted_numbers = {known for known in self.accepted_numbers if known >= oldest}
        if number < self.oldest_accepted or number in self.accepted_numbers:
            return False
        self.accepted_numbers.add(number)
        return True


@dataclass(slots=True)
class QuotaState:
    """State of the core; ``actions`` collects the output of the current call."""

    host: str
    region: str
    incarnation: int
    now: float = float("-inf")
    # Time of the first event or tick.
    started_at: float = float("inf")
    table: ShareTable = field(default_factory=ShareTable)
    # Rate and burst of all workspaces; shares only of those of which this host is a shareholder.
    quotas: dict[str, tuple[float, float]] = field(default_factory=dict)
    shares: dict[str, Share] = field(default_factory=dict)
    links: dict[str, PeerLink] = field(default_factory=dict)
    live_entries: dict[str, LiveEntry] = field(default_factory=dict)
    lease_until: float = float("-inf")
    # Whether this process has read the log to its end at least once.
    has_read_log: bool = False
    leaving: bool = False
    next_ask_id: int = 1
    # Cache of ``other_shareholders`` for the table with number ``sorted_for_table``.
    sorted_for_table: int = 0
    sorted_shareholders: dict[str, list[str]] = field(default_factory=dict)
    # Workspaces with queued reservations, and those to serve at the end of this call.
    waiting: set[str] = field(default_factory=set)
    changed: set[str] = field(default_factory=set)
    actions: list[QuotaAction] = field(default_factory=list)

    def send(self, host: str, message: Message) -> None:
        """Add a message to the actions."""
        self.actions.append(Send(host, message))

    def link(self, host: str) -> PeerLink:
        """Return the ledger with a host."""
        found = self.links.get(host)
        if found is None:
            found = self.links[host] = PeerLink(host)
        return found

    def has_valid_lease(self) -> bool:
        """Return whether this host may spend its shares.

        It may once it has read the log, and until its lease expires.
        """
        return self.has_read_log and self.now <= self.lease_until

    def other_shareholders(self, workspace: str) -> list[str]:
        """Return the other shareholders of a workspace, those of the own region first."""
        if self.sorted_for_table != self.table.number:
            self.sorted_for_table = self.table.number
            self.sorted_shareholders.clear()
        found = self.sorted_shareholders.get(workspace)
        if found is None:
            shareholders = [
                host for host in self.table.shareholders(workspace) if host != self.host
            ]
            found = sorted(shareholders, key=lambda host: self.table.slots[host] != self.region)
            self.sorted_shareholders[workspace] = found
        return found

    def lenders(self) -> list[str]:
        """Return the hosts that this one borrows from; clear the loan flag of all others."""
        hosts = {host for share in self.shares.values() for host in share.borrowed}
        for link in self.links.values():
            link.has_loans_from_peer = link.has_loans_from_peer and link.host in hosts
        return sorted(hosts)
