"""Planned stops of one, half and all gateways: someone accepts connections as long as possible."""

import pytest

from teaselpath.exchange import StopPeer, StopPhase, plan_stop, refuses_requests

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
