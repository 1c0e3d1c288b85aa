"""What a host owns: activation after a start, changes of the table, proposals, handover.

The part that a host owns falls at once when a new table gives it less, and rises only after the
settled record, which proves that each slot has applied the new table. A started process owns
nothing until it has read the log to its end and the other homes have dropped the loans of its
predecessor, or these loans are over.
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

# Time between two proposals of one host, and the head start of a host over the next in rank.
PROPOSE_S = 5.0
# Time between two comparisons of the host list with the table.
CHECK_S = 1.0
# Only slots that answered within this time count as reachable for a proposal.
ANSWER_S = 5.0
RENEW_S = 1800.0
# Other hosts that are asked for an attestation while the log is silent.
ATTESTATION_PEERS = 3


class Tenure:
    """Ownership of shares at one host."""

    def __init__(self, state: QuotaState, escrow: Escrow) -> None:
        self.state = state
        self.escrow = escrow
        self.pending: set[str] = set()
        self.unconfirmed: set[str] = set()
        self.absent_since: dict[str, float] = {}
        self.wanted_since: float | None = None
        self.check_at = float("-inf")
        self.propose_at = float("-inf")
        self.renewed_at = float("-inf")

    def on_record(self, offset: int, data: bytes) -> None:
        """Apply a record of the stream."""
        state = self.state
        number, renewed = state.table.number, state.table.renewed
        changed = state.table.handle(offset, data)
        if state.table.renewed != renewed:
            self.renewed_at = state.now
        if not changed:
            return
        self.wanted_since = None
        if state.table.number != number:
            self._change_table()
            for workspace in state.quotas:
                self.add_share(workspace)
        self.pending = set(state.shares)
        self.activate()

    def add_share(self, workspace: str) -> None:
        """Start an empty share of a workspace of the bundle, if this host is a home of it."""
        state = self.state
        share = state.shares.get(workspace)
        if share is None and state.host in state.table.homes(workspace):
            share = state.shares[workspace] = Share(workspace, state.now)
        if share is not None:
            share.rate, share.burst = state.quotas[workspace]
            share.refresh(state.now)
            self.pending.add(workspace)

    def on_homes(self) -> None:
        """Note since when slots are not on the host list."""
        state = self.state
        for host in state.table.slots:
            if host not in state.homes:
                self.absent_since.setdefault(host, state.now)
        for host in state.homes:
            self.absent_since.pop(host, None)

    def activate(self) -> None:
        """Own what the table gives, where it is safe."""
        state = self.state
        if not self.pending or not state.log_confirmed or not state.table.settled:
            return
        if state.leaving or state.host not in state.table.slots:
            return
        for workspace in list(self.pending):
            share = state.shares.get(workspace)
            if share is None:
                self.pending.discard(workspace)
            elif self._predecessor_is_over(workspace):
                self.pending.discard(workspace)
                share.base = state.table.fraction(workspace, state.host)
                share.refresh(state.now)
                state.changed.add(workspace)

    def on_receipt(self, host: str) -> None:
        """Activate at the last missing receipt; what needs only some of them waits for a tick."""
        if host in self.unconfirmed and self.state.link(host).confirmed:
            self.unconfirmed.discard(host)
            if not self.unconfirmed:
                self.activate()

    def leave(self) -> None:
        """Hand all tokens to other homes and give up the share on the log."""
        state = self.state
        if state.leaving:
            return
        state.leaving = True
        self.pending.clear()
        if state.may_spend():
            for share in state.shares.values():
                self._hand_over(share)
        for share in state.shares.values():
            share.base = 0.0
            share.refresh(state.now)
        state.out.append(Append(SHARES_STREAM, encode_handover(state.host, state.incarnation)))

    def tick(self) -> None:
        """Confirm with peers, activate, propose and renew."""
        state = self.state
        if self.pending and state.log_confirmed and not state.leaving:
            homes = {host for ws in self.pending for host in state.other_homes(ws)}
            self.unconfirmed = {host for host in homes if not state.link(host).confirmed}
            for host in sorted(self.unconfirmed):
                self.escrow.hello(host)
            self.activate()
        if state.now > state.lease_until - LEASE_S / 2.0:
            for host in self._attesters():
                self.escrow.hello(host)
        if state.may_spend() and not state.leaving and state.now >= self.check_at:
            self.check_at = state.now + CHECK_S
            self._propose()

    def _change_table(self) -> None:
        state = self.state
        for link in list(state.links.values()):
            self.escrow.drop_borrowed(link)
            if link.host not in state.table.slots:
                self.escrow.take_back(link)
        for share in list(state.shares.values()):
            fraction = state.table.fraction(share.workspace, state.host)
            if fraction == 0.0 and not share.waiting:
                # All hosts drop what it lent before any of them may own more.
                del state.shares[share.workspace]
                continue
            share.base = min(share.base, fraction)
            share.offers.clear()
            share.asked_at.clear()
            share.refresh(state.now)
            state.changed.add(share.workspace)
        self.on_homes()

    def _predecessor_is_over(self, workspace: str) -> bool:
        state = self.state
        if state.now > state.started_at + LOAN_S + LOAN_GUARD_S:
            return True
        return all(state.link(host).confirmed for host in state.other_homes(workspace))

    def _hand_over(self, share: Share) -> None:
        state = self.state
        share.bucket.accrue(state.now)
        for lender in list(share.borrowed):
            self.escrow.give_back(share, lender)
        others = [host for host in state.other_homes(share.workspace) if host in state.homes]
        others = [host for host in others if state.link(host).incarnation]
        near = [host for host in others if state.table.slots[host] == state.region]
        self.escrow.lend_all(share, near or others)

    def _attesters(self) -> list[str]:
        slots = [host for host in self.state.table.slots if host != self.state.host]
        period = int(self.state.now // PROPOSE_S)
        return rendezvous_top(f"{self.state.host}.{period}".encode(), slots, ATTESTATION_PEERS)

    def _propose(self) -> None:
        """Propose the wanted table, or the settled record, in turn by rank."""
        state = self.state
        wanted = self._wanted_slots()
        due = state.now - self.renewed_at > RENEW_S
        if not wanted or (wanted == state.table.slots and state.table.settled and not due):
            self.wanted_since = None
            return
        if self.wanted_since is None:
            self.wanted_since = state.now
        ranked = rendezvous_top(SHARES_STREAM.encode(), state.homes, len(state.homes))
        rank = ranked.index(state.host) if state.host in ranked else len(ranked)
        if state.now < max(self.propose_at, self.wanted_since + rank * PROPOSE_S):
            return
        if wanted != state.table.slots:
            self._propose_table(wanted)
        elif self._all_confirmed(list(state.table.slots), state.table.number):
            self._append(encode_settled(state.table))

    def _propose_table(self, wanted: dict[str, str]) -> None:
        state = self.state
        kept = [host for host in state.table.slots if host in wanted]
        if self._all_reachable(kept):
            self._append(encode_table(state.table.number, wanted))

    def _wanted_slots(self) -> dict[str, str]:
        """Return the present slots without the released ones, and all live entries."""
        state = self.state
        kept = {h: region for h, region in state.table.slots.items() if not self._released(h)}
        return kept | {home.host: home.region for home in state.homes.values()}

    def _released(self, host: str) -> bool:
        state = self.state
        since = self.absent_since.get(host)
        if since is None:
            return False
        # A host that still answers has a lease, whatever the host list says.
        link = state.link(host)
        self.escrow.hello(host)
        since = max(since, link.confirmed_at, link.heard_at)
        handed_over = state.table.handovers.get(host, 0)
        if handed_over and handed_over >= link.incarnation:
            return True
        return state.now > since + LEASE_S + LEASE_GUARD_S

    def _all_reachable(self, hosts: list[str]) -> bool:
        """Ask hosts without a recent answer; a table is not changed while a region is cut."""
        return self._all(hosts, lambda link: self.state.now - link.confirmed_at <= ANSWER_S)

    def _all_confirmed(self, hosts: list[str], table: int) -> bool:
        return self._all(hosts, lambda link: link.table >= table)

    def _all(self, hosts: list[str], check: Callable[[PeerLink], bool]) -> bool:
        missing = [h for h in hosts if h != self.state.host and not check(self.state.link(h))]
        for host in missing:
            self.escrow.hello(host)
        return not missing

    def _append(self, data: bytes) -> None:
        self.propose_at = self.state.now + PROPOSE_S
        self.state.out.append(Append(SHARES_STREAM, data))
