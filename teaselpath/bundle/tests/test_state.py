"""Tests of BundleState: decisions on records of the log and of peers."""

import msgspec
import pytest

from teaselpath.bundle import (
    Accepted,
    BundleState,
    Rejected,
    Renewed,
    RevocationSpec,
    Revoked,
    mark_renewal,
    sign_record,
    sign_revocation,
)
from teaselpath.bundle._state import MAX_PENDING
from teaselpath.bundle.tests.conftest import OPERATORS, OTHER_KEY, PRIVATE_KEY, signed
from teaselpath.results import Code
from teaselpath.wire import SignedRecord


@pytest.fixture
def state():
    """A state that accepted version 1 at offset 0."""
    fresh = BundleState(OPERATORS)
    fresh.handle(signed(0), 0.0)
    return fresh


def code_of(events):
    """Return the result code of a single rejection."""
    (event,) = events
    assert isinstance(event, Rejected)
    return event.failure.code


def test_concurrent_versions_are_ordered_by_offset(state):
    """Guards against accepting two bundles with the same parent from different operators."""
    assert isinstance(state.handle(signed(1, 2, 1, change_id="a"), 0.0)[0], Accepted)
    assert code_of(state.handle(signed(2, 2, 1, change_id="b"), 0.0)) is Code.STALE_PARENT
    assert state.bundle.change_id == "a"


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"not a record", Code.MALFORMED_RECORD),
        (signed(1, 2, 1, key=OTHER_KEY).data, Code.UNTRUSTED_OPERATOR),
        (sign_record("control", b"{}", PRIVATE_KEY), Code.MALFORMED_RECORD),
        (sign_record("revocation", b"{}", PRIVATE_KEY), Code.MALFORMED_RECORD),
        (sign_record("bundle", b"{}", PRIVATE_KEY), Code.INVALID_BUNDLE),
        (signed(1, 5, 4).data, Code.STALE_PARENT),
        (signed(1, 1, 0, change_id="late").data, Code.STALE_PARENT),
    ],
)
def test_invalid_records_are_rejected(state, data, code):
    """Guards against a forged or stale record that changes the accepted bundle (P13)."""
    assert code_of(state.handle(SignedRecord(1, data), 0.0)) is code
    assert (state.version, state.offset, state.next_offset) == (1, 0, 2)


def test_altered_payload_has_a_bad_signature(state):
    """Guards against a payload or kind that was changed after signing."""
    parts = msgspec.msgpack.decode(signed(1, 2, 1).data)
    forged = msgspec.msgpack.encode([parts[0], b'{"version":2}', parts[2], parts[3], False, False])
    assert code_of(state.handle(SignedRecord(1, forged), 0.0)) is Code.BAD_SIGNATURE
    kind = msgspec.msgpack.encode(["revocation", *parts[1:]])
    assert code_of(state.handle(SignedRecord(2, kind), 0.0)) is Code.BAD_SIGNATURE


def test_renewal_moves_the_offset_only(state):
    """Guards against a renewal that is reported as a new version."""
    renewal = SignedRecord(1, mark_renewal(state.record.data))
    assert state.handle(renewal, 50.0, age_s=10.0) == [Renewed(1, 1)]
    assert (state.version, state.offset) == (1, 1)
    assert state.renew_at == 40.0 + state.retention_s / 2


def test_install_never_lowers_version_or_offset(state):
    """Guards against a peer that reverts a node to an older configuration (P13)."""
    state.handle(signed(1, 2, 1), 0.0)
    assert code_of(state.install(signed(90, 1, 0), 0.0)) is Code.OLD_VERSION
    assert code_of(state.install(signed(90, 2, 1, change_id="loser"), 0.0)) is Code.OLD_VERSION
    assert code_of(state.install(signed(1, 3, 2), 0.0)) is Code.OLD_VERSION
    assert isinstance(state.install(signed(5, 3, 2), 0.0)[0], Accepted)
    assert state.handle(signed(2, 9, 2), 0.0) == []
    assert code_of(state.handle(signed(6, 3, 2, change_id="z"), 0.0)) is Code.STALE_PARENT


def test_records_after_a_gap_are_pending_until_a_peer_closes_it(state):
    """Guards against deciding records by an outdated parent after the log was trimmed."""
    assert state.handle(signed(10, 5, 4), 0.0) == []
    assert state.has_gap
    assert state.install(SignedRecord(7, signed(7, 4, 1).data, 8), 0.0)[0].version == 4
    assert state.has_gap  # the peer had read the log only up to offset 8
    events = state.install(SignedRecord(7, signed(7, 4, 1).data, 10), 0.0)
    assert [type(event) for event in events] == [Accepted]
    assert (state.version, state.offset, state.has_gap) == (5, 10, False)


def test_gap_is_not_closed_by_a_renewal():
    """Guards against a replayed renewal that reverts a node to an old bundle."""
    fresh = BundleState(OPERATORS)
    assert fresh.handle(SignedRecord(10, mark_renewal(signed(0, 5, 4).data)), 0.0) == []
    assert (fresh.version, fresh.has_gap) == (0, True)


def test_assume_base_prefers_renewals():
    """Guards against installing a bundle that lost to a concurrent one, trimmed since."""
    fresh = BundleState(OPERATORS)
    fresh.handle(signed(10, 6, 4, change_id="loser"), 0.0)
    fresh.handle(SignedRecord(11, mark_renewal(signed(0, 5, 4).data)), 0.0)
    fresh.handle(SignedRecord(12, mark_renewal(signed(0, 4, 3).data)), 0.0)
    assert [type(event) for event in fresh.recover_from_pending(0.0)] == [Accepted, Rejected]
    assert (fresh.version, fresh.has_gap) == (5, False)


def test_pending_records_are_bounded():
    """Guards against unbounded memory use while no peer replies."""
    fresh = BundleState(OPERATORS)
    for offset in range(10, 10 + 2 * MAX_PENDING):
        fresh.handle(SignedRecord(offset, b"x"), 0.0)
    assert len(fresh.pending) == MAX_PENDING
    fresh.install(SignedRecord(5, signed(5, 4, 1).data, 11), 0.0)
    assert fresh.has_gap  # the dropped records are still undecided
    fresh.install(SignedRecord(5, signed(5, 4, 1).data, fresh.pending_start_offset), 0.0)
    assert not fresh.has_gap


def test_assume_base_processes_pending_records():
    """Guards against nodes that remain without a bundle after all of them lost their state."""
    fresh = BundleState(OPERATORS)
    for record in (signed(10, 5, 4), signed(11, 5, 4, change_id="x"), signed(12, 6, 5)):
        assert fresh.handle(record, 0.0) == []
    kinds = [type(event) for event in fresh.recover_from_pending(0.0)]
    assert kinds == [Accepted, Rejected, Accepted]
    assert (fresh.version, fresh.has_gap) == (6, False)


def revocation(version, digest="ab" * 32):
    """Return a signed revocation."""
    return sign_revocation(RevocationSpec(key_digest=digest, version=version), PRIVATE_KEY)


def test_revocation_is_in_force_and_compacted(state):
    """Guards against a revoked key that is still valid, and a set that grows forever (P6)."""
    record = SignedRecord(1, revocation(1))
    assert isinstance(state.handle(record, 0.0)[0], Revoked)
    assert state.revocations.is_revoked(b"\xab" * 32)
    state.handle(signed(2, 2, 1), 0.0)
    assert state.revocations.is_revoked(b"\xab" * 32)
    state.handle(signed(3, 3, 2, workspaces=[]), 0.0)
    assert not state.revocations.records
    assert state.revocations.add(record.data, OPERATORS).unwrap() is False


def test_revocation_of_a_later_version_survives_compaction(state):
    """Guards against discarding a revocation that arrives before the bundle with its key."""
    state.revocations.add(revocation(3, "cd" * 32), OPERATORS)
    state.handle(signed(1, 2, 1), 0.0)
    assert state.revocations.is_revoked(b"\xcd" * 32)


def test_revocation_digest_depends_on_the_keys_only(state):
    """Guards against nodes that keep exchanging equal sets because their digests differ."""
    other = BundleState(OPERATORS)
    other.handle(signed(0), 0.0)
    for data in (revocation(1), revocation(1, "cd" * 32)):
        state.revocations.add(data, OPERATORS)
    for data in (revocation(2, "cd" * 32), revocation(1)):
        other.revocations.add(data, OPERATORS)
    assert state.revocations.digest == other.revocations.digest
    assert state.revocations.add(
        sign_revocation(RevocationSpec(key_digest="ab" * 32, version=1), OTHER_KEY), OPERATORS
    ).is_err()
