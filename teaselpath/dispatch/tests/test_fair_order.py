"""Shares of workspaces in a crowd: load, starvation, cut-off and restarted gateways."""

import random
from collections import defaultdict

import pytest

from teaselpath.dispatch import FairOrder, QueuedRequest, RequestQueue

TOKENS = 50.0
# What all endpoints can do, in tokens per second, and what each workspace usually asks for.
ROOM_PER_S = 20_000.0
USUAL_PER_S = 0.06 * ROOM_PER_S
LARGE = "w0"
WORKSPACES = [f"w{n}" for n in range(16)]
STEP_S = 0.05
EXCHANGE_STEPS = 4
DEADLINE_S = 4.0


class Crowd:
    """Gateways with equal parts of the room, through which all workspaces send requests.

    :ivar served: tokens of placed requests by workspace.
    """

    def __init__(self, gateways=4, *, is_fair=True):
        self.is_fair, self.random, self.now, self.step = is_fair, random.Random(3), 0.0, 0
        self.queues = [self.queue() for _ in range(gateways)]
        self.unsent: list[dict[str, float]] = [defaultdict(float) for _ in range(gateways)]
        self.waiting: list[dict[int, float]] = [{} for _ in range(gateways)]
        self.cut: set[int] = set()
        self.asked: dict[str, float] = defaultdict(float)
        self.served: dict[str, float] = defaultdict(float)

    def queue(self):
        return RequestQueue(FairOrder() if self.is_fair else None)

    def run(self, duration_s, demand):
        """Let each workspace ask for ``demand`` times its usual."""
        until = self.now + duration_s
        while self.now < until:
            self.step += 1
            self.now = self.step * STEP_S
            for number, queue in enumerate(self.queues):
                self.arrive(number, queue, demand)
                self.place(number, queue)
            if self.step % EXCHANGE_STEPS == 0:
                self.exchange()

    def arrive(self, number, queue, demand):
        for workspace in WORKSPACES:
            mean = demand[workspace] * USUAL_PER_S * STEP_S / TOKENS / len(self.queues)
            for _ in range(int(mean) + (self.random.random() < mean % 1)):
                self.asked[workspace] += TOKENS
                deadline = self.now + DEADLINE_S
                request = QueuedRequest(
                    "llm", 1, int(TOKENS), deadline, workspace=workspace, charge=TOKENS
                )
                queue.enqueue(request, self.now)
                self.waiting[number][request.number] = self.now

    def place(self, number, queue):
        room = ROOM_PER_S * STEP_S / len(self.queues)
        for request in queue.in_order(self.now):
            waited_s = self.now - self.waiting[number][request.number]
            if waited_s <= DEADLINE_S / 2 and room < TOKENS:
                continue
            if waited_s <= DEADLINE_S / 2:
                room -= TOKENS
                self.served[request.workspace] += TOKENS
                self.unsent[number][request.workspace] += TOKENS
                if queue.fair_order is not None:
                    queue.fair_order.record_placed(request.workspace, TOKENS, self.now)
            queue.remove(request)
            del self.waiting[number][request.number]

    def exchange(self):
        for number, used in enumerate(self.unsent):
            for other, queue in enumerate(self.queues):
                if other != number and not {other, number} & self.cut and self.is_fair:
                    queue.fair_order.record_others(used, self.now)
            self.unsent[number] = defaultdict(float)

    def restart(self, number):
        self.queues[number], self.waiting[number] = self.queue(), {}

    def count_anew(self):
        self.asked.clear()
        self.served.clear()

    def served_fraction(self, workspace):
        return self.served[workspace] / self.asked[workspace]

    def least_of_others(self):
        return min(self.served_fraction(w) for w in WORKSPACES if w != LARGE)


@pytest.fixture
def crowd():
    crowd = Crowd()
    crowd.run(4.0, usual())
    return crowd


def usual():
    return dict.fromkeys(WORKSPACES, 1.0)


def large(factor=6.0):
    return usual() | {LARGE: factor}


def test_others_keep_their_part_beside_a_workspace_at_six_times_its_usual(crowd):
    """Guards against a crowd that is paid for by those who did not cause it."""
    crowd.count_anew()
    crowd.run(15.0, large())
    assert crowd.least_of_others() >= 0.95
    # It gets what the others leave, and so does its own usual.
    assert crowd.served[LARGE] >= 0.9 * USUAL_PER_S * 15.0

    unfair = Crowd(is_fair=False)
    unfair.run(4.0, usual())
    unfair.count_anew()
    unfair.run(15.0, large())
    assert unfair.least_of_others() < 0.9


def test_room_that_others_leave_is_used(crowd):
    """Guards against shares that leave endpoints idle."""
    crowd.count_anew()
    crowd.run(10.0, large(20.0))
    assert sum(crowd.served.values()) >= 0.97 * ROOM_PER_S * 10.0


def test_gateway_that_starts_in_the_crowd_shares_at_once(crowd):
    """Guards against a start that forgets who causes the crowd for long."""
    crowd.run(4.0, large())
    for number in range(4):
        crowd.restart(number)
    crowd.count_anew()
    crowd.run(8.0, large())
    assert crowd.least_of_others() >= 0.9


def test_gateways_that_are_cut_off_share_by_what_they_see(crowd):
    """Guards against shares that need other gateways."""
    crowd.run(2.0, large())
    crowd.cut = {0, 1}
    crowd.count_anew()
    crowd.run(8.0, large())
    assert crowd.least_of_others() >= 0.9


def test_workspace_far_above_its_share_is_served_within_the_window():
    """Guards against starvation by what a workspace was served before."""
    order = FairOrder()
    queue = RequestQueue(order)
    order.record_others({LARGE: 1e6}, 0.0)
    order.record_others({"w1": 1e3, "w2": 1e3}, 0.0)
    queue.enqueue(QueuedRequest("llm", 1, 1, 9.0, workspace=LARGE, charge=1.0), 0.0)
    served, now = 0.0, 0.0
    while True:
        for name in ("w1", "w2"):
            request = QueuedRequest("llm", 1, 1, now + 9.0, workspace=name, charge=1e4)
            queue.enqueue(request, now)
        first = queue.in_order(now)[0]
        if first.workspace == LARGE:
            break
        order.record_placed(first.workspace, first.charge, now)
        queue.remove(first)
        served += first.charge
        now += 0.01
        assert served <= 1.1e6


def test_request_that_waits_long_competes_with_the_highest_priority():
    """Guards against kinds of requests that starve behind a higher priority."""
    queue = RequestQueue(FairOrder())
    long = QueuedRequest("llm", 1, 900, 10.0, workspace="w1", charge=900.0)
    queue.enqueue(long, 0.0)
    for at in (0.0, 3.9):
        queue.enqueue(QueuedRequest("llm", 0, 1, 10.0, workspace="w2", charge=1000.0), at)
    assert queue.in_order(0.1)[-1] is long
    assert queue.in_order(3.9)[-1] is not long


def test_what_can_be_in_time_comes_before_what_is_late():
    """Guards against room for late answers while others become late."""
    queue = RequestQueue(FairOrder())
    late = QueuedRequest("llm", 1, 10, 9.0, workspace="w1", charge=10.0, aimed_at=1.0)
    timely = QueuedRequest("llm", 1, 10, 9.0, workspace="w1", charge=10.0, aimed_at=3.0)
    queue.enqueue(late, 0.0)
    queue.enqueue(timely, 1.5)
    assert queue.in_order(0.9)[0] is late
    assert queue.in_order(2.0)[0] is timely


def test_weight_is_the_rate():
    """Guards against large workspaces that are refused for their usual use."""
    order = FairOrder()
    order.set_weights({"large": 9000.0, "small": 1000.0, "unlimited": 0.0})
    order.record_others({"large": 900.0, "small": 100.0}, 0.0)
    assert order.excess_of("large", 1.0) == pytest.approx(0.0, abs=1e-9)
    order.record_others({"large": 4500.0}, 1.0)
    assert order.excess_of("large", 1.0) > 0.0 == order.excess_of("small", 1.0)
    assert order.excesses(1.0) == {"large": order.excess_of("large", 1.0), "small": 0.0}
