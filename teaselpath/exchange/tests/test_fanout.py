"""Targets of messages in small and in large fleets."""

from collections import Counter

import pytest

from teaselpath.exchange import Peer, plan_fanout, select_readers, select_relays, status_interval_s


def make_peers(count, regions=("north", "south")):
    return [
        Peer(f"gw-{n}", f"10.0.{n // 250}.{n % 250}", regions[n % len(regions)], True)
        for n in range(count)
    ]


def test_small_fleet_sends_to_all_without_relays():
    peers = make_peers(6)
    fanout = plan_fanout(peers, "own", "north", crosses_regions=True)
    assert fanout.direct == {peer.ip for peer in peers}
    assert not fanout.relays


@pytest.mark.parametrize("count", [67, 300, 539])
def test_large_fleet_sends_to_its_region_and_one_relay_for_each_other(count):
    peers = make_peers(count, ("north", "south", "west"))
    fanout = plan_fanout(peers, "own", "north", crosses_regions=True)
    regions = {peer.ip: peer.region for peer in peers}
    assert {regions[ip] for ip in fanout.direct} == {"north"}
    assert sorted(regions[ip] for ip in fanout.relays) == ["south", "west"]


def test_urgent_message_needs_no_relay():
    peers = make_peers(67)
    fanout = plan_fanout(peers, "own", "north", crosses_regions=True, is_urgent=True)
    assert fanout.direct == {peer.ip for peer in peers}


def test_lost_relay_is_replaced():
    peers = make_peers(67)
    far = [peer for peer in peers if peer.region == "south"]
    (lost,) = select_relays(far, "own")
    remaining = [Peer(p.host, p.ip, p.region, p.ip != lost) for p in far]
    (successor,) = select_relays(remaining, "own")
    assert successor != lost


def test_relays_are_used_if_no_gateway_of_the_region_is_reachable():
    far = [Peer("gw-1", "10.0.0.1", "south", False)]
    assert select_relays(far, "own") == {"10.0.0.1"}


def test_relaying_is_spread_over_the_region():
    far = [peer for peer in make_peers(300) if peer.region == "south"]
    senders = [f"north-{n}" for n in range(150)]
    load = Counter(ip for sender in senders for ip in select_relays(far, sender))
    assert max(load.values()) <= 8


def test_messages_per_second_of_a_gateway_do_not_grow_with_the_square():
    def sent_per_s(region_peers):
        return region_peers / status_interval_s(region_peers)

    assert sent_per_s(269) <= 1.2 * 269 / 33 * sent_per_s(33)
    assert status_interval_s(4) == pytest.approx(0.2)
    # A gateway counts as unreachable after 2.5 s in a small fleet, 4 s in a large one.
    assert 3 * status_interval_s(539) < 2.5


def test_readers_change_only_as_far_as_necessary():
    hosts = [f"gw-{n}" for n in range(12)]
    readers = select_readers("a", hosts)
    others = [host for host in hosts if host != readers[0]]
    assert readers[1] in select_readers("a", others)
    assert len(set(select_readers("a", others))) == 2
