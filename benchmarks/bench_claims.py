"""Compare three ways to claim idempotency keys, over a simulated log.

``memory`` keeps keys in the agent alone, ``single`` appends one record per claim, and ``grouped``
is ``ClaimTable``. The log takes 20-50 ms for an append and 300 appends/s. The agent restarts at
seeded times, and callers repeat some keys. Times are simulated; CPU is measured over the calls of
the claim code and leaves out the HTTP call of an append.
"""

import argparse
import heapq
import itertools
import json
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from teaselpath.delivery import (
    AppendDone,
    AppendFailed,
    ClaimFinished,
    ClaimGranted,
    ClaimRefused,
    ClaimRequested,
    ClaimTable,
    ReadProgress,
    RecordRead,
)
from teaselpath.wire import Append

APPEND_S = (0.020, 0.050)
APPENDS_PER_S = 300.0
APPEND_BURST = 30.0
RUN_S = 0.010
DOWN_S = 0.2
RETRY_S = (0.1, 0.5)
REPEAT_AFTER_S = (0.1, 5.0)
CLAIM_TIMEOUT_S = 2.0


class MemoryClaims:
    """Keys in the memory of the agent."""

    def __init__(self) -> None:
        self.keys: set[bytes] = set()

    def handle(self, event: Any, now: float) -> list[Any]:
        """Apply one event, as ``ClaimTable`` does."""
        if not isinstance(event, ClaimRequested):
            return []
        claim = (event.key, event.request_id, event.attempt)
        if event.key in self.keys:
            return [ClaimRefused(*claim, 4003, "unknown", "")]
        self.keys.add(event.key)
        return [ClaimGranted(*claim, now)]


class SingleClaims:
    """One append per claim, any number in flight; the first record of a key wins."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.holders: dict[str, str] = {}
        self.pending: dict[str, ClaimRequested] = {}
        self.has_read = False

    def handle(self, event: Any, now: float) -> list[Any]:
        """Apply one event, as ``ClaimTable`` does."""
        if isinstance(event, ReadProgress):
            self.has_read = True
        if isinstance(event, RecordRead):
            return self._record(event.data, now)
        if not isinstance(event, ClaimRequested):
            return []
        claim = (event.key, event.request_id, event.attempt)
        if not self.has_read or event.key.hex() in self.holders:
            return [ClaimRefused(*claim, 4003, "unknown", "")]
        self.pending[event.request_id] = event
        data = json.dumps([event.key.hex(), event.request_id, self.incarnation]).encode()
        return [Append("claims.bench", data)]

    def _record(self, data: bytes, now: float) -> list[Any]:
        key, request_id, incarnation = json.loads(data)
        holder = self.holders.setdefault(key, request_id)
        wanted = self.pending.pop(request_id, None) if incarnation == self.incarnation else None
        if wanted is None:
            return []
        claim = (wanted.key, wanted.request_id, wanted.attempt)
        if holder != request_id or now >= wanted.deadline:
            return [ClaimRefused(*claim, 4003, "unknown", "")]
        return [ClaimGranted(*claim, now)]


class Simulation:
    """Discrete events: callers, one agent that restarts, and the log."""

    def __init__(self, way: str, rate: float, seconds: float, seed: int) -> None:
        self.way, self.rate, self.seconds = way, rate, seconds
        self.random = Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.now = 0.0
        self.records: list[tuple[float, bytes]] = []
        self.bucket, self.bucket_at = APPEND_BURST, 0.0
        self.appends = self.rejected = self.wanted = self.refused = 0
        self.runs: Counter[bytes] = Counter()
        self.latencies: list[float] = []
        self.wanted_at: dict[str, float] = {}
        self.cpu_s = 0.0
        self.incarnation = 0
        self.agent: Any = None

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def run(self) -> dict[str, Any]:
        """Run to the end and return the measures."""
        self._restart()
        self._schedule_load()
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self._report()

    def _schedule_load(self) -> None:
        when = 0.5
        for number in itertools.count():
            when += self.random.expovariate(self.rate)
            if when > self.seconds:
                break
            key = number.to_bytes(16, "big")
            self._at(when, partial(self._want, key))
            if self.random.random() < 0.1:
                repeat = when + self.random.uniform(*REPEAT_AFTER_S)
                self._at(repeat, partial(self._want, key))
        for _ in range(int(self.seconds / 5)):
            self._at(self.random.uniform(1, self.seconds), self._crash)
        for tick in range(int(self.seconds * 20)):
            self._at(tick / 20, self._tick)

    # Agent

    def _crash(self) -> None:
        self.agent = None
        self.incarnation += 1
        self._at(self.now + DOWN_S, partial(self._restart, self.incarnation))

    def _restart(self, incarnation: int = 0) -> None:
        if incarnation != self.incarnation:
            return
        if self.way == "memory":
            self.agent = MemoryClaims()
        elif self.way == "single":
            self.agent = SingleClaims(incarnation)
        else:
            self.agent = ClaimTable("bench", "agent", incarnation)
        for offset, (when, data) in enumerate(self.records):
            self._call(RecordRead(offset, data, self.now - when))
        self._call(ReadProgress(len(self.records)))

    def _call(self, event: Any) -> None:
        if self.agent is None:
            return
        start = time.process_time()
        actions = self.agent.handle(event, self.now)
        self.cpu_s += time.process_time() - start
        self._carry_out(actions)

    def _tick(self) -> None:
        if self.way == "grouped" and self.agent is not None:
            self._carry_out(self.agent.tick(self.now))

    def _want(self, key: bytes) -> None:
        if self.agent is None:
            return
        self.wanted += 1
        request_id = str(self.wanted)
        self.wanted_at[request_id] = self.now
        self._call(ClaimRequested(key, request_id, 1, self.now + CLAIM_TIMEOUT_S))

    def _carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Append):
                self._send_append(action.data)
            elif isinstance(action, ClaimRefused):
                self.refused += action.code == 4004
            else:
                self._granted(action)

    def _granted(self, grant: ClaimGranted) -> None:
        self.latencies.append(self.now - self.wanted_at[grant.request_id])
        self.runs[grant.key] += 1
        done = ClaimFinished(grant.key, grant.request_id, grant.attempt, "ran")
        self._reply(RUN_S, done)

    def _reply(self, delay: float, event: Any) -> None:
        """Hand an event to the agent later, unless it restarted meanwhile."""
        incarnation = self.incarnation
        self._at(
            self.now + delay, lambda: self._call(event) if incarnation == self.incarnation else None
        )

    # Log

    def _send_append(self, data: bytes) -> None:
        delay = self.random.uniform(*APPEND_S)
        incarnation = self.incarnation
        self._at(self.now + delay / 2, lambda: self._take_append(data, delay, incarnation))

    def _take_append(self, data: bytes, delay: float, incarnation: int) -> None:
        refill = (self.now - self.bucket_at) * APPENDS_PER_S
        self.bucket, self.bucket_at = min(APPEND_BURST, self.bucket + refill), self.now
        if self.bucket < 1:
            self.rejected += 1
            if self.way == "single":
                wait = self.random.uniform(*RETRY_S)
                self._at(self.now + wait, lambda: self._retry(data, incarnation))
            else:
                self._reply(delay / 2, AppendFailed(False, delay))
            return
        self.bucket -= 1
        self.appends += 1
        offset = len(self.records)
        self.records.append((self.now, data))
        if incarnation == self.incarnation:
            self._reply(delay / 2, AppendDone(offset))
        self._reply(APPEND_S[1] / 2, RecordRead(offset, data, APPEND_S[1] / 2))

    def _retry(self, data: bytes, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self._send_append(data)

    def _report(self) -> dict[str, Any]:
        ordered = sorted(self.latencies)
        return {
            "way": self.way,
            "claims_per_s": self.rate,
            "granted_per_s": round(len(ordered) / self.seconds, 1),
            "appends_per_s": round(self.appends / self.seconds, 1),
            "rejected_per_s": round(self.rejected / self.seconds, 1),
            "p50_ms": round(1000 * ordered[len(ordered) // 2], 1),
            "p95_ms": round(1000 * ordered[int(len(ordered) * 0.95)], 1),
            "cpu_us": round(1e6 * self.cpu_s / self.wanted, 1),
            "double_runs": sum(count - 1 for count in self.runs.values()),
        }


def main() -> None:
    """Run all ways and print a table and one line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0, help="simulated time")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rates", type=float, nargs="+", default=[50.0, 250.0, 1000.0])
    args = parser.parse_args()
    results = []
    for rate in args.rates:
        ways = {}
        for way in ("memory", "single", "grouped"):
            runs = [Simulation(way, rate, args.seconds, seed).run() for seed in range(args.seeds)]
            ways[way] = merge(runs)
        for way, row in ways.items():
            appends = row["appends_per_s"] / (ways["single"]["appends_per_s"] or 1)
            row["appends_ratio"] = round(appends, 3)
            row["p95_ratio"] = round(row["p95_ms"] / (ways["single"]["p95_ms"] or 1), 3)
            results.append({**row, "way": way})
    columns = list(results[0])
    print(" ".join(f"{column:>14}" for column in columns))
    for row in results:
        print(" ".join(f"{row[column]:>14}" for column in columns))
    print(json.dumps({"benchmark": "claims", "seconds": args.seconds, "results": results}))


def merge(runs: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the means over the seeds, and the sum of the double runs."""
    merged = dict(runs[0])
    for name, value in runs[0].items():
        if isinstance(value, float):
            merged[name] = round(sum(run[name] for run in runs) / len(runs), 1)
    merged["double_runs"] = sum(run["double_runs"] for run in runs)
    return merged


if __name__ == "__main__":
    main()
