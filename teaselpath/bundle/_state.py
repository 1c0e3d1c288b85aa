"""State machine over the configuration log.

A node accepts or rejects a bundle record only if it has the bundle that was accepted before the
record's offset:

- ``next_offset`` is the next offset to read from the log.
- ``decided_to`` is the offset up to which the accepted bundle is determined, from the log or by a
  peer.

If the log was trimmed beyond the node's position, ``next_offset`` is higher than ``decided_to``.
Records that are read then stay in ``pending`` until a peer's bundle closes this gap. A renewal on
the log does not close it, because anyone who can append can append an older bundle's renewal again.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from teaselpath.bundle._check import check_bundle
from teaselpath.bundle._document import Bundle
from teaselpath.bundle._revocations import RevocationSet, decode_revocation
from teaselpath.bundle._signing import OpenedRecord, open_record
from teaselpath.results import Code, Failure
from teaselpath.wire import SignedRecord

DEFAULT_RETENTION_S = 86_400.0
# Limits the memory of a node that waits for a peer; the peer's bundle covers the oldest records.
MAX_PENDING = 64


@dataclass(slots=True, frozen=True)
class Accepted:
    """A bundle was accepted and is now in force."""

    offset: int
    version: int
    digest: bytes
    change_id: str
    bundle: Bundle


@dataclass(slots=True, frozen=True)
class Renewed:
    """The accepted bundle was appended again; only its offset changed."""

    offset: int
    version: int


@dataclass(slots=True, frozen=True)
class Revoked:
    """A key was revoked."""

    offset: int
    key_digest: bytes
    key_id: str


@dataclass(slots=True, frozen=True)
class Rejected:
    """A record was rejected.

    :param version: version of the rejected bundle; 0 if it could not be decoded.
    :param change_id: change id of the rejected bundle; empty if it could not be decoded.
    """

    offset: int
    failure: Failure
    version: int = 0
    change_id: str = ""
    digest: bytes = b""


Event = Accepted | Renewed | Revoked | Rejected


class BundleState:
    """The accepted bundle, its offset on the log, and the revocations.

    :param operator_keys: trusted Ed25519 public keys, 32 bytes each.
    :param retention_s: retention period of the log, in seconds.
    """

    def __init__(
        self, operator_keys: Sequence[bytes], retention_s: float = DEFAULT_RETENTION_S
    ) -> None:
        self.operator_keys = tuple(operator_keys)
        self.retention_s = retention_s
        self.bundle: Bundle | None = None
        self.version = 0
        self.offset = -1
        self.digest = b""
        self.record: SignedRecord | None = None
        self.next_offset = 0
        self.decided_to = 0
        self.pending: list[SignedRecord] = []
        self.pending_start_offset = 0
        self.accepted_at = 0.0
        self.renew_at = float("inf")
        self.revocations = RevocationSet()

    @property
    def has_gap(self) -> bool:
        """Whether records that may have replaced the accepted bundle were not read."""
        return self.next_offset > self.decided_to

    def attested_record(self) -> SignedRecord | None:
        """Return the accepted record for a peer, with the offset up to which it is accepted."""
        if self.record is None:
            return None
        return SignedRecord(self.offset, self.record.data, self.decided_to)

    def handle(self, record: SignedRecord, now: float, age_s: float = 0.0) -> list[Event]:
        """Process the next record of the log.

        The offsets of the log are contiguous, so an offset above ``next_offset`` means that the
        records in between were trimmed.

        :param age_s: age of the record on the log, in seconds.
        """
        if record.offset < self.next_offset:
            return []
        self.skip_to(record.offset)
        self.next_offset = record.offset + 1
        opened = open_record(record.data, self.operator_keys)
        if opened.is_ok() and opened.unwrap().kind == "revocation":
            events = self._handle_revocation(record, opened.unwrap())
        elif record.offset <= self.offset:
            events = []  # covered by a bundle that was installed from a peer
        elif record.offset > self.decided_to:
            return self._defer(record)
        elif opened.is_err():
            events = [Rejected(record.offset, opened.unwrap_err())]
        else:
            events = self._decide(record, opened.unwrap(), now, age_s)
        self.decided_to = max(self.decided_to, record.offset + 1)
        return events

    def skip_to(self, first: int) -> None:
        """Advance to ``first``, because the log no longer has the records before it."""
        if first > self.next_offset:
            self.next_offset = first
            if first > self.decided_to:
                self.pending = []
                self.pending_start_offset = first

    def install(self, record: SignedRecord, now: float) -> list[Event]:
        """Install the accepted record of a peer; offset and version never decrease."""
        opened = open_record(record.data, self.operator_keys)
        if opened.is_err():
            return [Rejected(record.offset, opened.unwrap_err())]
        if opened.unwrap().kind != "bundle":
            detail = f"expected a bundle, got a {opened.unwrap().kind}"
            return [Rejected(record.offset, Failure(Code.MALFORMED_RECORD, detail))]
        if opened.unwrap().digest == self.digest:
            events = self._renew(record, now, 0.0) if record.offset > self.offset else []
        elif record.offset < self.next_offset and not self.has_gap:
            detail = f"offset {record.offset} was decided when the log was read"
            return [Rejected(record.offset, Failure(Code.OLD_VERSION, detail))]
        else:
            events = self._install_other(record, opened.unwrap(), now)
            if isinstance(events[0], Rejected):
                return events
        self.decided_to = max(self.decided_to, record.decided_to, self.offset + 1)
        return events + self._process_pending(now)

    def recover_from_pending(self, now: float) -> list[Event]:
        """Close a gap without a peer, from the records that the log still has.

        This is needed if all nodes lost their state and the log was trimmed. The renewal with the
        highest version is installed as the accepted bundle, or the first valid bundle if there is
        no renewal; versions below the accepted one are ignored. Nodes that read the same records
        make the same choice.
        """
        candidates = []
        for record in self.pending:
            opened = open_record(record.data, self.operator_keys).ok()
            if opened is not None and opened.kind == "bundle":
                checked = check_bundle(opened.payload)
                if checked.is_ok() and checked.unwrap().version >= self.version:
                    rank = checked.unwrap().version if opened.renewal else 0
                    candidates.append((-rank, record.offset, record))
        if not candidates:
            return []
        base = min(candidates, key=lambda candidate: candidate[:2])[2]
        return self.install(SignedRecord(base.offset, base.data, base.offset + 1), now)

    def _install_other(self, record: SignedRecord, opened: OpenedRecord, now: float) -> list[Event]:
        checked = check_bundle(opened.payload)
        if checked.is_err():
            return [_invalid(record.offset, opened, checked.unwrap_err())]
        bundle = checked.unwrap()
        if bundle.version <= self.version or record.offset <= self.offset:
            detail = (
                f"version {bundle.version} at offset {record.offset} is not above version "
                f"{self.version} at offset {self.offset}"
            )
            return [_rejected(record.offset, opened, bundle, Failure(Code.OLD_VERSION, detail))]
        return self._accept(record, opened, bundle, now, 0.0)

    def _handle_revocation(self, record: SignedRecord, opened: OpenedRecord) -> list[Event]:
        decoded = decode_revocation(opened.payload)
        if decoded.is_err():
            return [Rejected(record.offset, decoded.unwrap_err())]
        spec = decoded.unwrap()
        if not self.revocations.insert(spec, record.data):
            return []
        return [Revoked(record.offset, bytes.fromhex(spec.key_digest), spec.key_id)]

    def _defer(self, record: SignedRecord) -> list[Event]:
        self.pending.append(record)
        if len(self.pending) > MAX_PENDING:
            self.pending_start_offset = self.pending.pop(0).offset + 1
        return []

    def _process_pending(self, now: float) -> list[Event]:
        """Process the pending records if the gap before them is closed."""
        if not self.has_gap or self.decided_to < self.pending_start_offset:
            return []
        pending, self.pending = self.pending, []
        events: list[Event] = []
        for record in pending:
            if record.offset >= self.decided_to:
                opened = open_record(record.data, self.operator_keys)
                if opened.is_err():
                    events.append(Rejected(record.offset, opened.unwrap_err()))
                else:
                    events += self._decide(record, opened.unwrap(), now, 0.0)
        self.decided_to = max(self.decided_to, self.next_offset)
        return events

    def _decide(
        self, record: SignedRecord, opened: OpenedRecord, now: float, age_s: float
    ) -> list[Event]:
        if opened.kind != "bundle":
            detail = f"a {opened.kind} does not belong on the configuration log"
            return [Rejected(record.offset, Failure(Code.MALFORMED_RECORD, detail))]
        if opened.digest == self.digest:
            return self._renew(record, now, age_s)
        checked = check_bundle(opened.payload)
        if checked.is_err():
            return [_invalid(record.offset, opened, checked.unwrap_err())]
        bundle = checked.unwrap()
        if bundle.parent != self.version:
            detail = f"parent is not accepted: {bundle.parent}, accepted is {self.version}"
            return [_rejected(record.offset, opened, bundle, Failure(Code.STALE_PARENT, detail))]
        return self._accept(record, opened, bundle, now, age_s)

    def _accept(
        self, record: SignedRecord, opened: OpenedRecord, bundle: Bundle, now: float, age_s: float
    ) -> list[Event]:
        self.bundle = bundle
        self.version = bundle.version
        self.digest = opened.digest
        self.accepted_at = now
        self._set_position(record, now, age_s)
        self.revocations.compact(bundle)
        return [Accepted(record.offset, bundle.version, opened.digest, bundle.change_id, bundle)]

    def _renew(self, record: SignedRecord, now: float, age_s: float) -> list[Event]:
        self._set_position(record, now, age_s)
        return [Renewed(record.offset, self.version)]

    def _set_position(self, record: SignedRecord, now: float, age_s: float) -> None:
        self.offset = record.offset
        self.record = record
        self.renew_at = now - age_s + self.retention_s / 2


def _rejected(offset: int, opened: OpenedRecord, bundle: Bundle, failure: Failure) -> Rejected:
    return Rejected(offset, failure, bundle.version, bundle.change_id, opened.digest)


def _invalid(offset: int, opened: OpenedRecord, faults: list[Failure]) -> Rejected:
    detail = "; ".join(str(fault) for fault in faults[:3])
    return Rejected(offset, Failure(Code.INVALID_BUNDLE, detail), digest=opened.digest)
