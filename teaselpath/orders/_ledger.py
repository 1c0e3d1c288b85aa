"""State machine of load leases, applied to the records in offset order.

Whether a claim is granted depends only on the claim and on the records between its base and its
own offset, so all readers decide alike, wherever they start to read. A claim states how many load
leases may be held as of its base. Each other load claim after the base counts as one more, granted
or not. The number of load leases that are valid at any time is thus at most ``MAX_LOADS``, given
how the end of a lease is computed:

- the holder computes its deadline from a time before the append, so it stops before the lease ends
  by the clock of the log;
- other readers compute it from the age of the record when they read it, which can only make it
  later, and add the grace period.
"""

from collections import OrderedDict
from dataclasses import dataclass

from teaselpath.orders._records import Claim, LoadRecord, Release, Turn, decode_record

# A weights load takes about 1 s; more concurrent loads than this slow each other down.
MAX_LOADS = 3
# Time limit for an order from the sending of its claim, with a margin for a slow weight store.
LEASE_S = 30.0
# Other readers count a lease for this much longer than its holder may use it, because the holder
# may be paused between the check of its deadline and the sending of the order.
LEASE_GRACE_PERIOD_S = 10.0
# Claims and turns with an older base are invalid, which bounds the records a reader must store.
MAX_WINDOW_RECORDS = 1000


@dataclass(slots=True)
class Lease:
    """A lease from the view of other processes.

    :param ends_at: time from which it is no longer counted, grace period included.
    """

    claim: Claim
    offset: int
    ends_at: float


class LoadLedger:
    """Leases and senders according to the records read so far."""

    def __init__(self) -> None:
        self.last_offset = -1
        self.first_known_offset = 0
        self.complete_at = float("-inf")
        self.claims: OrderedDict[int, Claim] = OrderedDict()
        self.turns: OrderedDict[int, Turn] = OrderedDict()
        self.leases: dict[str, Lease] = {}
        self.terms: dict[str, tuple[int, str]] = {}

    def handle(self, record: LoadRecord, now: float) -> Turn | Claim | Release | None:
        """Apply a record; return it if it is effective."""
        if record.offset <= self.last_offset:
            return None
        if record.offset != self.last_offset + 1:
            # Trimmed records are unknown, so the count of held leases is incomplete until the last
            # lease among them must have ended.
            self.first_known_offset = record.offset
            self.complete_at = now + LEASE_S + LEASE_GRACE_PERIOD_S
        self.last_offset = record.offset
        self._discard_old(now)
        appended_at = now - record.age_ms / 1e3
        match decode_record(record.data):
            case Turn() as turn:
                return self._handle_turn(turn, record.offset)
            case Claim() as claim:
                return self._handle_claim(claim, record.offset, appended_at)
            case Release() as release:
                return self._handle_release(release)
        return None

    def _discard_old(self, now: float) -> None:
        oldest = self.last_offset - MAX_WINDOW_RECORDS
        for window in (self.claims, self.turns):
            while window and next(iter(window)) < oldest:
                window.popitem(last=False)
        if len(self.leases) > MAX_WINDOW_RECORDS:
            self.leases = {key: row for key, row in self.leases.items() if row.ends_at > now}

    def _is_base_known(self, base: int, offset: int) -> bool:
        return self.first_known_offset - 1 <= base < offset and offset - base <= MAX_WINDOW_RECORDS

    def _handle_turn(self, turn: Turn, offset: int) -> Turn | None:
        competing = (
            row
            for at, row in self.turns.items()
            if at > turn.base and row.endpoint == turn.endpoint and row.sender != turn.sender
        )
        is_invalid = offset - turn.base > MAX_WINDOW_RECORDS or next(competing, None) is not None
        self.turns[offset] = turn
        if is_invalid:
            return None
        self.terms[turn.endpoint] = (offset, turn.sender)
        return turn

    def _handle_claim(self, claim: Claim, offset: int, appended_at: float) -> Claim | None:
        is_known = self._is_base_known(claim.base, offset)
        granted = is_known and self._is_granted(claim)
        if claim.load:
            self.claims[offset] = claim
        # The decision is unknown without all records since the base; count the lease as held.
        if granted or not is_known:
            self.leases[claim.lease] = Lease(
                claim, offset, appended_at + LEASE_S + LEASE_GRACE_PERIOD_S
            )
        return claim if granted else None

    def _is_granted(self, claim: Claim) -> bool:
        if not claim.load:
            return True
        competing = {
            row.lease
            for offset, row in self.claims.items()
            if offset > claim.base and row.lease != claim.lease
        }
        return claim.active >= 0 and claim.active + len(competing) < MAX_LOADS

    def _handle_release(self, release: Release) -> Release | None:
        lease = self.leases.get(release.lease)
        if lease is None or lease.claim.endpoint != release.endpoint:
            return None
        del self.leases[release.lease]
        return release

    def count_active_loads(self, now: float) -> int:
        """Return the number of load leases that may be held now."""
        return sum(lease.claim.load and lease.ends_at > now for lease in self.leases.values())

    def is_complete(self, now: float) -> bool:
        """Return whether the records of all leases that may still be held have been read."""
        return now >= self.complete_at

    def latest_turn(self, endpoint: str) -> tuple[int, str]:
        """Return the offset and the sender of the last valid turn for an engine."""
        return self.terms.get(endpoint, (-1, ""))

    def has_lease_of_other_term(self, endpoint: str, term: int, now: float) -> bool:
        """Return whether a lease for an engine may still be held under another term.

        Its holder may have an order in flight to the engine.
        """
        return any(
            row.claim.endpoint == endpoint and row.claim.term != term and row.ends_at > now
            for row in self.leases.values()
        )
