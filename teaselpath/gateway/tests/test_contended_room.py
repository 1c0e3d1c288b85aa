"""Where fair shares of contended room take effect, and what their state learns."""

import dataclasses
import json

from teaselpath.fleet import Position, StoredRecord
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway.tests.conftest import SETTINGS
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformStore


def contended_state():
    settings = dataclasses.replace(SETTINGS, is_room_contended=True)
    return GatewayState(settings, PlatformStore("127.0.0.1:9", HttpClient()), 1)


def test_deployment_without_contended_room_is_served_as_before(state):
    """Guards against shares where nobody asked for them."""
    assert state.fair_order is None


def test_rates_of_the_configuration_are_the_weights():
    """Guards against shares that take all workspaces for equally large."""
    state = contended_state()
    tenants = [
        {"name": name, "apiKeys": [f"{name}-{n}" for n in range(2)], "ratePerS": rate, "burst": 1}
        for name, rate in (("large", 3000), ("small", 1000))
    ]
    value = json.dumps({"version": 1, "tenants": tenants}).encode()
    state.apply_operator_record(StoredRecord("config", value, Position(1, 1)), "store", 1.0)
    assert state.fair_order.weights == {"large": 1.5, "small": 0.5}
