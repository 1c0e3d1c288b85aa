"""Loans of tokens, capacity and rate between the shareholders of a workspace.

A host lends only what it owns, never what it borrowed, so each borrowed amount has exactly one
owner, its lender. The lender reclaims a loan once the borrower provably cannot use it any longer:
after a repayment, a restart of the borrower, a confirmed change of the table, or ``LOAN_S`` plus a
guard time without an ask from the borrower. A borrower may use a loan for ``LOAN_S`` after it sent
its last answered ask.
"""

from msgspec.structs import replace

from teaselpath.quota._state import LEASE_S, LOAN_GUARD_S, LOAN_S, PeerLink, QuotaState, Share
from teaselpath.wire import QuotaAsk, QuotaReceipt, QuotaTransfer

# A share without granted reservations for this long is idle: it transfers the same proportion of
# its capacity and rate as of its spare tokens. Any other share transfers only the fraction of the
# workspace's capacity and rate that the tokens are of the burst.
IDLE_THRESHOLD_S = 1.0
RESEND_INTERVAL_S = 0.5
RECEIPT_REQUEST_INTERVAL_S = 1.0
# Recent asks per peer whose send time is recorded; answers to older asks are ignored.
MAX_RECORDED_ASKS = 64
# Transfers below this fraction of the workspace's rate and burst are not sent.
MIN_FRACTION = 1e-9


class Escrow:
    """Sends and handles the asks, transfers and receipts of one host."""

    def __init__(self, state: QuotaState) -> None:
        self.state = state
        self.next_expiry_at = float("inf")
        # Id of the ask that outgoing transfers answer; 0 for an unsolicited transfer.
        self.ask_id = 0

    def ask(self, host: str, workspace: str = "", tokens: float = 0.0) -> None:
        """Send an ask for tokens; without a workspace, only for a receipt."""
        state = self.state
        link = state.link(host)
        ask_id = state.next_ask_id
        state.next_ask_id += 1
        link.ask_times[ask_id] = state.now
        if len(link.ask_times) > MAX_RECORDED_ASKS:
            del link.ask_times[next(iter(link.ask_times))]
        message = QuotaAsk(
            workspace, state.host, tokens, state.table.number, state.incarnation, ask_id
        )
        state.send(host, message)

    def request_receipt(self, host: str) -> None:
        """Ask for a receipt, at most once per ``RECEIPT_REQUEST_INTERVAL_S``."""
        link = self.state.link(host)
        if self.state.now - link.last_receipt_request_at >= RECEIPT_REQUEST_INTERVAL_S:
            link.last_receipt_request_at = self.state.now
            self.ask(host)

    def handle_ask(self, host: str, ask: QuotaAsk) -> None:
        """Reply with a receipt, or with a transfer of what can be lent."""
        state = self.state
        if not self.record_sender(host, ask.incarnation, ask.table):
            return
        link = state.link(host)
        link.last_contact_at = state.now
        if not ask.workspace:
            table = state.table.number if state.has_valid_lease() else 0
            receipt = QuotaReceipt(
                "", state.host, state.incarnation, ask.incarnation, table, link.epoch, ask.ask_id
            )
            state.send(host, receipt)
            return
        share = state.shares.get(ask.workspace)
        can_lend = share is not None and state.has_valid_lease() and ask.table == state.table.number
        if share is not None and can_lend:
            self.ask_id = ask.ask_id
            self._lend_or_repay(share, host, ask.tokens)
            self.ask_id = 0
        else:
            state.send(host, self._new_transfer(link, ask.workspace, ask.ask_id))

    def _lend_or_repay(self, share: Share, host: str, tokens: float) -> None:
        """Repay loans of a host, then lend to it, and report what remains available."""
        state, bucket = self.state, share.bucket
        bucket.accrue(state.now)
        idle = state.now - share.reserved_at > IDLE_THRESHOLD_S
        borrowed = share.borrowed.get(host, 0.0)
        if borrowed > 0.0:
            tokens -= self._transfer_tokens(share, host, tokens, borrowed, idle, is_repayment=True)
        if tokens > 0.0 and share.lendable_fraction > 0.0:
            tokens -= self._transfer_tokens(
                share, host, tokens, share.lendable_fraction, idle, is_repayment=False
            )
        if tokens > 0.0 and idle:
            self._repay_other_lenders(share, host)
        link = state.link(host)
        offer = self._new_transfer(link, share.workspace, self.ask_id)
        offer.left_tokens = min(self._spare_tokens(share), share.lendable_fraction * share.burst)
        offer.left_capacity = share.lendable_fraction
        # The bucket accrues at the rate of the whole spendable fraction, including borrowed ones.
        offer.left_rate = share.spendable_fraction if share.lendable_fraction > 0.0 else 0.0
        state.send(host, offer)

    def repay_all(self, share: Share, lender: str) -> None:
        """Repay all that was borrowed from a host, with the tokens that this share can spare."""
        borrowed = share.borrowed.get(lender, 0.0)
        if borrowed > 0.0 and share.burst > 0.0:
            tokens = min(self._spare_tokens(share), borrowed * share.burst)
            self._send_fraction(share, lender, tokens, borrowed, is_repayment=True)

    def lend_all(self, share: Share, targets: list[str]) -> None:
        """Lend the whole lendable fraction to the target hosts in equal parts."""
        lendable = share.lendable_fraction if share.burst > 0.0 else 0.0
        if lendable <= 0.0:
            return
        for remaining, host in zip(range(len(targets), 0, -1), targets, strict=True):
            tokens = min(
                self._spare_tokens(share) / remaining,
                share.lendable_fraction * share.burst / remaining,
            )
            self._send_fraction(share, host, tokens, lendable / len(targets), is_repayment=False)

    def handle_transfer(self, host: str, message: QuotaTransfer) -> Share | None:
        """Apply a transfer, at most once.

        :returns: the share of the workspace, if this host has one.
        """
        state = self.state
        if not self.record_sender(host, message.incarnation, message.table):
            return None
        if message.to_incarnation != state.incarnation:
            return None
        link = state.link(host)
        asked_at = self._ask_sent_at(link, message.ask_id)
        if message.lender != state.host:
            # Not a repayment, so the epoch is that of the sender as a lender.
            self._update_lender_epoch(link, message.epoch)
            if message.epoch == link.lender_epoch:
                link.valid_until = max(link.valid_until, asked_at + LOAN_S)
        share = state.shares.get(message.workspace)
        if share is None:
            return None
        if message.transfer_id:
            self._apply_transfer(link, share, message)
        return share

    def handle_receipt(self, host: str, receipt: QuotaReceipt) -> None:
        """Stop resending a transfer, or handle the answer to an ask without a workspace."""
        state = self.state
        if receipt.to_incarnation != state.incarnation:
            self.record_sender(host, receipt.incarnation, 0)
            return
        if not self.record_sender(host, receipt.incarnation, receipt.table):
            return
        link = state.link(host)
        if receipt.transfer_id:
            link.outbox.pop(int(receipt.transfer_id.rpartition(".")[2]), None)
            return
        asked_at = self._ask_sent_at(link, receipt.ask_id)
        self._update_lender_epoch(link, receipt.epoch)
        if asked_at == float("-inf"):
            return
        if receipt.epoch == link.lender_epoch:
            link.valid_until = max(link.valid_until, asked_at + LOAN_S)
        link.confirmed = True
        link.confirmed_at = state.now
        if receipt.table and receipt.table == state.table.number:
            state.lease_until = max(state.lease_until, asked_at + LEASE_S)

    def record_sender(self, host: str, incarnation: int, table: int) -> bool:
        """Record incarnation and table of a sender; False for a message of an ended process."""
        link = self.state.link(host)
        if incarnation < link.incarnation:
            return False
        if incarnation > link.incarnation:
            link = self._replace_link(link, incarnation)
        if table > link.table:
            # The peer discarded all that it had borrowed under an older table.
            link.table = table
            self.reclaim_loans(link)
        return True

    def _replace_link(self, link: PeerLink, incarnation: int) -> PeerLink:
        """Start a new ledger with a restarted peer, which has no loans from this host."""
        self.reclaim_loans(link)
        self.discard_borrowed(link)
        fresh = self.state.links[link.host] = PeerLink(link.host)
        fresh.incarnation = incarnation
        fresh.epoch, fresh.ask_times, fresh.confirmed = link.epoch, link.ask_times, link.confirmed
        return fresh

    def reclaim_loans(self, link: PeerLink) -> None:
        """End all loans to a peer that can no longer use them."""
        if not link.has_loans_to_peer:
            return
        link.has_loans_to_peer = False
        link.epoch += 1
        link.outbox = {n: t for n, t in link.outbox.items() if t.lender != self.state.host}
        for share in self.state.shares.values():
            if share.lent.pop(link.host, None) is not None:
                self._refresh_share(share)

    def discard_borrowed(self, link: PeerLink) -> None:
        """Discard all loans from a peer, with the tokens beyond the remaining capacity."""
        if not link.has_loans_from_peer:
            return
        link.has_loans_from_peer = False
        link.outbox = {n: t for n, t in link.outbox.items() if t.lender == self.state.host}
        for share in self.state.shares.values():
            if share.borrowed.pop(link.host, None) is not None:
                self._refresh_share(share)

    def expire(self) -> None:
        """End expired loans; called before anything is spent."""
        state = self.state
        if state.now < self.next_expiry_at:
            return
        self.next_expiry_at = float("inf")
        for link in list(state.links.values()):
            lent_until = link.last_contact_at + LOAN_S + LOAN_GUARD_S
            if link.has_loans_to_peer and state.now > lent_until:
                self.reclaim_loans(link)
            elif link.has_loans_to_peer:
                self.next_expiry_at = min(self.next_expiry_at, lent_until)
            if link.has_loans_from_peer and state.now >= link.valid_until:
                self.discard_borrowed(link)
            elif link.has_loans_from_peer:
                self.next_expiry_at = min(self.next_expiry_at, link.valid_until)

    def tick(self) -> None:
        """Resend unacknowledged transfers and renew loans."""
        state = self.state
        for link in state.links.values():
            if link.outbox and state.now - link.last_sent_at >= RESEND_INTERVAL_S:
                link.last_sent_at = state.now
                oldest = min(link.outbox)
                for message in link.outbox.values():
                    state.send(link.host, replace(message, oldest_number=oldest))
        for host in state.lenders():
            if state.now > state.link(host).valid_until - LOAN_S / 2.0:
                self.request_receipt(host)

    def _apply_transfer(self, link: PeerLink, share: Share, message: QuotaTransfer) -> None:
        state = self.state
        if message.table > state.table.number:
            return
        is_current = message.table == state.table.number
        is_loan = message.lender == link.host
        is_valid_loan = is_loan and is_current and message.epoch == link.lender_epoch
        if is_valid_loan and state.now >= link.valid_until:
            # Not acknowledged, so the lender resends it. Until then, the receipt that is requested
            # here may extend ``valid_until``.
            self.request_receipt(link.host)
            return
        if link.record_if_new(message.number, message.oldest_number) and is_current:
            if is_valid_loan:
                link.has_loans_from_peer = True
                share.borrowed[link.host] = share.borrowed.get(link.host, 0.0) + message.capacity
                self.next_expiry_at = min(self.next_expiry_at, link.valid_until)
                self._credit(share, message.tokens)
            elif not is_loan and message.epoch == link.epoch:
                remaining = share.lent.get(link.host, 0.0) - message.capacity
                share.lent[link.host] = max(0.0, remaining)
                self._credit(share, message.tokens)
        receipt = QuotaReceipt(
            message.transfer_id,
            state.host,
            state.incarnation,
            message.incarnation,
            state.table.number,
        )
        state.send(link.host, receipt)

    def _credit(self, share: Share, tokens: float) -> None:
        self._refresh_share(share)
        share.bucket.credit(tokens)

    def _refresh_share(self, share: Share) -> None:
        share.refresh(self.state.now)
        self.state.changed.add(share.workspace)

    def _ask_sent_at(self, link: PeerLink, ask_id: int) -> float:
        """Return when an ask was sent; -inf if it is not or no longer recorded."""
        return link.ask_times.get(ask_id, float("-inf"))

    def _update_lender_epoch(self, link: PeerLink, epoch: int) -> None:
        if epoch > link.lender_epoch:
            self.discard_borrowed(link)
            link.lender_epoch = epoch
            link.valid_until = float("-inf")

    def _spare_tokens(self, share: Share) -> float:
        """Return the tokens beyond the demand of the share's own queue."""
        return max(0.0, share.bucket.level - sum(w.tokens for w in share.waiting))

    def _transfer_tokens(
        self,
        share: Share,
        host: str,
        tokens: float,
        limit: float,
        idle: bool,
        *,
        is_repayment: bool,
    ) -> float:
        """Transfer ``tokens`` or, if idle, half of the spare tokens if that is more.

        :param limit: largest fraction of the workspace's rate and burst to transfer.
        :returns: tokens transferred, never more than are spare.
        """
        spare = min(self._spare_tokens(share), limit * share.burst)
        if spare <= 0.0:
            return 0.0
        amount = min(spare, max(tokens, spare / 2.0 if idle else 0.0))
        fraction = limit * amount / spare if idle else amount / share.burst
        return self._send_fraction(
            share, host, amount, min(limit, fraction), is_repayment=is_repayment
        )

    def _repay_other_lenders(self, share: Share, host: str) -> None:
        """Repay the other lenders as far as possible; the asking host can ask them as well."""
        self.ask_id, ask_id = 0, self.ask_id
        for lender in list(share.borrowed):
            if lender != host:
                self.repay_all(share, lender)
        self.ask_id = ask_id

    def _send_fraction(
        self, share: Share, host: str, tokens: float, fraction: float, *, is_repayment: bool
    ) -> float:
        bucket = share.bucket
        # The capacity needed for the remaining level and pending refunds is not transferred.
        room = bucket.capacity - bucket.level - bucket.refundable + tokens
        fraction = min(fraction, max(0.0, room) / share.burst)
        tokens = min(tokens, fraction * share.burst)
        if fraction < MIN_FRACTION:
            return 0.0
        balances = share.borrowed if is_repayment else share.lent
        bucket.debit(tokens)
        balances[host] = balances.get(host, 0.0) + (-fraction if is_repayment else fraction)
        if balances[host] <= 0.0:
            del balances[host]
        share.refresh(self.state.now)
        self._send_transfer(share, host, tokens, fraction, is_repayment)
        return tokens

    def _send_transfer(
        self, share: Share, host: str, tokens: float, fraction: float, is_repayment: bool
    ) -> None:
        state = self.state
        link = state.link(host)
        message = self._new_transfer(link, share.workspace, self.ask_id)
        message.number = link.next_number
        message.transfer_id = f"{state.host}.{state.incarnation}.{message.number}"
        message.tokens, message.capacity, message.rate = tokens, fraction, fraction
        if is_repayment:
            message.lender, message.epoch = host, link.lender_epoch
        link.next_number += 1
        link.outbox[message.number] = message
        message.oldest_number = min(link.outbox)
        link.last_sent_at = state.now
        if not is_repayment:
            link.has_loans_to_peer = True
            link.last_contact_at = max(link.last_contact_at, state.now)
            self.next_expiry_at = min(self.next_expiry_at, state.now + LOAN_S + LOAN_GUARD_S)
        state.send(host, message)

    def _new_transfer(self, link: PeerLink, workspace: str, ask_id: int) -> QuotaTransfer:
        state = self.state
        return QuotaTransfer(
            "",
            workspace,
            state.host,
            state.incarnation,
            state.table.number,
            0.0,
            0.0,
            0.0,
            to_incarnation=link.incarnation,
            lender=state.host,
            epoch=link.epoch,
            ask_id=ask_id,
        )
