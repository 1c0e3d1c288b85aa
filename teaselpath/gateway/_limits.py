"""This gateway's shares of the limits that endpoints state."""

import asyncio

from eliot import log_message

from teaselpath.dispatch import SEND_WINDOW_S, EndpointView, first_level, split_limit
from teaselpath.exchange import is_large_fleet
from teaselpath.gateway._state import GatewayState

# Interval at which shares are computed, in seconds.
SPLIT_INTERVAL_S = 0.1
# Time in which a report of demand reaches all gateways, in seconds, and the same in a large fleet.
DEMAND_DELAY_S = 0.3
LARGE_FLEET_DEMAND_DELAY_S = 1.5


class LimitKeeper:
    """Splits the limits of endpoints with the other gateways."""

    def __init__(self, state: GatewayState):
        self.state = state
        self.loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Split limits, and log the sends of this gateway, until cancelled."""
        logged_at = self.loop.time()
        while True:
            await asyncio.sleep(SPLIT_INTERVAL_S)
            now = self.loop.time()
            limited = [v for v in self.state.views.values() if v.limit.rate is not None]
            if not limited:
                continue
            self.split(limited, now)
            if now - logged_at >= SEND_WINDOW_S:
                logged_at = now
                _log_limits(limited, now)

    def split(self, limited: list[EndpointView], now: float) -> None:
        """Set this gateway's share of each limit."""
        host = self.state.settings.host
        is_large = is_large_fleet(len(self.state.members))
        delay_s = LARGE_FLEET_DEMAND_DELAY_S if is_large else DEMAND_DELAY_S
        peers = self.state.possible_peers(now)
        for view in limited:
            limit, endpoint_id = view.limit, view.endpoint.endpoint_id
            own_demand = limit.settled_demand(now, delay_s)
            if own_demand is None:
                # The others do not know the demand of this gateway yet, nor it theirs.
                demand = dict.fromkeys([host, *peers], 1.0)
            else:
                demand = {peer: limit.peer_demand.get(peer, 0.0) for peer in peers}
                demand[host] = own_demand
            share = split_limit(host, endpoint_id, limit.usable_rate, demand)
            limit.set_share(share, first_level(host, endpoint_id), now)


def _log_limits(limited: list[EndpointView], now: float) -> None:
    log_message(
        "endpoint_limits",
        window_s=SEND_WINDOW_S,
        sends={
            view.endpoint.endpoint_id: (
                view.limit.rate,
                round(view.limit.own_rate, 2),
                view.limit.count_sends(now),
            )
            for view in limited
        },
    )
