"""Endpoints that are removed in the seconds that a restored store has lost."""

import pytest

from teaselpath.gateway.tests.restored_fleet import STEP_S, RestoredFleet

# Steps after the return of the store within which a gateway counts as out of touch.
UNSTABLE_STEPS = int(4.0 / STEP_S)


def pass_time(fleet, steps):
    """Let time pass while all gateways that are not cut off exchange messages."""
    for _ in range(steps):
        fleet.step()
        connected = [gateway for gateway in fleet.gateways if not gateway.is_cut]
        for gateway in connected:
            for peer in connected:
                if peer is not gateway:
                    gateway.hear(peer)


@pytest.fixture
def fleet():
    """Return a calm fleet with two endpoints."""
    fleet = RestoredFleet()
    fleet.write_config()
    for key in ("e0", "e1"):
        fleet.start_engine(key)
    pass_time(fleet, 30)
    return fleet


@pytest.mark.parametrize("gateway_is", ["cut off", "restarted"])
def test_gateway_learns_from_peers_of_an_endpoint_that_left(fleet, gateway_is):
    """Guards against requests to an endpoint that all other gateways know to be gone."""
    fleet.gateways[0].is_cut = gateway_is == "cut off"
    fleet.end_engine(fleet.engines["e0"], is_recorded=True)
    pass_time(fleet, 6)
    fleet.store.restore(1)
    fleet.gateways[0].is_cut = False
    if gateway_is == "restarted":
        fleet.gateways[0] = fleet.start_gateway(0)
    pass_time(fleet, UNSTABLE_STEPS)
    assert [sorted(gateway.state.views) for gateway in fleet.gateways] == [["e1"]] * 4


def test_endpoint_that_was_silent_before_the_return_and_is_still_listed_is_used(fleet):
    """Guards against a running endpoint that only gateways which start later use."""
    # The store removes the silent endpoint; the copy lists it, and its heartbeats renew that entry.
    fleet.expire_entry("e0")
    pass_time(fleet, 6)
    fleet.store.restore(1)
    pass_time(fleet, 120)
    assert [sorted(gateway.state.views) for gateway in fleet.gateways] == [["e0", "e1"]] * 4
