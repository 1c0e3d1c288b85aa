"""Tests of the member table: single rules, random events and lossy networks."""

from dataclasses import dataclass
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.membership import (
    ConfigChanged,
    GossipReceived,
    HostList,
    LeaveStarted,
    LogChecked,
    Member,
    MemberChanged,
    MemberTable,
    ProbeMissed,
    PullReceived,
    ReplyReceived,
    RevocationAdded,
)
from teaselpath.membership import _member as member_module
from teaselpath.wire import (
    ConfigPull,
    ConfigPush,
    Gossip,
    MemberDelta,
    Revocation,
    Send,
    SignedRecord,
    encode,
)


@dataclass
class Listed:
    """An entry of the host list."""

    host: str
    state: str = "live"
    role: str = "agent"
    region: str = "r"
    failure_domain: str = "f"
    address: str = "10.0.0.1"
    control_port: int = 1
    http_port: int = 0
    curve_public: str = ""
    endpoint: str = ""


def member(host, incarnation=0):
    """Return an agent."""
    return Member(host, role="agent", address="10.0.0.1", incarnation=incarnation)


def make_table(count=4, seed=1):
    """Return the table of node ``a`` in a system with a few agents."""
    return MemberTable(member("a", 1), [member(host) for host in "bcdefghi"[:count]], Random(seed))


@pytest.fixture
def table():
    """Return the table of node ``a`` with agents ``b`` to ``e``."""
    return make_table()


def delta(host, incarnation, state):
    """Return a delta about a host, as sent by a peer."""
    return MemberDelta(host, "agent", "r", "f", "10.0.0.9", 1, 0, "", "", incarnation, state)


def gossip(host, *deltas, incarnation=1, **fields):
    """Return the event for a gossip message of a peer."""
    return GossipReceived(
        Gossip(host, incarnation, -1, 0, b"", list(deltas), b"", reply=True)
        if not fields
        else Gossip(host, incarnation, fields["offset"], fields["version"], b"d", [], b"r")
    )


def serving(table):
    """Return the hosts that accept new requests."""
    return {m.host for m in table.serving_agents()}


def test_leaving_is_not_undone_in_the_same_incarnation(table):
    """Guards against new requests for a leaving endpoint because the host list lags."""
    table.handle(gossip("b", delta("b", 1, "leaving")), 0.0)
    table.handle(HostList([Listed(h) for h in "abcde"]), 1.0)
    table.handle(gossip("c", delta("b", 1, "alive")), 2.0)
    table.handle(ReplyReceived("b"), 3.0)
    assert "b" not in serving(table)
    actions = table.handle(gossip("b", incarnation=2), 4.0)
    assert "b" in serving(table)
    assert [a.is_restart for a in actions if isinstance(a, MemberChanged)] == [True]


def test_list_that_lags_does_not_stop_a_restarted_host(table):
    """Guards against an idle restarted host because the host list is about its predecessor."""
    table.handle(gossip("b", incarnation=1), 0.0)
    table.handle(gossip("b", incarnation=2), 100.0)
    leaving = HostList([Listed("b", "leaving")])
    table.handle(leaving, 130.0)
    assert "b" in serving(table)
    table.handle(leaving, 161.0)
    assert "b" not in serving(table)


def test_own_entry_that_lags_does_not_stop_a_new_process(table):
    """Guards against the shutdown of a new process because the list is about the previous one."""
    leaving = HostList([Listed("a", "leaving")])
    assert table.handle(leaving, 0.0) == []
    assert table.handle(leaving, 59.0) == []
    (change, *_) = table.handle(leaving, 60.0)
    assert (change.member.host, change.state) == ("a", "leaving")
    assert table.handle(ReplyReceived("unknown"), 61.0) == []
    assert "unknown" not in table.members


def test_misses_of_one_message_kind_cause_no_suspicion(table):
    """Guards against flapping if a single node cannot reach another."""
    for now in range(20):
        table.handle(ProbeMissed("b", "probe"), float(now))
    assert "b" in serving(table)
    table.handle(gossip("c", delta("b", 0, "suspect")), 20.0)
    assert "b" not in serving(table)
    assert table.members["b"].state == "suspect"


def test_misses_of_two_message_kinds_cause_a_suspicion_that_one_reply_ends(table):
    """Guards against gossip that renews a suspicion after a direct reply refuted it."""
    table.handle(ProbeMissed("b", "probe"), 0.0)
    actions = table.handle(ProbeMissed("b", "gossip"), 1.0)
    assert any(isinstance(a, Send) and a.host == "b" for a in actions)
    table.handle(ReplyReceived("b"), 2.0)
    for host in "cde":
        table.handle(gossip(host, delta("b", 0, "suspect")), 3.0)
    assert "b" in serving(table)


def test_expired_misses_do_not_count(table):
    """Guards against a suspicion because of two unrelated misses that are a minute apart."""
    table.handle(ProbeMissed("b", "probe"), 0.0)
    table.handle(ProbeMissed("b", "gossip"), 60.0)
    assert "b" in serving(table)


def test_unreachable_suspect_is_gone_and_rejoins(table):
    """Guards against a partition that persists after the network has recovered."""
    for message_kind in ("probe", "gossip"):
        table.handle(ProbeMissed("b", message_kind), 0.0)
    for now in range(50):
        table.tick(float(now))
    assert table.members["b"].state == "gone"
    contacted = {a.host for n in range(50, 200) for a in table.tick(n) if isinstance(a, Send)}
    assert "b" in contacted
    table.handle(gossip("b"), 200.0)
    assert table.members["b"].state == "alive"


def test_entries_include_suspects():
    """Guards against shareholders that differ between nodes because one node suspects an entry."""
    seeds = [Member("b", role="entry", address="10.0.0.1")]
    table = MemberTable(Member("a", role="entry", address="10.0.0.1"), seeds, Random(1))
    for message_kind in ("probe", "gossip"):
        table.handle(ProbeMissed("b", message_kind), 0.0)
    assert {m.host for m in table.entries()} == {"a", "b"}
    table.handle(LeaveStarted(), 0.0)
    assert {m.host for m in table.entries()} == {"b"}
    assert table.is_responsible_for(b"key") is False


def test_unlisted_host_is_removed(table):
    """Guards against a table that grows with each replaced host."""
    table.handle(HostList([Listed(h) for h in "abcde"]), 0.0)
    table.handle(HostList([Listed(h) for h in "acde"]), 1.0)
    table.tick(40.0)
    assert table.members["b"].state != "gone"
    table.tick(62.0)
    assert table.members["b"].state == "gone"
    table.tick(700.0)
    assert "b" not in table.members


def test_config_is_pulled_from_the_peer_that_has_it(table):
    """Guards against a node that stays outdated while the log is unavailable."""
    newer = gossip("b", offset=5, version=3)
    assert Send("b", ConfigPull("a", 0, True)) in table.handle(newer, 0.0)
    assert not [a for a in table.handle(newer, 0.5) if _is_pull(a)]
    assert [a for a in table.tick(2.0) if _is_pull(a)]
    state = ConfigChanged(SignedRecord(5, b"data", 6), 3, b"d" * 32, b"r")
    pushed = [a for a in table.handle(state, 3.0) if isinstance(a, Send)]
    assert len(pushed) == 3
    assert {getattr(a.message, "version", 0) for a in pushed} == {3}
    assert not [a for a in table.tick(9.0) if _is_pull(a)]


def _is_pull(action):
    return isinstance(action, Send) and isinstance(action.message, ConfigPull)


def test_log_readers_wait_before_they_pull(table):
    """Guards against each node fetching each version twice while the log is available."""
    table.handle(LogChecked(True), 0.0)
    assert not [a for a in table.handle(gossip("b", offset=5, version=3), 0.0) if _is_pull(a)]
    assert not [a for a in table.tick(1.9) if _is_pull(a)]
    assert [a for a in table.tick(2.0) if _is_pull(a)]


def test_response_to_a_pull_is_bounded(table):
    """Guards against a push that is unbounded or lacks the accepted record."""
    record = SignedRecord(5, b"data", 6)
    revocations = [b"%d" % i for i in range(1000)]
    table.handle(ConfigChanged(record, 3, b"d", b"r", revocations), 0.0)
    (action,) = table.handle(PullReceived(ConfigPull("b", 0, True)), 1.0)
    assert isinstance(action.message, ConfigPush)
    assert action.message.records == [record]
    assert len(action.message.revocations) == 64
    assert table.handle(PullReceived(ConfigPull("b", 6)), 1.0) == []
    sent = table.handle(RevocationAdded(b"new"), 1.0)
    assert [a.message for a in sent] == [Revocation(b"new")] * 3


events = st.one_of(
    st.builds(ProbeMissed, st.sampled_from("bcde"), st.sampled_from(["probe", "start"])),
    st.builds(ReplyReceived, st.sampled_from("bcdx")),
    st.builds(
        lambda host, about, incarnation, state, own: gossip(
            host, delta(about, incarnation, state), incarnation=own
        ),
        st.sampled_from("bcdxy"),
        st.sampled_from("abcdexyz"),
        st.integers(0, 3),
        st.sampled_from(["alive", "leaving", "suspect", "gone"]),
        st.integers(0, 3),
    ),
    st.builds(
        lambda pairs: HostList([Listed(host, state) for host, state in pairs.items()]),
        st.dictionaries(st.sampled_from("abcdexyz"), st.sampled_from(["live", "leaving"])),
    ),
    st.none(),
)


@given(st.lists(st.tuples(events, st.sampled_from([0.1, 1.0, 20.0, 70.0])), max_size=40))
def test_incarnations_increase_and_leaving_is_final(steps):
    """Guards against any order of events that decreases an incarnation or undoes a leave."""
    table, now, left = make_table(), 0.0, dict[str, int]()
    known: dict = {}
    for event, step_s in steps:
        now += step_s
        actions = table.tick(now) if event is None else table.handle(event, now)
        for action in actions:
            if isinstance(action, Send) and isinstance(action.message, Gossip):
                assert len(action.message.members) <= 4
                assert len(encode(action.message)) < 1000
        for host, seen in table.members.items():
            assert seen.incarnation >= known.get(host, 0)
            known[host] = seen.incarnation
            if seen.state == "leaving":
                left[host] = seen.incarnation
            if left.get(host) == seen.incarnation:
                assert seen.state in ("leaving", "gone")
        for host in set(known) - set(table.members):
            known.pop(host)  # removed after its time as a gone member
            left.pop(host, None)
    assert table.self_member.state in ("alive", "leaving")


def run_network(hosts, seconds, loss, on_5_s, partition=frozenset()):
    """Run tables on a lossy network with 40 ms latency; call ``on_5_s(tables, now)`` at 5 s."""
    random = Random(3)
    tables = {
        h: MemberTable(member(h, 1), [member(o) for o in hosts if o != h], Random(f"{h}"))
        for h in hosts
    }
    in_flight: list = []
    changes: list = []
    for step in range(int(seconds / 0.04)):
        now = step * 0.04
        arrived, in_flight = in_flight, []
        actions = [
            (target, tables[target].handle(GossipReceived(message), now))
            for target, message in arrived
        ]
        if step == 125:
            actions += [(h, a) for h, a in on_5_s(tables, now)]
        if step % 5 == 0:
            actions += [(h, t.tick(now)) for h, t in tables.items()]
        for host, done in actions:
            changes += [(now, host, a) for a in done if isinstance(a, MemberChanged)]
            for action in done:
                is_partitioned = isinstance(action, Send) and {host, action.host} == partition
                if isinstance(action, Send) and not is_partitioned and random.random() >= loss:
                    in_flight.append((action.host, action.message))
    return tables, changes


def test_all_nodes_learn_of_leaving_within_three_seconds():
    """Guards against new requests for a leaving endpoint after 3 s if the host list lags."""
    hosts = [f"n{i}" for i in range(60)]

    def leave(tables, now):
        yield "n7", tables["n7"].handle(LeaveStarted(), now)

    tables, _ = run_network(hosts, 8.0, 0.1, leave)
    assert [h for h, table in tables.items() if "n7" in serving(table)] == []


def suspicions():
    """Return the suspicions while two healthy nodes cannot reach each other."""
    hosts = [f"n{i}" for i in range(6)]
    partition = {"n0", "n1"}
    _, changes = run_network(hosts, 120.0, 0.0, lambda tables, now: [], partition)
    return [change for change in changes if change[2].state in ("suspect", "gone")]


def test_one_partitioned_pair_causes_no_suspicion(monkeypatch):
    """Guards against flapping; with one required source the same run causes suspicions."""
    assert suspicions() == []
    monkeypatch.setattr(member_module, "MIN_SUSPICION_SOURCES", 1)
    assert len(suspicions()) > 4
