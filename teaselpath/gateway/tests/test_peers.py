"""Status messages between gateways."""

import asyncio
from typing import Any, cast

import msgspec
import pytest

from teaselpath.dispatch import ExpectedTimes
from teaselpath.fleet import Position, StoredRecord
from teaselpath.fleet._endpoints import LAPSE_GRACE_S
from teaselpath.gateway._entities import LongPlacement
from teaselpath.gateway._peer_messages import EndpointStatus, PlacementMessage, RecordSet
from teaselpath.gateway._peer_records import ENDPOINTS_FETCH_DELAY_S
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS, endpoint_record
from teaselpath.http1 import HttpClient, Response, ResponseHead
from teaselpath.platform import PlatformStore
from teaselpath.rollout import OrderLease


def make_exchange(lease_host="gw-0", incarnation=1):
    settings = SETTINGS
    state = GatewayState(settings, PlatformStore("127.0.0.1:9", HttpClient()), incarnation)
    exchange = PeerExchange(state, OrderLease(lease_host, 3.0), HttpClient(), lambda: 0.0)
    return exchange


def status_of(exchange, host, incarnation, sequence):
    exchange.sequence = sequence
    status = exchange._status(0.0)
    status.host, status.incarnation = host, incarnation
    return exchange.encoder.encode(status)


def test_restarted_gateway_is_accepted_regardless_of_its_clock():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        accepted = []
        for incarnation, sequence in ((900, 50), (17, 1), (900, 51), (17, 2), (17, 2)):
            before = dict(own.last_sequence)
            own.datagram_received(status_of(other, "gw-1", incarnation, sequence), None)
            accepted.append(own.last_sequence != before)
        return accepted

    assert asyncio.run(scenario()) == [True, True, False, True, False]


def test_load_and_newer_weights_of_a_peer_are_applied():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        for exchange in (own, other):
            exchange.state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        view = other.state.views["e"]
        view.own.requests, view.weights["m"] = 3, 2
        own.datagram_received(status_of(other, "gw-1", 5, 1), None)
        return own.state.views["e"]

    view = asyncio.run(scenario())
    assert view.requests() == 3
    assert view.weights == {"m": 2}


def test_peers_know_which_endpoints_leave_and_when():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        for exchange in (own, other):
            exchange.state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        now = own.loop.time()
        # The status is from time 0 of the clock of its gateway.
        other.state.views["e"].availability.record_leaving(1.5)
        own.datagram_received(status_of(other, "gw-1", 5, 1), None)
        return now + 1.5, own.state.views["e"].availability.leaves_at

    earliest, leaves_at = asyncio.run(scenario())
    assert earliest <= leaves_at < float("inf")


def test_malformed_message_is_ignored():
    async def scenario():
        own = make_exchange()
        own.datagram_received(b"\x93garbage", ("127.0.0.9", 1))
        return own.statuses

    assert asyncio.run(scenario()) == {}


def test_gateway_that_started_later_gets_announcement_times_from_peers():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        now = own.loop.time()
        value = b'{"model":"m","version":2}'
        own.state.apply_operator_record(
            StoredRecord("version/m", value, Position(1, 1)), "store", now
        )
        other.state.apply_operator_record(
            StoredRecord("version/m", value, Position(1, 1)), "store", now - 9.5
        )
        before = own.state.announced["m"].oldest_usable_version(now, 9.0)
        other.sequence = 1
        status = other._status(now)
        status.host, status.incarnation = "gw-1", 5
        own.datagram_received(other.encoder.encode(status), None)
        return before, own.state.announced["m"].oldest_usable_version(now + 0.1, 9.0)

    assert asyncio.run(scenario()) == (0, 2)


def placement_of(started_at_ms=1):
    parts = [("p", 13_000)]
    return LongPlacement("e", started_at_ms, 17_000, 17_000, "v1", parts, None, 0, None)


def test_placement_of_a_peer_is_counted_immediately():
    async def scenario():
        own = make_exchange()
        own.state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        own.datagram_received(status_of(make_exchange("gw-1"), "gw-1", 5, 1), None)
        message = own.encoder.encode(PlacementMessage("gw-1", placement_of()))
        own.datagram_received(message, None)
        view, now = own.state.views["e"], own.loop.time()
        return view.requests(), view.held_tokens(), view.pending_prefill_tokens(now) > 16_000

    assert asyncio.run(scenario()) == (1, 17_000, True)


def test_placement_at_an_earlier_incarnation_of_an_engine_is_ignored():
    async def scenario():
        own = make_exchange()
        own.state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        message = own.encoder.encode(PlacementMessage("gw-1", placement_of(started_at_ms=7)))
        own.datagram_received(message, None)
        return own.state.views["e"].pending_prefill_tokens(own.loop.time())

    assert asyncio.run(scenario()) == 0


def test_load_of_a_peer_is_discarded_when_its_status_omits_the_endpoint():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        for exchange in (own, other):
            exchange.state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
        other.state.views["e"].own.requests = 3
        own.datagram_received(status_of(other, "gw-1", 5, 1), None)
        loaded = own.state.views["e"].requests()
        other.state.views["e"].own.requests = 0
        own.datagram_received(status_of(other, "gw-1", 5, 2), None)
        return loaded, own.state.views["e"].requests()

    assert asyncio.run(scenario()) == (3, 0)


@pytest.mark.parametrize(
    ("reads_store", "delay_s"), [(True, ENDPOINTS_FETCH_DELAY_S), (False, 0.0)]
)
def test_removal_that_a_stale_read_hides_is_fetched_from_a_peer(reads_store, delay_s):
    """A gateway that has restarted lists an endpoint that has left; its peers know better."""

    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        now = own.loop.time()
        for exchange in (own, other):
            exchange.state.record_store_success(now)
            exchange.state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
        # The listing that the peer read no longer holds the endpoint; the removal was trimmed.
        other.state.store_regained_at = now - 60.0
        other.state.remove_unlisted(set(), Position(1, 9), now)
        other.state.apply_endpoint_record(endpoint_record("f", 9), "store", now)
        own.state.store_regained_at = now - 60.0
        own.state.reads_store = reads_store
        own.datagram_received(status_of(other, "gw-1", 5, 1), None)
        early = own.records.peer_to_fetch_from(now)
        found = own.records.peer_to_fetch_from(now + ENDPOINTS_FETCH_DELAY_S)
        newest = own.state.endpoints.position
        query = b"endpoints=%d.%d" % (newest.era, newest.offset)
        for key, value, era, offset in endpoint_records(other.records.encode_records(query)):
            own.state.apply_endpoint_record(
                StoredRecord(key, value, Position(era, offset)), "peer", now
            )
        return early is None, found.host, set(own.state.views)

    was_early, host, views = asyncio.run(scenario())
    assert was_early == (delay_s > 0)
    assert host == "gw-1"
    assert views == {"f"}


@pytest.mark.parametrize("era", [1, 2])
def test_removal_that_a_peer_never_saw_is_learned_from_its_list(era):
    """The peer has listed the endpoints after the removal, or in an era whose copy lacked it."""

    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        now = own.loop.time()
        for exchange in (own, other):
            exchange.state.record_store_success(now - 60.0)
        own.state.apply_endpoint_record(endpoint_record("e", 1), "store", now)
        own.state.apply_endpoint_record(endpoint_record("f", 2), "store", now)
        other.state.apply_endpoint_record(endpoint_record("f", 3, era=era), "store", now)
        other.state.remove_unlisted({"f"}, Position(era, 4), now)
        own.records.http = cast(Any, RecordClient(other))
        await own.records._fetch(other._status(now))
        own.state.expire_lapses(now + LAPSE_GRACE_S + 1.0)
        return set(own.state.views)

    assert asyncio.run(scenario()) == {"f"}


class RecordClient:
    """HTTP client stand-in that answers with the records of a gateway."""

    def __init__(self, peer: PeerExchange):
        self.peer = peer

    async def call(self, address, method, target, **options):
        query = target.partition(b"?")[2]
        return Response(ResponseHead(200), self.peer.records.encode_records(query))


def endpoint_records(encoded):
    return msgspec.msgpack.decode(encoded, type=RecordSet).endpoints


def test_new_era_of_the_store_is_learned_from_a_peer():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        other.state.observe_era(3, "store", 1.0)
        own.state.observe_era(2, "store", 1.0)
        own.datagram_received(status_of(other, "gw-1", 5, 1), None)
        return own.state.era

    assert asyncio.run(scenario()) == 3


def test_peer_that_believes_an_earlier_era_has_nothing_newer():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        now = own.loop.time()
        other.state.apply_endpoint_record(endpoint_record("e", 90), "store", now)
        own.state.apply_endpoint_record(endpoint_record("e", 4, era=2), "store", now)
        own.datagram_received(status_of(other, "gw-1", 5, 1), None)
        other.datagram_received(status_of(own, "gw-2", 6, 1), None)
        later = now + 2 * ENDPOINTS_FETCH_DELAY_S
        ahead = [e.records.peer_to_fetch_from(later) for e in (own, other)]
        return [status and status.host for status in ahead]

    # "gw-2" stands for the gateway that knows the newer era.
    assert asyncio.run(scenario()) == [None, "gw-2"]


def test_learned_times_reach_gateways_that_have_not_used_the_engine_and_end_with_its_start():
    async def scenario():
        own, other = make_exchange(), make_exchange("gw-1")
        for exchange in (own, other):
            exchange.state.apply_endpoint_record(endpoint_record("e", 1), "store", 1.0)
            exchange.state.views["e"].times.service.is_learning = True
        view, now = other.state.views["e"], own.loop.time()
        view.own.requests = 1
        expected = ExpectedTimes(prefill_s=view.times.prefill_s(20_000, now))
        for _ in range(40):
            view.times.record_first_event(expected, 20_000, 0.2, now)
        own.datagram_received(status_of(other, "gw-1", 5, 1), None)
        heard_s = own.state.views["e"].times.prefill_s(20_000, now)
        new_start = endpoint_record("e", 2, born=9)
        own.state.apply_endpoint_record(new_start, "store", 1.0)
        return heard_s, own.state.views["e"].times.prefill_s(20_000, now)

    heard_s, new_s = asyncio.run(scenario())
    assert heard_s == pytest.approx(0.2, rel=0.3)
    assert new_s == pytest.approx(0.5)


def test_learned_times_add_few_bytes_to_a_status():
    encode = msgspec.msgpack.encode
    learned = EndpointStatus(1, 1, times=(25_000, 300, 12))
    added = len(encode(learned)) - len(encode(EndpointStatus(1, 1)))
    assert 0 < added <= 9
