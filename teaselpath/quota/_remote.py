"""Reservations of an entry that is not a shareholder of the workspace."""

from dataclasses import dataclass

from teaselpath.quota._events import Denied, Granted, ReserveTokens, SettleTokens
from teaselpath.quota._state import QuotaState
from teaselpath.results import Code
from teaselpath.wire import QuotaGrant, QuotaReserve, QuotaSettle

# An unanswered reservation is resent after this time: to the same host until that was asked
# ``ATTEMPTS_PER_HOST`` times, then to the next.
RESERVE_RESEND_INTERVAL_S = 0.15
ATTEMPTS_PER_HOST = 2


@dataclass(slots=True)
class _Pending:
    request: ReserveTokens
    targets: list[str]
    attempts: int = 0
    sent_at: float = float("-inf")


class RemoteReservations:
    """Reserves tokens at the nearest shareholder, or at another entry if no table is known."""

    def __init__(self, state: QuotaState) -> None:
        self.state = state
        self.pending: dict[str, _Pending] = {}
        # Id of a granted reservation -> (workspace, granting host).
        self.granted: dict[str, tuple[str, str]] = {}

    def reserve(self, request: ReserveTokens) -> None:
        """Send a reservation to the nearest shareholder."""
        targets = self.state.other_shareholders(request.workspace) or self._live_entries()
        if not targets:
            self._refuse(request, Code.QUOTA_UNCONFIRMED, 0.0)
            return
        pending = self.pending[request.reservation_id] = _Pending(request, targets)
        self._send(pending)

    def _live_entries(self) -> list[str]:
        """Return the other live entries, own region first, for use without a share table.

        A process that starts during an outage of the log has no table. Running entries have one,
        and those that are not shareholders of the workspace refuse the reservation.
        """
        state = self.state
        entries = [entry for entry in state.live_entries.values() if entry.host != state.host]
        entries.sort(key=lambda entry: (entry.region != state.region, entry.host))
        return [entry.host for entry in entries]

    def settle(self, event: SettleTokens) -> None:
        """Send the settlement, once; if the message is lost, all tokens stay charged."""
        known = self.granted.pop(event.reservation_id, None)
        if known is not None:
            workspace, target = known
            # Rounded up to whole tokens.
            used = -int(-event.used // 1)
            self.state.send(target, QuotaSettle(event.reservation_id, workspace, used))

    def handle_grant(self, host: str, message: QuotaGrant) -> None:
        """Handle the answer of a host; a grant by a second host is refunded."""
        reservation_id = message.reservation_id
        pending = self.pending.get(reservation_id)
        if pending is None:
            known = self.granted.get(reservation_id)
            if message.granted and known is not None and known[1] != host:
                self.state.send(host, QuotaSettle(reservation_id, known[0], 0))
            return
        if message.granted:
            del self.pending[reservation_id]
            self.granted[reservation_id] = (pending.request.workspace, host)
            self.state.actions.append(Granted(reservation_id))
        elif message.code == Code.QUOTA_UNCONFIRMED and pending.attempts < len(pending.targets):
            # Skips the remaining attempts at this host; if none remains, all those at the next one.
            pending.attempts = (pending.attempts // ATTEMPTS_PER_HOST + 1) * ATTEMPTS_PER_HOST
            self._send(pending)
        else:
            del self.pending[reservation_id]
            self._refuse(pending.request, Code(message.code), message.retry_after_ms / 1000.0)

    def tick(self) -> None:
        """Resend unanswered reservations and refuse those past their deadline."""
        now = self.state.now
        for reservation_id, pending in list(self.pending.items()):
            if now >= pending.request.deadline:
                del self.pending[reservation_id]
                # Refund at each host that may have granted it; the others ignore the message. No
                # more hosts were asked than there were attempts.
                for target in pending.targets[: pending.attempts]:
                    message = QuotaSettle(reservation_id, pending.request.workspace, 0)
                    self.state.send(target, message)
                self._refuse(pending.request, Code.QUOTA_UNCONFIRMED, 0.0)
            elif now - pending.sent_at >= RESERVE_RESEND_INTERVAL_S:
                self._send(pending)

    def _send(self, pending: _Pending) -> None:
        request, now = pending.request, self.state.now
        target = pending.targets[pending.attempts // ATTEMPTS_PER_HOST % len(pending.targets)]
        pending.attempts += 1
        pending.sent_at = now
        remaining_ms = max(1, int((request.deadline - now) * 1000.0))
        # Rounded up to whole tokens.
        tokens = -int(-request.tokens // 1)
        message = QuotaReserve(
            request.reservation_id, request.workspace, self.state.host, tokens, remaining_ms
        )
        self.state.send(target, message)

    def _refuse(self, request: ReserveTokens, code: Code, retry_after_s: float) -> None:
        self.state.actions.append(Denied(request.reservation_id, code, retry_after_s))
