"""Drain triggered by the host list."""

import asyncio
import time
from typing import Any

import pytest

from teaselpath.clients import HostEntry, Settings
from teaselpath.control import ControlPlane
from teaselpath.membership import HostList
from teaselpath.transport import CurveKeys

HOST = "agent-1"


@pytest.mark.parametrize(("age_s", "is_stopped"), [(1.0, False), (61.0, True)])
def test_own_entry_shown_as_leaving_stops_the_process(age_s, is_stopped):
    """Guards against new work at a leaving host, and a drain meant for the previous process."""

    async def scenario():
        settings = Settings(
            role="agent",
            host=HOST,
            region="r",
            failure_domain="d",
            operator_keys=["0" * 64],
            log_url="",
        )
        unused_session: Any = None
        plane = ControlPlane(settings, CurveKeys.generate(), unused_session, 1)
        entry = HostEntry(HOST, "agent", "r", "d", "127.0.0.1", 7400, 0, "", "", "leaving")
        # The list is read at process start-up and again ``age_s`` later.
        now = time.monotonic()
        for read_at in (now, now + age_s):
            plane._act(plane.members.handle(HostList([entry]), read_at))
        assert plane.drain_requested.is_set() is is_stopped

    asyncio.run(scenario())
