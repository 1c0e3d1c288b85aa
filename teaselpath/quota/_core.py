"""Quota state machine of an entry."""

from collections.abc import Sequence

from teaselpath.quota._admission import Admission
from teaselpath.quota._escrow import Escrow
from teaselpath.quota._events import (
    FromPeer,
    LeaseConfirmed,
    LeaveStarted,
    LiveEntriesChanged,
    QuotaEvent,
    ReserveTokens,
    SettleTokens,
    TableRecord,
    WorkspaceQuota,
    WorkspacesChanged,
)
from teaselpath.quota._ownership import ShareOwnership
from teaselpath.quota._remote import RemoteReservations
from teaselpath.quota._state import LEASE_S, QuotaAction, QuotaState
from teaselpath.results import Code
from teaselpath.wire import (
    QuotaAsk,
    QuotaGrant,
    QuotaReceipt,
    QuotaReserve,
    QuotaSettle,
    QuotaTransfer,
)


class QuotaCore:
    """Manages this entry's shares of the workspaces' token buckets.

    :param host: name of this host.
    :param region: region of this host.
    :param incarnation: number of this process, positive and higher than that of the previous
        process on the same host, which must have exited.
    """

    def __init__(self, host: str, region: str, incarnation: int) -> None:
        self.state = QuotaState(host, region, incarnation)
        self.escrow = Escrow(self.state)
        self.admission = Admission(self.state, self.escrow)
        self.remote = RemoteReservations(self.state)
        self.ownership = ShareOwnership(self.state, self.escrow)

    def handle(self, event: QuotaEvent, now: float) -> list[QuotaAction]:
        """Apply an event; each reservation gets exactly one ``Granted`` or ``Denied``."""
        self._advance_clock(now)
        match event:
            case ReserveTokens():
                self._reserve(event)
            case SettleTokens():
                if not self.admission.settle(event):
                    self.remote.settle(event)
            case FromPeer(host, message):
                self._from_peer(host, message)
            case WorkspacesChanged(workspaces):
                self._change_workspaces(workspaces)
            case LiveEntriesChanged(entries):
                self.state.live_entries = {entry.host: entry for entry in entries}
                self.ownership.handle_live_entries()
            case TableRecord(offset, data):
                self.ownership.handle_record(offset, data)
            case LeaseConfirmed(started_at):
                self._confirm_lease(started_at)
            case LeaveStarted():
                self.ownership.leave()
        return self._finish()

    def tick(self, now: float) -> list[QuotaAction]:
        """Run the timers; call it about every 50 ms while reservations wait, else every 500 ms."""
        self._advance_clock(now)
        self.ownership.tick()
        self.escrow.tick()
        self.admission.tick()
        self.remote.tick()
        return self._finish()

    def _advance_clock(self, now: float) -> None:
        """Advance the clock, which never goes back, and expire loans before anything else.

        The first call sets ``started_at``.
        """
        state = self.state
        state.now = max(state.now, now)
        state.started_at = min(state.started_at, state.now)
        self.escrow.expire()

    def _finish(self) -> list[QuotaAction]:
        state = self.state
        if state.changed:
            changed, state.changed = state.changed, set()
            self.admission.serve(changed)
            state.changed.clear()
        actions, state.actions = state.actions, []
        return actions

    def _reserve(self, event: ReserveTokens) -> None:
        state = self.state
        is_known = event.workspace in state.quotas
        is_local = is_known and state.host in state.table.shareholders(event.workspace)
        if is_known and (state.leaving or not is_local):
            self.remote.reserve(event)
        else:
            self.admission.reserve(event)

    def _confirm_lease(self, started_at: float | None) -> None:
        state = self.state
        at = state.now if started_at is None else min(started_at, state.now)
        state.lease_until = max(state.lease_until, at + LEASE_S)
        state.has_read_log = True
        self.ownership.activate()
        state.changed |= state.waiting

    def _from_peer(self, host: str, message: object) -> None:
        match message:
            case QuotaAsk():
                self.escrow.handle_ask(host, message)
            case QuotaTransfer():
                share = self.escrow.handle_transfer(host, message)
                if share is not None:
                    self.admission.handle_offer(host, share, message)
            case QuotaReceipt():
                self.escrow.handle_receipt(host, message)
                self.ownership.handle_receipt(host)
            case QuotaReserve():
                self.admission.handle_reserve(host, message)
            case QuotaGrant():
                self.remote.handle_grant(host, message)
            case QuotaSettle():
                self.admission.handle_settle(message)

    def _change_workspaces(self, workspaces: Sequence[WorkspaceQuota]) -> None:
        state = self.state
        old, state.quotas = state.quotas, {w.id: (w.rate, w.burst) for w in workspaces}
        for workspace, share in state.shares.items():
            quota = state.quotas.get(workspace)
            if quota == old.get(workspace):
                continue
            share.rate, share.burst = quota or (0.0, 0.0)
            share.refresh(state.now)
            state.changed.add(workspace)
            if quota is None:
                self.admission.refuse_all(share, Code.WRONG_WORKSPACE)
        for workspace in state.quotas.keys() - old.keys():
            self.ownership.add_share(workspace)
        self.ownership.activate()
