"""One soak run: load and overlapping faults on a site, then a recovery phase without faults."""

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from standins.hosted import Answer, Caller, HostedSite, ListedEngine, SiteTenant
from standins.soak._checks import ROUTES, TAKE_UP, SentRequest, check_guarantees
from standins.soak._configs import CHANGING_ROUTES, ConfigHistory, RouteAnswer
from standins.soak._faults import FaultInjector
from standins.soak._proxy import FaultyProxy

MIN_HOLDER_INTERVAL_S = 0.6
# Grace period between the last fault and the start of the recovery phase.
SETTLE_TIME_S = 6.0
# Interval at which the delay of this process's own event loop is measured.
STALL_CHECK_INTERVAL_S = 0.05
# Minimum number of requests in the recovery phase, and the time limit to reach it.
RECOVERY_REQUESTS = 50
RECOVERY_TIMEOUT_S = 30.0
RECOVERY_POLL_INTERVAL_S = 2.0
# Minimum fraction of the requests of the recovery phase that must be served.
MIN_SERVED_FRACTION = 0.98
RESTART_DELAY_S = 0.3
# Fraction of the requests after which a caller sends one on a route that may not exist, and its
# timeout in seconds.
PROBE_FRACTION = 0.3
PROBE_TIMEOUT_S = 3.0
# Prompt part and body that end engines, the fraction of the requests of their kinds that hold them,
# and the time until an engine is back, in seconds.
DEADLY_PART = "dead"
DEADLY_BODY = b'{"deadly": true}'
DEADLY_FRACTION = 0.05
ENGINE_RESTART_S = 1.0
# Kinds of plain requests of which one, that of the first tenant, ends engines; one of them a run.
DEADLY_PLAIN_KINDS = ("lookup", "pay")
# Software versions of the engines.
SOFTWARE_VERSIONS = 2
# Requests of a service that end engines and may still reach them in the recovery phase.
MAX_LATE_SENDS = 3


@dataclass(slots=True)
class SoakPlan:
    """Size and duration of a run.

    :param fault_s: duration of fault injection.
    :param fault_interval_s: mean interval between the starts of two faults; most faults last
        longer, so they overlap.
    """

    seed: int
    fault_s: float = 20.0
    fault_interval_s: float = 0.8
    gateways: int = 3
    engines: int = 4
    callers: int = 8


@dataclass(slots=True)
class SoakReport:
    """Result of a run.

    :param violations: violated guarantees.
    :param faults: start time and description of each fault.
    :param served_fraction: fraction of the requests of the recovery phase that were served.
    :param longest_stall_s: longest stall of this process's event loop, which also stalls the
        callers and the test doubles.
    """

    seed: int
    violations: list[str]
    faults: list[tuple[float, str]]
    statuses: Counter[int] = field(default_factory=Counter)
    served_fraction: float = 0.0
    longest_stall_s: float = 0.0


class Soak:
    """A site under load, and what callers saw."""

    def __init__(self, plan: SoakPlan, site: HostedSite):
        self.plan = plan
        self.site = site
        self.random = Random(plan.seed)
        self.proxies: dict[str, FaultyProxy] = {}
        self.requests: list[SentRequest] = []
        self.configs = ConfigHistory()
        self.faults: list[tuple[float, str]] = []
        self.request_numbers = itertools.count()
        self.stop = asyncio.Event()
        self.started_at = time.monotonic()
        self.fault_tasks: set[asyncio.Task] = set()
        self.watchers: list[asyncio.Task] = []
        self.new_engine_numbers = itertools.count(100)
        self.longest_stall_s = 0.0
        # By service: engines that a request has ended, and from when such requests are sent.
        self.engine_ends: Counter[str] = Counter()
        self.deadly_from = {"llm": float("inf"), "desk": float("inf")}
        self.deadly_plain_kind = DEADLY_PLAIN_KINDS[plan.seed % len(DEADLY_PLAIN_KINDS)]
        self.settled_at = float("inf")

    async def watch_stalls(self) -> None:
        """Measure the longest delay of the event loop."""
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            late_s = time.monotonic() - began_at - STALL_CHECK_INTERVAL_S
            self.longest_stall_s = max(self.longest_stall_s, late_s)

    async def start(self) -> None:
        site = self.site
        for number in range(self.plan.engines):
            await self.add_engine(f"llm-{number}", is_model=True)
        for number in range(2):
            await self.add_engine(f"desk-{number}", is_model=False)
        self.write_config()
        for number in range(self.plan.gateways):
            name = f"gw-{number}"
            proxy = await FaultyProxy(await site.open_store_address(name)).open()
            self.proxies[f"store of {name}"] = proxy
            await site.start_gateway(name, f"127.0.0.{number + 2}", "ab"[number % 2], proxy.address)
        for gateway in site.gateways.values():
            await site.wait_until_ready(gateway)
            self.watchers.append(asyncio.create_task(self._restart_on_exit(gateway.name)))

    async def add_engine(self, name: str, *, is_model: bool) -> None:
        service, zone = ("llm" if is_model else "desk"), self.random.choice("ab")
        proxy = FaultyProxy("")
        await proxy.open()
        version = f"v{1 + int(name.rpartition('-')[2]) % SOFTWARE_VERSIONS}"
        await self.site.add_engine(
            name, service, zone, is_model=is_model, listed_address=proxy.address, software=version
        )
        proxy.target = self.site.engines[name].address
        self.proxies[name] = proxy
        self.prepare_engine(name)

    def prepare_engine(self, name: str) -> None:
        """Make an engine state its pace, and end on the deadly part and body."""
        listed_engine = self.site.engines[name]
        listed_engine.engine.pace = "100"
        listed_engine.engine.deadly_parts = {DEADLY_PART}
        listed_engine.engine.deadly_bodies = {DEADLY_BODY}

        def end_process() -> None:
            self.start_fault(self.end_engine(name, listed_engine))

        listed_engine.engine.end_process = end_process

    async def end_engine(self, name: str, listed_engine: ListedEngine) -> None:
        """End the process of an engine, and start it again unless it was replaced meanwhile."""
        if self.site.engines.get(name) is not listed_engine or listed_engine.skips_heartbeats:
            return
        self.engine_ends[listed_engine.engine.service] += 1
        self.record_fault(f"ended by a request: {name}")
        proxy = self.proxies[name]
        proxy.close()
        self.site.end_engine_process(name)
        await asyncio.sleep(ENGINE_RESTART_S)
        if self.site.engines.get(name) is listed_engine:
            await self.site.restart_engine(name)
            await proxy.open()
            self.prepare_engine(name)

    async def _restart_on_exit(self, name: str) -> None:
        """Restart a gateway whenever its process has exited, as the platform does."""
        site = self.site
        while not self.stop.is_set():
            gateway = site.gateways[name]
            await gateway.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.stop.is_set():
                proxy = self.proxies[f"store of {name}"]
                zone = "ab"[int(name[3:]) % 2]
                await site.start_gateway(name, gateway.ip, zone, proxy.address)

    # load

    async def send_requests(self, number: int) -> None:
        """Send requests one after another over persistent connections."""
        random = Random(f"{self.plan.seed}-{number}")
        parts = Random(f"{self.plan.seed}-{number}-parts")
        bodies = Random(f"{self.plan.seed}-{number}-bodies")
        probes = Random(f"{self.plan.seed}-{number}-probes")
        tenants = self.site.tenants
        callers: dict[tuple[str, str], Caller] = {}
        while not self.stop.is_set():
            tenant = random.choice(tenants)
            name = random.choice(list(self.site.gateways))
            key = tenant.keys[0]
            if (name, key) not in callers:
                gateway = self.site.gateways[name]
                address = f"{gateway.ip}:{self.site.ports['front']}"
                callers[name, key] = Caller(address, key)
            kind = random.choice(ROUTES)
            request_id = f"{kind}-{next(self.request_numbers)}"
            prefix = ""
            if kind in ("review", "query"):
                prefix = f"s{random.randrange(6)}:2000,o{request_id}:200"
            body, is_deadly = b"{}", False
            if kind == "review" and parts.random() < DEADLY_FRACTION:
                is_deadly = time.monotonic() >= self.deadly_from["llm"]
            elif kind == self.deadly_plain_kind and tenant is tenants[0]:
                is_drawn = bodies.random() < DEADLY_FRACTION
                is_deadly = is_drawn and time.monotonic() >= self.deadly_from["desk"]
            if is_deadly:
                request_id = f"{DEADLY_PART}-{request_id}"
                prefix = prefix.replace(",", f",{DEADLY_PART}:100,")
                body = b"{}" if prefix else DEADLY_BODY
            began_at = time.monotonic()
            answer = await callers[name, key].send(
                f"/{kind}/x", request_id, prefix=prefix, timeout_s=6.0, body=body,
                disconnect_after_s=random.choice([None] * 15 + [0.05]),
            )  # fmt: skip
            self.requests.append(SentRequest(kind, tenant.name, key, began_at, answer))
            if answer.status != 200:
                await asyncio.sleep(0.05)
            if kind == "review" and not answer.is_complete and answer.last_whole_event_id:
                await self.take_up(answer, prefix, name, callers[name, key], bodies)
            if probes.random() < PROBE_FRACTION:
                await self.probe_route(probes.choice(CHANGING_ROUTES), name, callers[name, key])
        for caller in callers.values():
            caller.close()

    async def take_up(
        self, begun: Answer, prefix: str, gateway: str, caller: Caller, source: Random
    ) -> None:
        """Take a stream up that has broken off, mostly at another gateway."""
        name = source.choice(list(self.site.gateways))
        address = f"{self.site.gateways[name].ip}:{self.site.ports['front']}"
        other = caller if name == gateway else Caller(address, caller.key)
        began_at = time.monotonic()
        answer = await other.send(
            "/review/x", f"{TAKE_UP}-{next(self.request_numbers)}", prefix=prefix, timeout_s=6.0,
            last_event_id=begun.last_whole_event_id, resumes=begun.request_id,
        )  # fmt: skip
        self.requests.append(
            SentRequest(TAKE_UP, self.tenant_of(caller), caller.key, began_at, answer)
        )
        if other is not caller:
            other.close()

    def tenant_of(self, caller: Caller) -> str:
        """Return the name of the tenant whose key a caller sends."""
        return next(t.name for t in self.site.tenants if caller.key in t.keys)

    async def probe_route(self, route: str, gateway: str, caller: Caller) -> None:
        """Send a request on a route that the operator adds and removes."""
        request_id = f"{route}-{next(self.request_numbers)}"
        process = self.site.gateways[gateway].process.pid
        began_at = time.monotonic()
        answer = await caller.send(f"/{route}/x", request_id, timeout_s=PROBE_TIMEOUT_S)
        ended_at = time.monotonic()
        self.requests.append(
            SentRequest("extra", self.tenant_of(caller), caller.key, began_at, answer)
        )
        is_same = process == self.site.gateways[gateway].process.pid
        name = f"{gateway} ({process})" if is_same else ""
        self.configs.answers.append(RouteAnswer(route, name, began_at, ended_at, answer.status))

    # faults

    def write_config(self) -> int:
        """Write the next version of the configuration."""
        version = self.site.write_config()
        self.configs.record(self.site, time.monotonic())
        return version

    def start_fault(self, job: Coroutine[None, None, None]) -> None:
        """Run a fault as a task that is awaited before the recovery phase."""
        task = asyncio.get_running_loop().create_task(job)
        self.fault_tasks.add(task)
        task.add_done_callback(self.fault_tasks.discard)

    def record_fault(self, text: str) -> None:
        self.faults.append((round(time.monotonic() - self.started_at, 2), text))

    async def check_recovery(self) -> tuple[list[str], float]:
        """Check that the site has recovered after the last fault.

        :returns: what is still wrong, and the fraction of the requests that were served.
        """
        await asyncio.sleep(SETTLE_TIME_S)
        phase_start = self.settled_at = time.monotonic()
        recent: list[SentRequest] = []
        while (
            len(recent) < RECOVERY_REQUESTS + RECOVERY_REQUESTS // 5
            and time.monotonic() < phase_start + RECOVERY_TIMEOUT_S
        ):
            await asyncio.sleep(RECOVERY_POLL_INTERVAL_S)
            recent = [a for a in self.requests if a.began_at >= phase_start and a.kind in ROUTES]
        deadly = [a for a in recent if a.answer.request_id.startswith(DEADLY_PART)]
        recent = [a for a in recent if a not in deadly]
        served = sum(a.answer.status == 200 and a.answer.is_complete for a in recent)
        disconnected = sum(not a.answer.is_complete and a.answer.status in (0, 200) for a in recent)
        served_fraction = (served + disconnected) / max(1, len(recent))
        broken = []
        if served_fraction < MIN_SERVED_FRACTION or len(recent) < RECOVERY_REQUESTS:
            broken.append(f"after recovery: {served} of {len(recent)} served")
        late = {a.answer.request_id for a in deadly}
        late_sends = Counter(run.service for run in self.site.runs if run.request_id in late)
        broken += [
            f"{sends} requests that end engines reached those of {service}"
            for service, sends in late_sends.items()
            if sends > MAX_LATE_SENDS
        ]
        models = [p.engine for p in self.site.engines.values() if p.engine.model]
        outdated = [e.endpoint_id for e in models if e.version != self.site.weights]
        if outdated:
            broken.append(f"engines with outdated weights after recovery: {', '.join(outdated)}")
        return broken, served_fraction


async def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run one soak test; the gateways' logs and settings are written to ``folder``."""
    tenants = [SiteTenant("office", ["key-a"]), SiteTenant("closed", ["key-b"], isolated=True)]
    # Engines state their pace in all runs; every other deployment has contended room besides.
    contracts = ["pressure"] if plan.seed % 2 else []
    site_random = Random(plan.seed + 1)
    async with HostedSite(folder, site_random, tenants=tenants, contracts=contracts) as site:
        soak = Soak(plan, site)
        soak.watchers.append(asyncio.create_task(soak.watch_stalls()))
        await soak.start()
        load = [asyncio.create_task(soak.send_requests(n)) for n in range(plan.callers)]
        await FaultInjector(soak).inject_faults()
        broken, served_fraction = await soak.check_recovery()
        soak.stop.set()
        await asyncio.gather(*load)
        for watcher in soak.watchers:
            watcher.cancel()
        for proxy in soak.proxies.values():
            proxy.close()
        broken += soak.configs.find_violations(soak.settled_at)
        broken += check_guarantees(site, soak.requests, MIN_HOLDER_INTERVAL_S)
        statuses = Counter(entry.answer.status for entry in soak.requests)
        return SoakReport(
            plan.seed, broken, soak.faults, statuses, served_fraction, soak.longest_stall_s
        )
