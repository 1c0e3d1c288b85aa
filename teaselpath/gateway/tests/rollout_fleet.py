"""Gateways with rollouts of software in virtual time, with engines, a store and faults."""

import asyncio
import contextlib
import heapq
import json
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from itertools import count
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from teaselpath.dispatch import Answered, Broken
from teaselpath.fleet import (
    Position,
    RecordPage,
    RolloutBounds,
    RolloutRecord,
    StoredRecord,
    StoreError,
)
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._rollouts import Rollouts
from teaselpath.gateway._state import UNKNOWN_SINCE, GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformStore
from teaselpath.rollout import RolloutNote

BOUNDS = RolloutBounds(0.1, 50.0, 5.0)
STATUS_INTERVAL_S = 0.2
# Name, part of the requests, and usual time of each route, in seconds.
ROUTES = (("query", 0.7, 0.15), ("review", 0.06, 0.35), ("pay", 0.14, 0.03), ("look", 0.1, 0.03))
SLOTS = 8
UNIX_AT_START = 1.7e9
Behaviour = Callable[["Sent"], tuple[float, float]]


class Sent(SimpleNamespace):
    """A request that an engine of the target runs: ``route``, ``at``, ``running``, ``engine``."""


class VirtualLoop:
    """Loop whose tasks run at once, as nothing in them waits."""

    def __init__(self, fleet: "Fleet"):
        self.fleet = fleet

    def time(self) -> float:
        """Return the virtual time."""
        return self.fleet.now

    def create_task(self, job):
        """Run a job to its end."""
        with contextlib.suppress(StopIteration):
            job.send(None)
        done = SimpleNamespace(cancelled=lambda: False, exception=lambda: None)
        done.add_done_callback = lambda callback: callback(done)
        return done


class VirtualStore:
    """The status topic, which all gateways share."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.era = 1
        self.is_away = False
        self.codec = PlatformStore("127.0.0.1:9", HttpClient())

    async def poll(self, topic, start, wait_s) -> RecordPage:
        """Return the newest record of each key."""
        if self.is_away:
            raise StoreError("away")
        newest = {k: (n, value) for n, (k, value) in enumerate(self.records)}
        found = [StoredRecord(k, v, Position(self.era, n)) for k, (n, v) in newest.items()]
        return RecordPage(found, Position(self.era, len(self.records)), is_listing=True)

    async def append(self, topic, key, value, end=None) -> Position:
        """Append a record if the topic ends there."""
        if self.is_away:
            raise StoreError("away")
        if end != Position(self.era, len(self.records)):
            raise StoreError("conflict", is_conflict=True)
        self.records.append((key, value))
        return Position(self.era, len(self.records))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.codec, name)


class VirtualLease:
    """Lease that the fleet gives to one gateway."""

    handover_s = 3.0

    def __init__(self, fleet: "Fleet", host: str):
        self.fleet, self.host = fleet, host

    @property
    def valid_until(self) -> float:
        """End of the tenure, which the store renews."""
        if self.fleet.holder != self.host:
            return 0.0
        return (self.fleet.now if self.fleet.lost_at is None else self.fleet.lost_at) + 2.0

    def is_held(self, now: float) -> bool:
        """Return whether the tenure lasts."""
        return now < self.valid_until


class Gateway:
    """One gateway: its state, and its rollouts as the product has them."""

    def __init__(self, fleet: "Fleet", host: str, incarnation: int):
        self.fleet, self.host, self.incarnation = fleet, host, incarnation
        settings = replace(SETTINGS, host=host, rollout=BOUNDS)
        self.state = GatewayState(settings, cast(Any, fleet.store), incarnation)
        self.state.observe_era(fleet.store.era, "store", fleet.now)
        self.state.store_up = True
        self.is_cut = False
        self.sends_at = 0.0
        peers = SimpleNamespace(urgent_update=SimpleNamespace(set=self.send_soon))
        lease = VirtualLease(fleet, host)
        clock = lambda: fleet.now  # noqa: E731
        self.rollouts = Rollouts(
            self.state, BOUNDS, cast(Any, lease), cast(Any, peers), GatewayMetrics(host),
            clock=clock, unix_clock=lambda: UNIX_AT_START + fleet.now,
        )  # fmt: skip
        self.rollouts.loop = cast(Any, VirtualLoop(fleet))
        self.rollouts.random = Random(fleet.random.random())
        self.state.on_endpoint_changed = self.rollouts.update_endpoint
        for name in fleet.hosts:
            if name != host:
                self.state.record_member(name, "127.0.0.1", 1, fleet.now).listed_at = fleet.now

    def send_soon(self) -> None:
        """Send a status early."""
        self.sends_at = min(self.sends_at, self.fleet.now + 0.02)

    @property
    def record(self) -> RolloutRecord | None:
        """Newest record that it follows."""
        rollout = self.rollouts.services.get("s")
        return rollout.record if rollout else None


class Fleet:
    """Gateways, engines and callers of one service in virtual time.

    :param behaviour: returns the part of failures and the factor of the times of the target.
    :ivar sent: times at which requests were sent to the target.
    :ivar bad_at: times of bad answers of the target.
    """

    def __init__(
        self, seed: int, behaviour: Behaviour, *, gateways: int = 4, rate: float = 130.0,
        old: int = 12, new: int = 12, duration_s: float = 12.0,
    ):  # fmt: skip
        self.random = Random(seed)
        self.behaviour, self.rate, self.duration_s = behaviour, rate, duration_s
        self.store = VirtualStore()
        self.now = 0.0
        self.hosts = [f"gw-{n}" for n in range(gateways)]
        self.holder, self.lost_at = "gw-0", cast(float | None, None)
        self.numbers = count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.gateways: dict[str, Gateway] = {}
        self.engines: list[StoredRecord] = []
        self.orders: list[StoredRecord] = []
        self.running: dict[str, int] = {}
        self.crashed: set[str] = set()
        self.trouble = 0.0
        self.sent: list[float] = []
        self.bad_at: list[float] = []
        self.requests = self.unserved = self.lost = 0
        self.ended_at: float | None = None
        for host in self.hosts:
            self.start(host)
        for number in range(old):
            self.list_engine(f"old-{number}", "v1")
        for number in range(new):
            at = self.random.uniform(0.5, 2.0)
            self.at(at, partial(self.list_engine, f"new-{number}", "v2", coldLeftMs=1500))

    def at(self, time: float, action: Callable[[], object]) -> None:
        """Plan an action."""
        heapq.heappush(self.queue, (time, next(self.numbers), cast(Any, action)))

    def start(self, host: str) -> None:
        """Start a gateway, which reads the store."""
        gateway = self.gateways[host] = Gateway(self, host, next(self.numbers) + 1)
        for record in self.engines:
            gateway.state.apply_endpoint_record(record, "store", self.now)
        for record in self.orders:
            gateway.state.apply_operator_record(record, "store", self.now, UNKNOWN_SINCE)

    def kill(self, host: str) -> None:
        """End a gateway; its requests are lost."""
        self.gateways.pop(host, None)

    def list_engine(self, name: str, version: str, **fields) -> None:
        """List an engine."""
        record = endpoint_record(
            name, len(self.engines) + 1, slots=SLOTS, version=version, **fields
        )
        self.engines.append(record)
        for gateway in self.gateways.values():
            gateway.state.apply_endpoint_record(record, "store", self.now)

    def order(self, target: str = "v2", duration_s: float | None = None) -> None:
        """Write an order."""
        wanted = self.duration_s if duration_s is None else duration_s
        value = {"service": "s", "target": target, "durationS": wanted}
        position = Position(self.store.era, 100 + len(self.orders))
        record = StoredRecord("rollout/s", json.dumps(value).encode(), position)
        self.orders.append(record)
        for gateway in self.gateways.values():
            gateway.state.apply_operator_record(record, "store", self.now)

    def restore_store(self, kept: int) -> None:
        """Return from a copy with the first records only."""
        self.store.era += 1
        del self.store.records[kept:]
        for gateway in self.gateways.values():
            gateway.state.observe_era(self.store.era, "store", self.now)

    def take_store(self) -> None:
        """Take the store away."""
        self.store.is_away, self.lost_at = True, self.now

    def return_store(self) -> None:
        """Bring the store back."""
        self.store.is_away, self.lost_at = False, None

    def stored(self) -> RolloutRecord:
        """Return the record that operators read."""
        key, value = self.store.records[-1]
        record = StoredRecord(key, value, Position(1, 1))
        found = self.store.codec.decode_rollout_status(record)
        assert found is not None
        return found

    # running

    def run(self, until: float) -> "Fleet":
        """Run until a time, in seconds."""
        for host in self.hosts:
            self.at(self.random.uniform(0, 0.1), partial(self._tick, host))
            self.at(self.random.uniform(0, STATUS_INTERVAL_S), partial(self._send, host))
        self.at(0.0, self._arrive)
        while self.queue and self.queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self.queue)
            action()
            self._note_end()
        return self

    def _note_end(self) -> None:
        if self.ended_at is not None or not self.store.records:
            return
        record = self.store.codec.decode_rollout_status(
            StoredRecord(*self.store.records[-1], Position(1, 1))
        )
        if record is not None and record.is_final:
            self.ended_at = self.now
            if record.state == "succeeded":
                self.lost = sum(n for name, n in self.running.items() if name.startswith("old"))
                self.crashed |= {e.key for e in self.engines if e.key.startswith("old")}

    def _tick(self, host: str) -> None:
        gateway = self.gateways.get(host)
        if gateway is not None:
            rollouts = gateway.rollouts
            rollouts.store_call = None
            if gateway.is_cut:
                rollouts.store_call_after = self.now + 0.05
            if gateway.state.rollout_orders or rollouts.services:
                rollouts._tick(self.now)
                rollouts.store_call = None
        self.at(self.now + 0.1, lambda: self._tick(host))

    def _send(self, host: str) -> None:
        gateway = self.gateways.get(host)
        if gateway is not None and self.now >= gateway.sends_at:
            gateway.sends_at = self.now + STATUS_INTERVAL_S
            data = msgspec.msgpack.encode(gateway.rollouts.notes(self.now))
            status = SimpleNamespace(
                host=host,
                incarnation=gateway.incarnation,
                rollouts=msgspec.msgpack.decode(data, type=list[RolloutNote]),
            )
            for other in self.hosts:
                if other != host and not gateway.is_cut and self.random.random() > 0.01:
                    delay_s = self.random.uniform(0.002, 0.06)
                    self.at(self.now + delay_s, partial(self._receive, other, status))
        self.at(self.now + 0.02, lambda: self._send(host))

    def _receive(self, host: str, status) -> None:
        gateway = self.gateways.get(host)
        if gateway is not None and not gateway.is_cut:
            gateway.state.members[status.host].last_contact_at = self.now
            gateway.rollouts.handle_status(status, self.now)

    def _arrive(self) -> None:
        self.at(self.now + self.random.expovariate(self.rate), self._arrive)
        self.requests += 1
        if not self.gateways:
            return
        gateway = self.random.choice(list(self.gateways.values()))
        weights = [part for _, part, _ in ROUTES]
        ((route, _, _),) = self.random.choices(ROUTES, weights)
        call = SimpleNamespace(
            takes_target=None, tried=set(), has_begun=False, software=None, first_byte_at=None,
            route=SimpleNamespace(name=route), service=SimpleNamespace(name="s"),
            splitter=SimpleNamespace(count=0), request=SimpleNamespace(prompt=None),
        )  # fmt: skip
        for allows in gateway.rollouts.choices(cast(Any, call), self.now):
            views = [v for v in gateway.state.pool("s").views.values() if not allows or allows(v)]
            views = [v for v in views if v.endpoint.endpoint_id not in self.crashed]
            if views:
                return self._run(gateway, call, views)
        self.unserved += 1
        return None

    def _run(self, gateway: Gateway, call, views) -> None:
        running, random = self.running, self.random
        view = min(views, key=lambda v: (running.get(v.endpoint.endpoint_id, 0), random.random()))
        name, is_target = view.endpoint.endpoint_id, view.endpoint.software == "v2"
        flight = gateway.rollouts.begin(call, cast(Any, SimpleNamespace(view=view)))
        at_engine = running[name] = running.get(name, 0) + 1
        view.own.requests += 1
        usual_s = {route: time_s for route, _, time_s in ROUTES}[call.route.name]
        time_s = usual_s * random.lognormvariate(0.0, 0.25) * (1 + 0.5 * at_engine / SLOTS)
        failures = 0.004 + self.trouble
        if is_target:
            self.sent.append(self.now)
            sent = Sent(route=call.route.name, at=self.now, running=at_engine, engine=name)
            extra, factor = self.behaviour(sent)
            failures, time_s = failures + extra, time_s * factor
        has_failed = random.random() < failures
        if is_target and (has_failed or time_s > 2.5 * usual_s):
            self.at(self.now + time_s, lambda: self.bad_at.append(self.now))

        def finish() -> None:
            running[name] -= 1
            view.own.requests -= 1
            if gateway is not self.gateways.get(gateway.host):
                return
            lost = name in self.crashed
            outcome = Broken() if has_failed or lost else Answered(200)
            gateway.rollouts.finish(flight, outcome, lost=lost)

        self.at(self.now + time_s, finish)

    # figures

    def exposed(self) -> int:
        """Return the requests that the target got before the deadline."""
        return sum(at <= self.duration_s for at in self.sent)

    def allowed(self) -> float:
        """Return how many a bad version may get."""
        return BOUNDS.exposed_fraction * self.requests + BOUNDS.exposed_extra

    def late(self) -> int:
        """Return the requests that were sent too late after the 50th bad answer."""
        if len(self.bad_at) < 50:
            return 0
        limit = sorted(self.bad_at)[49] + BOUNDS.rollback_s
        return sum(at > limit for at in self.sent)


def play(seed: int, behaviour: Behaviour, *, prepare=None, until: float = 13.0, **fields) -> Fleet:
    """Order a rollout at the start and run it.

    :param prepare: called with the fleet before it runs, to plan faults.
    """

    async def scenario() -> Fleet:
        fleet = Fleet(seed, behaviour, **fields)
        fleet.order()
        if prepare is not None:
            prepare(fleet)
        return fleet.run(until)

    return asyncio.run(scenario())


def good(_sent: Sent) -> tuple[float, float]:
    """Answer as the old version does."""
    return 0.0, 1.0
