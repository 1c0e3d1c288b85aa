"""Shared rate limits and retry budgets: totals over all gateways, partitions, refunds."""

from teaselpath.dispatch import Granted, OverRate, SharedQuota, SlidingRetryBudget
from teaselpath.fleet import Workspace

RATE = 1000.0
LIMITED = Workspace("w", RATE, RATE, 10, None, False)
EXCHANGE_S = 0.2


def granted_tokens(quotas, seconds, per_exchange, tokens, *, exchange):
    """Return the tokens granted while every gateway gets the same load."""
    granted, now = 0.0, 0.0
    while now < seconds:
        for quota in quotas:
            for _ in range(per_exchange):
                if isinstance(quota.charge(LIMITED, tokens, now), Granted):
                    granted += tokens
        if exchange:
            for i, quota in enumerate(quotas):
                for j, other in enumerate(quotas):
                    if i != j:
                        quota.merge(f"g{j}", 1, dict(other.used))
        now += EXCHANGE_S
    return granted


def connected_quotas(count):
    quotas = [SharedQuota() for _ in range(count)]
    for quota in quotas:
        quota.set_reachable_fraction(count, count)
        for j in range(count):
            quota.merge(f"g{j}", 1, {})
    return quotas


def test_gateways_together_stay_near_rate_and_burst():
    seconds = 20
    granted = granted_tokens(connected_quotas(5), seconds, 20, 10.0, exchange=True)
    slack = 5 * RATE * EXCHANGE_S + RATE
    assert granted <= RATE * seconds + RATE + slack
    assert granted >= 0.9 * RATE * seconds


def test_isolated_gateways_stay_within_their_share():
    quotas = [SharedQuota() for _ in range(5)]
    for quota in quotas:
        quota.set_reachable_fraction(1, 5)
    seconds = 20
    assert granted_tokens(quotas, seconds, 50, 10.0, exchange=False) <= RATE * seconds + RATE * 1.1


def test_refusal_states_the_time_until_the_bucket_holds_enough():
    quota = SharedQuota()
    assert quota.charge(LIMITED, RATE, 0.0) == Granted()
    refused = quota.charge(LIMITED, 500.0, 0.0)
    assert isinstance(refused, OverRate)
    assert quota.charge(LIMITED, 500.0, refused.retry_after_s + 0.001) == Granted()


def test_refund_restores_the_tokens():
    quota = SharedQuota()
    quota.charge(LIMITED, RATE, 0.0)
    quota.refund(LIMITED, RATE)
    assert quota.charge(LIMITED, RATE, 0.0) == Granted()


def test_restart_of_a_peer_is_not_charged_twice():
    quota = SharedQuota()
    quota.charge(LIMITED, 1.0, 0.0)
    quota.merge("g", 1, {})
    quota.merge("g", 1, {"w": 400.0})
    quota.merge("g", 1, {"w": 400.0})
    quota.merge("g", 2, {"w": 0.0})
    assert quota.charge(LIMITED, 590.0, 0.0) == Granted()
    assert isinstance(quota.charge(LIMITED, 20.0, 0.0), OverRate)


def test_request_larger_than_the_burst_is_granted_when_the_bucket_is_full():
    quota = SharedQuota()
    assert quota.charge(LIMITED, 3 * RATE, 0.0) == Granted()
    assert isinstance(quota.charge(LIMITED, 1.0, 1.0), OverRate)


def test_retries_of_all_gateways_stay_within_the_budget_in_any_window():
    gateways, ratio, extra, window_s = 5, 0.2, 56.0, 10.0
    budgets = [SlidingRetryBudget(ratio, extra, window_s, 0.0) for _ in range(gateways)]
    retries, requests = [], []
    for step in range(400):
        now = step * 0.1
        for budget in budgets:
            budget.record_request(now)
            requests.append(now)
            while grant := budget.try_acquire(now, gateways):
                budget.record_sent(grant, now)
                retries.append(now)
    for start in range(30):
        inside = sum(start <= at < start + window_s for at in retries)
        sent = sum(start <= at < start + window_s for at in requests)
        assert inside <= ratio * sent + extra
    assert retries
