"""Compares the decision log with a plain list of the same records."""

from hypothesis import given
from hypothesis import strategies as st

from teaselpath.records import DecisionLog
from teaselpath.wire import DecisionRecord

additions = st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from("vw"), st.booleans()))


@given(additions, st.integers(1, 6), st.integers(1, 6))
def test_indexes_hold_the_newest_records(steps, limit, queue_limit):
    """Guards against an index that leaks memory or loses records still in the ring."""
    log = DecisionLog(limit, queue_limit)
    records = []
    own = []
    for number, (request_id, workspace, is_copy) in enumerate(steps):
        record = DecisionRecord(request_id, workspace, "route", "e", 0, number, "")
        records.append(record)
        if is_copy:
            log.add_copy(record)
        else:
            log.add(record)
            own.append(record)
    kept = records[-limit:]
    for name in "abc":
        assert log.for_request(name) == [r for r in kept if r.request_id == name]
    for name in "vw":
        expected = [r for r in kept if r.workspace == name]
        assert log.for_workspace(name) == expected
        assert log.for_workspace(name, 2) == expected[-2:]
    assert set(log.by_request) == {r.request_id for r in kept}
    assert log.dropped_copies == max(0, len(own) - queue_limit)
    assert log.pop_pending_copies(2) + log.pop_pending_copies(100) == own[-queue_limit:]
    assert log.pop_pending_copies(1) == []
