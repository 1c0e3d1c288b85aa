"""Report of a crowd: which requests wait here, and whose share of the room they exceed."""

import asyncio

from eliot import log_message

from teaselpath.dispatch import FairOrder, RequestQueue
from teaselpath.gateway._state import GatewayState

# Interval between log lines while requests wait, in seconds.
REPORT_INTERVAL_S = 2.0
# Workspaces in one line, those farthest above their share first.
MAX_REPORTED_WORKSPACES = 5


class CrowdReporter:
    """Logs who competes for room, where workspaces have shares of it."""

    def __init__(self, state: GatewayState, queue: RequestQueue):
        self.state = state
        self.queue = queue

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            fair_order = self.state.fair_order
            if fair_order is not None and self.queue.queued:
                self.report(fair_order, asyncio.get_running_loop().time())

    def report(self, fair_order: FairOrder, now: float) -> None:
        """Log the number of waiting requests by workspace, and the excess over its share."""
        waiting: dict[str, int] = {}
        for request in self.queue.queued.values():
            waiting[request.workspace] = waiting.get(request.workspace, 0) + 1
        excesses = sorted(fair_order.excesses(now).items(), key=lambda pair: -pair[1])
        largest = {name: round(e, 2) for name, e in excesses[:MAX_REPORTED_WORKSPACES] if e > 0.0}
        log_message("crowd", waiting=waiting, excess=largest)
