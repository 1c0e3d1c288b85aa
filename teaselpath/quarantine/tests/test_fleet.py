"""Load of a fleet with parts that crash engines, and of one whose engines crash by themselves."""

from random import Random

import pytest

from teaselpath.quarantine import whole_request
from teaselpath.quarantine.tests.fleet import TICK_S, SimulatedFleet

GATEWAYS, ENGINES = 5, 9
SOUND_PER_S, DEADLY_PER_S = 30.0, 0.7
SHARED = [f"m/p{n}" for n in range(12)]
DEADLY = "m/dead"
# Bounds of the users' rule: requests with the part after the fifth engine, and the time after
# which they count, in seconds.
COUNTED_ENDS, MAX_LATE_SENDS, SETTLED_S = 5, 3, 4.0
# The same for a request as a whole.
COUNTED_REQUEST_ENDS = 3
PLAIN_ENGINES, PLAIN_READ_S = 3, 0.09
DEADLY_REQUEST, POPULAR = whole_request("dead"), whole_request("poll")


def play(
    fleet, seconds, *, deadly=(), disturb=None, sound_per_s=SOUND_PER_S, deadly_per_s=DEADLY_PER_S
):
    """Send load; requests with deadly parts share their first part with sound ones."""
    random = fleet.random
    for tick in range(int(seconds / TICK_S)):
        if random.random() < sound_per_s * TICK_S:
            fleet.send(random.choice(SHARED), f"m/own{random.randrange(200)}")
        for part in deadly:
            if random.random() < deadly_per_s * TICK_S:
                fleet.send(random.choice(SHARED[:2]), part)
        if disturb is not None:
            disturb(fleet, tick * TICK_S)
        fleet.step()


def late_sends(fleet, counted_ends=COUNTED_ENDS) -> int:
    if len(fleet.ends) < counted_ends:
        return 0
    bound = fleet.ends[counted_ends - 1] + SETTLED_S
    return sum(at > bound for at in fleet.deadly_sends)


def share_served(fleet, since=0) -> float:
    sound = [r for r in fleet.done[since:] if fleet.deadly.isdisjoint(r.parts)]
    return sum(r.outcome == "served" and r.runs == 1 for r in sound) / len(sound)


@pytest.mark.parametrize("seed", range(12))
def test_deadly_part_stops_reaching_engines_and_sound_requests_are_served(seed):
    fleet = SimulatedFleet(Random(seed), GATEWAYS, ENGINES, {DEADLY})
    play(fleet, 12.0, deadly=[DEADLY])
    done = len(fleet.done)
    play(fleet, 12.0, deadly=[DEADLY])
    assert late_sends(fleet) <= MAX_LATE_SENDS
    assert share_served(fleet, done) > 0.9


@pytest.mark.parametrize("seed", range(4))
def test_deadly_part_is_found_among_many_requests_that_no_engine_has_answered(seed):
    fleet = SimulatedFleet(Random(seed), GATEWAYS, ENGINES, {DEADLY})
    play(fleet, 3.0, sound_per_s=150.0)
    play(fleet, 10.0, deadly=[DEADLY], sound_per_s=150.0, deadly_per_s=6.0)
    done, sends = len(fleet.done), len(fleet.deadly_sends)
    play(fleet, 6.0, deadly=[DEADLY], sound_per_s=150.0, deadly_per_s=6.0)
    assert len(fleet.deadly_sends) - sends <= MAX_LATE_SENDS
    assert late_sends(fleet) <= MAX_LATE_SENDS
    assert share_served(fleet, done) > 0.9


@pytest.mark.parametrize("seed", range(6))
def test_several_deadly_parts_are_found(seed):
    deadly = [f"{DEADLY}{n}" for n in range(3)]
    fleet = SimulatedFleet(Random(seed), GATEWAYS, ENGINES, set(deadly))
    play(fleet, 16.0, deadly=deadly)
    done, sends = len(fleet.done), len(fleet.deadly_sends)
    play(fleet, 8.0, deadly=deadly)
    assert len(fleet.deadly_sends) - sends <= MAX_LATE_SENDS
    assert share_served(fleet, done) > 0.9


@pytest.mark.parametrize("seed", range(6))
def test_deadly_part_is_found_while_gateways_restart_and_are_cut_off(seed):
    fleet = SimulatedFleet(Random(seed), GATEWAYS, ENGINES, {DEADLY})

    def disturb(fleet, at):
        if round(at % 2.0, 2) == 1.0:
            fleet.restart_gateway(fleet.random.randrange(GATEWAYS))
        fleet.cut = {0} if 3.0 < at % 8.0 < 6.0 else set()

    play(fleet, 16.0, deadly=[DEADLY], disturb=disturb)
    done, sends = len(fleet.done), len(fleet.deadly_sends)
    play(fleet, 10.0, deadly=[DEADLY])
    assert len(fleet.deadly_sends) - sends <= MAX_LATE_SENDS
    assert share_served(fleet, done) > 0.9


@pytest.mark.parametrize("seed", range(6))
def test_engines_that_crash_by_themselves_make_no_part_deadly(seed):
    fleet = SimulatedFleet(Random(seed), GATEWAYS, ENGINES, set())

    def disturb(fleet, at):
        if round(at % 0.7, 2) == 0.0:
            fleet.end_engine(fleet.random.choice(fleet.engines))

    play(fleet, 30.0, disturb=disturb)
    assert not any(host.table.verdicts for host in fleet.hosts)
    assert all(request.outcome != "rejected" for request in fleet.done)
    lost = sum(request.outcome == "held" for request in fleet.done)
    assert lost <= 0.01 * len(fleet.done)


def test_part_of_another_caller_is_not_refused_for_requests_that_combine_it_with_a_deadly_one():
    fleet = SimulatedFleet(Random(3), GATEWAYS, ENGINES, {DEADLY})
    for tick in range(int(20.0 / TICK_S)):
        if tick % 90 == 0:
            fleet.send("m/rare", DEADLY)
        if tick % 300 == 150:
            fleet.send("m/rare", "m/own")
        fleet.step()
    rare = [r for r in fleet.done if r.parts == ("m/rare", "m/own")]
    assert [r.outcome for r in rare[2:]] == ["served"] * len(rare[2:])
    assert late_sends(fleet) <= MAX_LATE_SENDS


def plain_fleet(seed, deadly=(), max_runs=2):
    return SimulatedFleet(
        Random(seed), GATEWAYS, PLAIN_ENGINES, set(deadly),
        read_s=PLAIN_READ_S, answer_s=0.0, max_runs=max_runs,
    )  # fmt: skip


def play_plain(fleet, seconds, *, deadly_per_s=0.0, disturb=None):
    """Send load to a plain service, a third of it equal requests of one caller."""
    random = fleet.random
    for tick in range(int(seconds / TICK_S)):
        if random.random() < SOUND_PER_S * TICK_S:
            is_popular = random.random() < 1 / 3
            fleet.send(POPULAR if is_popular else whole_request(f"own{len(fleet.done)}-{tick}"))
        if random.random() < deadly_per_s * TICK_S:
            fleet.send(DEADLY_REQUEST)
        if disturb is not None:
            disturb(fleet, tick * TICK_S)
        fleet.step()


@pytest.mark.parametrize("max_runs", [1, 2])
@pytest.mark.parametrize("seed", range(4))
def test_deadly_request_stops_reaching_the_engines_of_a_small_service(seed, max_runs):
    fleet = plain_fleet(seed, [DEADLY_REQUEST], max_runs)
    play_plain(fleet, 20.0, deadly_per_s=2.0)
    done = len(fleet.done)
    play_plain(fleet, 10.0, deadly_per_s=2.0)
    assert late_sends(fleet, COUNTED_REQUEST_ENDS) <= MAX_LATE_SENDS
    assert share_served(fleet, done) > 0.9


@pytest.mark.parametrize("seed", range(6))
def test_deadly_request_whose_part_sound_ones_share_stops_reaching_engines(seed):
    fleet = SimulatedFleet(Random(seed), GATEWAYS, ENGINES, {DEADLY_REQUEST})
    random = fleet.random
    for tick in range(int(24.0 / TICK_S)):
        if random.random() < SOUND_PER_S * TICK_S:
            fleet.send(random.choice(SHARED), whole_request(f"own{tick}"))
        if random.random() < DEADLY_PER_S * TICK_S:
            fleet.send(SHARED[0], DEADLY_REQUEST)
        fleet.step()
    assert late_sends(fleet, COUNTED_REQUEST_ENDS) <= MAX_LATE_SENDS
    assert all(v.parts == {DEADLY_REQUEST} for h in fleet.hosts for v in h.table.verdicts.values())


@pytest.mark.parametrize("pause_s", [0.8, 1.5])
@pytest.mark.parametrize("seed", range(4))
def test_small_service_whose_engines_crash_by_themselves_is_not_closed(seed, pause_s):
    fleet = plain_fleet(seed)

    def disturb(fleet, at):
        if round(at % pause_s, 2) == 0.0:
            fleet.end_engine(fleet.random.choice(fleet.engines))

    play_plain(fleet, 20.0, disturb=disturb)
    assert not any(host.table.verdicts for host in fleet.hosts)
    # Requests that waited for an engine are served first.
    play_plain(fleet, 3.0)
    done = len(fleet.done)
    play_plain(fleet, 5.0)
    assert share_served(fleet, done) > 0.99
