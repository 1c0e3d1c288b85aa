"""Reservations of an entry that is not a home of the workspace."""

from dataclasses import dataclass

from teaselpath.quota._events import Denied, Granted, ReserveTokens, SettleTokens
from teaselpath.quota._state import QuotaState
from teaselpath.results import Code
from teaselpath.wire import QuotaGrant, QuotaReserve, QuotaSettle

# A lost reservation or answer is repeated after this time, at the next home from the second time.
RESERVE_RESEND_S = 0.15
TRIES_PER_HOME = 2


@dataclass(slots=True)
class _Pending:
    request: ReserveTokens
    homes: list[str]
    tries: int = 0
    sent_at: float = float("-inf")


class RemoteReservations:
    """Reservations that this entry makes at the nearest home."""

    def __init__(self, state: QuotaState) -> None:
        self.state = state
        self.pending: dict[str, _Pending] = {}
        # Reservation id -> (workspace, home) of granted ones.
        self.granted: dict[str, tuple[str, str]] = {}

    def reserve(self, request: ReserveTokens) -> None:
        """Send a reservation to the nearest home."""
        homes = self.state.other_homes(request.workspace) or self._live_entries()
        if not homes:
            self._deny(request, Code.QUOTA_UNCONFIRMED, 0.0)
            return
        pending = self.pending[request.reservation_id] = _Pending(request, homes)
        self._send(pending)

    def _live_entries(self) -> list[str]:
        """Return the other entries, own region first, while no share table is known.

        A process that starts while the log is down has no table; the entries that run have one, and
        those that are not homes of the workspace say so.
        """
        state = self.state
        homes = [home for home in state.live_entries.values() if home.host != state.host]
        homes.sort(key=lambda home: (home.region != state.region, home.host))
        return [home.host for home in homes]

    def settle(self, event: SettleTokens) -> None:
        """Send the settlement; if it is lost, the tokens stay charged."""
        known = self.granted.pop(event.reservation_id, None)
        if known is not None:
            workspace, home = known
            used = -int(-event.used // 1)
            self.state.send(home, QuotaSettle(event.reservation_id, workspace, used))

    def on_grant(self, host: str, message: QuotaGrant) -> None:
        """Take the answer of a home; a second grant of one reservation is given back."""
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
            self.state.out.append(Granted(reservation_id))
        elif message.code == Code.QUOTA_UNCONFIRMED and pending.tries < len(pending.homes):
            pending.tries = (pending.tries // TRIES_PER_HOME + 1) * TRIES_PER_HOME
            self._send(pending)
        else:
            del self.pending[reservation_id]
            self._deny(pending.request, Code(message.code), message.retry_after_ms / 1000.0)

    def tick(self) -> None:
        """Repeat unanswered reservations and refuse late ones."""
        now = self.state.now
        for reservation_id, pending in list(self.pending.items()):
            if now >= pending.request.deadline:
                del self.pending[reservation_id]
                for home in pending.homes[: pending.tries]:
                    message = QuotaSettle(reservation_id, pending.request.workspace, 0)
                    self.state.send(home, message)
                self._deny(pending.request, Code.QUOTA_UNCONFIRMED, 0.0)
            elif now - pending.sent_at >= RESERVE_RESEND_S:
                self._send(pending)

    def _send(self, pending: _Pending) -> None:
        request, now = pending.request, self.state.now
        home = pending.homes[pending.tries // TRIES_PER_HOME % len(pending.homes)]
        pending.tries += 1
        pending.sent_at = now
        remaining_ms = max(1, int((request.deadline - now) * 1000.0))
        tokens = -int(-request.tokens // 1)
        message = QuotaReserve(
            request.reservation_id, request.workspace, self.state.host, tokens, remaining_ms
        )
        self.state.send(home, message)

    def _deny(self, request: ReserveTokens, code: Code, retry_after_s: float) -> None:
        self.state.out.append(Denied(request.reservation_id, code, retry_after_s))
