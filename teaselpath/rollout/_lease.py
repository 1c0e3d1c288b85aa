"""Lease on giving orders to engines, kept as records of the store.

A tenure begins with a conditional append, so that two candidates cannot both win. Its fencing
token is the offset of its first record. A holder gives orders only for ``HOLD_S`` after it sent
its last successful append; a successor waits that long and the deployment's turn time after it
last saw a record. So orders of two holders are always at least the turn time apart, even if a
holder was paused.
"""

from dataclasses import dataclass
from enum import Enum

# Time for which an append entitles its holder to give orders, in seconds.
HOLD_S = 2.0
# Time before the end of the hold at which a holder with work appends again, in seconds.
RENEW_BEFORE_S = 1.2
# Margin for clocks that run at unlike speeds, in seconds.
MARGIN_S = 0.3
# Head start that each better placed candidate has, in seconds.
RANK_DELAY_S = 0.4


class LeaseState(Enum):
    """What a gateway may do about the lease."""

    HELD = "held"
    APPEND = "append"
    READ = "read"
    WAIT = "wait"


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """A record of the lease topic.

    :param holder: host that may give orders.
    :param nonce: differs between appends of one holder.
    :param fence: fencing token of the tenure; 0 in the record that begins it.
    """

    holder: str
    nonce: str
    fence: int


class OrderLease:
    """One gateway's view of the lease. Times are of a clock that counts suspension, in seconds.

    :param host: own host name.
    :param turn_s: time that must lie between orders of two holders.
    """

    def __init__(self, host: str, turn_s: float):
        self.host = host
        self.turn_s = turn_s
        self.end: int | None = None
        self.last: LeaseRecord | None = None
        self.seen_at = 0.0
        self.fence = 0
        self.valid_until = 0.0
        self.wanted_since: float | None = None
        self.tainted = False

    def is_held(self, now: float) -> bool:
        """Return whether orders may be given now."""
        return now < self.valid_until

    def observe(self, end: int, record: LeaseRecord | None, now: float) -> None:
        """Take the newest record of the topic, from the store or a peer; ``end`` follows it."""
        if self.end is not None and end <= self.end:
            return
        self.end = end
        self.last = record
        self.seen_at = now
        if record is None or record.holder != self.host:
            self.valid_until = 0.0
            self.fence = 0

    def plan(self, now: float, *, has_work: bool, rank: int) -> LeaseState:
        """Return what to do about the lease.

        :param rank: number of candidates that should take the lease before this one.
        """
        if not has_work:
            self.wanted_since = None
            return LeaseState.HELD if self.is_held(now) else LeaseState.WAIT
        if self.wanted_since is None:
            self.wanted_since = now
        if self.fence and now < self.valid_until - RENEW_BEFORE_S:
            return LeaseState.HELD
        if self.end is None or self.tainted:
            return LeaseState.READ
        if self.last is not None and self.last.holder == self.host:
            return LeaseState.APPEND
        if self.last is not None and now < self.seen_at + HOLD_S + self.turn_s + MARGIN_S:
            return LeaseState.WAIT
        if now < self.wanted_since + rank * RANK_DELAY_S:
            return LeaseState.WAIT
        return LeaseState.APPEND

    def next_record(self, nonce: str) -> LeaseRecord:
        """Return the record to append at ``end``."""
        return LeaseRecord(self.host, nonce, self.fence)

    def handle_appended(self, record: LeaseRecord, end: int, sent_at: float) -> None:
        """Take the success of an own append that was sent at ``sent_at``."""
        if self.end is not None and end <= self.end:
            return
        if not record.fence:
            self.fence = end
        self.end = end
        self.last = record
        self.seen_at = sent_at
        self.valid_until = sent_at + HOLD_S

    def handle_append_unconfirmed(self) -> None:
        """Note that the topic ended elsewhere, or that the fate of an append is unknown."""
        self.tainted = True

    def handle_read(self, end: int, record: LeaseRecord | None, now: float) -> None:
        """Take a reading of the store; it ends doubt about earlier appends."""
        self.tainted = False
        self.observe(end, record, now)
