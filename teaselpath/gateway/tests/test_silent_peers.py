"""Records reach a gateway in time though the peers that have them, or read them, fall silent."""

import asyncio
from dataclasses import replace
from typing import Any, cast

from teaselpath.gateway._peer_records import RecordFetcher
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS, config_record
from teaselpath.gateway.tests.test_large_fleet import Clock, Fleet, in_loop
from teaselpath.http1 import HttpClient, ReadTimeout, Response, ResponseHead
from teaselpath.platform import PlatformStore
from teaselpath.rollout import OrderLease

# Time in which a configuration has to be in force, in seconds.
APPLY_LIMIT_S = 4.0


class PartlySilentPeers:
    """HTTP client stand-in for peers of which some take each request and never answer."""

    def __init__(self, clock: Clock, newest: PeerExchange, silent: set[str]):
        self.clock = clock
        self.newest = newest
        self.silent = silent
        self.called: list[str] = []

    async def call(self, address, method, target, *, deadline, **options):
        self.called.append(address)
        if address in self.silent:
            self.clock.now = deadline
            raise ReadTimeout
        query = target.partition(b"?")[2]
        return Response(ResponseHead(200), self.newest.records.encode_records(query))


def make_exchange(host: str, domain: str) -> PeerExchange:
    settings = replace(SETTINGS, host=host, ip=f"10.0.0.{host[3:]}", failure_domain=domain)
    state = GatewayState(settings, PlatformStore("127.0.0.1:9", HttpClient()), 1)
    return PeerExchange(state, OrderLease(host, 3.0), HttpClient(), lambda: 0.0)


class Follower:
    """A gateway that does not read the store, with peers near and far.

    :param near: peers of its failure domain; there is one more in another.
    :param silent: peers that send no messages and answer nothing, near ones first.
    :param newer: peers that have the newer configuration, in the same order; None for all.
    """

    def __init__(self, near: int, silent: int, newer: int | None = None):
        self.clock = Clock()
        self.exchange = make_exchange("gw-50", "a")
        state = self.state = self.exchange.state
        state.apply_operator_record(config_record(1, 1), "store", self.clock.now)
        state.record_store_success(self.clock.now)
        state.reads_store = False
        records = self.records = cast(RecordFetcher, self.exchange.records)
        records.loop = cast(Any, self.clock)
        for number in range(1, near + 2):
            peer = make_exchange(f"gw-{number}", "a" if number <= near else "b")
            peer.state.record_store_success(self.clock.now)
            version = 2 if newer is None or number <= newer or number > near else 1
            record = config_record(version, version)
            peer.state.apply_operator_record(record, "store", self.clock.now)
            status = peer._status(self.clock.now)
            self.exchange.statuses[status.host] = status
            ip = peer.state.settings.ip
            member = state.record_member(status.host, ip, 1, self.clock.now, status.domain)
            member.last_contact_at = self.clock.now
        addresses = {f"10.0.0.{n}:{SETTINGS.peer_port}" for n in range(1, silent + 1)}
        self.peers = PartlySilentPeers(self.clock, peer, addresses)
        records.http = cast(Any, self.peers)

    def version(self) -> int:
        """Return the version of the configuration in force."""
        config = self.state.config
        return config.version if config else 0

    async def check_peers(self) -> None:
        """Do what ``RecordFetcher.run`` does between two pauses, with messages of the others."""
        for member in self.state.members.values():
            if f"{member.ip}:{SETTINGS.peer_port}" not in self.peers.silent:
                member.last_contact_at = self.clock.now
        self.exchange.discard_unreachable(self.clock.now)
        self.records.update_reading(self.clock.now)
        ahead = self.records.peer_to_fetch_from(self.clock.now)
        if ahead is not None:
            await self.records._fetch(ahead)
        self.clock.now += 0.2


def test_configuration_is_applied_in_time_though_the_nearest_peers_are_silent():
    async def scenario():
        follower = Follower(near=12, silent=2, newer=2)
        started_at = follower.clock.now
        while follower.version() < 2 and follower.clock.now < started_at + 20.0:
            await follower.check_peers()
        return follower.clock.now - started_at, follower.peers.called

    duration_s, called = asyncio.run(scenario())
    assert duration_s < APPLY_LIMIT_S
    assert len(set(called)) == len(called)


def test_gateway_whose_fetch_fails_reads_the_store_itself_until_it_has_the_records():
    async def scenario():
        follower = Follower(near=12, silent=1, newer=1)
        reads = []
        for _ in range(2):
            await follower.check_peers()
            reads.append(follower.state.reads_store)
        follower.state.apply_operator_record(config_record(2, 2), "store", follower.clock.now)
        for _ in range(2):
            await follower.check_peers()
        return [*reads, follower.state.reads_store]

    assert asyncio.run(scenario()) == [False, True, False]


def test_store_is_read_for_a_domain_soon_after_all_its_readers_have_fallen_silent():
    def scenario():
        fleet = Fleet(24)
        fleet.run(6.0)
        readers = fleet.readers()
        fleet.network.cut.update(reader.ip for reader in readers)
        silent_since = fleet.clock.now
        others = [g for g in fleet.gateways if g not in readers]
        while (
            not any(g.state.reads_store for g in others) and fleet.clock.now < silent_since + 20.0
        ):
            fleet.run(0.1)
        return len(readers), fleet.clock.now - silent_since

    readers, duration_s = in_loop(scenario)
    assert readers == 12
    assert duration_s < APPLY_LIMIT_S / 2
