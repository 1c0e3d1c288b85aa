"""Planned stops of one, half and all gateways: someone accepts connections as long as possible."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from teaselpath.exchange import Stop, StopPeer, StopPhase, plan_stop, refuses_requests
from teaselpath.exchange._stop import LISTEN_GRACE_S

GRACE_S = 8.0
DOMAINS = ("a", "a", "b", "c")
HOSTS = [f"gw-{n}" for n in range(len(DOMAINS))]


def phases(stopping, age_s):
    """Return the phase of each stopping gateway."""
    return {
        host: plan_stop(
            host,
            domain,
            [
                StopPeer(other, other_domain, other not in stopping)
                for other, other_domain in zip(HOSTS, DOMAINS, strict=True)
                if other != host
            ],
            age_s,
            GRACE_S,
        )
        for host, domain in zip(HOSTS, DOMAINS, strict=True)
        if host in stopping
    }


@pytest.mark.parametrize("host", HOSTS)
def test_single_stop_closes_once_the_balancer_has_turned_away(host):
    assert phases({host}, 2.0) == {host: StopPhase.SERVE}
    assert phases({host}, 2.7) == {host: StopPhase.CLOSE}


def test_all_stopping_together_leave_half_of_them_accepting():
    at_once = phases(set(HOSTS), 2.7)
    assert list(at_once.values()).count(StopPhase.SERVE) == 2
    assert list(at_once.values()).count(StopPhase.CLOSE) == 2
    assert list(phases(set(HOSTS), 6.0).values()).count(StopPhase.REFUSE) == 2


def test_remaining_gateways_close_when_a_successor_is_ready():
    # The first has restarted in the domain of the second.
    assert phases({"gw-1", "gw-2", "gw-3"}, 4.0)["gw-1"] is StopPhase.CLOSE


def test_domain_with_fewer_than_half_ready_goes_on_accepting():
    """The load balancer uses all gateways of such a domain, also those that are not ready."""
    peers = [
        StopPeer("gw-1", "a", False),
        StopPeer("gw-2", "a", False),
        StopPeer("gw-3", "a", True),
    ]
    assert plan_stop("gw-9", "a", peers, 3.0, GRACE_S) is StopPhase.SERVE


def test_stop_of_a_single_gateway_refuses_what_it_cannot_finish():
    ages_s = (0.0, 2.7, 5.5, 5.7, 6.9, 7.1)
    found = [plan_stop("gw-0", "a", [], age_s, GRACE_S) for age_s in ages_s]
    assert found == [
        StopPhase.SERVE, StopPhase.SERVE, StopPhase.SERVE,
        StopPhase.REFUSE, StopPhase.REFUSE, StopPhase.CLOSE,
    ]  # fmt: skip


def test_requests_on_open_connections_are_refused_after_the_listener_has_closed():
    for age_s in (5.7, 6.9, 7.1, 7.9):
        assert refuses_requests(age_s, GRACE_S)
    assert not refuses_requests(2.7, GRACE_S)
    # A long prompt that was taken 3.7 s after SIGTERM was broken off 3.3 s later.
    assert refuses_requests(3.7, GRACE_S, is_long=True)
    assert not refuses_requests(2.5, GRACE_S, is_long=True)
    # Without time for that, requests that cross the stop are still served.
    assert not refuses_requests(0.5, 2.0)


@pytest.mark.parametrize("grace_s", [0.5, 2.0, 3.0])
def test_short_grace_period_leaves_time_to_finish(grace_s):
    assert plan_stop("gw-0", "a", [], grace_s - 1.0, grace_s) is StopPhase.CLOSE


def make_stop(has_ready_peer):
    """Return a stop that began at 5 s and ends requests at 12.05 s."""
    return Stop(5.0, GRACE_S, 12.05, has_ready_peer=has_ready_peer)


@pytest.mark.parametrize("has_ready_peer", [False, True])
def test_request_that_likes_of_it_would_outlast_is_not_sent(has_ready_peer):
    """Sent 4.3 s after SIGTERM, when such requests took 2.7 s, and cut 2.7 s later."""
    stop = make_stop(has_ready_peer)
    assert not stop.can_take(9.32, 14.32, 2.7, is_long=False)
    assert stop.can_take(9.32, 14.32, 0.3, is_long=False)
    # Its caller stops waiting before the end.
    assert stop.can_take(9.32, 11.0, 2.7, is_long=False)
    # It may cross the turn of the balancer.
    assert stop.can_take(7.5, 14.32, 6.0, is_long=False)


def test_request_of_which_nothing_is_known_goes_where_there_is_another_gateway():
    assert not make_stop(True).can_take(9.0, 14.0, None, is_long=False)
    assert make_stop(False).can_take(9.0, 14.0, None, is_long=False)


@given(
    age_s=st.floats(LISTEN_GRACE_S + 0.01, GRACE_S),
    time_left_s=st.floats(0.0, 30.0),
    observed_s=st.none() | st.floats(0.0, 30.0),
    has_ready_peer=st.booleans(),
    is_long=st.booleans(),
)
def test_what_is_taken_late_ends_in_time_or_is_held(
    age_s, time_left_s, observed_s, has_ready_peer, is_long
):
    """A response that has begun cannot be taken back, so it must not begin on an expectation."""
    stop = make_stop(has_ready_peer)
    now, deadline = 5.0 + age_s, 5.0 + age_s + time_left_s
    if not stop.can_take(now, deadline, observed_s, is_long=is_long):
        return
    assert deadline <= stop.ends_at or stop.must_hold(now, deadline)
    if deadline > stop.ends_at and observed_s is not None:
        assert now + observed_s <= stop.ends_at


@pytest.mark.parametrize("has_ready_peer", [False, True])
def test_request_whose_caller_would_leave_before_its_held_answer_is_not_sent(has_ready_peer):
    """Taken 3 s after SIGTERM, its caller left after 3.2 s; the engine was not done."""
    stop = make_stop(has_ready_peer)
    assert stop.can_take(8.0, 18.0, 2.2, is_long=False)
    assert stop.can_take(8.0, 18.0, 1.9, is_long=False, abandoned_at=11.2)
    assert not stop.can_take(8.0, 18.0, 2.2, is_long=False, abandoned_at=11.2)


def test_held_answer_is_given_up_before_its_caller_leaves_or_at_the_end():
    stop = make_stop(has_ready_peer=True)
    fails_at = stop.fails_held_at(11.2)
    assert fails_at is not None
    assert 10.0 < fails_at < 11.2
    assert stop.fails_held_at(stop.ends_at + 1.0) is None
    assert stop.fails_held_at(float("inf")) is None
