"""Load, clock and network of the quota benchmark, with the measure of wrongful refusals."""

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from typing import Any

from teaselpath.quota import Bucket, WorkspaceQuota

WARM_UP_S = 60.0
FAULT_S = 20.0
DOWN_S = 1.0
WAIT_S = 0.3
LOCAL_DELAY_S = 0.00075
REGION_DELAY_S = 0.015
LOG_DELAY_S = 0.06
LOG_READ_S = 5.0
TICK_S = 0.5
BUSY_TICK_S = 0.05
MAX_TOKENS = 6000.0
BURST_S = 30.0
# Offered load as a part of the rate, and the part of the workspaces that have it.
LOADS = ((0.5, 0.6), (0.8, 0.3), (1.5, 0.1))


@dataclass(slots=True)
class Size:
    """Numbers of one run; requests/s over all entries."""

    entries: int
    regions: int
    workspaces: int
    requests_per_s: float
    measured_s: float


@dataclass(slots=True)
class Request:
    """One arrival."""

    at: float
    number: int
    entry: int
    workspace: int
    tokens: float
    used: float
    duration_s: float


@dataclass(slots=True)
class Load:
    """Arrivals and workspaces of a run."""

    hosts: dict[str, str]
    quotas: list[WorkspaceQuota]
    requests: list[Request]
    end: float


@dataclass(slots=True)
class Outcome:
    """What a system did."""

    granted: int = 0
    refused: int = 0
    wrongful: int = 0
    messages: int = 0
    charges: dict[str, dict[Any, list[float]]] = field(default_factory=lambda: defaultdict(dict))


def make_load(size: Size, seed: int) -> Load:
    """Draw hosts, workspaces with skewed load (Zipf) and arrivals (Poisson)."""
    random = Random(seed)
    hosts = {f"e{i}": f"r{i % size.regions}" for i in range(size.entries)}
    weights = [1.0 / (rank + 1) for rank in range(size.workspaces)]
    total = sum(weights)
    samples = [draw_size(random) for _ in range(2000)]
    mean_used = sum(used for _, used in samples) / len(samples)
    quotas = []
    for rank, weight in enumerate(weights):
        load = random.choices([load for load, _ in LOADS], [part for _, part in LOADS])[0]
        rate = size.requests_per_s * weight / total * mean_used / load
        quotas.append(WorkspaceQuota(f"w{rank}", rate, max(BURST_S * rate, 4.0 * MAX_TOKENS)))
    end = WARM_UP_S + size.measured_s
    requests = draw_requests(random, size, weights, end)
    return Load(hosts, quotas, requests, end)


def draw_size(random: Random) -> tuple[float, float]:
    """Draw reserved and used tokens of a request."""
    tokens = min(MAX_TOKENS, float(int(random.lognormvariate(math.log(800.0), 0.8)) + 1))
    return tokens, float(int(tokens * random.uniform(0.4, 1.0)))


def draw_requests(random: Random, size: Size, weights: list[float], end: float) -> list[Request]:
    """Draw arrivals; four fifths of a workspace's requests come from one region."""
    requests: list[Request] = []
    cumulative, total = [], 0.0
    for weight in weights:
        total += weight
        cumulative.append(total)
    now = 5.0
    while True:
        now += random.expovariate(size.requests_per_s)
        if now >= end:
            return requests
        workspace = random.choices(range(len(weights)), cum_weights=cumulative)[0]
        entry = random.randrange(size.entries)
        if random.random() < 0.8:
            entry += (workspace - entry) % size.regions
            entry %= size.entries
        tokens, used = draw_size(random)
        duration_s = random.uniform(0.5, 5.0)
        requests.append(Request(now, len(requests), entry, workspace, tokens, used, duration_s))


class World:
    """Clock, network and measures of one run of one system."""

    def __init__(self, load: Load, fault: str) -> None:
        self.load = load
        self.fault = fault
        self.now = 0.0
        self.heap: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self.sequence = 0
        self.outcome = Outcome()
        self.cut: str | None = None
        self.down: set[str] = set()
        self.waiting: dict[str, Request] = {}
        self.hosts = list(load.hosts)
        self.ideal = {quota.id: Bucket(0.0) for quota in load.quotas}
        for quota in load.quotas:
            self.ideal[quota.id].resize(quota.burst, quota.rate, 0.0)

    def at(self, when: float, call: Any, *arguments: Any) -> None:
        """Call something at an instant."""
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, call, arguments))

    def connected(self, one: str, two: str) -> bool:
        """Return whether two hosts reach each other."""
        first, second = self.load.hosts[one], self.load.hosts[two]
        return first == second or self.cut not in (first, second)

    def send(self, sender: str, to: str, call: Any, *arguments: Any) -> None:
        """Deliver to a host after the delay of the path, unless the path is cut."""
        if self.now >= WARM_UP_S:
            self.outcome.messages += 1
        near = self.load.hosts[sender] == self.load.hosts[to]
        if self.connected(sender, to):
            self.at(self.now + (LOCAL_DELAY_S if near else REGION_DELAY_S), call, *arguments)

    def run(self, system: Any) -> Outcome:
        """Run all arrivals and the fault through a system."""
        self.at(WARM_UP_S, self.align, system)
        for request in self.load.requests:
            self.at(request.at, self.arrive, system, request)
        fault_at = WARM_UP_S
        if self.fault == "restart":
            self.at(fault_at, self.set_down, system, self.hosts[0], True)
            self.at(fault_at + DOWN_S, self.set_down, system, self.hosts[0], False)
        elif self.fault == "cut":
            region = self.load.hosts[self.hosts[-1]]
            self.at(fault_at, self.set_cut, region)
            self.at(fault_at + FAULT_S, self.set_cut, None)
        while self.heap and self.heap[0][0] < self.load.end:
            self.now, _, call, arguments = heapq.heappop(self.heap)
            call(*arguments)
        return self.outcome

    def align(self, system: Any) -> None:
        """Give the ideal buckets the balance of the system."""
        for workspace, ideal in self.ideal.items():
            buckets = system.buckets_of(workspace)
            for bucket in (*buckets, ideal):
                bucket.accrue(self.now)
            ideal.level = sum(bucket.level for bucket in buckets)

    def set_cut(self, region: str | None) -> None:
        """Cut a region off, or heal the cut."""
        self.cut = region

    def set_down(self, system: Any, host: str, down: bool) -> None:
        """Stop a host, or start it again."""
        (self.down.add if down else self.down.discard)(host)
        (system.stop if down else system.start)(host)

    def arrive(self, system: Any, request: Request) -> None:
        """Hand an arrival to its entry, or to the next one while it is down."""
        host = self.hosts[request.entry]
        if host in self.down:
            host = self.hosts[(request.entry + 1) % len(self.hosts)]
        reservation_id = f"q{request.number}"
        self.waiting[reservation_id] = request
        system.reserve(host, reservation_id, f"w{request.workspace}", request.tokens)

    def charged(self, workspace: str, key: Any, tokens: float) -> None:
        """Record a charge, here and in the ideal bucket."""
        self.outcome.charges[workspace][key] = [self.now, tokens]
        ideal = self.ideal[workspace]
        ideal.accrue(self.now)
        ideal.level -= tokens

    def refunded(self, workspace: str, key: Any, tokens: float) -> None:
        """Record a refund, here and in the ideal bucket."""
        self.outcome.charges[workspace][key][1] -= tokens
        ideal = self.ideal[workspace]
        ideal.accrue(self.now)
        ideal.level = min(ideal.capacity, ideal.level + tokens)

    def answer(self, system: Any, host: str, reservation_id: str, granted: bool) -> None:
        """Record the answer to a request and settle a granted one later."""
        request = self.waiting.pop(reservation_id, None)
        if request is None:
            return
        if granted:
            done = self.now + request.duration_s
            self.at(done, system.settle, host, reservation_id, request.used)
        if request.at < WARM_UP_S:
            return
        ideal = self.ideal[f"w{request.workspace}"]
        ideal.accrue(self.now)
        self.outcome.granted += granted
        self.outcome.refused += not granted
        if not granted and ideal.level >= request.tokens:
            self.outcome.wrongful += 1
            ideal.level -= request.used
