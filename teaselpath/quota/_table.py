"""Share tables: which hosts own shares, decided by the order of records on the log."""

import msgspec

from teaselpath.utils import rendezvous_top

SHARES_STREAM = "shares"
SHAREHOLDERS_PER_REGION = 2
# Up to this number of entries, each is a shareholder of every workspace. A reservation is then sent
# to another host only before a process has a table, or while it leaves.
ALL_SHAREHOLDERS_LIMIT = 4


class ShareRecord(msgspec.Struct, omit_defaults=True):
    """Record of the stream.

    :param kind: ``table`` proposes slots that replace those of table ``base``; ``settled`` states
        that all hosts of ``table`` have applied it; ``handover`` states that a leaving process has
        released its shares.
    :param slots: host and region of each host that may own shares.
    """

    kind: str
    base: int = 0
    table: int = 0
    slots: list[tuple[str, str]] = []
    host: str = ""
    incarnation: int = 0


class ShareTable:
    """Share table as a pure function of the records of the stream in offset order.

    The number of a table is derived from its offset. A table is accepted only if it is based on the
    current one, so the log decides races between proposers. A settled record of the current or a
    later table is accepted and carries the slots, which lets a node start from a trimmed log. Such
    a node may wrongly accept a proposal with base 0, which the other nodes ignore because they
    already have a table; a settled record overrides it.
    """

    def __init__(self) -> None:
        self.number = 0
        self.slots: dict[str, str] = {}
        self.settled = False
        # Whether the record at offset 0 was read, so that the log was not trimmed.
        self.log_starts_at_zero = False
        self.offset = -1
        # Offset of the last settled record of the current table.
        self.settled_offset = -1
        # Incarnation that last released its shares, by host.
        self.handovers: dict[str, int] = {}
        self._regions: dict[str, list[str]] = {}
        self._shareholders: dict[str, tuple[str, ...]] = {}

    def handle(self, offset: int, data: bytes) -> bool:
        """Apply a record and return whether the table or its settled state changed."""
        if offset <= self.offset:
            return False
        self.log_starts_at_zero = self.log_starts_at_zero or offset == 0
        self.offset = offset
        try:
            record = msgspec.json.decode(data, type=ShareRecord)
        except msgspec.DecodeError:
            return False
        match record.kind:
            case "table" if record.base == self.number:
                # Number 0 means "no table", hence the offset plus one.
                return self._install(offset + 1, record, settled=False)
            case "settled" if record.table > self.number or not (
                self.settled or self.log_starts_at_zero
            ):
                self.settled_offset = offset
                return self._install(record.table, record, settled=True)
            case "settled" if record.table == self.number:
                self.settled_offset = offset
                changed, self.settled = not self.settled, True
                return changed
            case "handover":
                self.handovers[record.host] = record.incarnation
        return False

    def shareholders(self, workspace: str) -> tuple[str, ...]:
        """Return the hosts that own shares of a workspace, in the same order on each node."""
        found = self._shareholders.get(workspace)
        if found is None:
            found = self._shareholders[workspace] = self._rank(workspace)
        return found

    def fraction(self, workspace: str, host: str) -> float:
        """Return the fraction of a workspace's rate and burst that a host owns."""
        shareholders = self.shareholders(workspace)
        return 1.0 / len(shareholders) if host in shareholders else 0.0

    def _rank(self, workspace: str) -> tuple[str, ...]:
        """Choose the shareholders of a workspace: all hosts, or the first few of each region."""
        key = workspace.encode()
        if len(self.slots) <= ALL_SHAREHOLDERS_LIMIT:
            return tuple(rendezvous_top(key, self.slots, len(self.slots)))
        chosen: list[str] = []
        for region in sorted(self._regions):
            chosen += rendezvous_top(key, self._regions[region], SHAREHOLDERS_PER_REGION)
        return tuple(chosen)

    def _is_unaffected(
        self, shareholders: tuple[str, ...], workspace: str, joined: dict[str, str]
    ) -> bool:
        """Return whether joining hosts leave the shareholders of a workspace unchanged."""
        key = workspace.encode()
        for host, region in joined.items():
            competitors = [other for other in shareholders if self.slots[other] == region]
            if host in rendezvous_top(key, [host, *competitors], SHAREHOLDERS_PER_REGION):
                return False
        return True

    def _install(self, number: int, record: ShareRecord, *, settled: bool) -> bool:
        old, self.slots = self.slots, dict(record.slots)
        self.number = number
        self.settled = settled
        self._regions = {}
        for host, region in self.slots.items():
            self._regions.setdefault(region, []).append(host)
        self._evict_changed_shareholders(old)
        return True

    def _evict_changed_shareholders(self, old: dict[str, str]) -> None:
        """Evict the cached shareholders of the workspaces that a change of slots affects.

        Choosing the shareholders of all workspaces again takes seconds.
        """
        if min(len(old), len(self.slots)) <= ALL_SHAREHOLDERS_LIMIT:
            self._shareholders.clear()
            return
        joined = {h: r for h, r in self.slots.items() if old.get(h) != r}
        for workspace, shareholders in list(self._shareholders.items()):
            kept = all(self.slots.get(host) == old[host] for host in shareholders)
            if not kept or not self._is_unaffected(shareholders, workspace, joined):
                del self._shareholders[workspace]


def encode_table(base: int, slots: dict[str, str]) -> bytes:
    """Encode the proposal of a table with slots (host -> region)."""
    return msgspec.json.encode(ShareRecord("table", base=base, slots=sorted(slots.items())))


def encode_settled(table: ShareTable) -> bytes:
    """Encode the settled record of the current table.

    It completes the change to this table, or repeats an earlier settled record.
    """
    slots = sorted(table.slots.items())
    return msgspec.json.encode(ShareRecord("settled", table=table.number, slots=slots))


def encode_handover(host: str, incarnation: int) -> bytes:
    """Encode the record of a process that has released its shares."""
    return msgspec.json.encode(ShareRecord("handover", host=host, incarnation=incarnation))
