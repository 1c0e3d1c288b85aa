"""Bounds on fairness, starvation and deadlines of the scheduler; retry budget and breaker."""

from hypothesis import given
from hypothesis import strategies as st

from teaselpath.results import Code
from teaselpath.scheduling import (
    CallerGone,
    CircuitBreaker,
    Drop,
    Finished,
    RetryBudget,
    Run,
    Scheduler,
    SlotsChanged,
    Submit,
)


def submit(name, workspace, tokens=10.0, weight=1.0, priority=0, deadline=1e9, overdue_at=1e8):
    return Submit(name, workspace, weight, tokens, priority, deadline, overdue_at)


def run_one_by_one(scheduler, sizes, count):
    """Finish running requests one by one and return the order in which they started."""
    order: list[str] = []
    running = [a.request_id for a in scheduler.handle(SlotsChanged(1), 1.0)]
    while running and len(order) < count:
        order.append(running[0])
        actions = scheduler.handle(Finished(running[0], sizes[running[0]]), 1.0)
        running = [a.request_id for a in actions if isinstance(a, Run)]
    return order


@given(
    st.lists(st.integers(1, 50), min_size=20, max_size=40),
    st.lists(st.integers(1, 50), min_size=20, max_size=40),
    st.sampled_from([0.5, 1.0, 2.0]),
    st.integers(2, 30),
)
def test_backlogged_workspaces_share_by_weight(tokens_a, tokens_b, weight, steps):
    """Guards against a workspace exceeding its weight while both have queued requests."""
    scheduler = Scheduler()
    sizes = {}
    for workspace, tokens, weight_of_flow in (("a", tokens_a, 1.0), ("b", tokens_b, weight)):
        for index, size in enumerate(tokens):
            sizes[f"{workspace}{index}"] = float(size)
            scheduler.handle(submit(f"{workspace}{index}", workspace, size, weight_of_flow), 0.0)
    served = {"a": 0.0, "b": 0.0}
    for name in run_one_by_one(scheduler, sizes, min(steps, 19)):
        served[name[0]] += sizes[name]
    # Bound of start-time fair queueing: the largest request of each flow.
    assert abs(served["a"] - served["b"] / weight) <= 50.0 + 50.0 / weight


@given(st.integers(1, 200), st.integers(1, 20))
def test_overdue_request_is_not_starved(flood, others):
    """Guards against interactive requests starving a long request that is overdue."""
    scheduler = Scheduler()
    scheduler.handle(submit("long", "w", priority=5, overdue_at=0.5), 0.0)
    sizes = {"long": 10.0}
    for index in range(flood):
        name = f"i{index}"
        sizes[name] = 10.0
        scheduler.handle(submit(name, f"w{index % others}", overdue_at=100.0), 0.0)
    assert run_one_by_one(scheduler, sizes, 2 * others + 2).index("long") <= others


@given(st.integers(8, 64), st.integers(20, 200))
def test_headroom_preserves_fair_share(slots, backlog):
    """Guards against a workspace with a long queue losing its fair share of the slots."""
    scheduler = Scheduler(slots=slots)
    for index in range(2 * backlog):
        scheduler.handle(submit(f"a{index}", "a"), 0.0)
    for index in range(backlog):
        scheduler.handle(submit(f"b{index}", "b"), 0.0)
    for _ in range(3 * backlog):
        if len(scheduler.flows["b"].queues) == 0 or len(scheduler.flows["a"].queues) == 0:
            break
        oldest = next(iter(scheduler.running))
        scheduler.handle(Finished(oldest, 10.0), 1.0)
        assert scheduler.flows["a"].running >= min(slots // 2, 2 * backlog) - 1
        assert len(scheduler.running) == slots


def test_higher_priority_runs_first():
    """Guards against long requests delaying interactive ones before they are overdue."""
    scheduler = Scheduler()
    scheduler.handle(submit("long", "w", priority=5), 0.0)
    scheduler.handle(submit("short", "w", priority=0), 0.0)
    assert scheduler.handle(SlotsChanged(1), 0.1) == [Run("short")]


def test_finish_corrects_an_overestimate():
    """Guards against charging a workspace for output tokens that were never generated."""
    scheduler = Scheduler(slots=1)
    scheduler.handle(submit("a0", "a", 1000.0), 0.0)
    scheduler.handle(submit("a1", "a", 1000.0), 0.0)
    scheduler.handle(submit("b0", "b", 100.0), 0.0)
    scheduler.handle(submit("b1", "b", 100.0), 0.0)
    assert scheduler.handle(Finished("a0", 10.0), 1.0) == [Run("b0")]
    assert scheduler.handle(Finished("b0", 100.0), 2.0) == [Run("a1")]


def test_missed_deadlines_are_dropped():
    """Guards against starting a request after its deadline."""
    scheduler = Scheduler(slots=1)
    scheduler.handle(submit("r", "w"), 0.0)
    scheduler.handle(submit("late", "w", deadline=2.0), 0.0)
    assert scheduler.tick(2.0) == [Drop("late", Code.DEADLINE_EXCEEDED, 0.0)]
    scheduler.handle(Finished("r", 10.0), 4.0)
    scheduler.handle(submit("x", "w"), 4.0)
    (drop,) = scheduler.handle(submit("y", "w", deadline=5.0), 4.0)
    assert drop == Drop("y", Code.DEADLINE_EXCEEDED, 4.0)


def test_full_queue_drops_from_the_flow_with_the_most_tokens():
    """Guards against dropping requests of other workspaces when one overloads the queue."""
    scheduler = Scheduler(max_queued=3)
    for index in range(3):
        scheduler.handle(submit(f"a{index}", "a"), 0.0)
    (drop,) = scheduler.handle(submit("b", "b"), 0.0)
    assert isinstance(drop, Drop)
    assert (drop.request_id, drop.code) == ("a2", Code.QUEUE_FULL)


@given(st.lists(st.sampled_from(["submit", "finish", "withdraw", "tick", "slots"]), max_size=60))
def test_each_request_gets_one_action(steps):
    """Guards against requests that are lost, or started or dropped twice."""
    scheduler = Scheduler(slots=2, max_queued=5)
    sent = 0
    answers: list[str] = []
    running: list[str] = []
    for now, step in enumerate(steps):
        actions = []
        match step:
            case "submit":
                request = submit(f"r{sent}", f"w{sent % 3}", deadline=now + 5.0)
                actions, sent = scheduler.handle(request, float(now)), sent + 1
            case "finish" if running:
                actions = scheduler.handle(Finished(running.pop(0), 3.0), float(now))
            case "withdraw":
                actions = scheduler.handle(CallerGone(f"r{sent - 1}"), float(now))
            case "tick":
                actions = scheduler.tick(float(now))
            case "slots":
                actions = scheduler.handle(SlotsChanged(now % 4), float(now))
        answers += [a.request_id for a in actions]
        running += [a.request_id for a in actions if isinstance(a, Run)]
    assert len(answers) == len(set(answers))
    assert sent == len(answers) + len(scheduler.queued)


def test_retry_budget_is_a_fraction_of_successes():
    """Guards against retry storms, and against no retries at all on an idle entry."""
    budget = RetryBudget(fraction=0.1, half_life_s=10.0, reserve=1.0)
    assert budget.try_acquire(0.0)
    assert not budget.try_acquire(0.0)
    for _ in range(10):
        budget.record_success(0.0)
    assert budget.try_acquire(0.0)
    assert not budget.try_acquire(0.0)
    assert budget.try_acquire(100.0)


def test_circuit_breaker_opens_and_recovers_by_trial():
    """Guards against traffic to a failing endpoint, and against never probing it again."""
    breaker = CircuitBreaker(failure_threshold=2, open_s=1.0)
    breaker.record_failure(0.0)
    assert breaker.allows(0.0)
    breaker.record_failure(0.0)
    assert not breaker.allows(0.5)
    assert breaker.allows(1.0)
    assert not breaker.allows(1.0)
    breaker.record_failure(1.1)
    assert not breaker.allows(3.0)
    assert breaker.allows(3.2)
    breaker.record_success(3.3)
    assert breaker.allows(3.3)
