"""Share ownership of a host: activation at start-up, table changes, proposals and handover.

The fraction that a host owns falls immediately when a new table assigns it less, and rises only
after the settled record, which proves that each host of the table has applied it. A new process
owns nothing until it has read the log to its end, and the other shareholders have discarded the
loans of the host's previous process or these loans have expired.
"""

from collections.abc import Callable

from teaselpath.quota._escrow import Escrow
from teaselpath.quota._state import (
    LEASE_GUARD_S,
    LEASE_S,
    LOAN_GUARD_S,
    LOAN_S,
    PeerLink,
    QuotaState,
    Share,
)
from teaselpath.quota._table import SHARES_STREAM, encode_handover, encode_settled, encode_table
from teaselpath.utils import rendezvous_top
from teaselpath.wire import Append

# Interval between two proposals of one host, and the delay of its first proposal for each host that
# ranks before it. Also the period after which other hosts are chosen to renew the lease.
PROPOSAL_INTERVAL_S = 5.0
# Interval between two comparisons of the host list with the table.
CHECK_INTERVAL_S = 1.0
# Only slots that answered within this time are considered reachable for a proposal.
REACHABILITY_MAX_AGE_S = 5.0
# Interval after which the settled record of the table is appended again, so that a node that starts
# from a trimmed log can read it.
SETTLED_RENEWAL_INTERVAL_S = 1800.0
# Number of other hosts that are asked for a receipt, which renews the lease, when half of the lease
# has passed without a renewal, as when the log cannot be read.
LEASE_RENEWAL_PEERS = 3


class ShareOwnership:
    """Decides which shares one host owns, and proposes share tables."""

    def __init__(self, state: QuotaState, escrow: Escrow) -> None:
        self.state = state
        self.escrow = escrow
        # Workspaces whose share is not activated yet, and shareholders whose receipt is missing.
        self.pending: set[str] = set()
        self.unconfirmed: set[str] = set()
        self.absent_since: dict[str, float] = {}
        # Start of the time for which a proposal has been needed without interruption.
        self.proposal_needed_since: float | None = None
        self.check_at = float("-inf")
        self.propose_at = float("-inf")
        self.renewed_at = float("-inf")

    def handle_record(self, offset: int, data: bytes) -> None:
        """Apply a record of the stream."""
        state = self.state
        number, settled_offset = state.table.number, state.table.settled_offset
        changed = state.table.handle(offset, data)
        if state.table.settled_offset != settled_offset:
            self.renewed_at = state.now
        if not changed:
            return
        self.proposal_needed_since = None
        if state.table.number != number:
            self._apply_table()
            for workspace in state.quotas:
                self.add_share(workspace)
        self.pending = set(state.shares)
        self.activate()

    def add_share(self, workspace: str) -> None:
        """Add an empty share of a workspace of the bundle, if this host is a shareholder of it."""
        state = self.state
        share = state.shares.get(workspace)
        if share is None and state.host in state.table.shareholders(workspace):
            share = state.shares[workspace] = Share(workspace, state.now)
        if share is not None:
            share.rate, share.burst = state.quotas[workspace]
            share.refresh(state.now)
            self.pending.add(workspace)

    def handle_live_entries(self) -> None:
        """Record since when slots have been absent from the host list."""
        state = self.state
        for host in state.table.slots:
            if host not in state.live_entries:
                self.absent_since.setdefault(host, state.now)
        for host in state.live_entries:
            self.absent_since.pop(host, None)

    def activate(self) -> None:
        """Acquire the fractions that the settled table assigns.

        Only for workspaces in which the loans of this host's previous process have ended.
        """
        state = self.state
        if not self.pending or not state.has_read_log or not state.table.settled:
            return
        if state.leaving or state.host not in state.table.slots:
            return
        for workspace in list(self.pending):
            share = state.shares.get(workspace)
            if share is None:
                self.pending.discard(workspace)
            elif self._predecessor_loans_ended(workspace):
                self.pending.discard(workspace)
                share.base = state.table.fraction(workspace, state.host)
                share.refresh(state.now)
                state.changed.add(workspace)

    def handle_receipt(self, host: str) -> None:
        """Activate shares after the last missing receipt.

        Shares that need the receipts of only some of the hosts are activated by ``tick``.
        """
        if host in self.unconfirmed and self.state.link(host).confirmed:
            self.unconfirmed.discard(host)
            if not self.unconfirmed:
                self.activate()

    def leave(self) -> None:
        """Release all shares and append a handover record.

        Spare tokens are transferred to other shareholders if the lease is valid.
        """
        state = self.state
        if state.leaving:
            return
        state.leaving = True
        self.pending.clear()
        if state.has_valid_lease():
            for share in state.shares.values():
                self._transfer_balance(share)
        for share in state.shares.values():
            share.base = 0.0
            share.refresh(state.now)
        state.actions.append(Append(SHARES_STREAM, encode_handover(state.host, state.incarnation)))

    def tick(self) -> None:
        """Request receipts of peers, activate shares, renew the lease and propose tables."""
        state = self.state
        if self.pending and state.has_read_log and not state.leaving:
            shareholders = {host for ws in self.pending for host in state.other_shareholders(ws)}
            self.unconfirmed = {host for host in shareholders if not state.link(host).confirmed}
            for host in sorted(self.unconfirmed):
                self.escrow.request_receipt(host)
            self.activate()
        if state.now > state.lease_until - LEASE_S / 2.0:
            for host in self._lease_renewal_peers():
                self.escrow.request_receipt(host)
        if state.has_valid_lease() and not state.leaving and state.now >= self.check_at:
            self.check_at = state.now + CHECK_INTERVAL_S
            self._propose()

    def _apply_table(self) -> None:
        state = self.state
        for link in list(state.links.values()):
            self.escrow.discard_borrowed(link)
            if link.host not in state.table.slots:
                self.escrow.reclaim_loans(link)
        for share in list(state.shares.values()):
            fraction = state.table.fraction(share.workspace, state.host)
            if fraction == 0.0 and not share.waiting:
                # What this share lent needs no reclaim: each host discards its loans when it
                # applies the table, and only afterwards may any host own more.
                del state.shares[share.workspace]
                continue
            share.base = min(share.base, fraction)
            share.offers.clear()
            share.asked_at.clear()
            share.refresh(state.now)
            state.changed.add(share.workspace)
        self.handle_live_entries()

    def _predecessor_loans_ended(self, workspace: str) -> bool:
        state = self.state
        if state.now > state.started_at + LOAN_S + LOAN_GUARD_S:
            return True
        return all(state.link(host).confirmed for host in state.other_shareholders(workspace))

    def _transfer_balance(self, share: Share) -> None:
        state = self.state
        share.bucket.accrue(state.now)
        for lender in list(share.borrowed):
            self.escrow.repay_all(share, lender)
        others = [
            host for host in state.other_shareholders(share.workspace) if host in state.live_entries
        ]
        others = [host for host in others if state.link(host).incarnation]
        same_region = [host for host in others if state.table.slots[host] == state.region]
        self.escrow.lend_all(share, same_region or others)

    def _lease_renewal_peers(self) -> list[str]:
        slots = [host for host in self.state.table.slots if host != self.state.host]
        period = int(self.state.now // PROPOSAL_INTERVAL_S)
        return rendezvous_top(f"{self.state.host}.{period}".encode(), slots, LEASE_RENEWAL_PEERS)

    def _propose(self) -> None:
        """Propose the desired table, or its settled record, delayed by the rank of this host."""
        state = self.state
        desired = self._desired_slots()
        is_renewal_due = state.now - self.renewed_at > SETTLED_RENEWAL_INTERVAL_S
        if not desired or (
            desired == state.table.slots and state.table.settled and not is_renewal_due
        ):
            self.proposal_needed_since = None
            return
        if self.proposal_needed_since is None:
            self.proposal_needed_since = state.now
        ranked = rendezvous_top(SHARES_STREAM.encode(), state.live_entries, len(state.live_entries))
        rank = ranked.index(state.host) if state.host in ranked else len(ranked)
        if state.now < max(
            self.propose_at, self.proposal_needed_since + rank * PROPOSAL_INTERVAL_S
        ):
            return
        if desired != state.table.slots:
            self._propose_table(desired)
        elif self._all_confirmed(list(state.table.slots), state.table.number):
            self._append(encode_settled(state.table))

    def _propose_table(self, desired: dict[str, str]) -> None:
        state = self.state
        kept = [host for host in state.table.slots if host in desired]
        if self._all_reachable(kept):
            self._append(encode_table(state.table.number, desired))

    def _desired_slots(self) -> dict[str, str]:
        """Return the current slots except the released ones, and all live entries."""
        state = self.state
        kept = {h: region for h, region in state.table.slots.items() if not self._is_released(h)}
        return kept | {entry.host: entry.region for entry in state.live_entries.values()}

    def _is_released(self, host: str) -> bool:
        state = self.state
        since = self.absent_since.get(host)
        if since is None:
            return False
        # A host that still answers may have a lease even if it is not on the host list.
        link = state.link(host)
        self.escrow.request_receipt(host)
        since = max(since, link.confirmed_at, link.last_contact_at)
        handed_over = state.table.handovers.get(host, 0)
        if handed_over and handed_over >= link.incarnation:
            return True
        return state.now > since + LEASE_S + LEASE_GUARD_S

    def _all_reachable(self, hosts: list[str]) -> bool:
        """Return whether all hosts answered recently; request receipts from the others.

        No table is therefore proposed while a region is partitioned.
        """
        return self._check_all(
            hosts, lambda link: self.state.now - link.confirmed_at <= REACHABILITY_MAX_AGE_S
        )

    def _all_confirmed(self, hosts: list[str], table: int) -> bool:
        return self._check_all(hosts, lambda link: link.table >= table)

    def _check_all(self, hosts: list[str], check: Callable[[PeerLink], bool]) -> bool:
        """Return whether all other hosts pass a check; request receipts from those that fail."""
        missing = [h for h in hosts if h != self.state.host and not check(self.state.link(h))]
        for host in missing:
            self.escrow.request_receipt(host)
        return not missing

    def _append(self, data: bytes) -> None:
        self.propose_at = self.state.now + PROPOSAL_INTERVAL_S
        self.state.actions.append(Append(SHARES_STREAM, data))
