"""Scheduling fairness: one workspace sends five times its rate through one engine.

Simulated time. Compares the product's scheduler with first come, first served on the same
arrivals, with and without the overload. The quota is left out, so that the scheduler alone has to
protect the other workspaces.
"""

import argparse
import heapq
import json
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from teaselpath.scheduling import Drop, Finished, Run, Scheduler, SlotsChanged, Submit

SLOTS = 32
DECODE_S_PER_TOKEN = 0.002
PREFILL_S = 0.05
MAX_OUTPUT = 1000
DEADLINE_S = 30.0
OVERLOAD = 5.0
# Load of the slots without the overload.
UTILIZATION = 0.6
WARM_UP_S = 20.0
TICK_S = 0.1


@dataclass(slots=True)
class Arrival:
    """One request; the engine generates ``output`` tokens."""

    at: float
    name: str
    workspace: str
    output: int


class Fifo:
    """First come, first served with the interface of the scheduler."""

    def __init__(self, slots: int = 0) -> None:
        self.slots = slots
        self.queue: deque[Submit] = deque()
        self.running = 0

    def handle(self, event: Any, now: float) -> list[Run | Drop]:
        """Apply an event."""
        match event:
            case Submit():
                self.queue.append(event)
            case Finished():
                self.running -= 1
            case SlotsChanged(slots):
                self.slots = slots
        return self.tick(now)

    def tick(self, now: float) -> list[Run | Drop]:
        """Start what fits and has not missed its deadline."""
        started: list[Run | Drop] = []
        while self.queue and self.running < self.slots:
            request = self.queue.popleft()
            if request.deadline > now:
                self.running += 1
                started.append(Run(request.request_id))
        return started


def make_arrivals(
    random: Random, workspaces: int, seconds: float, overload: float
) -> list[Arrival]:
    """Draw Poisson arrivals; workspace ``w0`` sends ``overload`` times as much as the others."""
    mean_s = PREFILL_S + DECODE_S_PER_TOKEN * (20 + MAX_OUTPUT) / 2.0
    rate = UTILIZATION * SLOTS / mean_s / workspaces
    arrivals = []
    for index in range(workspaces):
        # Each workspace has its own generator, so that the others' arrivals do not change.
        own = Random(f"{random.random()}")
        now, factor = 0.0, overload if index == 0 else 1.0
        while (now := now + own.expovariate(rate * factor)) < seconds:
            name = f"w{index}.{len(arrivals)}"
            arrivals.append(Arrival(now, name, f"w{index}", own.randint(20, MAX_OUTPUT)))
    return sorted(arrivals, key=lambda arrival: arrival.at)


def simulate(scheduler: Any, arrivals: list[Arrival], seconds: float) -> dict[str, list[float]]:
    """Return the times to first token by workspace; infinite for requests that got none."""
    by_name = {arrival.name: arrival for arrival in arrivals}
    first: dict[str, float] = {}
    events: list[tuple[float, int, str, str]] = []
    for number, arrival in enumerate(arrivals):
        events.append((arrival.at, number, "arrive", arrival.name))
    ticks = int((seconds + DEADLINE_S) / TICK_S)
    events += [(TICK_S * i, len(arrivals) + i, "tick", "") for i in range(ticks)]
    heapq.heapify(events)
    scheduler.handle(SlotsChanged(SLOTS), 0.0)
    number = len(events)
    while events:
        now, _, kind, name = heapq.heappop(events)
        for action in step(scheduler, kind, by_name.get(name), now):
            if isinstance(action, Run):
                request, number = by_name[action.request_id], number + 1
                first[request.name] = now + PREFILL_S - request.at
                end = now + PREFILL_S + DECODE_S_PER_TOKEN * request.output
                heapq.heappush(events, (end, number, "finish", request.name))
    times: dict[str, list[float]] = {}
    for arrival in arrivals:
        if arrival.at >= WARM_UP_S:
            times.setdefault(arrival.workspace, []).append(first.get(arrival.name, float("inf")))
    return times


def step(scheduler: Any, kind: str, arrival: Arrival | None, now: float) -> list[Run | Drop]:
    """Hand one event to a scheduler."""
    if arrival is None:
        return scheduler.tick(now)
    if kind == "finish":
        return scheduler.handle(Finished(arrival.name, float(arrival.output)), now)
    deadline, overdue_at = now + DEADLINE_S, now + DEADLINE_S / 2.0
    request = Submit(
        arrival.name, arrival.workspace, 1.0, float(MAX_OUTPUT), 0, deadline, overdue_at
    )
    return scheduler.handle(request, now)


def percentile(values: list[float], part: float) -> float:
    """Return a percentile by the nearest rank."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


def measure(scheduler: Any, arrivals: list[Arrival], seconds: float) -> dict[str, float]:
    """Return the worst values over the workspaces that stay within their rate."""
    times = simulate(scheduler, arrivals, seconds)
    others = [values for workspace, values in times.items() if workspace != "w0"]
    served = [sum(v < float("inf") for v in values) / len(values) for values in others]
    every = [value for values in others for value in values]
    return {
        "worst_p95_ms": 1000.0 * max(percentile(values, 0.95) for values in others),
        "others_p95_ms": 1000.0 * percentile(every, 0.95),
        "worst_goodput_percent": 100.0 * min(served),
    }


def main() -> None:
    """Print the table and one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true", help="200 workspaces and a longer run")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    workspaces, seconds = (200, 600.0) if arguments.full else (8, 300.0)
    rows = []
    print(f"{workspaces} workspaces, {SLOTS} slots; ratios to the same system without overload")
    print(f"{'system':12} {'overload':>8} {'others p95':>11} {'ratio':>6}", end=" ")
    print(f"{'worst p95':>11} {'ratio':>6} {'worst goodput':>13}")
    for name, make in (("fcfs", Fifo), ("ours", Scheduler)):
        base: dict[str, float] = {}
        for overload in (1.0, OVERLOAD):
            arrivals = make_arrivals(Random(arguments.seed), workspaces, seconds, overload)
            row = measure(make(), arrivals, seconds)
            base = base or row
            others = row["others_p95_ms"] / base["others_p95_ms"]
            worst = row["worst_p95_ms"] / base["worst_p95_ms"]
            rows.append({"system": name, "overload": overload, **row, "others_ratio": others})
            print(
                f"{name:12} {overload:7.0f}x {row['others_p95_ms']:8.0f} ms {others:6.2f}"
                f" {row['worst_p95_ms']:8.0f} ms {worst:6.2f} {row['worst_goodput_percent']:12.2f}%"
            )
    print(json.dumps({"benchmark": "fairness", "seed": arguments.seed, "rows": rows}))


if __name__ == "__main__":
    main()
