"""Origins of streams, and the gateways that hold them."""

from teaselpath.lineage import Origin, OriginTable, choose_holders, stream_key
from teaselpath.lineage._origins import ASKED_HOLDERS, HOLDERS, MAX_ORIGINS, MAX_TOLD_GATEWAYS

ORIGIN = Origin("s", "v1", 10.0)


def test_streams_of_other_callers_and_services_have_other_keys():
    names = [("s", "office", "r1"), ("t", "office", "r1"), ("s", "drivers", "r1")]
    names += [("s", "office", "r2"), ("so", "ffice", "r1"), ("s", "officer", "1")]
    assert len({stream_key(*name) for name in names}) == len(names)
    assert stream_key("s", "\udcff", "x" * 9000) > 0


def test_first_record_of_a_stream_stays():
    table = OriginTable()
    table.record(1, ORIGIN)
    table.record(1, Origin("s", "v2", 20.0))
    assert table.get(1, 0.0) == ORIGIN
    assert table.get(1, 10.0) is None
    table.expire(10.0)
    assert table.origins == {}


def test_memory_does_not_grow_with_the_streams():
    table = OriginTable()
    for key in range(MAX_ORIGINS + 10):
        table.record(key, ORIGIN)
    assert len(table.origins) == MAX_ORIGINS


def test_all_gateways_of_a_small_fleet_hold_each_stream():
    hosts = [f"gw-{n}" for n in range(MAX_TOLD_GATEWAYS)]
    assert choose_holders(7, hosts) == hosts


def test_gateways_that_know_other_members_ask_a_holder():
    hosts = [f"gw-{n}" for n in range(60)]
    for key in range(200):
        told = choose_holders(key, hosts)
        assert len(told) == HOLDERS
        # The one that asks does not know two of the others, and knows one more.
        asked = choose_holders(key, [*hosts[2:], "gw-new"], is_query=True)
        assert len(asked) == ASKED_HOLDERS
        assert len(set(told).intersection(asked)) >= HOLDERS - 2
