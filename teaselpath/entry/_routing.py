"""Choice of the agent for an attempt: candidate endpoints, probes and expected cost."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from teaselpath.control import ControlPlane
from teaselpath.delivery import NoRoute
from teaselpath.entry._call import Call
from teaselpath.entry._probes import Prober
from teaselpath.membership import Member
from teaselpath.prefix import Choice, LinkBudget, PrefixRouter
from teaselpath.results import Code
from teaselpath.scheduling import CircuitBreaker
from teaselpath.wire import Probe

# Within a region, the replies to one round of probes arrive within far less than this.
STRAGGLER_WAIT_S = 0.005
# Connections are restored and full queues drain within this time, which is shorter than any
# caller's own retry interval.
NO_ROUTE_TIMEOUT_S = 1.0
NO_ROUTE_RETRY_INTERVAL_S = 0.05
# Limit on the requests that probe concurrently. In a burst of arrivals, more of them would delay
# each other's replies beyond the probe timeout, and all of them would have to probe again.
MAX_PROBING_REQUESTS = 32


@dataclass(slots=True)
class Destination:
    """Agent and endpoint chosen for one attempt."""

    host: str
    agent_incarnation: int
    choice: Choice


@dataclass(slots=True)
class EndpointGroup:
    """Endpoints that serve one model or one plain service.

    :param endpoints: all endpoints of the group, in the order of the bundle.
    :param router: prefix router with the state observed of these endpoints.
    :param pool: the usable endpoints; the same object as long as they do not change.
    """

    endpoints: tuple[str, ...]
    router: PrefixRouter
    pool: tuple[str, ...] = ()

    def usable_endpoints(
        self, router: "EndpointRouter", excluded_hosts: Sequence[str], now: float
    ) -> tuple[str, ...]:
        """Return the endpoints to which requests can be routed now."""
        pool = tuple(name for name in self.endpoints if router.is_usable(name, excluded_hosts, now))
        if pool != self.pool:
            self.pool = pool
        return self.pool


class EndpointRouter:
    """Chooses endpoints by cached prefix, load and region.

    :param plane: source of the bundle and the members.
    :param prober: sends probes to agents.
    """

    def __init__(self, plane: ControlPlane, prober: Prober):
        self.plane = plane
        self.prober = prober
        self.regions: dict[str, str] = {}
        self.link: LinkBudget | None = None
        self.groups: dict[tuple[str, str], EndpointGroup] = {}
        self.breakers: dict[str, CircuitBreaker] = {}
        self.agents: dict[str, Member] = {}
        self.routing_slots = asyncio.Semaphore(MAX_PROBING_REQUESTS)

    def refresh(self) -> None:
        """Update the endpoint groups after a change of the bundle or the members."""
        members = self.plane.members.serving_agents()
        self.agents = {member.endpoint: member for member in members}
        self.regions.update((member.endpoint, member.region) for member in members)
        bundle = self.plane.bundle
        if bundle is not None and self.link is None:
            spec = bundle.region_link
            self.link = LinkBudget(spec.bytes_per_s, spec.burst_bytes)
        if self.link is not None:
            self.link.set_process_count(max(1, len(self.plane.members.entries())), time.monotonic())
        for key, group in self.groups.items():
            group.endpoints = self._select(*key)

    def group(self, call: Call) -> "EndpointGroup":
        """Return the group of endpoints that serve a call's model or plain service."""
        key = (call.model_id, call.service)
        found = self.groups.get(key)
        if found is None:
            region = self.plane.settings.region
            router = PrefixRouter(region, self.regions, self.link)
            found = self.groups[key] = EndpointGroup(self._select(*key), router)
        return found

    def _select(self, model: str, service: str) -> tuple[str, ...]:
        bundle = self.plane.bundle
        return tuple(
            spec.id
            for spec in (bundle.endpoints if bundle else ())
            if spec.id in self.agents
            and (model in spec.models if model else spec.service == service)
        )

    async def route(
        self, call: Call, excluded_hosts: Sequence[str], deadline: float
    ) -> Destination | NoRoute:
        """Choose an agent for a call.

        :param deadline: time by which the answer has to begin, on the monotonic clock.
        """
        retry_deadline = min(deadline, time.monotonic() + NO_ROUTE_TIMEOUT_S)
        while True:
            async with self.routing_slots:
                found = await self._choose(call, excluded_hosts, deadline)
            if found is not None:
                return found
            if time.monotonic() >= retry_deadline:
                detail = f"no endpoint takes {call.model_id or call.service!r} at this moment"
                return NoRoute(Code.NO_ENDPOINT, detail, 1000)
            await asyncio.sleep(NO_ROUTE_RETRY_INTERVAL_S)

    async def _choose(
        self, call: Call, excluded_hosts: Sequence[str], deadline: float
    ) -> Destination | None:
        now = time.monotonic()
        group = self.group(call)
        names = group.router.candidates(
            call.chain, group.usable_endpoints(self, excluded_hosts, now), now
        )
        if not names:
            return None
        hosts = [self.agents[name].host for name in names if name in self.agents]
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
        replies = await self.prober.probe_hosts(hosts, probe, timeout_s, STRAGGLER_WAIT_S)
        # For equal expected times the router takes the first reply, so the replies are sorted by
        # candidate rank instead of arrival.
        rank = {name: position for position, name in enumerate(names)}
        replies = [reply for reply in replies if reply.endpoint in rank]
        replies.sort(key=lambda reply: rank[reply.endpoint])
        choice = group.router.choose(call.chain, call.prompt_tokens, replies, time.monotonic())
        if choice is None:
            return None
        incarnation = next(r.agent_incarnation for r in replies if r.endpoint == choice.endpoint)
        member = self.agents.get(choice.endpoint)
        return Destination(member.host, incarnation, choice) if member else None

    def is_usable(self, endpoint: str, excluded_hosts: Sequence[str], now: float) -> bool:
        """Return whether requests can be routed to an endpoint now."""
        agent = self.agents.get(endpoint)
        if agent is None or agent.host in excluded_hosts:
            return False
        breaker = self.breakers.get(endpoint)
        return breaker is None or breaker.allows(now)

    def record_outcome(self, endpoint: str, is_success: bool, now: float) -> None:
        """Record the outcome of an attempt in the circuit breaker of its endpoint."""
        breaker = self.breakers.get(endpoint)
        if breaker is None:
            breaker = self.breakers[endpoint] = CircuitBreaker()
        if is_success:
            breaker.record_success(now)
        else:
            breaker.record_failure(now)
