"""Reservations at a shareholder: grant, wait for loans, or refuse with an exact retry time."""

from collections import OrderedDict
from collections.abc import Iterable

from teaselpath.quota._escrow import Escrow
from teaselpath.quota._events import Denied, Granted, ReserveTokens, SettleTokens
from teaselpath.quota._state import PeerOffer, QuotaState, Share
from teaselpath.results import Code
from teaselpath.wire import QuotaGrant, QuotaReserve, QuotaSettle, QuotaTransfer

# An offer older than this is requested again before a reservation is refused.
OFFER_MAX_AGE_S = 0.25
# A shareholder that does not answer within this time is skipped for ``UNREACHABLE_BACKOFF_S``.
ASK_TIMEOUT_S = 0.2
UNREACHABLE_BACKOFF_S = 1.0
# Time for which a duplicate of a granted reservation of another entry gets the same answer.
ANSWER_RETENTION_S = 60.0
# Added to each retry time, in seconds, to cover rounding errors in the accrued tokens.
RETRY_MARGIN_S = 1e-6


class Admission:
    """Decides on reservations at one shareholder."""

    def __init__(self, state: QuotaState, escrow: Escrow) -> None:
        self.state = state
        self.escrow = escrow
        # Reservation id -> workspace, for granted reservations of this host until settled.
        self.workspaces: dict[str, str] = {}
        # Reservation id -> requesting entry, while the reservation waits.
        self.requesters: dict[str, str] = {}
        # Reservation id -> instant until which duplicates of a granted one get the same answer.
        self.granted_until: OrderedDict[str, float] = OrderedDict()

    def reserve(self, request: ReserveTokens) -> None:
        """Queue a reservation for ``serve``, or refuse it if it can never be granted."""
        share = self.state.shares.get(request.workspace)
        if share is None or share.burst <= 0.0:
            self._refuse(request, Code.WRONG_WORKSPACE, 0.0)
        elif request.tokens > share.burst:
            self._refuse(request, Code.LARGER_THAN_BURST, 0.0)
        else:
            share.waiting.append(request)
            self.state.waiting.add(share.workspace)
            self.state.changed.add(share.workspace)

    def settle(self, event: SettleTokens) -> bool:
        """Settle a reservation of this host; False if it was not granted here."""
        workspace = self.workspaces.pop(event.reservation_id, None)
        if workspace is None:
            return False
        self._settle(workspace, event.reservation_id, event.used)
        return True

    def handle_reserve(self, host: str, message: QuotaReserve) -> None:
        """Handle a reservation of another entry; a duplicate gets the same answer."""
        state, reservation_id = self.state, message.reservation_id
        if reservation_id in self.granted_until:
            state.send(host, QuotaGrant(reservation_id, True))
        elif reservation_id not in self.requesters:
            self.requesters[reservation_id] = host
            is_known = message.workspace in state.quotas
            if is_known and (message.workspace not in state.shares or state.leaving):
                request = ReserveTokens(reservation_id, message.workspace, 0.0, 0.0)
                self._refuse(request, Code.QUOTA_UNCONFIRMED, 0.0)
                return
            deadline = state.now + message.remaining_ms / 1000.0
            self.reserve(ReserveTokens(reservation_id, message.workspace, message.tokens, deadline))

    def handle_settle(self, message: QuotaSettle) -> None:
        """Settle a reservation of another entry; unknown ones are ignored."""
        self._settle(message.workspace, message.reservation_id, message.used)

    def handle_offer(self, host: str, share: Share, message: QuotaTransfer) -> None:
        """Record what a shareholder that answered an ask could still lend.

        Called for each transfer, but only an offer answers an ask and transfers nothing. In any
        case the queue of the workspace is served again.
        """
        if message.ask_id and not message.transfer_id:
            share.asked_at.pop(host, None)
            share.offers[host] = PeerOffer(
                message.left_tokens, message.left_capacity, message.left_rate, self.state.now
            )
        self.state.changed.add(share.workspace)

    def serve(self, workspaces: Iterable[str]) -> None:
        """Grant or refuse the queued reservations of these workspaces as far as possible."""
        for workspace in workspaces:
            share = self.state.shares.get(workspace)
            if share is not None and share.waiting:
                self._serve(share)
            if share is None or not share.waiting:
                self.state.waiting.discard(workspace)

    def refuse_all(self, share: Share, code: Code) -> None:
        """Refuse all queued reservations of a workspace."""
        while share.waiting:
            self._refuse(share.waiting.popleft(), code, 0.0)

    def tick(self) -> None:
        """Serve all queued reservations and discard old answers."""
        self.serve(list(self.state.waiting))
        while self.granted_until and next(iter(self.granted_until.values())) <= self.state.now:
            self.granted_until.popitem(last=False)

    def _serve(self, share: Share) -> None:
        state = self.state
        share.bucket.accrue(state.now)
        self._expire(share)
        if not state.has_valid_lease():
            for host in self.state.other_shareholders(share.workspace):
                self.escrow.request_receipt(host)
            return
        while share.waiting:
            request = share.waiting[0]
            if share.bucket.try_reserve(request.reservation_id, request.tokens, state.now):
                share.waiting.popleft()
                share.reserved_at = state.now
                self._grant(request)
            elif self._can_wait(share, request):
                return
            else:
                share.waiting.popleft()
                self._refuse(request, Code.RATE_EXCEEDED, self.retry_after_s(share, request))

    def _expire(self, share: Share) -> None:
        """Refuse reservations past their deadline, at any position of the queue.

        Those for which the bucket has enough tokens stay while the lease is valid.
        """
        overdue = [request for request in share.waiting if request.deadline <= self.state.now]
        for request in overdue:
            if self.state.has_valid_lease() and share.bucket.level >= request.tokens:
                continue
            share.waiting.remove(request)
            if self.state.has_valid_lease():
                wait_s = self.retry_after_s(share, request)
                self._refuse(request, Code.RATE_EXCEEDED, wait_s)
            else:
                self._refuse(request, Code.QUOTA_UNCONFIRMED, 0.0)

    def _can_wait(self, share: Share, request: ReserveTokens) -> bool:
        """Return whether a reservation can wait; ask the other shareholders, own region first.

        It can wait while an answer is outstanding, or if the own level and the offers add up to
        its tokens by its deadline.
        """
        now = self.state.now
        if request.deadline <= now:
            return False
        slots, shareholders = self.state.table.slots, self.state.other_shareholders(share.workspace)
        for same_region in (True, False):
            hosts = [
                host for host in shareholders if (slots[host] == self.state.region) is same_region
            ]
            if self._request_offers(share, request, hosts):
                return True
        wait_s = self._seconds_until(share, request.tokens)
        return now + wait_s <= request.deadline

    def _request_offers(self, share: Share, request: ReserveTokens, hosts: list[str]) -> bool:
        """Ask hosts unless that is useless; return whether an answer is outstanding."""
        now, outstanding = self.state.now, False
        # One extra token, because the sum of transfers may round to just below the demand.
        needed = sum(waiting.tokens for waiting in share.waiting) - share.bucket.level + 1.0
        for host in hosts:
            asked_at = share.asked_at.get(host)
            if asked_at is not None and now - asked_at < ASK_TIMEOUT_S:
                outstanding = True
                continue
            if asked_at is not None:
                del share.asked_at[host]
                share.offers[host] = PeerOffer(0.0, 0.0, 0.0, now, reachable=False)
                continue
            if self._is_ask_useless(share, share.offers.get(host), request):
                continue
            share.asked_at[host] = now
            self.escrow.ask(host, share.workspace, needed)
            outstanding = True
        return outstanding

    def _is_ask_useless(
        self, share: Share, offer: PeerOffer | None, request: ReserveTokens
    ) -> bool:
        """Return whether an ask would be useless now.

        It is if the host recently left an ask unanswered, or recently offered too little.
        """
        if offer is None:
            return False
        age = self.state.now - offer.received_at
        if not offer.reachable:
            return age < UNREACHABLE_BACKOFF_S
        gain = offer.tokens_at(self.state.now, share.burst, share.rate)
        # The offer has to cover what the request lacks. For a large request 1 % of the burst is
        # enough, because the offers of several hosts add up.
        is_sufficient = gain >= min(request.tokens - share.bucket.level, share.burst / 100.0)
        return age < OFFER_MAX_AGE_S and not is_sufficient

    def retry_after_s(self, share: Share, request: ReserveTokens) -> float:
        """Return the seconds until the request fits if no others arrive; 0 if unknown."""
        wait_s = self._seconds_until(share, request.tokens)
        return 0.0 if wait_s == float("inf") else wait_s + RETRY_MARGIN_S

    def _seconds_until(self, share: Share, tokens: float) -> float:
        """Return the seconds until own level and offers add up to ``tokens``; inf if never."""
        bucket = share.bucket
        total, sources = bucket.level, [(bucket.capacity - bucket.level, bucket.rate)]
        for offer in share.offers.values():
            available = offer.tokens_at(self.state.now, share.burst, share.rate)
            total += available
            sources.append((offer.capacity * share.burst - available, offer.rate * share.rate))
        slope = sum(rate for room, rate in sources if room > 0.0)
        at = 0.0
        for full_at, rate in sorted((room / rate, rate) for room, rate in sources if rate > 0.0):
            if total >= tokens:
                break
            if full_at <= at:
                continue
            gain = slope * (full_at - at)
            if total + gain >= tokens:
                return at + (tokens - total) / slope
            total, at, slope = total + gain, full_at, slope - rate
        return at if total >= tokens else float("inf")

    def _grant(self, request: ReserveTokens) -> None:
        state, reservation_id = self.state, request.reservation_id
        requester = self.requesters.pop(reservation_id, None)
        if requester is None:
            self.workspaces[reservation_id] = request.workspace
            state.actions.append(Granted(reservation_id))
        else:
            self.granted_until[reservation_id] = state.now + ANSWER_RETENTION_S
            state.send(requester, QuotaGrant(reservation_id, True))

    def _refuse(self, request: ReserveTokens, code: Code, retry_after_s: float) -> None:
        requester = self.requesters.pop(request.reservation_id, None)
        if requester is None:
            self.state.actions.append(Denied(request.reservation_id, code, retry_after_s))
        else:
            # Rounded up, so that a retry after this time is not too early.
            retry_ms = -int(-retry_after_s * 1000.0 // 1)
            self.state.send(requester, QuotaGrant(request.reservation_id, False, code, retry_ms))

    def _settle(self, workspace: str, reservation_id: str, used: float) -> None:
        share = self.state.shares.get(workspace)
        if share is not None:
            share.bucket.settle(reservation_id, used, self.state.now)
            self.state.changed.add(workspace)
