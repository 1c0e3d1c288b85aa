"""The configuration in force at this node: bundle, keys, revocations."""

import time
from collections.abc import Callable, Iterable

from eliot import log_message
from result import Err, Ok

from teaselpath.bundle import (
    Accepted,
    Bundle,
    BundleState,
    KeyIndex,
    Rejected,
    Renewed,
    RevocationSet,
    Revoked,
    mark_renewal,
)
from teaselpath.clients import LogRecord, Settings
from teaselpath.membership import ConfigChanged
from teaselpath.wire import Append, SignedRecord

CONFIG_STREAM = "config"
# Time for a peer to supply trimmed records before the remaining part of the log is used alone.
GAP_TIMEOUT_S = 30.0


class ConfigService:
    """Applies configuration records from the log and from peers.

    :param settings: trusted operators and the retention of the log.
    :param on_change: called with the new state, for gossip.
    :param on_bundle_in_force: called with each bundle that comes into force.
    :param on_keys_change: called after a key was withdrawn.
    """

    def __init__(
        self,
        settings: Settings,
        on_change: Callable[[ConfigChanged], None],
        on_bundle_in_force: Callable[[Bundle], None],
        on_keys_change: Callable[[], None],
    ):
        self.settings = settings
        self.on_change = on_change
        self.on_bundle_in_force = on_bundle_in_force
        self.on_keys_change = on_keys_change
        self.operator_keys = settings.operator_key_bytes()
        self.state = BundleState(self.operator_keys, settings.limits.log_retention_s)
        self.key_index: KeyIndex | None = None
        self.gap_deadline: float | None = None

    @property
    def revocations(self) -> RevocationSet:
        """Return the withdrawn keys."""
        return self.state.revocations

    def handle_record(self, record: LogRecord) -> None:
        """Apply the next record of the log."""
        signed = SignedRecord(record.offset, record.data)
        self._handle_events(self.state.handle(signed, time.monotonic(), record.age_ms / 1e3))

    def handle_peer_records(self, records: Iterable[SignedRecord]) -> None:
        """Apply the accepted records of a peer."""
        for record in records:
            self._handle_events(self.state.install(record, time.monotonic()))

    def skip_to(self, first: int) -> None:
        """Record that the log was trimmed before ``first``."""
        self.state.skip_to(first)
        self._notify_change()

    def add_revocation(self, data: bytes) -> bool | None:
        """Add a signed revocation.

        :returns: whether it was new; None if it is invalid.
        """
        match self.revocations.add(data, self.operator_keys):
            case Ok(True):
                log_message("key_withdrawn")
                self._notify_change()
                self.on_keys_change()
                return True
            case Ok(False):
                return False
            case Err(failure):
                log_message("revocation_refused", code=int(failure.code), reason=failure.detail)
        return None

    def close_gap(self, now: float) -> None:
        """Use the remaining part of the log if no peer closes a gap within ``GAP_TIMEOUT_S``."""
        if not self.state.has_gap:
            self.gap_deadline = None
        elif self.gap_deadline is None:
            self.gap_deadline = now + GAP_TIMEOUT_S
        elif now >= self.gap_deadline:
            self.gap_deadline = now + GAP_TIMEOUT_S
            self._handle_events(self.state.recover_from_pending(now))

    def due_renewal(self, now: float, is_responsible_for: Callable[[bytes], bool]) -> Append | None:
        """Return the append that renews the bundle before the log trims it, if it is due.

        :param is_responsible_for: whether this node is the one to do a task for all nodes.
        """
        state = self.state
        if now < state.renew_at or state.record is None or not is_responsible_for(state.digest):
            return None
        # Responsibility may move before this append is read back; a duplicate is harmless.
        state.renew_at = now + self.settings.limits.log_retention_s / 10
        return Append(CONFIG_STREAM, mark_renewal(state.record.data))

    def _handle_events(self, events: list) -> None:
        for event in events:
            match event:
                case Accepted(version=version, offset=offset, bundle=bundle):
                    log_message("bundle_in_force", version=version, offset=offset)
                    self.key_index = KeyIndex(bundle, self.revocations)
                    self.on_bundle_in_force(bundle)
                case Rejected(offset=offset, failure=failure):
                    code, reason = int(failure.code), failure.detail
                    log_message("record_rejected", offset=offset, code=code, reason=reason)
                case Renewed(offset=offset):
                    log_message("bundle_renewed", offset=offset)
                case Revoked(key_id=key_id):
                    log_message("key_withdrawn", key_id=key_id)
                    self.on_keys_change()
        self._notify_change()

    def _notify_change(self) -> None:
        state = self.state
        self.on_change(
            ConfigChanged(
                state.attested_record(),
                state.version,
                state.digest,
                state.revocations.digest,
                state.revocations.records,
                state.has_gap,
            )
        )
