"""Choice of an agent for one attempt: candidates, probes, cost."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from teaselpath.control import ControlPlane
from teaselpath.delivery import NoRoute
from teaselpath.entry._call import Call
from teaselpath.entry._probes import Prober
from teaselpath.membership import Member
from teaselpath.prefix import Choice, PrefixRouter
from teaselpath.results import Code
from teaselpath.scheduling import CircuitBreaker
from teaselpath.wire import Probe

# Replies of one round differ by far less than this within a region.
SETTLE_S = 0.005
# Endpoints of other regions are asked only if the own region would exceed the first-token target.
SPILL_AT_S = 0.72
# Connections come back and full queues drain within this time, which is shorter than any caller's
# own retry.
NO_ROUTE_TIMEOUT_S = 1.0
NO_ROUTE_RETRY_S = 0.05


@dataclass(slots=True)
class Destination:
    """Agent and endpoint of one attempt."""

    host: str
    agent_incarnation: int
    choice: Choice


class EndpointRouter:
    """Chooses endpoints by prefix, load and region.

    :param plane: bundle and members.
    :param prober: probes of this process.
    """

    def __init__(self, plane: ControlPlane, prober: Prober):
        self.plane = plane
        self.prober = prober
        self.prefix = PrefixRouter()
        self.breakers: dict[str, CircuitBreaker] = {}
        self.groups: dict[tuple[str, str, bool], tuple[str, ...]] = {}
        self.agents: dict[str, Member] = {}

    def refresh(self) -> None:
        """Recompute the groups of endpoints after a change of the bundle or the members."""
        self.groups.clear()
        self.agents = {member.endpoint: member for member in self.plane.members.serving_endpoints()}

    def group(self, model: str, service: str, is_local: bool) -> tuple[str, ...]:
        """Return the endpoints that serve a model or a plain service, in the own region or not."""
        key = (model, service, is_local)
        found = self.groups.get(key)
        if found is None:
            found = self.groups[key] = tuple(sorted(self._select(*key)))
        return found

    def _select(self, model: str, service: str, is_local: bool) -> list[str]:
        bundle = self.plane.bundle
        region = self.plane.settings.region
        return [
            spec.id
            for spec in (bundle.endpoints if bundle else ())
            if spec.id in self.agents
            and (self.agents[spec.id].region == region) is is_local
            and (model in spec.models if model else spec.service == service)
        ]

    async def route(
        self, call: Call, excluded_hosts: Sequence[str], deadline: float
    ) -> Destination | NoRoute:
        """Choose an agent for a call.

        :param deadline: instant until which the answer has to begin.
        """
        give_up_at = min(deadline, time.monotonic() + NO_ROUTE_TIMEOUT_S)
        while True:
            found = await self._route_once(call, excluded_hosts, deadline)
            if isinstance(found, Destination) or time.monotonic() >= give_up_at:
                return found
            await asyncio.sleep(NO_ROUTE_RETRY_S)

    async def _route_once(
        self, call: Call, excluded_hosts: Sequence[str], deadline: float
    ) -> Destination | NoRoute:
        local = await self._choose(call, True, excluded_hosts, deadline)
        if local is not None and local.choice.expected_s <= SPILL_AT_S:
            return local
        remote = await self._choose(call, False, excluded_hosts, deadline)
        if local is None and remote is None:
            detail = f"no endpoint takes {call.model_id or call.service!r} at this moment"
            return NoRoute(Code.NO_ENDPOINT, detail, 1000)
        if local is None or (remote and remote.choice.expected_s < local.choice.expected_s):
            assert remote is not None
            return remote
        return local

    async def _choose(
        self, call: Call, is_local: bool, excluded_hosts: Sequence[str], deadline: float
    ) -> Destination | None:
        now = time.monotonic()
        endpoints = self.group(call.model_id, call.service, is_local)
        usable = [name for name in endpoints if self._is_usable(name, excluded_hosts, now)]
        if not usable:
            return None
        pool = endpoints if len(usable) == len(endpoints) else tuple(usable)
        names = self.prefix.candidates(call.chain, pool, now)
        hosts = {self.agents[name].host: name for name in names if name in self.agents}
        probe = Probe(
            0,
            call.workspace,
            call.model_id,
            call.request_class.id,
            call.chain,
            call.prompt_tokens,
        )
        limits = self.plane.settings.limits
        timeout_s = min(limits.probe_timeout_ms / 1e3, max(0.0, deadline - now))
        replies = await self.prober.ask(list(hosts), probe, timeout_s, SETTLE_S)
        choice = self.prefix.choose(call.chain, call.prompt_tokens, replies, time.monotonic())
        if choice is None:
            return None
        incarnation = next(r.agent_incarnation for r in replies if r.endpoint == choice.endpoint)
        member = self.agents.get(choice.endpoint)
        return Destination(member.host, incarnation, choice) if member else None

    def _is_usable(self, endpoint: str, excluded_hosts: Sequence[str], now: float) -> bool:
        if self.agents[endpoint].host in excluded_hosts:
            return False
        breaker = self.breakers.get(endpoint)
        return breaker is None or breaker.allows(now)

    def observe(self, endpoint: str, is_success: bool, now: float) -> None:
        """Feed the circuit breaker of an endpoint."""
        breaker = self.breakers.get(endpoint)
        if breaker is None:
            breaker = self.breakers[endpoint] = CircuitBreaker()
        if is_success:
            breaker.record_success(now)
        else:
            breaker.record_failure(now)
