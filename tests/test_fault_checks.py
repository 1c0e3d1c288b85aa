"""Tests that the checks of the fault run detect violations."""

from types import SimpleNamespace

from benchmarks.fault_checks import check_bookings, check_rate
from benchmarks.fault_client import Attempt
from benchmarks.fault_cluster import OVERLOADED, WORKSPACES
from benchmarks.fault_history import Audit, make_events, name_unknown
from benchmarks.fault_kinds import Rates
from teaselpath.history import ExecutionStarted, History, check_all
from teaselpath.results import Code, Ran

RATE, BURST = WORKSPACES[OVERLOADED]
NODE = SimpleNamespace(name="agent-service-1", endpoint="service-1")


def answer(sent, first, tokens):
    attempt = Attempt("t", "entry-1", OVERLOADED, 1, "stream", sent=sent, first=first)
    attempt.usage = {"prompt_tokens": int(tokens), "completion_tokens": 0}
    return attempt


def booking(request_id, code, ran, tag="b", sent=1.0):
    attempt = Attempt(tag, "entry-1", OVERLOADED, 1, "booking", "{}", tag, sent=sent, ended=2.0)
    attempt.request_id, attempt.code, attempt.ran = request_id, code, ran
    return attempt


def service_audit(*request_ids, by_key=None):
    requests = [{"request_id": request_id, "received_at": 1.1} for request_id in request_ids]
    return Audit(NODE, requests, dict.fromkeys(request_ids, "b"), [], by_key or {})


def test_tokens_beyond_rate_and_burst_are_found():
    """Guards against a rate check that passes for any reported usage."""
    fits = [answer(0.0, 0.0, BURST), answer(10.0, 10.0, RATE * 10)]
    assert not list(check_rate(OVERLOADED, fits, []))
    found = list(check_rate(OVERLOADED, [*fits, answer(10.0, 10.0, 1)], []))
    assert [invariant for invariant, _ in found] == ["P7"]


def test_a_raised_rate_counts_only_while_it_may_be_in_force():
    """Guards against a rate check that allows the highest rate during the whole run."""
    rates = [Rates(100.0, 1.5), Rates(200.0, 1.0)]
    burst = answer(300.0, 300.0, BURST)
    raised, normal = answer(105.0, 105.0, RATE * 7.5), answer(305.0, 305.0, RATE * 7.5)
    assert not list(check_rate(OVERLOADED, [answer(100.0, 100.0, BURST), raised], rates))
    assert list(check_rate(OVERLOADED, [burst, normal], rates))


def test_a_refused_booking_that_ran_is_found_without_its_answer():
    """Guards against executions that cannot be assigned to a caller's request."""
    refused = booking("r1", Code.STOPPING, Ran.NOT_RUN)
    cut = booking("", Code.OUTCOME_UNKNOWN, Ran.UNKNOWN, sent=1.5)
    audit = service_audit("r1", "r2")
    name_unknown([refused, cut], [audit])
    assert cut.request_id == "r2"
    found = check_all(History(make_events([refused, cut], [audit])))
    assert {violation.invariant for violation in found} == {"P9", "P10"}


def test_a_duplicate_execution_and_differing_answers_are_found():
    """Guards against a duplicate booking that only the services' counts show."""
    first, second = (booking(name, Code.OK, Ran.RAN) for name in ("r1", "r2"))
    first.is_whole = second.is_whole = True
    first.usage, second.usage = {"execution": 1}, {"execution": 2}
    audits = [service_audit("r1", by_key={"k": 1}), service_audit("r2", by_key={"k": 1})]
    found = [invariant for invariant, _ in check_bookings([first, second], audits)]
    assert found == ["P10", "P8"]


def test_execution_is_dated_by_its_arrival_at_the_endpoint():
    attempt = booking("r1", 0, "ran", sent=1.0)
    audit = service_audit("r1")
    audit.requests[0]["received_at"] = 4.5
    events = make_events([attempt], [audit])
    assert [e.at for e in events if isinstance(e, ExecutionStarted)] == [4.5]
