"""Loans of tokens, capacity and rate between the homes of a workspace.

A host lends only what it owns, never what it borrowed, so each borrowed amount leads back to one
living owner. The owner takes a loan back when it knows that the borrower cannot use it any more:
after a return, a restart of the borrower, a confirmed change of the table, or ``LOAN_S`` without
an ask of the borrower. A borrower uses a loan for ``LOAN_S`` from its last answered ask.
"""

from msgspec.structs import replace

from teaselpath.quota._state import LEASE_S, LOAN_GUARD_S, LOAN_S, PeerLink, QuotaState, Share
from teaselpath.wire import QuotaAsk, QuotaReceipt, QuotaTransfer

# A lender without reservations for this long gives rate and capacity in proportion to the tokens.
IDLE_S = 1.0
RESEND_S = 0.5
HELLO_S = 1.0
# Answers to older asks are ignored.
KEPT_ASKS = 64
# Transfers below this fraction are not worth a message.
MIN_FRACTION = 1e-9


class Escrow:
    """Asks, transfers and receipts of one host."""

    def __init__(self, state: QuotaState) -> None:
        self.state = state
        self.expiry_at = float("inf")
        # The ask that transfers answer; 0 for a transfer that was not asked for.
        self.ask_id = 0

    def ask(self, host: str, workspace: str = "", tokens: float = 0.0) -> None:
        """Ask a host for tokens, or only for a receipt."""
        state = self.state
        link = state.link(host)
        ask_id = state.next_ask_id
        state.next_ask_id += 1
        link.asks[ask_id] = state.now
        if len(link.asks) > KEPT_ASKS:
            del link.asks[next(iter(link.asks))]
        message = QuotaAsk(
            workspace, state.host, tokens, state.table.number, state.incarnation, ask_id
        )
        state.send(host, message)

    def hello(self, host: str) -> None:
        """Ask for a receipt, at most once per ``HELLO_S``."""
        link = self.state.link(host)
        if self.state.now - link.hello_at >= HELLO_S:
            link.hello_at = self.state.now
            self.ask(host)

    def on_ask(self, host: str, ask: QuotaAsk) -> None:
        """Answer with a receipt, or with what can be given."""
        state = self.state
        if not self.hear(host, ask.incarnation, ask.table):
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
        gives = share is not None and state.has_valid_lease() and ask.table == state.table.number
        if share is not None and gives:
            self.ask_id = ask.ask_id
            self._give(share, host, ask.tokens)
            self.ask_id = 0
        else:
            state.send(host, self._transfer(link, ask.workspace, ask.ask_id))

    def _give(self, share: Share, host: str, tokens: float) -> None:
        """Return what was borrowed from a host, then lend to it, and say what is left."""
        state, bucket = self.state, share.bucket
        bucket.accrue(state.now)
        idle = state.now - share.reserved_at > IDLE_S
        owned = share.borrowed.get(host, 0.0)
        if owned > 0.0:
            tokens -= self._move(share, host, tokens, owned, idle, returned=True)
        if tokens > 0.0 and share.own > 0.0:
            tokens -= self._move(share, host, tokens, share.own, idle, returned=False)
        if tokens > 0.0 and idle:
            self._return_others(share, host)
        link = state.link(host)
        offer = self._transfer(link, share.workspace, self.ask_id)
        offer.left_tokens = min(self._spare(share), share.own * share.burst)
        offer.left_capacity = share.own
        offer.left_rate = share.hold if share.own > 0.0 else 0.0
        state.send(host, offer)

    def give_back(self, share: Share, lender: str) -> None:
        """Return all that was borrowed from a host, with the tokens that fit."""
        borrowed = share.borrowed.get(lender, 0.0)
        if borrowed > 0.0 and share.burst > 0.0:
            tokens = min(self._spare(share), borrowed * share.burst)
            self._send_part(share, lender, tokens, borrowed, returned=True)

    def lend_all(self, share: Share, targets: list[str]) -> None:
        """Lend all that is owned to some hosts in equal parts."""
        own = share.own if share.burst > 0.0 else 0.0
        if own <= 0.0:
            return
        for left, host in zip(range(len(targets), 0, -1), targets, strict=True):
            tokens = min(self._spare(share) / left, share.own * share.burst / left)
            self._send_part(share, host, tokens, own / len(targets), returned=False)

    def on_transfer(self, host: str, message: QuotaTransfer) -> Share | None:
        """Book a transfer once.

        :returns: the share, if the workspace has one here.
        """
        state = self.state
        if not self.hear(host, message.incarnation, message.table):
            return None
        if message.to_incarnation != state.incarnation:
            return None
        link = state.link(host)
        asked_at = self._answered(link, message.ask_id)
        if message.lender != state.host:
            self._see_epoch(link, message.epoch)
            if message.epoch == link.lender_epoch:
                link.valid_until = max(link.valid_until, asked_at + LOAN_S)
        share = state.shares.get(message.workspace)
        if share is None:
            return None
        if message.transfer_id:
            self._book(link, share, message)
        return share

    def on_receipt(self, host: str, receipt: QuotaReceipt) -> None:
        """Stop resending a transfer, or take an answer to an ask without a workspace."""
        state = self.state
        if receipt.to_incarnation != state.incarnation:
            self.hear(host, receipt.incarnation, 0)
            return
        if not self.hear(host, receipt.incarnation, receipt.table):
            return
        link = state.link(host)
        if receipt.transfer_id:
            link.outbox.pop(int(receipt.transfer_id.rpartition(".")[2]), None)
            return
        asked_at = self._answered(link, receipt.ask_id)
        self._see_epoch(link, receipt.epoch)
        if asked_at == float("-inf"):
            return
        if receipt.epoch == link.lender_epoch:
            link.valid_until = max(link.valid_until, asked_at + LOAN_S)
        link.confirmed = True
        link.confirmed_at = state.now
        if receipt.table and receipt.table == state.table.number:
            state.lease_until = max(state.lease_until, asked_at + LEASE_S)

    def hear(self, host: str, incarnation: int, table: int) -> bool:
        """Note incarnation and table of a sender; False for a message of a dead process."""
        link = self.state.link(host)
        if incarnation < link.incarnation:
            return False
        if incarnation > link.incarnation:
            link = self._replace(link, incarnation)
        if table > link.table:
            # The peer dropped all that it borrowed under an older table.
            link.table = table
            self.take_back(link)
        return True

    def _replace(self, link: PeerLink, incarnation: int) -> PeerLink:
        """Start a ledger with a new process of the peer, which holds no loans of this host."""
        self.take_back(link)
        self.drop_borrowed(link)
        fresh = self.state.links[link.host] = PeerLink(link.host)
        fresh.incarnation = incarnation
        fresh.epoch, fresh.asks, fresh.confirmed = link.epoch, link.asks, link.confirmed
        return fresh

    def take_back(self, link: PeerLink) -> None:
        """End all loans to a peer that cannot use them any more."""
        if not link.lends:
            return
        link.lends = False
        link.epoch += 1
        link.outbox = {n: t for n, t in link.outbox.items() if t.lender != self.state.host}
        for share in self.state.shares.values():
            if share.lent.pop(link.host, None) is not None:
                self._changed(share)

    def drop_borrowed(self, link: PeerLink) -> None:
        """Forget all loans of a peer, with the tokens that do not fit any more."""
        if not link.borrows:
            return
        link.borrows = False
        link.outbox = {n: t for n, t in link.outbox.items() if t.lender == self.state.host}
        for share in self.state.shares.values():
            if share.borrowed.pop(link.host, None) is not None:
                self._changed(share)

    def expire(self) -> None:
        """End the loans whose time is over; called before anything is spent."""
        state = self.state
        if state.now < self.expiry_at:
            return
        self.expiry_at = float("inf")
        for link in list(state.links.values()):
            lent_until = link.last_contact_at + LOAN_S + LOAN_GUARD_S
            if link.lends and state.now > lent_until:
                self.take_back(link)
            elif link.lends:
                self.expiry_at = min(self.expiry_at, lent_until)
            if link.borrows and state.now >= link.valid_until:
                self.drop_borrowed(link)
            elif link.borrows:
                self.expiry_at = min(self.expiry_at, link.valid_until)

    def tick(self) -> None:
        """Resend transfers and renew what is borrowed."""
        state = self.state
        for link in state.links.values():
            if link.outbox and state.now - link.resend_at >= RESEND_S:
                link.resend_at = state.now
                oldest = min(link.outbox)
                for message in link.outbox.values():
                    state.send(link.host, replace(message, oldest_number=oldest))
        for host in state.lenders():
            if state.now > state.link(host).valid_until - LOAN_S / 2.0:
                self.hello(host)

    def _book(self, link: PeerLink, share: Share, message: QuotaTransfer) -> None:
        state = self.state
        if message.table > state.table.number:
            return
        current = message.table == state.table.number
        loan = message.lender == link.host
        fits = loan and current and message.epoch == link.lender_epoch
        if fits and state.now >= link.valid_until:
            self.hello(link.host)
            return
        if link.first_sight(message.number, message.oldest_number) and current:
            if fits:
                link.borrows = True
                share.borrowed[link.host] = share.borrowed.get(link.host, 0.0) + message.capacity
                self.expiry_at = min(self.expiry_at, link.valid_until)
                self._add(share, message.tokens)
            elif not loan and message.epoch == link.epoch:
                left = share.lent.get(link.host, 0.0) - message.capacity
                share.lent[link.host] = max(0.0, left)
                self._add(share, message.tokens)
        receipt = QuotaReceipt(
            message.transfer_id,
            state.host,
            state.incarnation,
            message.incarnation,
            state.table.number,
        )
        state.send(link.host, receipt)

    def _add(self, share: Share, tokens: float) -> None:
        self._changed(share)
        share.bucket.add(tokens)

    def _changed(self, share: Share) -> None:
        share.refresh(self.state.now)
        self.state.changed.add(share.workspace)

    def _answered(self, link: PeerLink, ask_id: int) -> float:
        """Return when an ask was sent; -inf if it is unknown or of an earlier answer."""
        return link.asks.get(ask_id, float("-inf"))

    def _see_epoch(self, link: PeerLink, epoch: int) -> None:
        if epoch > link.lender_epoch:
            self.drop_borrowed(link)
            link.lender_epoch = epoch
            link.valid_until = float("-inf")

    def _spare(self, share: Share) -> float:
        """Return the tokens that the share's own queue does not need."""
        return max(0.0, share.bucket.level - sum(w.tokens for w in share.waiting))

    def _move(
        self, share: Share, host: str, tokens: float, limit: float, idle: bool, *, returned: bool
    ) -> float:
        """Give at least ``tokens`` if possible, and half of what is idle; return the tokens."""
        spare = min(self._spare(share), limit * share.burst)
        if spare <= 0.0:
            return 0.0
        amount = min(spare, max(tokens, spare / 2.0 if idle else 0.0))
        fraction = limit * amount / spare if idle else amount / share.burst
        return self._send_part(share, host, amount, min(limit, fraction), returned=returned)

    def _return_others(self, share: Share, host: str) -> None:
        """Give idle loans back to their owners, which the asking host can ask as well."""
        self.ask_id, ask_id = 0, self.ask_id
        for lender in list(share.borrowed):
            if lender != host:
                self.give_back(share, lender)
        self.ask_id = ask_id

    def _send_part(
        self, share: Share, host: str, tokens: float, fraction: float, *, returned: bool
    ) -> float:
        bucket = share.bucket
        # Capacity that the remaining level and refunds need stays here.
        room = bucket.capacity - bucket.level - bucket.refundable + tokens
        fraction = min(fraction, max(0.0, room) / share.burst)
        tokens = min(tokens, fraction * share.burst)
        if fraction < MIN_FRACTION:
            return 0.0
        ledger = share.borrowed if returned else share.lent
        bucket.take(tokens)
        ledger[host] = ledger.get(host, 0.0) + (-fraction if returned else fraction)
        if ledger[host] <= 0.0:
            del ledger[host]
        share.refresh(self.state.now)
        self._post(share, host, tokens, fraction, returned)
        return tokens

    def _post(
        self, share: Share, host: str, tokens: float, fraction: float, returned: bool
    ) -> None:
        state = self.state
        link = state.link(host)
        message = self._transfer(link, share.workspace, self.ask_id)
        message.number = link.next_number
        message.transfer_id = f"{state.host}.{state.incarnation}.{message.number}"
        message.tokens, message.capacity, message.rate = tokens, fraction, fraction
        if returned:
            message.lender, message.epoch = host, link.lender_epoch
        link.next_number += 1
        link.outbox[message.number] = message
        message.oldest_number = min(link.outbox)
        link.resend_at = state.now
        if not returned:
            link.lends = True
            link.last_contact_at = max(link.last_contact_at, state.now)
            self.expiry_at = min(self.expiry_at, state.now + LOAN_S + LOAN_GUARD_S)
        state.send(host, message)

    def _transfer(self, link: PeerLink, workspace: str, ask_id: int) -> QuotaTransfer:
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
