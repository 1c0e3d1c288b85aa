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
    Withdrawn,
    mark_renewal,
)
from teaselpath.clients import LogRecord, Settings
from teaselpath.membership import ConfigChanged
from teaselpath.wire import Append, SignedRecord

CONFIG_STREAM = "config"
# Without any peer that knows the records before a gap, the kept part of the log decides.
GAP_TIMEOUT_S = 30.0


class ConfigService:
    """Applies records of the log and of peers.

    :param settings: trusted operators and the retention of the log.
    :param changed: called with the new state, for the gossip.
    :param in_force: called with each bundle that is in force from now on.
    :param keys_changed: called when a key was withdrawn.
    """

    def __init__(
        self,
        settings: Settings,
        changed: Callable[[ConfigChanged], None],
        in_force: Callable[[Bundle], None],
        keys_changed: Callable[[], None],
    ):
        self.settings = settings
        self.changed = changed
        self.in_force = in_force
        self.keys_changed = keys_changed
        self.operator_keys = settings.operator_key_bytes()
        self.state = BundleState(self.operator_keys, settings.limits.log_retention_s)
        self.key_index: KeyIndex | None = None
        self.gap_until: float | None = None

    @property
    def revocations(self) -> RevocationSet:
        """Return the withdrawn keys."""
        return self.state.revocations

    def take_record(self, record: LogRecord) -> None:
        """Apply the next record of the log."""
        signed = SignedRecord(record.offset, record.data)
        self._take_events(self.state.handle(signed, time.monotonic(), record.age_ms / 1e3))

    def take_peer_records(self, records: Iterable[SignedRecord]) -> None:
        """Apply the accepted records of a peer."""
        for record in records:
            self._take_events(self.state.install(record, time.monotonic()))

    def skip_to(self, first: int) -> None:
        """Note that the log no longer has the records before ``first``."""
        self.state.skip_to(first)
        self._report()

    def add_revocation(self, data: bytes) -> bool | None:
        """Add a signed revocation.

        :returns: whether it was new; None if it was refused.
        """
        match self.revocations.add(data, self.operator_keys):
            case Ok(True):
                log_message("key_withdrawn")
                self._report()
                self.keys_changed()
                return True
            case Ok(False):
                return False
            case Err(failure):
                log_message("revocation_refused", code=int(failure.code), reason=failure.detail)
        return None

    def close_gap(self, now: float) -> None:
        """Decide from the kept part of the log if no peer closed a gap for a while."""
        if not self.state.has_gap:
            self.gap_until = None
        elif self.gap_until is None:
            self.gap_until = now + GAP_TIMEOUT_S
        elif now >= self.gap_until:
            self.gap_until = now + GAP_TIMEOUT_S
            self._take_events(self.state.assume_base(now))

    def due_renewal(self, now: float, is_responsible_for: Callable[[bytes], bool]) -> Append | None:
        """Return the append that renews the bundle before the log drops it.

        :param is_responsible_for: whether this node does a job for all.
        """
        state = self.state
        if now < state.renew_at or state.record is None or not is_responsible_for(state.digest):
            return None
        # Another node may be chosen before this append is read back; a second copy is harmless.
        state.renew_at = now + self.settings.limits.log_retention_s / 10
        return Append(CONFIG_STREAM, mark_renewal(state.record.data))

    def _take_events(self, events: list) -> None:
        for event in events:
            match event:
                case Accepted(version=version, offset=offset, bundle=bundle):
                    log_message("bundle_in_force", version=version, offset=offset)
                    self.key_index = KeyIndex(bundle, self.revocations)
                    self.in_force(bundle)
                case Rejected(offset=offset, failure=failure):
                    code, reason = int(failure.code), failure.detail
                    log_message("record_rejected", offset=offset, code=code, reason=reason)
                case Renewed(offset=offset):
                    log_message("bundle_renewed", offset=offset)
                case Withdrawn(key_id=key_id):
                    log_message("key_withdrawn", key_id=key_id)
                    self.keys_changed()
        self._report()

    def _report(self) -> None:
        state = self.state
        self.changed(
            ConfigChanged(
                state.attested_record(),
                state.version,
                state.digest,
                state.revocations.digest,
                state.revocations.records,
                state.has_gap,
            )
        )
