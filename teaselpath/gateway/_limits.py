"""Limits that endpoints state, as one gateway reports them."""

import asyncio

from eliot import log_message

from teaselpath.dispatch import SEND_WINDOW_S
from teaselpath.gateway._state import GatewayState


async def report_limited_endpoints(state: GatewayState) -> None:
    """Log the sends of this gateway to endpoints that state a limit, until cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(SEND_WINDOW_S)
        now = loop.time()
        limited = [view for view in state.views.values() if view.limit.rate is not None]
        if limited:
            log_message(
                "endpoint_limits",
                window_s=SEND_WINDOW_S,
                sends={
                    view.endpoint.endpoint_id: (view.limit.rate, view.limit.count_sends(now))
                    for view in limited
                },
            )
