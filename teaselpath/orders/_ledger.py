"""Leases as a state machine over the records in offset order.

Whether a claim is granted depends only on the claim and on the records between its base and its
own offset, so every reader decides alike wherever it started to read. A claim states how many load
leases could be held as of its base. Each other load claim after the base counts as one more,
granted or not. At most ``MAX_LOADS`` leases are therefore valid at any instant:

- a holder counts its deadline from before its append, so it stops before the log's clock says so;
- others count it from the record's age as they read it, which can only be late, plus the guard.
"""

from collections import OrderedDict
from dataclasses import dataclass

from teaselpath.orders._records import Claim, LoadRecord, Release, Turn, decode_record

# A weight load takes about 1 s; more than this number at once slow each other down.
MAX_LOADS = 3
# An order must have ended within this time after its claim was sent. It leaves room for a slow
# weight store.
LEASE_S = 30.0
# A lease is counted this much longer than its holder may use it, for an order that was sent just
# before the deadline by a process that was paused between the check and the send.
GUARD_S = 10.0
# A claim or turn whose base is further back is void, which bounds what a reader must remember.
MAX_WINDOW = 1000


@dataclass(slots=True)
class Lease:
    """A lease as other processes see it.

    :param ends_at: instant after which it counts no more, guard included.
    """

    claim: Claim
    offset: int
    ends_at: float


class LoadLedger:
    """Leases and senders as read from the stream so far."""

    def __init__(self) -> None:
        self.last = -1
        self.known_from = 0
        self.complete_at = float("-inf")
        self.claims: OrderedDict[int, Claim] = OrderedDict()
        self.turns: OrderedDict[int, Turn] = OrderedDict()
        self.leases: dict[str, Lease] = {}
        self.terms: dict[str, tuple[int, str]] = {}

    def handle(self, record: LoadRecord, now: float) -> Turn | Claim | Release | None:
        """Apply one record; return it if it took effect."""
        if record.offset <= self.last:
            return None
        if record.offset != self.last + 1:
            # Trimmed records are unknown: until the last lease among them must have ended, the
            # count of held leases is not complete.
            self.known_from = record.offset
            self.complete_at = now + LEASE_S + GUARD_S
        self.last = record.offset
        self._forget(now)
        appended_at = now - record.age_ms / 1e3
        match decode_record(record.data):
            case Turn() as turn:
                return self._take_turn(turn, record.offset)
            case Claim() as claim:
                return self._take_claim(claim, record.offset, appended_at)
            case Release() as release:
                return self._take_release(release)
        return None

    def _forget(self, now: float) -> None:
        oldest = self.last - MAX_WINDOW
        for window in (self.claims, self.turns):
            while window and next(iter(window)) < oldest:
                window.popitem(last=False)
        if len(self.leases) > MAX_WINDOW:
            self.leases = {key: row for key, row in self.leases.items() if row.ends_at > now}

    def _is_known(self, base: int, offset: int) -> bool:
        return self.known_from - 1 <= base < offset and offset - base <= MAX_WINDOW

    def _take_turn(self, turn: Turn, offset: int) -> Turn | None:
        rivals = (
            row
            for at, row in self.turns.items()
            if at > turn.base and row.endpoint == turn.endpoint and row.sender != turn.sender
        )
        is_void = offset - turn.base > MAX_WINDOW or next(rivals, None) is not None
        self.turns[offset] = turn
        if is_void:
            return None
        self.terms[turn.endpoint] = (offset, turn.sender)
        return turn

    def _take_claim(self, claim: Claim, offset: int, appended_at: float) -> Claim | None:
        is_known = self._is_known(claim.base, offset)
        granted = is_known and self._is_granted(claim)
        if claim.load:
            self.claims[offset] = claim
        # Without all records since the base the verdict is open, so the lease is counted as held.
        if granted or not is_known:
            self.leases[claim.lease] = Lease(claim, offset, appended_at + LEASE_S + GUARD_S)
        return claim if granted else None

    def _is_granted(self, claim: Claim) -> bool:
        if not claim.load:
            return True
        rivals = {
            row.lease
            for offset, row in self.claims.items()
            if offset > claim.base and row.lease != claim.lease
        }
        return claim.active >= 0 and claim.active + len(rivals) < MAX_LOADS

    def _take_release(self, release: Release) -> Release | None:
        lease = self.leases.get(release.lease)
        if lease is None or lease.claim.endpoint != release.endpoint:
            return None
        del self.leases[release.lease]
        return release

    def active(self, now: float) -> int:
        """Return how many load leases may be held now."""
        return sum(lease.claim.load and lease.ends_at > now for lease in self.leases.values())

    def is_complete(self, now: float) -> bool:
        """Return whether no lease can be held that this reader does not know."""
        return now >= self.complete_at

    def term(self, endpoint: str) -> tuple[int, str]:
        """Return the offset of the last valid turn for an engine and its sender."""
        return self.terms.get(endpoint, (-1, ""))

    def is_held_by_other(self, endpoint: str, term: int, now: float) -> bool:
        """Return whether an earlier sender may still have an order under way at an engine."""
        return any(
            row.claim.endpoint == endpoint and row.claim.term != term and row.ends_at > now
            for row in self.leases.values()
        )
