"""Rules of the member table, and properties over random events and lossy networks."""

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
    ReplySeen,
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
    """An agent."""
    return Member(host, role="agent", address="10.0.0.1", incarnation=incarnation)


def make_table(count=4, seed=1):
    """The table of node ``a`` in a system of a few agents."""
    return MemberTable(member("a", 1), [member(host) for host in "bcdefghi"[:count]], Random(seed))


@pytest.fixture
def table():
    """The table of node ``a`` with agents ``b`` to ``e``."""
    return make_table()


def delta(host, incarnation, state):
    """What a peer says about a host."""
    return MemberDelta(host, "agent", "r", "f", "10.0.0.9", 1, 0, "", "", incarnation, state)


def gossip(host, *deltas, incarnation=1, **fields):
    """A message of a peer."""
    return GossipReceived(
        Gossip(host, incarnation, -1, 0, b"", list(deltas), b"", reply=True)
        if not fields
        else Gossip(host, incarnation, fields["offset"], fields["version"], b"d", [], b"r")
    )


def serving(table):
    """Hosts that may get new work."""
    return {m.host for m in table.serving_endpoints()}


def test_leaving_is_not_undone_in_the_same_incarnation(table):
    """Guards against new work for a leaving endpoint because the host list lags (P11)."""
    table.handle(gossip("b", delta("b", 1, "leaving")), 0.0)
    table.handle(HostList([Listed(h) for h in "abcde"]), 1.0)
    table.handle(gossip("c", delta("b", 1, "alive")), 2.0)
    table.handle(ReplySeen("b"), 3.0)
    assert "b" not in serving(table)
    actions = table.handle(gossip("b", incarnation=2), 4.0)
    assert "b" in serving(table)
    assert [a.is_restart for a in actions if isinstance(a, MemberChanged)] == [True]


def test_list_that_lags_does_not_stop_a_restarted_host(table):
    """Guards against a restarted host that is idle because the list is about its predecessor."""
    table.handle(gossip("b", incarnation=1), 0.0)
    table.handle(gossip("b", incarnation=2), 100.0)
    leaving = HostList([Listed("b", "leaving")])
    table.handle(leaving, 130.0)
    assert "b" in serving(table)
    table.handle(leaving, 161.0)
    assert "b" not in serving(table)


def test_own_entry_that_lags_does_not_stop_a_new_process(table):
    """Guards against a restarted process that stops because the list is about the previous one."""
    leaving = HostList([Listed("a", "leaving")])
    assert table.handle(leaving, 0.0) == []
    assert table.handle(leaving, 59.0) == []
    (change, *_) = table.handle(leaving, 60.0)
    assert (change.member.host, change.state) == ("a", "leaving")
    assert table.handle(ReplySeen("unknown"), 61.0) == []
    assert "unknown" not in table.members


def test_one_slow_path_is_no_suspicion(table):
    """Guards against flapping when one node cannot reach another."""
    for now in range(20):
        table.handle(ProbeMissed("b", "probe"), float(now))
    assert "b" in serving(table)
    table.handle(gossip("c", delta("b", 0, "suspect")), 20.0)
    assert "b" not in serving(table)
    assert table.members["b"].state == "suspect"


def test_two_paths_are_a_suspicion_that_one_answer_ends(table):
    """Guards against a suspicion that comes back with rumours after a direct answer."""
    table.handle(ProbeMissed("b", "probe"), 0.0)
    actions = table.handle(ProbeMissed("b", "gossip"), 1.0)
    assert any(isinstance(a, Send) and a.host == "b" for a in actions)
    table.handle(ReplySeen("b"), 2.0)
    for host in "cde":
        table.handle(gossip(host, delta("b", 0, "suspect")), 3.0)
    assert "b" in serving(table)


def test_old_misses_do_not_count(table):
    """Guards against two unrelated misses, minutes apart, that make a suspect."""
    table.handle(ProbeMissed("b", "probe"), 0.0)
    table.handle(ProbeMissed("b", "gossip"), 60.0)
    assert "b" in serving(table)


def test_silent_suspect_is_gone_and_comes_back(table):
    """Guards against a partition that is never healed."""
    for path in ("probe", "gossip"):
        table.handle(ProbeMissed("b", path), 0.0)
    for now in range(50):
        table.tick(float(now))
    assert table.members["b"].state == "gone"
    contacted = {a.host for n in range(50, 200) for a in table.tick(n) if isinstance(a, Send)}
    assert "b" in contacted
    table.handle(gossip("b"), 200.0)
    assert table.members["b"].state == "alive"


def test_entries_do_not_move_with_suspicion():
    """Guards against homes of a workspace that move because one node suspects an entry."""
    seeds = [Member("b", role="entry", address="10.0.0.1")]
    table = MemberTable(Member("a", role="entry", address="10.0.0.1"), seeds, Random(1))
    for path in ("probe", "gossip"):
        table.handle(ProbeMissed("b", path), 0.0)
    assert {m.host for m in table.entries()} == {"a", "b"}
    table.handle(LeaveStarted(), 0.0)
    assert {m.host for m in table.entries()} == {"b"}
    assert table.is_responsible_for(b"key") is False


def test_dropped_host_is_forgotten(table):
    """Guards against a table that grows with every replaced host."""
    table.handle(HostList([Listed(h) for h in "abcde"]), 0.0)
    table.handle(HostList([Listed(h) for h in "acde"]), 1.0)
    table.tick(40.0)
    assert table.members["b"].state != "gone"
    table.tick(62.0)
    assert table.members["b"].state == "gone"
    table.tick(700.0)
    assert "b" not in table.members


def test_config_is_pulled_from_the_peer_that_has_it(table):
    """Guards against a node that stays behind while the log is down (P13)."""
    news = gossip("b", offset=5, version=3)
    assert Send("b", ConfigPull("a", 0, True)) in table.handle(news, 0.0)
    assert not [a for a in table.handle(news, 0.5) if _is_pull(a)]
    assert [a for a in table.tick(2.0) if _is_pull(a)]
    state = ConfigChanged(SignedRecord(5, b"data", 6), 3, b"d" * 32, b"r")
    pushed = [a for a in table.handle(state, 3.0) if isinstance(a, Send)]
    assert len(pushed) == 3
    assert {getattr(a.message, "version", 0) for a in pushed} == {3}
    assert not [a for a in table.tick(9.0) if _is_pull(a)]


def _is_pull(action):
    return isinstance(action, Send) and isinstance(action.message, ConfigPull)


def test_log_readers_wait_before_they_pull(table):
    """Guards against every node fetching each version twice while the log is up."""
    table.handle(LogChecked(True), 0.0)
    assert not [a for a in table.handle(gossip("b", offset=5, version=3), 0.0) if _is_pull(a)]
    assert not [a for a in table.tick(1.9) if _is_pull(a)]
    assert [a for a in table.tick(2.0) if _is_pull(a)]


def test_pull_is_answered_within_bounds(table):
    """Guards against a push that is not bounded or lacks the accepted record."""
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
    st.builds(ReplySeen, st.sampled_from("bcdx")),
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
def test_incarnations_rise_and_leaving_stays(steps):
    """Guards against any order of events that lowers an incarnation or undoes a leave."""
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
            known.pop(host)  # forgotten long after it was gone
            left.pop(host, None)
    assert table.self_member.state in ("alive", "leaving")


def run_network(hosts, seconds, loss, start, cut=frozenset()):
    """Run tables on a lossy network with 40 ms latency; ``start(tables, now)`` acts at 5 s."""
    random = Random(3)
    tables = {
        h: MemberTable(member(h, 1), [member(o) for o in hosts if o != h], Random(f"{h}"))
        for h in hosts
    }
    flying: list = []
    changes: list = []
    for step in range(int(seconds / 0.04)):
        now = step * 0.04
        arrived, flying = flying, []
        actions = [
            (target, tables[target].handle(GossipReceived(message), now))
            for target, message in arrived
        ]
        if step == 125:
            actions += [(h, a) for h, a in start(tables, now)]
        if step % 5 == 0:
            actions += [(h, t.tick(now)) for h, t in tables.items()]
        for host, done in actions:
            changes += [(now, host, a) for a in done if isinstance(a, MemberChanged)]
            for action in done:
                is_cut = isinstance(action, Send) and {host, action.host} == cut
                if isinstance(action, Send) and not is_cut and random.random() >= loss:
                    flying.append((action.host, action.message))
    return tables, changes


def test_leaving_is_known_everywhere_within_three_seconds():
    """Guards against new work for a leaving endpoint after 3 s, with a late host list (P11)."""
    hosts = [f"n{i}" for i in range(60)]

    def leave(tables, now):
        yield "n7", tables["n7"].handle(LeaveStarted(), now)

    tables, _ = run_network(hosts, 8.0, 0.1, leave)
    assert [h for h, table in tables.items() if "n7" in serving(table)] == []


def suspicions():
    """Suspicions while one pair of healthy nodes cannot reach each other."""
    hosts = [f"n{i}" for i in range(6)]
    cut = {"n0", "n1"}
    _, changes = run_network(hosts, 120.0, 0.0, lambda tables, now: [], cut)
    return [change for change in changes if change[2].state in ("suspect", "gone")]


def test_one_cut_path_makes_no_suspect(monkeypatch):
    """Guards against flapping; with one source of evidence the same run makes suspects."""
    assert suspicions() == []
    monkeypatch.setattr(member_module, "EVIDENCE_SOURCES", 1)
    assert len(suspicions()) > 4
