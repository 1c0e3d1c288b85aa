"""Share tables: which hosts hold shares, decided by the order of records on the log."""

import msgspec

from teaselpath.utils import rendezvous_top

SHARES_STREAM = "shares"
HOMES_PER_REGION = 2
# Up to this many entries each is a home of every workspace, so no reservation needs a hop.
ALL_HOMES_LIMIT = 4


class ShareRecord(msgspec.Struct, omit_defaults=True):
    """Record of the stream.

    :param kind: ``table`` proposes slots on top of table ``base``; ``settled`` says that all slots
        of ``table`` have confirmed it; ``handover`` says that a stopping process gave up its share.
    """

    kind: str
    base: int = 0
    table: int = 0
    slots: list[tuple[str, str]] = []
    host: str = ""
    incarnation: int = 0


class ShareTable:
    """Pure function over the records of the stream in offset order.

    A table is numbered by its offset and accepted only if it is based on the current one, so races
    between proposers are settled by the log. A settled record of the current or a later table is
    accepted and carries the slots, which lets a node start from a trimmed log. Such a node may
    take a late proposal of the first table for accepted; a settled record overrides it.
    """

    def __init__(self) -> None:
        self.number = 0
        self.slots: dict[str, str] = {}
        self.settled = False
        self.rooted = False
        self.offset = -1
        # Offset of the last settled record of the current table.
        self.renewed = -1
        self.handovers: dict[str, int] = {}
        self._regions: dict[str, list[str]] = {}
        self._homes: dict[str, tuple[str, ...]] = {}

    def handle(self, offset: int, data: bytes) -> bool:
        """Apply a record and return whether the table or its settled state changed."""
        if offset <= self.offset:
            return False
        self.rooted = self.rooted or offset == 0
        self.offset = offset
        try:
            record = msgspec.json.decode(data, type=ShareRecord)
        except msgspec.DecodeError:
            return False
        match record.kind:
            case "table" if record.base == self.number:
                # Offset 0 would look like "no table".
                return self._install(offset + 1, record, settled=False)
            case "settled" if record.table > self.number or not (self.settled or self.rooted):
                self.renewed = offset
                return self._install(record.table, record, settled=True)
            case "settled" if record.table == self.number:
                self.renewed = offset
                changed, self.settled = not self.settled, True
                return changed
            case "handover":
                self.handovers[record.host] = record.incarnation
        return False

    def shareholders(self, workspace: str) -> tuple[str, ...]:
        """Return the hosts that hold shares of a workspace, in the same order on each node."""
        found = self._homes.get(workspace)
        if found is None:
            found = self._homes[workspace] = self._rank(workspace)
        return found

    def fraction(self, workspace: str, host: str) -> float:
        """Return the part of a workspace's rate and burst that a host owns."""
        homes = self.shareholders(workspace)
        return 1.0 / len(homes) if host in homes else 0.0

    def _rank(self, workspace: str) -> tuple[str, ...]:
        key = workspace.encode()
        if len(self.slots) <= ALL_HOMES_LIMIT:
            return tuple(rendezvous_top(key, self.slots, len(self.slots)))
        chosen: list[str] = []
        for region in sorted(self._regions):
            chosen += rendezvous_top(key, self._regions[region], HOMES_PER_REGION)
        return tuple(chosen)

    def _stays(self, homes: tuple[str, ...], workspace: str, joined: dict[str, str]) -> bool:
        """Return whether the homes of a workspace stay as they are when hosts join."""
        key = workspace.encode()
        for host, region in joined.items():
            rivals = [home for home in homes if self.slots[home] == region]
            if host in rendezvous_top(key, [host, *rivals], HOMES_PER_REGION):
                return False
        return True

    def _install(self, number: int, record: ShareRecord, *, settled: bool) -> bool:
        old, self.slots = self.slots, dict(record.slots)
        self.number = number
        self.settled = settled
        self._regions = {}
        for host, region in self.slots.items():
            self._regions.setdefault(region, []).append(host)
        self._forget_changed_homes(old)
        return True

    def _forget_changed_homes(self, old: dict[str, str]) -> None:
        """Keep the homes that the change of slots leaves alone; ranking all costs seconds."""
        if min(len(old), len(self.slots)) <= ALL_HOMES_LIMIT:
            self._homes.clear()
            return
        joined = {h: r for h, r in self.slots.items() if old.get(h) != r}
        for workspace, homes in list(self._homes.items()):
            kept = all(self.slots.get(home) == old[home] for home in homes)
            if not kept or not self._stays(homes, workspace, joined):
                del self._homes[workspace]


def encode_table(base: int, slots: dict[str, str]) -> bytes:
    """Encode the proposal of a table with slots (host -> region)."""
    return msgspec.json.encode(ShareRecord("table", base=base, slots=sorted(slots.items())))


def encode_settled(table: ShareTable) -> bytes:
    """Encode the record that ends the change to the current table, or renews it."""
    slots = sorted(table.slots.items())
    return msgspec.json.encode(ShareRecord("settled", table=table.number, slots=slots))


def encode_handover(host: str, incarnation: int) -> bytes:
    """Encode the record of a process that has given up its share."""
    return msgspec.json.encode(ShareRecord("handover", host=host, incarnation=incarnation))
