"""Reservations of an entry that starts during an outage of the log."""

from teaselpath.quota import (
    FromPeer,
    Granted,
    LiveEntriesChanged,
    LiveEntry,
    QuotaCore,
    ReserveTokens,
    WorkspaceQuota,
    WorkspacesChanged,
)
from teaselpath.wire import QuotaGrant, QuotaReserve, Send


def test_entry_without_a_share_table_reserves_at_a_live_entry():
    """Guards against refusals throughout an outage of the log after a restart."""
    core = QuotaCore("entry-1", "region-a", 2)
    core.handle(WorkspacesChanged([WorkspaceQuota("office", 100.0, 1000.0)]), 0.0)
    entries = [
        LiveEntry("entry-0", "region-b"),
        LiveEntry("entry-1", "region-a"),
        LiveEntry("entry-2", "region-a"),
    ]
    core.handle(LiveEntriesChanged(entries), 0.0)
    sent = core.handle(ReserveTokens("r", "office", 10, 5.0), 0.0)
    reserves = [a for a in sent if isinstance(a, Send) and isinstance(a.message, QuotaReserve)]
    assert [action.host for action in reserves] == ["entry-2"]
    answer = core.handle(FromPeer("entry-2", QuotaGrant("r", True)), 0.1)
    assert Granted("r") in answer
