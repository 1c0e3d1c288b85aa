"""Lease for sending orders to engines, stored as records of a topic.

A tenure, the period in which one host holds the lease, begins with a conditional append, so that
only one of several candidates succeeds. Its fencing token rises with the position at which the
topic ends after its first record. A holder sends orders only within ``LEASE_DURATION_S`` of the
time at which it sent its last successful append. A successor waits for that duration plus the
deployment's handover time after it last received a new record. Orders of two holders are therefore
always at least the handover time apart, even if a holder was paused.

A store that is restored from a copy begins a new era, without the records of the last seconds and
possibly with conditional appends of the old era that still take effect. Only a record that was
written for the current era shows who may hold the lease; without one, any gateway may, for
``LEASE_DURATION_S`` after the restoration. Records of earlier eras, restored or appended late, are
ignored; each era has a key of its own, so that they hide none. A holder begins a new tenure in the
new era, since its record may be lost.

A gateway that starts does not know how much of a wait has passed before, except after a tenure of
its own host. In an era without a record, the lease is therefore taken before there is work, so that
gateways which restart, however often, find a last holder that need not wait.
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
# Fencing tokens of one era. A token is sent as a JSON number, which every reader decodes exactly up
# to 53 bits: 20 of them remain for the era.
FENCES_PER_ERA = 2**33


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
    :param era: era of the position at which the record was to be appended.
    """

    holder: str
    nonce: str
    fence: int
    era: int = 0


def fence_of(end: Position) -> int:
    """Return the fencing token of a tenure.

    :param end: end of the topic after the first record of the tenure.
    """
    return end.era * FENCES_PER_ERA + end.offset


class OrderLease:
    """One gateway's view of the lease.

    Times are in seconds, from a clock that also runs while the host is suspended.

    :param host: name of this gateway's host.
    :param handover_s: least time between orders of two holders.
    :ivar era: newest known era of the store; None before the first contact.
    :ivar era_seen_at: time at which this process first knew of that era.
    :ivar end: end of the topic; None if it is unknown in this era.
    :ivar last: newest record that was written for this era; None if there is none.
    :ivar last_received_at: time at which ``last`` was received or, for an own record, sent.
    :ivar fence: fencing token of the own tenure; 0 before the first one and once another host's
        tenure is known.
    :ivar tenure_era: era in which the own tenure began.
    :ivar valid_until: time until which this gateway may send orders.
    :ivar work_since: time since which there has been work; None without work.
    :ivar is_unconfirmed: whether an own append conflicted or has an unknown outcome; the next read
        clears it.
    """

    def __init__(self, host: str, handover_s: float):
        self.host = host
        self.handover_s = handover_s
        self.era: int | None = None
        self.era_seen_at = 0.0
        self.end: Position | None = None
        self.last: LeaseRecord | None = None
        self.last_received_at = 0.0
        self.fence = 0
        self.tenure_era = 0
        self.valid_until = 0.0
        self.work_since: float | None = None
        self.is_unconfirmed = False

    def is_held(self, now: float) -> bool:
        """Return whether orders may be sent now."""
        return now < self.valid_until

    def handle_era(self, era: int, now: float) -> None:
        """Handle the era of an answer of the store, or of a peer's position.

        The own tenure stays valid in a new era: no other host begins one before it has ended.
        """
        if self.era is not None and era <= self.era:
            return
        self.era = era
        self.era_seen_at = now
        self.end = None
        self.last = None

    def observe(self, end: Position, record: LeaseRecord | None, now: float) -> None:
        """Apply the newest record of an era, from the store or a peer.

        :param end: end of the topic.
        :param record: newest record that was written for the era of ``end``; None without one.
        """
        self.handle_era(end.era, now)
        if end.era != self.era or (self.end is not None and end <= self.end):
            return
        self.end = end
        if record is None or record.era != end.era or record == self.last:
            return
        self.last = record
        self.last_received_at = now
        if record.holder != self.host:
            self.valid_until = 0.0
            self.fence = 0

    def plan(
        self, now: float, *, has_work: bool, rank: int, is_candidate: bool = False
    ) -> LeaseState:
        """Return what to do about the lease.

        :param has_work: whether there are orders to send.
        :param rank: number of candidates with higher precedence.
        :param is_candidate: whether this gateway may take a lease that has no record in this era,
            without work.
        """
        if not has_work:
            self.work_since = None
            if is_candidate and self.era is not None and self.last is None:
                return self._plan_first_record(now, rank)
            return LeaseState.HELD if self.is_held(now) else LeaseState.WAIT
        if self.work_since is None:
            self.work_since = now
        if self._is_tenure_of_this_era() and now < self.valid_until - RENEW_BEFORE_S:
            return LeaseState.HELD
        if self.end is None or self.is_unconfirmed:
            return LeaseState.READ
        if self._is_last_holder() or self.is_held(now):
            return LeaseState.APPEND
        if now < self._free_at() or now < self.work_since + rank * RANK_DELAY_S:
            return LeaseState.WAIT
        return LeaseState.APPEND

    def _plan_first_record(self, now: float, rank: int) -> LeaseState:
        """Return what to do about a lease that has no record in this era, without work."""
        if self.end is None or self.is_unconfirmed:
            return LeaseState.READ
        if now < self._free_at() + rank * RANK_DELAY_S:
            return LeaseState.WAIT
        return LeaseState.APPEND

    def _is_tenure_of_this_era(self) -> bool:
        return bool(self.fence) and self.tenure_era == self.era

    def _is_last_holder(self) -> bool:
        """Return whether the newest record proves that no other host has held the lease since."""
        return self.last is not None and self.last.holder == self.host

    def _free_at(self) -> float:
        """Return the time from which the lease may be taken, unless a new record appears."""
        known_since = self.era_seen_at if self.last is None else self.last_received_at
        return known_since + LEASE_DURATION_S + self.handover_s + CLOCK_MARGIN_S

    def next_record(self, nonce: str) -> LeaseRecord:
        """Return the record to append at ``end``."""
        fence = self.fence if self._is_tenure_of_this_era() else 0
        return LeaseRecord(self.host, nonce, fence, self.era or 0)

    def handle_appended(self, record: LeaseRecord, end: Position, sent_at: float) -> None:
        """Handle the success of an own append that was sent at ``sent_at``.

        The answer is of the era for which the record was written; in another era, the outcome is
        unknown.
        """
        if end.era != self.era or (self.end is not None and end <= self.end):
            return
        if not record.fence:
            self.fence = fence_of(end)
            self.tenure_era = end.era
        self.end = end
        self.last = record
        self.last_received_at = sent_at
        self.valid_until = sent_at + LEASE_DURATION_S

    def handle_append_unconfirmed(self) -> None:
        """Record that an append conflicted with another one, or that its outcome is unknown."""
        self.is_unconfirmed = True

    def handle_read(self, end: Position, record: LeaseRecord | None, now: float) -> None:
        """Apply the newest record of the era, after which appends are allowed again.

        An earlier append whose outcome is unknown may still take effect later.
        """
        self.is_unconfirmed = False
        self.observe(end, record, now)
