"""Shared rates: limits over all gateways, partitions, refunds."""

from teaselpath.dispatch import Granted, OverRate, SharedQuota, SlidingRetryBudget
from teaselpath.fleet import Workspace

RATE = 1000.0
LIMITED = Workspace("w", RATE, RATE, 10, None, False)
EXCHANGE_S = 0.2


def grants(quotas, seconds, per_exchange, tokens, *, exchange):
    """Return tokens granted while every gateway is offered the same load."""
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


def joined(count):
    quotas = [SharedQuota() for _ in range(count)]
    for quota in quotas:
        quota.set_share(count, count)
        for j in range(count):
            quota.merge(f"g{j}", 1, {})
    return quotas


def test_gateways_together_stay_near_rate_and_burst():
    seconds = 20
    granted = grants(joined(5), seconds, 20, 10.0, exchange=True)
    slack = 5 * RATE * EXCHANGE_S + RATE
    assert granted <= RATE * seconds + RATE + slack
    assert granted >= 0.9 * RATE * seconds


def test_gateways_that_hear_nobody_stay_within_their_part():
    quotas = [SharedQuota() for _ in range(5)]
    for quota in quotas:
        quota.set_share(1, 5)
    seconds = 20
    assert grants(quotas, seconds, 50, 10.0, exchange=False) <= RATE * seconds + RATE * 1.1


def test_refusal_names_the_time_until_the_bucket_holds_enough():
    quota = SharedQuota()
    assert quota.charge(LIMITED, RATE, 0.0) == Granted()
    refused = quota.charge(LIMITED, 500.0, 0.0)
    assert isinstance(refused, OverRate)
    assert quota.charge(LIMITED, 500.0, refused.retry_after_s + 0.001) == Granted()


def test_refund_gives_back_what_did_not_run():
    quota = SharedQuota()
    quota.charge(LIMITED, RATE, 0.0)
    quota.refund(LIMITED, RATE)
    assert quota.charge(LIMITED, RATE, 0.0) == Granted()


def test_restart_of_a_peer_does_not_charge_twice():
    quota = SharedQuota()
    quota.charge(LIMITED, 1.0, 0.0)
    quota.merge("g", 1, {})
    quota.merge("g", 1, {"w": 400.0})
    quota.merge("g", 1, {"w": 400.0})
    quota.merge("g", 2, {"w": 0.0})
    assert quota.charge(LIMITED, 590.0, 0.0) == Granted()
    assert isinstance(quota.charge(LIMITED, 20.0, 0.0), OverRate)


def test_request_larger_than_the_burst_runs_when_the_bucket_is_full():
    quota = SharedQuota()
    assert quota.charge(LIMITED, 3 * RATE, 0.0) == Granted()
    assert isinstance(quota.charge(LIMITED, 1.0, 1.0), OverRate)


def test_retry_budget_over_all_gateways_and_any_window():
    gateways, ratio, extra, window_s = 5, 0.2, 56.0, 10.0
    windows = [SlidingRetryBudget(ratio, extra, window_s) for _ in range(gateways)]
    repeats, requests = [], []
    for step in range(400):
        now = step * 0.1
        for window in windows:
            window.record_request(now)
            requests.append(now)
            while window.try_acquire(now, gateways):
                repeats.append(now)
    for start in range(30):
        inside = sum(start <= at < start + window_s for at in repeats)
        asked = sum(start <= at < start + window_s for at in requests)
        assert inside <= ratio * asked + extra
    assert repeats
