"""Exchange in a large fleet: simulated gateways with lost and delayed datagrams.

The gateways are real ``PeerExchange`` objects in one process. Time and network are simulated: a
datagram arrives after a delay, or never.
"""

import asyncio
import heapq
import json
import random
from itertools import count
from typing import Any, cast

import pytest

from teaselpath.fleet import Bounds, GatewaySettings, Position, StoredRecord, Workspace
from teaselpath.gateway._entities import LongPlacement
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import endpoint_record
from teaselpath.http1 import HttpClient, Response, ResponseHead
from teaselpath.platform import PlatformStore
from teaselpath.rollout import OrderLease

REGIONS = {f"{region}-{n}": region for region in ("north", "south") for n in range(3)}
DOMAINS = sorted(REGIONS)
TENANT = Workspace("office", rate=1000.0, burst=4000.0, plain_tokens=1, priority=None,
                   is_isolated=False)  # fmt: skip
STEP_S = 0.1
CHECK_INTERVAL_S = 0.4


class Clock:
    """Event loop stand-in that provides the simulated time."""

    def __init__(self) -> None:
        self.now = 100.0

    def time(self) -> float:
        return self.now


class Network:
    """Datagrams in flight.

    :ivar sent: messages and bytes by sending host, and whether the target is in another region.
    :ivar cut: IP addresses that neither send nor receive.
    """

    def __init__(self, clock: Clock, loss: float):
        self.clock = clock
        self.loss = loss
        self.random = random.Random(7)
        self.queue: list[tuple[float, int, str, bytes]] = []
        self.numbers = count()
        self.gateways: dict[str, Gateway] = {}
        self.sent: dict[tuple[str, bool], list[int]] = {}
        self.cut: set[str] = set()

    def deliver(self) -> None:
        while self.queue and self.queue[0][0] <= self.clock.now:
            _, _, ip, data = heapq.heappop(self.queue)
            if ip in self.gateways and ip not in self.cut:
                self.gateways[ip].exchange.datagram_received(data, None)


class Gateway:
    """One simulated gateway; it is the transport of its own exchange."""

    def __init__(self, number: int, network: Network):
        self.network = network
        domain = DOMAINS[number % len(DOMAINS)]
        self.ip = f"10.1.{number // 250}.{number % 250 + 1}"
        settings = GatewaySettings(
            host=f"gw-{number}", ip=self.ip, failure_domain=domain, region=REGIONS[domain],
            regions=REGIONS, caller_address="", readiness_address="", peer_port=1, seed_ips=(),
            store_address="127.0.0.1:9", entry_expiry_s=3.6,
            bounds=Bounds(8.0, 0.2, 50.0, 10.0, 0.0, 3.0, 10.0, 4.0, 3.0),
        )  # fmt: skip
        http = HttpClient()
        self.state = GatewayState(settings, PlatformStore("127.0.0.1:9", http), number + 1)
        # Its event loop and transport are stand-ins.
        lease = OrderLease(settings.host, 3.0)
        self.exchange = cast(Any, PeerExchange(self.state, lease, http, network.clock.time))
        self.exchange.loop = network.clock
        self.exchange.started_at = network.clock.now - 60.0
        self.exchange.transport = self
        self.next_check_at = 0.0
        self.next_send_at = network.clock.now + network.random.random() * 0.5
        network.gateways[self.ip] = self

    def sendto(self, data: bytes, address) -> None:
        network, ip = self.network, address[0]
        target = network.gateways.get(ip)
        if target is None:
            return
        is_far = target.state.settings.region != self.state.settings.region
        tally = network.sent.setdefault((self.state.settings.host, is_far), [0, 0])
        tally[0] += 1
        tally[1] += len(data)
        if network.random.random() >= network.loss and self.ip not in network.cut:
            delay_s = 0.03 if is_far else 0.002
            entry = (network.clock.now + delay_s, next(network.numbers), ip, data)
            heapq.heappush(network.queue, entry)

    def step(self) -> None:
        now = self.network.clock.now
        if now >= self.next_send_at:
            self.exchange._send(now)
            self.next_send_at = now + self.exchange._interval_s()
        if now >= self.next_check_at:
            self.exchange.discard_unreachable(now)
            self.exchange.records.update_reading(now)
            self.next_check_at = now + CHECK_INTERVAL_S


class Fleet:
    """Gateways that know each other from the member topic, with a store that is up."""

    def __init__(self, size: int, loss: float = 0.0):
        self.clock = Clock()
        self.network = Network(self.clock, loss)
        self.gateways = [Gateway(n, self.network) for n in range(size)]
        for gateway in self.gateways:
            gateway.state.record_store_success(self.clock.now)
            for other in self.gateways:
                if other is not gateway:
                    settings = other.state.settings
                    gateway.state.record_member(
                        settings.host, other.ip, other.state.incarnation, self.clock.now,
                        settings.failure_domain,
                    )  # fmt: skip

    def run(self, duration_s: float) -> None:
        until = self.clock.now + duration_s
        while self.clock.now < until:
            self.clock.now += STEP_S
            self.network.deliver()
            for gateway in self.gateways:
                if gateway.ip not in self.network.cut:
                    gateway.step()

    def readers(self) -> list[Gateway]:
        return [g for g in self.gateways if g.state.reads_store]


def in_loop(scenario):
    """Run a scenario within an event loop, which the objects need when they are made."""

    async def run():
        return scenario()

    return asyncio.run(run())


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_each_gateway_reaches_all_others(loss):
    def scenario():
        fleet = Fleet(72, loss)
        fleet.run(8.0)
        return [g.state.count_gateways(fleet.clock.now) for g in fleet.gateways]

    counts = in_loop(scenario)
    # Messages of other regions pass through one relay, so that a few may be late if some are lost.
    least = 72 if loss == 0.0 else 70
    assert min(reachable for reachable, _ in counts) >= least
    assert {possible for _, possible in counts} == {72}


def test_cost_of_messages_at_300_gateways():
    """The letter's background budget of a node is 2 KB/s, of which links between regions are dear.

    Status within a region still goes to all gateways of it, with a longer interval.
    """

    def scenario():
        fleet = Fleet(300)
        fleet.run(0.8)
        fleet.network.sent.clear()
        fleet.run(1.0)
        return fleet.network.sent

    sent = in_loop(scenario)
    far_bytes_per_s = sum(b for (_, is_far), (_, b) in sent.items() if is_far) / 300 / 1.0
    far_messages_per_s = sum(n for (_, is_far), (n, _) in sent.items() if is_far) / 300 / 1.0
    near_messages_per_s = sum(n for (_, is_far), (n, _) in sent.items() if not is_far) / 300 / 1.0
    assert far_bytes_per_s <= 2_000
    assert far_messages_per_s <= 3
    # Own statuses and those that it relays, to 149 gateways.
    assert near_messages_per_s <= 149 * (1 / 0.8 + 1 / 0.8)


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_quota_holds_over_both_regions(loss):
    """A workspace that sends through all gateways at once gets its rate and burst, and little more.

    What a gateway grants before it hears of the others is the excess.
    """

    def scenario():
        fleet = Fleet(72, loss)
        fleet.run(8.0)
        granted, began_at = 0.0, fleet.clock.now
        for _ in range(200):
            for gateway in fleet.gateways:
                quota, now = gateway.state.quota, fleet.clock.now
                quota.set_reachable_fraction(*gateway.state.count_gateways(now))
                before = quota.used.get(TENANT.name, 0.0)
                quota.charge(TENANT, 20, now)
                granted += quota.used.get(TENANT.name, 0.0) - before
            fleet.run(STEP_S)
        return granted, fleet.clock.now - began_at

    granted, duration_s = in_loop(scenario)
    # 14,400 tokens a second are asked for; counters arrive within 3 s.
    assert granted <= TENANT.rate * duration_s + TENANT.burst + 3.0 * 14_400
    assert granted >= 0.9 * TENANT.rate * duration_s


def test_quota_holds_in_every_window_through_a_cut():
    """Guards against parts of a cut that each refill the rate before they notice it."""

    def scenario():
        fleet = Fleet(24)
        fleet.run(8.0)
        granted = []
        for step in range(160):
            is_cut = 40 <= step < 90
            fleet.network.cut = {g.ip for g in fleet.gateways[::3]} if is_cut else set()
            granted.append(0.0)
            for gateway in fleet.gateways:
                quota, now = gateway.state.quota, fleet.clock.now
                quota.set_reachable_fraction(*gateway.state.count_gateways(now))
                before = quota.used.get(TENANT.name, 0.0)
                quota.charge(TENANT, 12, now)
                granted[-1] += quota.used.get(TENANT.name, 0.0) - before
            fleet.run(STEP_S)
        return granted

    granted = in_loop(scenario)
    window = round(8.0 / STEP_S)
    most = max(sum(granted[start : start + window]) for start in range(len(granted) - window))
    assert most <= 1.1 * (TENANT.rate * 8.0 + TENANT.burst)


def test_messages_that_waited_in_a_standstill_end_no_silence():
    """Guards against a gateway that wakes and takes what others had spent long ago for news."""

    def scenario():
        fleet = Fleet(24)
        fleet.run(8.0)
        state = fleet.gateways[0].state
        woken_at = fleet.clock.now = fleet.clock.now + 3.0
        state.standstill_ended_at = lambda: woken_at
        waited = [message for message in fleet.network.queue if message[2] == state.settings.ip]
        fleet.network.deliver()
        state.quota.set_reachable_fraction(*state.count_gateways(woken_at))
        state.quota.charge(TENANT, 1, woken_at)
        at_wake = state.quota.reachable_fraction
        fleet.run(8.0)
        state.quota.charge(TENANT, 1, fleet.clock.now)
        return len(waited), at_wake, state.quota.reachable_fraction

    waited, at_wake, later = in_loop(scenario)
    assert waited
    assert at_wake == pytest.approx(1 / 24)
    assert later == 1.0


def test_two_gateways_of_each_domain_follow_the_store():
    def scenario():
        fleet = Fleet(72)
        fleet.run(4.0)
        return [g.state.settings.failure_domain for g in fleet.readers()]

    assert sorted(in_loop(scenario)) == sorted(DOMAINS * 2)


def test_readers_that_are_cut_off_are_replaced():
    def scenario():
        fleet = Fleet(72)
        fleet.run(4.0)
        cut = {g.ip for g in fleet.readers() if g.state.settings.failure_domain == "north-0"}
        fleet.network.cut = cut
        fleet.run(5.0)
        return [
            g.ip
            for g in fleet.readers()
            if g.state.settings.failure_domain == "north-0" and g.ip not in cut
        ]

    assert len(in_loop(scenario)) == 2


def test_reader_that_the_store_refuses_is_replaced():
    def scenario():
        fleet = Fleet(72)
        fleet.run(4.0)
        refused = next(g for g in fleet.readers())
        domain = refused.state.settings.failure_domain
        refused.state.record_store_failure("refused", fleet.clock.now)
        fleet.run(2.0)
        readers = [g for g in fleet.readers() if g.state.settings.failure_domain == domain]
        return refused in readers, len(readers)

    assert in_loop(scenario) == (False, 2)


def test_all_gateways_follow_the_store_after_an_outage():
    def scenario():
        fleet = Fleet(72)
        fleet.run(4.0)
        for gateway in fleet.gateways:
            gateway.state.record_store_failure("no answer", fleet.clock.now)
        fleet.run(2.0)
        during = len(fleet.readers())
        for gateway in fleet.gateways:
            gateway.state.record_store_success(fleet.clock.now)
        fleet.run(14.0)
        return during, len(fleet.readers())

    assert in_loop(scenario) == (72, 2 * len(DOMAINS))


def test_gateway_that_does_not_follow_the_store_learns_of_newer_records():
    def scenario():
        fleet = Fleet(72)
        fleet.run(4.0)
        reader = fleet.readers()[0]
        record = StoredRecord(
            "config", json.dumps({"version": 9, "tenants": []}).encode(), Position(1, 4)
        )
        reader.state.apply_operator_record(record, "store", fleet.clock.now)
        reader.state.apply_endpoint_record(endpoint_record("e", 7), "store", fleet.clock.now)
        fleet.run(2.0)
        others = [g for g in fleet.gateways if not g.state.reads_store]
        ahead = [g.exchange.records.peer_to_fetch_from(fleet.clock.now) for g in others]
        encoded = reader.exchange.records.encode_records(b"operators=1.3&endpoints=1.7")
        return {a.host if a else None for a in ahead}, reader.state.settings.host, encoded

    hosts, reader_host, encoded = in_loop(scenario)
    assert hosts == {reader_host}
    assert b"config" in encoded
    assert b"10.0.0.1" not in encoded


def test_placement_is_announced_to_all_with_one_message_between_regions():

    def scenario():
        fleet = Fleet(72)
        for gateway in fleet.gateways:
            gateway.state.apply_endpoint_record(
                endpoint_record("e", 1, zone="south-1"), "store", fleet.clock.now
            )
        fleet.run(4.0)
        sender = next(g for g in fleet.gateways if g.state.settings.region == "north")
        fleet.network.sent.clear()
        sender.exchange.announce(
            LongPlacement("e", 1, 17_000, 17_000, "v1", [("p", 13_000)], None, 0, None)
        )
        far_messages = fleet.network.sent[sender.state.settings.host, True][0]
        for _ in range(5):
            fleet.clock.now += 0.02
            fleet.network.deliver()
        counted = [
            g
            for g in fleet.gateways
            if g.state.views["e"].pending_prefill_tokens(fleet.clock.now) > 10_000
        ]
        return far_messages, len(counted)

    far_messages, counted = in_loop(scenario)
    assert far_messages == 1
    # All gateways but the sender, which counts its own placement when it reserves the engine.
    assert counted == 71


class RecordClient:
    """HTTP client stand-in that answers with the records of a gateway.

    :ivar targets: requested paths with their queries.
    """

    def __init__(self, peer: Gateway):
        self.peer = peer
        self.targets: list[bytes] = []

    async def call(self, address, method, target, **options):
        self.targets.append(target)
        query = target.partition(b"?")[2]
        return Response(ResponseHead(200), self.peer.exchange.records.encode_records(query))


def test_only_newer_records_are_fetched_while_a_peer_stays_ahead():
    """With thousands of endpoints one of them always changes; all records are a megabyte."""

    async def scenario():
        fleet = Fleet(72)
        reader, own = fleet.readers()[0], fleet.gateways[-1]
        own.state.reads_store = False
        client = own.exchange.records.http = RecordClient(reader)
        for offset in range(1, 6):
            reader.state.apply_endpoint_record(
                endpoint_record(f"e{offset}", offset), "store", fleet.clock.now
            )
            reader.exchange.sequence += 1
            status = reader.exchange._status(fleet.clock.now)
            await own.exchange.records._fetch(status)
        return client.targets, set(own.state.views)

    targets, views = asyncio.run(scenario())
    assert views == {f"e{n}" for n in range(1, 6)}
    assert targets == [
        b"/records?operators=0.-1&endpoints=" + n for n in (b"0.-1", b"1.1", b"1.2", b"1.3", b"1.4")
    ]


def test_all_records_are_fetched_if_newer_ones_did_not_suffice():
    async def scenario():
        fleet = Fleet(72)
        reader, own = fleet.readers()[0], fleet.gateways[-1]
        client = own.exchange.records.http = RecordClient(reader)
        reader.exchange.sequence += 1
        status = reader.exchange._status(fleet.clock.now)
        status.endpoint_position = (1, 9)
        await own.exchange.records._fetch(status)
        await own.exchange.records._fetch(status)
        return client.targets

    assert asyncio.run(scenario()) == [b"/records?operators=0.-1&endpoints=0.-1", b"/records"]


def test_gateway_that_knows_one_other_learns_of_all():
    """The store turns it away, so that it gets the members from the others' lists."""

    def scenario():
        fleet = Fleet(72)
        newcomer, contact = fleet.gateways[-1], fleet.gateways[0]
        for gateway in fleet.gateways[:-1]:
            del gateway.state.members[newcomer.state.settings.host]
        known = newcomer.state.members[contact.state.settings.host]
        newcomer.state.members.clear()
        newcomer.state.members[known.host] = known
        for gateway in fleet.gateways:
            # Lists go to one gateway by random choice; these draws repeat.
            gateway.exchange.random.seed(gateway.ip)
        fleet.run(12.0)
        host = newcomer.state.settings.host
        return len(newcomer.state.members), sum(host in g.state.members for g in fleet.gateways)

    assert in_loop(scenario) == (71, 71)
