"""Simulated gateways at a store that returns from copies; time and network are simulated."""

import asyncio
import json
from dataclasses import dataclass, replace
from typing import Any, cast

from teaselpath.fleet import Position, RecordPage, StoredRecord, Topic
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway._watch import StoreWatcher
from teaselpath.gateway.tests.conftest import SETTINGS
from teaselpath.http1 import HttpClient, Response, ResponseHead
from teaselpath.platform import PlatformStore
from teaselpath.rollout import OrderLease

STEP_S = 0.5
# Time after a return of the store within which endpoints write their entries again, in seconds.
REWRITE_S = 1.5
TOPICS = (Topic.OPERATORS, Topic.ENDPOINTS)


@dataclass(slots=True)
class Engine:
    """An endpoint as it is, whatever the store says.

    :param rewrite_at: time at which it writes its entry again; None if its entry is current.
    :param expires_at: time at which the store removes its entry if it no longer runs.
    """

    key: str
    born: int
    sequence: int = 0
    state: str = "ready"
    is_running: bool = True
    rewrite_at: float | None = None
    expires_at: float | None = None

    def entry(self) -> bytes:
        """Return its next entry."""
        self.sequence += 1
        value = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "a",
            "state": self.state,
            "slots": 4,
            "born": self.born,
            "seq": self.sequence,
        }
        return json.dumps(value).encode()


class RestorableStore:
    """Log of keyed records per topic, with a copy from before each write."""

    def __init__(self):
        self.era = 1
        self.is_up = True
        self.logs: dict[Topic, tuple[tuple[str, bytes], ...]] = dict.fromkeys(TOPICS, ())
        self.copies = [dict(self.logs)]

    def write(self, topic: Topic, key: str, value: bytes) -> None:
        self.logs[topic] += ((key, value),)
        self.copies.append(dict(self.logs))

    def restore(self, age: int) -> None:
        """Return from the copy before the last ``age`` writes of all eras."""
        self.era += 1
        self.logs = dict(self.copies[max(0, len(self.copies) - 1 - age)])
        self.copies.append(dict(self.logs))

    def newest(self, topic: Topic) -> dict[str, StoredRecord]:
        """Return the newest record of each key that has a value."""
        found = {
            key: StoredRecord(key, value, Position(self.era, offset))
            for offset, (key, value) in enumerate(self.logs[topic])
        }
        return {key: record for key, record in found.items() if record.value}

    def poll(self, topic: Topic, start: Position | None) -> RecordPage:
        """Answer as ``PlatformStore.poll`` does."""
        log = self.logs[topic]
        end = Position(self.era, len(log))
        if start is None or start.era != self.era or start.offset > len(log):
            return RecordPage(list(self.newest(topic).values()), end, is_listing=True)
        records = [
            StoredRecord(key, value, start.shifted(n))
            for n, (key, value) in enumerate(log[start.offset :])
        ]
        return RecordPage(records, max(end, start), is_listing=False)


class Clock:
    """Event loop stand-in that provides the simulated time."""

    def __init__(self):
        self.now = 100.0

    def time(self) -> float:
        return self.now


class SimulatedGateway:
    """State, follower and peers of one gateway, without tasks and sockets.

    :ivar answers: pages of polls that are answered late, by topic.
    """

    def __init__(
        self,
        number: int,
        incarnation: int,
        fleet: "RestoredFleet",
        *,
        leaves_store_to_peers: bool,
    ):
        self.fleet = fleet
        self.leaves_store_to_peers = leaves_store_to_peers
        settings = replace(SETTINGS, host=f"gw-{number}", ip=f"10.0.0.{number + 1}")
        http = cast(Any, self)
        self.state = GatewayState(settings, PlatformStore("127.0.0.1:9", HttpClient()), incarnation)
        self.watcher = cast(Any, StoreWatcher(self.state))
        self.watcher.loop = fleet.clock
        lease = OrderLease(settings.host, 3.0)
        self.exchange = cast(Any, PeerExchange(self.state, lease, http, fleet.clock.time))
        self.exchange.loop = self.exchange.records.loop = fleet.clock
        self.cursors: dict[Topic, Position | None] = dict.fromkeys(TOPICS)
        self.answers: dict[Topic, RecordPage] = {}
        self.is_cut = False
        self.configs: list[int] = []

    async def call(self, address, method, target, **options) -> Response:
        """Answer a request for the records of another gateway."""
        peer = next(g for g in self.fleet.gateways if address.startswith(g.state.settings.ip + ":"))
        query = target.partition(b"?")[2]
        return Response(ResponseHead(200), peer.exchange.records.encode_records(query))

    def send_poll(self, topic: Topic) -> None:
        """Send a poll that is answered now and received later."""
        if self.must_poll(topic) and topic not in self.answers:
            start = self.watcher._next_start(topic, self.cursors[topic])
            self.answers[topic] = self.fleet.store.poll(topic, start)

    def must_poll(self, topic: Topic) -> bool:
        return self.state.reads_store or self.watcher._must_list(topic)

    def receive(self, topic: Topic) -> None:
        page = self.answers.pop(topic, None)
        if page is None:
            return
        state, now = self.state, self.fleet.clock.now
        state.record_store_success(now)
        if state.observe_era(page.end.era, "store", now):
            self.watcher._apply(topic, page, now)
            self.cursors[topic] = page.end
            self.note()

    def poll(self, topic: Topic) -> None:
        if not self.must_poll(topic):
            return
        if not self.fleet.store.is_up or self.is_cut:
            self.state.record_store_failure("no answer", self.fleet.clock.now)
            return
        # An answer that is still on its way comes first.
        self.receive(topic)
        self.send_poll(topic)
        self.receive(topic)

    def step(self) -> None:
        """Do what the tasks of a gateway do all the time."""
        self._update_reading()
        for topic in TOPICS:
            self.poll(topic)
        self.state.expire_lapses(self.fleet.clock.now)

    def _update_reading(self) -> None:
        """Leave the store to peers that reach it, in place of the rule for large fleets."""
        now = self.fleet.clock.now
        self.exchange.discard_unreachable(now)
        if self.leaves_store_to_peers:
            readers = [s for s in self.exchange.statuses.values() if s.store_up]
            self.state.reads_store = not readers
            if readers:
                self.state.record_store_success(now)

    def hear(self, peer: "SimulatedGateway") -> None:
        """Receive the status of a peer and fetch the records that it has."""
        peer.exchange.sequence += 1
        status = peer.exchange._status(self.fleet.clock.now)
        self.exchange.datagram_received(peer.exchange.encoder.encode(status), ("", 0))
        records = self.exchange.records
        ahead = records.peer_to_fetch_from(self.fleet.clock.now)
        if ahead is not None:
            _run_at_once(records._fetch(ahead))
        self.note()

    def note(self) -> None:
        if self.state.config is not None:
            self.configs.append(self.state.config.version)


def _run_at_once(coroutine) -> None:
    """Run a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError("the coroutine waits")


class RestoredFleet:
    """Operators, engines, a store and gateways, of which the last leaves the store to the others.

    :ivar acknowledged: newest version of configuration and weights.
    """

    SIZE = 4

    def __init__(self):
        self.clock = Clock()
        self.store = RestorableStore()
        self.engines: dict[str, Engine] = {}
        self.acknowledged = {"config": 0, "weights": 0}
        self.starts = 0
        self.gateways: list[SimulatedGateway] = []
        for number in range(self.SIZE):
            self.gateways.append(self.start_gateway(number))

    def start_gateway(self, number: int) -> SimulatedGateway:
        self.starts += 1

        async def start():
            is_last = number == self.SIZE - 1
            return SimulatedGateway(number, self.starts, self, leaves_store_to_peers=is_last)

        return asyncio.run(start())

    # operators

    def write_config(self) -> None:
        self.write("config")

    def write(self, what: str) -> None:
        """Write and acknowledge a new version of the configuration or the weights."""
        self.acknowledged[what] += 1
        self._write_operators(what)

    def _write_operators(self, what: str) -> None:
        version = self.acknowledged[what]
        if what == "config":
            key, value = "config", {"version": version, "tenants": []}
        else:
            key, value = "version/m", {"model": "m", "version": version}
        self.store.write(Topic.OPERATORS, key, json.dumps(value).encode())

    def repeat_operators_records(self) -> None:
        """Write what operators have written again if the store lacks it."""
        for what, version in self.acknowledged.items():
            key = "config" if what == "config" else "version/m"
            record = self.store.newest(Topic.OPERATORS).get(key)
            if version and (record is None or json.loads(record.value)["version"] < version):
                self._write_operators(what)

    # engines

    def start_engine(self, key: str) -> None:
        self.starts += 1
        engine = self.engines[key] = Engine(key, 1000 + self.starts)
        self.store.write(Topic.ENDPOINTS, key, engine.entry())

    def announce_leaving(self, engine: Engine) -> None:
        engine.state = "draining"
        self.store.write(Topic.ENDPOINTS, engine.key, engine.entry())

    def end_engine(self, engine: Engine, *, is_recorded: bool) -> None:
        engine.is_running = False
        engine.expires_at = self.clock.now + SETTINGS.entry_expiry_s
        if is_recorded:
            self.expire_entry(engine.key)

    def expire_entry(self, key: str) -> None:
        """Remove the entry of an engine from the store, as after missed heartbeats."""
        if key in self.store.newest(Topic.ENDPOINTS):
            self.store.write(Topic.ENDPOINTS, key, b"")

    def restore(self, age: int) -> None:
        """Let the store return from a copy, which may list engines that are gone."""
        self.store.restore(age)
        self.store.is_up = True
        for engine in self.engines.values():
            engine.expires_at = self.clock.now + SETTINGS.entry_expiry_s
        self.schedule_rewrites()

    def _expire_entries(self) -> None:
        for engine in self.engines.values():
            is_silent = engine.expires_at is not None and engine.expires_at <= self.clock.now
            if is_silent and not engine.is_running:
                self.expire_entry(engine.key)

    def regain_store(self) -> None:
        """Let the store return with all that it had; heartbeats that are due follow at once."""
        self.store.is_up = True
        due = {key: engine.rewrite_at for key, engine in self.engines.items()}
        self.schedule_rewrites()
        for key, rewrite_at in due.items():
            self.engines[key].rewrite_at = rewrite_at or self.engines[key].rewrite_at

    def schedule_rewrites(self) -> None:
        """Let the running engines write their entries again after the return of the store."""
        for number, engine in enumerate(self.engines.values()):
            delay_s = REWRITE_S * number / max(1, len(self.engines) - 1)
            engine.rewrite_at = self.clock.now + delay_s

    def _rewrite_entries(self) -> None:
        for engine in self.engines.values():
            if engine.rewrite_at is not None and engine.rewrite_at <= self.clock.now:
                engine.rewrite_at = None
                if engine.is_running:
                    self.store.write(Topic.ENDPOINTS, engine.key, engine.entry())

    # time

    def step(self) -> None:
        self.clock.now += STEP_S
        if self.store.is_up:
            self._rewrite_entries()
            self._expire_entries()
        for gateway in self.gateways:
            gateway.step()
        follower = self.gateways[-1]
        for peer in self.gateways[:-1]:
            follower.hear(peer)

    def calm_down(self) -> None:
        """End all faults, let everyone write what the store lacks, and wait."""
        self.repeat_operators_records()
        for key in list(self.store.newest(Topic.ENDPOINTS)):
            if not self.engines[key].is_running:
                self.expire_entry(key)
        self.schedule_rewrites()
        for gateway in self.gateways:
            gateway.is_cut = False
        for _ in range(20):
            self.step()
            for gateway in self.gateways:
                for peer in self.gateways:
                    if peer is not gateway:
                        gateway.hear(peer)
