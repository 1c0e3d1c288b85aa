"""Reservations at a home: grant, wait for other homes, or refuse with a true retry time."""

from collections import OrderedDict
from collections.abc import Iterable

from teaselpath.quota._escrow import Escrow
from teaselpath.quota._events import Denied, Granted, ReserveTokens, SettleTokens
from teaselpath.quota._state import PeerOffer, QuotaState, Share
from teaselpath.results import Code
from teaselpath.wire import QuotaGrant, QuotaReserve, QuotaSettle, QuotaTransfer

# An offer older than this is asked for again before a refusal.
OFFER_S = 0.25
# A home that does not answer within this time is skipped for ``UNREACHABLE_S``.
ASK_TIMEOUT_S = 0.2
UNREACHABLE_S = 1.0
# Answers to reservations of other entries are repeated for this long.
ANSWERS_S = 60.0
# Covers rounding in the sum of the accruals, in seconds.
RETRY_MARGIN_S = 1e-6


class Admission:
    """Reservations at one home."""

    def __init__(self, state: QuotaState, escrow: Escrow) -> None:
        self.state = state
        self.escrow = escrow
        # Reservation id -> workspace, until it is settled.
        self.workspaces: dict[str, str] = {}
        # Reservation id -> entry that asked for it, while it waits.
        self.askers: dict[str, str] = {}
        # Reservation id -> instant until which a granted one is answered again.
        self.answered: OrderedDict[str, float] = OrderedDict()

    def reserve(self, request: ReserveTokens) -> None:
        """Queue a reservation; ``serve`` decides on it."""
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
        """Settle a reservation of this host; False if it is not one of this home."""
        workspace = self.workspaces.pop(event.reservation_id, None)
        if workspace is None:
            return False
        self._settle(workspace, event.reservation_id, event.used)
        return True

    def on_reserve(self, host: str, message: QuotaReserve) -> None:
        """Take a reservation of another entry; a repeated one gets the same answer."""
        state, reservation_id = self.state, message.reservation_id
        if reservation_id in self.answered:
            state.send(host, QuotaGrant(reservation_id, True))
        elif reservation_id not in self.askers:
            self.askers[reservation_id] = host
            known = message.workspace in state.quotas
            if known and (message.workspace not in state.shares or state.leaving):
                request = ReserveTokens(reservation_id, message.workspace, 0.0, 0.0)
                self._refuse(request, Code.QUOTA_UNCONFIRMED, 0.0)
                return
            deadline = state.now + message.remaining_ms / 1000.0
            self.reserve(ReserveTokens(reservation_id, message.workspace, message.tokens, deadline))

    def on_settle(self, message: QuotaSettle) -> None:
        """Settle a reservation of another entry; unknown ones change nothing."""
        self._settle(message.workspace, message.reservation_id, message.used)

    def on_offer(self, host: str, share: Share, message: QuotaTransfer) -> None:
        """Remember what another home could still give."""
        if message.ask_id and not message.transfer_id:
            share.asked_at.pop(host, None)
            share.offers[host] = PeerOffer(
                message.left_tokens, message.left_capacity, message.left_rate, self.state.now
            )
        self.state.changed.add(share.workspace)

    def serve(self, workspaces: Iterable[str]) -> None:
        """Decide on the queues of some workspaces."""
        for workspace in workspaces:
            share = self.state.shares.get(workspace)
            if share is not None and share.waiting:
                self._serve(share)
            if share is None or not share.waiting:
                self.state.waiting.discard(workspace)

    def refuse_all(self, share: Share, code: Code) -> None:
        """Refuse the queue of a workspace."""
        while share.waiting:
            self._refuse(share.waiting.popleft(), code, 0.0)

    def tick(self) -> None:
        """Refuse what waited too long and forget old answers."""
        self.serve(list(self.state.waiting))
        while self.answered and next(iter(self.answered.values())) <= self.state.now:
            self.answered.popitem(last=False)

    def _serve(self, share: Share) -> None:
        state = self.state
        share.bucket.accrue(state.now)
        self._expire(share)
        if not state.has_valid_lease():
            for host in self.state.other_homes(share.workspace):
                self.escrow.hello(host)
            return
        while share.waiting:
            request = share.waiting[0]
            if share.bucket.try_reserve(request.reservation_id, request.tokens, state.now):
                share.waiting.popleft()
                share.reserved_at = state.now
                self._grant(request)
            elif self._must_wait(share, request):
                return
            else:
                share.waiting.popleft()
                self._refuse(request, Code.RATE_EXCEEDED, self.retry_after_s(share, request))

    def _expire(self, share: Share) -> None:
        """Refuse requests past their deadline, wherever they are in the queue."""
        late = [request for request in share.waiting if request.deadline <= self.state.now]
        for request in late:
            if self.state.has_valid_lease() and share.bucket.level >= request.tokens:
                continue
            share.waiting.remove(request)
            if self.state.has_valid_lease():
                wait_s = self.retry_after_s(share, request)
                self._refuse(request, Code.RATE_EXCEEDED, wait_s)
            else:
                self._refuse(request, Code.QUOTA_UNCONFIRMED, 0.0)

    def _must_wait(self, share: Share, request: ReserveTokens) -> bool:
        """Ask the other homes, own region first; False when none of them can help in time."""
        now = self.state.now
        if request.deadline <= now:
            return False
        slots, homes = self.state.table.slots, self.state.other_homes(share.workspace)
        for near in (True, False):
            hosts = [host for host in homes if (slots[host] == self.state.region) is near]
            if self._ask_stale(share, request, hosts):
                return True
        wait_s = self._seconds_until(share, request.tokens)
        return now + wait_s <= request.deadline

    def _ask_stale(self, share: Share, request: ReserveTokens, hosts: list[str]) -> bool:
        """Ask homes without a fresh offer; return whether an answer is outstanding."""
        now, outstanding = self.state.now, False
        # One token more, because a sum of transfers may round to just below what is needed.
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
            if self._is_fresh(share, share.offers.get(host), request):
                continue
            share.asked_at[host] = now
            self.escrow.ask(host, share.workspace, needed)
            outstanding = True
        return outstanding

    def _is_fresh(self, share: Share, offer: PeerOffer | None, request: ReserveTokens) -> bool:
        """Return whether asking again now would bring nothing new."""
        if offer is None:
            return False
        age = self.state.now - offer.at
        if not offer.reachable:
            return age < UNREACHABLE_S
        gain = offer.tokens_at(self.state.now, share.burst, share.rate)
        # Small requests ask for what is there; a large one needs enough from all together.
        worthwhile = gain >= min(request.tokens - share.bucket.level, share.burst / 100.0)
        return age < OFFER_S and not worthwhile

    def retry_after_s(self, share: Share, request: ReserveTokens) -> float:
        """Return the seconds until the request fits if nothing else arrives; 0 if unknown."""
        wait_s = self._seconds_until(share, request.tokens)
        return 0.0 if wait_s == float("inf") else wait_s + RETRY_MARGIN_S

    def _seconds_until(self, share: Share, tokens: float) -> float:
        """Return when own level and the offers together reach ``tokens``."""
        bucket = share.bucket
        total, parts = bucket.level, [(bucket.capacity - bucket.level, bucket.rate)]
        for offer in share.offers.values():
            have = offer.tokens_at(self.state.now, share.burst, share.rate)
            total += have
            parts.append((offer.capacity * share.burst - have, offer.rate * share.rate))
        slope = sum(rate for room, rate in parts if room > 0.0)
        at = 0.0
        for full_at, rate in sorted((room / rate, rate) for room, rate in parts if rate > 0.0):
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
        asker = self.askers.pop(reservation_id, None)
        if asker is None:
            self.workspaces[reservation_id] = request.workspace
            state.out.append(Granted(reservation_id))
        else:
            self.answered[reservation_id] = state.now + ANSWERS_S
            state.send(asker, QuotaGrant(reservation_id, True))

    def _refuse(self, request: ReserveTokens, code: Code, retry_after_s: float) -> None:
        asker = self.askers.pop(request.reservation_id, None)
        if asker is None:
            self.state.out.append(Denied(request.reservation_id, code, retry_after_s))
        else:
            # Rounded up, so that a retry at the stated time is not too early.
            retry_ms = -int(-retry_after_s * 1000.0 // 1)
            self.state.send(asker, QuotaGrant(request.reservation_id, False, code, retry_ms))

    def _settle(self, workspace: str, reservation_id: str, used: float) -> None:
        share = self.state.shares.get(workspace)
        if share is not None:
            share.bucket.settle(reservation_id, used, self.state.now)
            self.state.changed.add(workspace)
