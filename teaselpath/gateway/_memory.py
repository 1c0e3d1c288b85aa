"""Which gateways share the memory of the engines of a service, where it is bounded."""

import asyncio

from teaselpath.dispatch import EndpointView, MemoryBound, held_fraction
from teaselpath.fleet import Service
from teaselpath.gateway._state import GatewayState

# Time for which the gateways that may be sending are not looked up again, in seconds.
LOOKUP_S = 0.25
# Time after the start of a gateway, or after it stood still, in which it may not know of others and
# their load yet, in seconds.
START_S = 2.0


class SharedMemory:
    """Knows the gateways that share the memory of engines.

    The memory is bounded for services whose configuration states it, where callers compete for
    room or engines state their pace.

    :param state: state of this gateway.
    :ivar stating: when the engines of a service were last asked whether they state a pace; infinite
        once one does.
    """

    def __init__(self, state: GatewayState):
        self.state = state
        self.loop = asyncio.get_running_loop()
        self.found = MemoryBound(state.settings.host, ())
        self.started_at = self.loop.time()
        self.found_at = float("-inf")
        self.stating: dict[str, float] = {}

    def bound_of(self, service: Service) -> MemoryBound | None:
        """Return the gateways that share the engines' memory; None if it is not bounded."""
        if service.engine is None or not service.engine.cache_tokens:
            return None
        now = self.loop.time()
        if not self.state.settings.is_room_contended and not self._states_pace(service.name, now):
            return None
        if now - self.found_at >= LOOKUP_S:
            self.found, self.found_at = self._look_up(now), now
        return self.found

    def held_fraction(self, view: EndpointView) -> float:
        """Return the fraction of an engine's memory that is held; 0 where it is not bounded."""
        config = self.state.config
        service = config.services.get(view.endpoint.service) if config is not None else None
        if service is None or service.engine is None or self.bound_of(service) is None:
            return 0.0
        return held_fraction(view, service.engine, self.loop.time())

    def _states_pace(self, service: str, now: float) -> bool:
        asked_at = self.stating.get(service, float("-inf"))
        if now - asked_at >= LOOKUP_S:
            views = self.state.pool(service).views.values()
            states_pace = any(view.stated_pace is not None for view in views)
            self.stating[service] = asked_at = float("inf") if states_pace else now
        return asked_at == float("inf")

    def _look_up(self, now: float) -> MemoryBound:
        state = self.state
        others = sorted(host for host in state.members if state.may_be_running(host, now))
        reachable, possible = state.count_gateways(now)
        began_at = max(self.started_at, state.standstill_ended_at())
        is_complete = now - began_at >= START_S
        host = state.settings.host
        return MemoryBound(host, tuple(others), reachable / possible, is_complete)
