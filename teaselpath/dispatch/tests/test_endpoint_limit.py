"""Limits of endpoints, split by gateways that know each other's demand late or not at all."""

from dataclasses import dataclass, field
from random import Random

import pytest

from teaselpath.dispatch import EndpointLimit, first_level, split_limit
from teaselpath.dispatch._endpoint_limit import MIN_RATE_PER_S, SEND_WINDOW_S

TICK_S = 0.02
STATUS_S = 0.2
SPLIT_S = 0.1
DELAY_S = 0.3
SILENT_S = 10.0
# The users' rule: from this time on, requests in any window of this length, as a multiple of what
# the limit allows and in addition to it.
SETTLED_S, WINDOW_S, FACTOR, EXTRA = 4.0, 4.0, 1.5, 5


@dataclass
class Gateway:
    """A gateway with its own view of one endpoint's limit."""

    host: str
    limit: EndpointLimit = field(default_factory=EndpointLimit)
    heard_at: dict[str, float] = field(default_factory=dict)
    is_up: bool = True
    backlog: int = 0

    def split(self, now, delay_s):
        peers = [host for host, at in self.heard_at.items() if now - at < SILENT_S]
        own_demand = self.limit.settled_demand(now, delay_s)
        if own_demand is None:
            demands = dict.fromkeys([self.host, *peers], 1.0)
        else:
            demands = {peer: self.limit.peer_demand.get(peer, 0.0) for peer in peers}
            demands[self.host] = own_demand
        share = split_limit(self.host, "e", self.limit.usable_rate, demands)
        self.limit.set_share(share, first_level(self.host, "e"), now)


class Fleet:
    """Gateways that send requests to one endpoint.

    :param demand: requests per second of each gateway, by time.
    """

    def __init__(self, random, count, rate, demand, loss=0.05, status_s=STATUS_S, delay_s=DELAY_S):
        self.status_s, self.delay_s = status_s, delay_s
        self.random, self.rate, self.demand, self.loss = random, rate, demand, loss
        self.gateways = [Gateway(f"gw-{n}") for n in range(count)]
        self.messages = []
        self.sends = []
        self.cut = set()
        for gateway in self.gateways:
            gateway.heard_at = {g.host: 0.0 for g in self.gateways if g is not gateway}
            gateway.limit.record_statement(rate, 0.0)

    def run(self, seconds, disturb=None):
        for tick in range(int(seconds / TICK_S)):
            now = tick * TICK_S
            if disturb is not None:
                disturb(self, now)
            self._deliver(now)
            for n, gateway in enumerate(self.gateways):
                if gateway.is_up:
                    self._step(n, gateway, tick, now)

    def _step(self, n, gateway, tick, now):
        if tick % int(SPLIT_S / TICK_S) == n % int(SPLIT_S / TICK_S):
            gateway.split(now, self.delay_s)
        if tick % int(self.status_s / TICK_S) == n % int(self.status_s / TICK_S):
            demand = gateway.limit.report_demand(now)
            for other in self.gateways:
                is_cut = (gateway.host in self.cut) != (other.host in self.cut)
                if other is not gateway and not is_cut and self.random.random() >= self.loss:
                    delay_s = self.random.uniform(0.001, 0.06)
                    self.messages.append((now + delay_s, other, gateway.host, demand))
        if self.random.random() < self.demand(n, now) * TICK_S:
            gateway.limit.record_demand(now)
            gateway.backlog = min(gateway.backlog + 1, 3)
        while gateway.backlog and gateway.limit.can_send(now):
            gateway.backlog -= 1
            gateway.limit.record_send(now)
            self.sends.append((now, gateway.host))

    def _deliver(self, now):
        due = [m for m in self.messages if m[0] <= now]
        self.messages = [m for m in self.messages if m[0] > now]
        for _, gateway, host, demand in due:
            gateway.heard_at[host] = now
            gateway.limit.peer_demand[host] = demand

    def most_in_window(self, excused=()):
        times = [at for at, host in self.sends if at >= SETTLED_S and host not in excused]
        return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)

    def allowed(self):
        return FACTOR * self.rate * WINDOW_S + EXTRA


def ten_times(rate, count):
    return lambda n, now: 10.0 * rate / count


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("count", "rate"), [(4, 0.5), (4, 6.0), (5, 40.0), (24, 5.0), (68, 0.5)])
def test_sum_over_gateways_keeps_to_the_limit_with_delays_and_losses(count, rate, seed):
    fleet = Fleet(Random(seed), count, rate, ten_times(rate, count))
    fleet.run(20.0)
    assert fleet.most_in_window() <= fleet.allowed()
    settled = sum(at >= SETTLED_S for at, _ in fleet.sends)
    # With many gateways and a low limit, the few that have a part often have no request for it.
    used = 0.6 if count <= rate * WINDOW_S else 0.2
    assert settled >= used * rate * (20.0 - SETTLED_S) - 1


@pytest.mark.parametrize("seed", range(3))
def test_limit_goes_to_the_gateway_with_the_demand(seed):
    fleet = Fleet(Random(seed), 5, 4.0, lambda n, now: 12.0 if n == 0 else 0.0)
    fleet.run(20.0)
    settled = sum(at >= SETTLED_S for at, _ in fleet.sends)
    assert settled >= 0.8 * 4.0 * (20.0 - SETTLED_S)
    assert fleet.most_in_window() <= fleet.allowed()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("count", "rate"), [(5, 6.0), (24, 8.0)])
def test_sum_holds_while_demand_moves_between_gateways(count, rate, seed):
    fleet = Fleet(
        Random(seed), count, rate, lambda n, now: 4.0 * rate if n == int(now / 2.5) % count else 0.0
    )
    fleet.run(24.0)
    assert fleet.most_in_window() <= fleet.allowed()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("period_s", [2.0, 5.0])
def test_sum_holds_while_demand_comes_and_goes_in_a_fleet_that_learns_of_it_late(seed, period_s):
    fleet = Fleet(
        Random(seed), 24, 8.0, lambda n, now: 1.0 if now % (2 * period_s) < period_s else 0.05,
        status_s=0.8, delay_s=1.5,
    )  # fmt: skip
    fleet.run(24.0)
    assert fleet.most_in_window() <= fleet.allowed()


@pytest.mark.parametrize("seed", range(3))
def test_sum_holds_when_all_gateways_begin_to_send_at_once(seed):
    fleet = Fleet(Random(seed), 24, 6.0, lambda n, now: 0.0 if now < 9.0 else 5.0)
    fleet.run(20.0)
    assert fleet.most_in_window() <= fleet.allowed()


@pytest.mark.parametrize("seed", range(3))
def test_sum_holds_while_gateways_are_killed_start_again_and_are_cut_off(seed):
    def disturb(fleet, now):
        index = int(now / 3.0) % len(fleet.gateways)
        for n, gateway in enumerate(fleet.gateways):
            if n == index and gateway.is_up and round(now % 3.0, 2) == 1.0:
                started = Gateway(gateway.host)
                started.is_up = False
                started.heard_at = {g.host: now for g in fleet.gateways if g is not gateway}
                started.limit.record_statement(fleet.rate, now)
                fleet.gateways[n] = started
            elif not gateway.is_up and round(now % 3.0, 2) == 2.5:
                gateway.is_up = True
        fleet.cut = {"gw-0"} if 8.0 < now < 14.0 else set()

    fleet = Fleet(Random(seed), 5, 6.0, ten_times(6.0, 5))
    fleet.run(24.0, disturb)
    assert fleet.most_in_window() <= fleet.allowed()


def test_cut_that_lasts_gives_each_side_a_limit_of_its_own_at_most():
    fleet = Fleet(Random(1), 4, 5.0, ten_times(5.0, 4))

    def disturb(fleet, now):
        fleet.cut = {"gw-0", "gw-1"} if now > 2.0 else set()

    fleet.run(40.0, disturb)
    assert fleet.most_in_window(excused=("gw-0", "gw-1")) <= fleet.allowed()
    assert fleet.most_in_window() <= 2 * fleet.allowed()


def test_limit_ends_with_an_answer_that_states_none():
    limit = EndpointLimit()
    assert limit.can_send(0.0)
    assert limit.record_statement(2.0, 1.0)
    assert not limit.can_send(1.0)
    # An older statement, of a peer, is ignored.
    assert not limit.record_statement(None, 0.5)
    assert limit.record_statement(None, 2.0)
    assert limit.can_send(2.0)
    assert limit.is_reported(2.5)
    assert not limit.is_reported(60.0)


def test_limit_of_zero_leaves_a_request_now_and_then():
    limit = EndpointLimit()
    limit.record_statement(0.0, 0.0)
    limit.set_share(split_limit("a", "e", limit.usable_rate, {"a": 0.0}), 0.0, 0.0)
    assert not limit.can_send(1.0)
    assert limit.wait_s(1.0) <= 1.0 / MIN_RATE_PER_S
    assert limit.can_send(SEND_WINDOW_S)


def test_huge_limit_does_not_hold_requests_back():
    limit = EndpointLimit()
    limit.record_statement(1e9, 0.0)
    limit.set_share(0.25, 0.0, 0.0)
    for _ in range(1000):
        assert limit.can_send(0.01)
        limit.record_send(0.01)
