"""Lease for sending orders to engines, stored as records of a topic.

A tenure, the period in which one host holds the lease, begins with a conditional append, so that
only one of several candidates succeeds. Its fencing token is the end offset of the topic after its
first record. A holder sends orders only within ``LEASE_DURATION_S`` of the time at which it sent
its last successful append. A successor waits for that duration plus the deployment's handover time
after it last received a new record. Orders of two holders are therefore always at least the
handover time apart, even if a holder was paused.
"""

from dataclasses import dataclass
from enum import Enum

from teaselpath.fleet import Position

# Time for which an append entitles its holder to send orders, in seconds.
LEASE_DURATION_S = 2.0
# Time before expiry at which a holder with pending work renews the lease, in seconds.
RENEW_BEFORE_S = 1.2
# Margin for clocks that run at different speeds, in seconds.
CLOCK_MARGIN_S = 0.3
# Delay before an append per candidate with higher precedence, in seconds.
RANK_DELAY_S = 0.4


class LeaseState(Enum):
    """State of the lease for one gateway, or its next step.

    ``APPEND`` acquires or renews the lease; ``READ`` fetches its newest record from the store. With
    ``HELD`` (this gateway holds it) and ``WAIT`` (it does not) there is nothing to do.
    """

    HELD = "held"
    APPEND = "append"
    READ = "read"
    WAIT = "wait"


@dataclass(slots=True, frozen=True)
class LeaseRecord:
    """A record of the lease topic.

    :param holder: host that may send orders.
    :param nonce: distinguishes the appends of one holder.
    :param fence: fencing token of the tenure; 0 in the record that begins it.
    """

    holder: str
    nonce: str
    fence: int


class OrderLease:
    """One gateway's view of the lease.

    Times are in seconds, from a clock that also runs while the host is suspended.

    :param host: name of this gateway's host.
    :param handover_s: least time between orders of two holders.
    :ivar end: end of the topic; None if unknown.
    :ivar last: newest record of the topic; None if there is none.
    :ivar last_received_at: time at which ``last`` was received or, for an own record, sent.
    :ivar fence: fencing token of the own tenure; 0 before the first one and once another host's
        record was received.
    :ivar valid_until: time until which this gateway may send orders.
    :ivar work_since: time since which there has been work; None without work.
    :ivar is_unconfirmed: whether an own append conflicted or has an unknown outcome; the next read
        clears it.
    """

    def __init__(self, host: str, handover_s: float):
        self.host = host
        self.handover_s = handover_s
        self.end: Position | None = None
        self.last: LeaseRecord | None = None
        self.last_received_at = 0.0
        self.fence = 0
        self.valid_until = 0.0
        self.work_since: float | None = None
        self.is_unconfirmed = False

    def is_held(self, now: float) -> bool:
        """Return whether orders may be sent now."""
        return now < self.valid_until

    def observe(self, end: Position, record: LeaseRecord | None, now: float) -> None:
        """Apply the newest record of the topic, from the store or a peer.

        :param end: position that follows the record.
        """
        if self.end is not None and end <= self.end:
            return
        self.end = end
        self.last = record
        self.last_received_at = now
        if record is None or record.holder != self.host:
            self.valid_until = 0.0
            self.fence = 0

    def plan(self, now: float, *, has_work: bool, rank: int) -> LeaseState:
        """Return what to do about the lease.

        :param has_work: whether there are orders to send.
        :param rank: number of candidates with higher precedence.
        """
        if not has_work:
            self.work_since = None
            return LeaseState.HELD if self.is_held(now) else LeaseState.WAIT
        if self.work_since is None:
            self.work_since = now
        if self.fence and now < self.valid_until - RENEW_BEFORE_S:
            return LeaseState.HELD
        if self.end is None or self.is_unconfirmed:
            return LeaseState.READ
        if self.last is not None and self.last.holder == self.host:
            return LeaseState.APPEND
        if (
            self.last is not None
            and now < self.last_received_at + LEASE_DURATION_S + self.handover_s + CLOCK_MARGIN_S
        ):
            return LeaseState.WAIT
        if now < self.work_since + rank * RANK_DELAY_S:
            return LeaseState.WAIT
        return LeaseState.APPEND

    def next_record(self, nonce: str) -> LeaseRecord:
        """Return the record to append at ``end``."""
        return LeaseRecord(self.host, nonce, self.fence)

    def handle_appended(self, record: LeaseRecord, end: Position, sent_at: float) -> None:
        """Handle the success of an own append that was sent at ``sent_at``."""
        if self.end is not None and end <= self.end:
            return
        if not record.fence:
            self.fence = end.offset
        self.end = end
        self.last = record
        self.last_received_at = sent_at
        self.valid_until = sent_at + LEASE_DURATION_S

    def handle_append_unconfirmed(self) -> None:
        """Record that an append conflicted with another one, or that its outcome is unknown."""
        self.is_unconfirmed = True

    def handle_read(self, end: Position, record: LeaseRecord | None, now: float) -> None:
        """Apply the newest record read from the store, after which appends are allowed again.

        An earlier append whose outcome is unknown may still take effect later.
        """
        self.is_unconfirmed = False
        self.observe(end, record, now)
