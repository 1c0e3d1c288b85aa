"""One soak run: load and overlapping faults on a site, then a recovery phase without faults."""

import asyncio
import itertools
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from standins.hosted import Caller, HostedSite, ListedEngine, SiteTenant
from standins.soak._answer_faults import LATE_ANSWERS, MISLEADING_ANSWERS, disturb_answers
from standins.soak._checks import SentRequest, check_guarantees
from standins.soak._proxy import FaultyProxy, LinkFault

MIN_HOLDER_INTERVAL_S = 0.6
ROUTES = ("review", "query", "pay", "lookup")
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
# Prompt part that ends engines, the fraction of the streams that hold it, and the time until an
# engine is back, in seconds.
DEADLY_PART = "dead"
DEADLY_FRACTION = 0.05
ENGINE_RESTART_S = 1.0
# Ends of engines after which gateways refuse the part, and requests with it that may still reach
# engines in the recovery phase.
COUNTED_ENDS = 5
MAX_LATE_SENDS = 3
# Mean interval between limits that engines state, in seconds.
LIMIT_INTERVAL_S = 4.0


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


class _Soak:
    def __init__(self, plan: SoakPlan, site: HostedSite):
        self.plan = plan
        self.site = site
        self.random = Random(plan.seed)
        self.proxies: dict[str, FaultyProxy] = {}
        self.requests: list[SentRequest] = []
        self.faults: list[tuple[float, str]] = []
        self.request_numbers = itertools.count()
        self.stop = asyncio.Event()
        self.started_at = time.monotonic()
        self.fault_tasks: set[asyncio.Task] = set()
        self.watchers: list[asyncio.Task] = []
        self.new_engine_numbers = itertools.count(100)
        self.longest_stall_s = 0.0
        self.engine_ends = 0
        self.deadly_from = float("inf")

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
        site.write_config()
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
        await self.site.add_engine(
            name, service, zone, is_model=is_model, listed_address=proxy.address
        )
        proxy.target = self.site.engines[name].address
        self.proxies[name] = proxy
        self.prepare_engine(name)

    def prepare_engine(self, name: str) -> None:
        """Make an engine end on the deadly part."""
        listed_engine = self.site.engines[name]
        listed_engine.engine.deadly_parts = {DEADLY_PART}

        def end_process() -> None:
            task = asyncio.get_running_loop().create_task(self.end_engine(name, listed_engine))
            self.fault_tasks.add(task)
            task.add_done_callback(self.fault_tasks.discard)

        listed_engine.engine.end_process = end_process

    async def end_engine(self, name: str, listed_engine: ListedEngine) -> None:
        """End the process of an engine, and start it again unless it was replaced meanwhile."""
        if self.site.engines.get(name) is not listed_engine or listed_engine.skips_heartbeats:
            return
        self.engine_ends += 1
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
            is_deadly = kind == "review" and parts.random() < DEADLY_FRACTION
            if is_deadly and time.monotonic() >= self.deadly_from:
                request_id = f"{DEADLY_PART}-{request_id}"
                prefix = prefix.replace(",", f",{DEADLY_PART}:100,")
            began_at = time.monotonic()
            answer = await callers[name, key].send(
                f"/{kind}/x", request_id, prefix=prefix, timeout_s=6.0,
                disconnect_after_s=random.choice([None] * 15 + [0.05]),
            )  # fmt: skip
            self.requests.append(SentRequest(kind, tenant.name, key, began_at, answer))
            if answer.status != 200:
                await asyncio.sleep(0.05)
        for caller in callers.values():
            caller.close()

    # faults

    async def inject_faults(self) -> None:
        """Start faults at random times; each runs as a separate task."""
        until = time.monotonic() + self.plan.fault_s
        late, misleading = Random(self.plan.seed + 2), Random(self.plan.seed + 5)
        for disturbance in (
            disturb_answers(self.site, LATE_ANSWERS, late, until, self.record_fault),
            disturb_answers(self.site, MISLEADING_ANSWERS, misleading, until, self.record_fault),
            self.limit_engines(until),
        ):
            task = asyncio.create_task(disturbance)
            self.fault_tasks.add(task)
            task.add_done_callback(self.fault_tasks.discard)
        source = Random(self.plan.seed + 3)
        self.deadly_from = time.monotonic() + source.uniform(0.1, 0.5) * self.plan.fault_s
        kinds: list[Callable[[], Coroutine[None, None, None]]] = [
            self.fault_link,
            self.fault_link,
            self.fault_store,
            self.fault_engine,
            self.fault_process,
            self.fault_process,
            self.change_weights,
            self.change_config,
            self.replace_engine,
        ]
        while time.monotonic() < until:
            task = asyncio.create_task(self.random.choice(kinds)())
            self.fault_tasks.add(task)
            task.add_done_callback(self.fault_tasks.discard)
            await asyncio.sleep(self.random.expovariate(1 / self.plan.fault_interval_s))
        await asyncio.gather(*self.fault_tasks)
        if self.engine_ends < COUNTED_ENDS:
            # In the recovery phase the part is sent only if it must be known by then.
            self.deadly_from = float("inf")

    def record_fault(self, text: str) -> None:
        self.faults.append((round(time.monotonic() - self.started_at, 2), text))

    async def fault_link(self) -> None:
        name = self.random.choice(sorted(self.proxies))
        proxy = self.proxies[name]
        fault = self.random.choice([f for f in LinkFault if f is not LinkFault.NONE])
        self.record_fault(f"{fault.value}: {name}")
        proxy.fault = fault
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        proxy.fault = LinkFault.NONE
        proxy.reset()

    async def fault_store(self) -> None:
        faults = self.site.store.faults
        match self.random.choice(["busy", "reset", "silent", "lost", "late", "history", "slow"]):
            case "history":
                self.record_fault("store: history discarded")
                self.site.store.discard_history()
            case "slow":
                self.record_fault("store: slow")
                faults.delay_s = 0.5
                await asyncio.sleep(2.0)
                faults.delay_s = 0.0
            case ("lost" | "late") as mode:
                self.record_fault(f"store: answers {mode}")
                faults.lost, faults.late = 0.5, mode == "late"
                await asyncio.sleep(2.0)
                faults.lost = 0.0
            case mode:
                self.record_fault(f"store: {mode}")
                faults.mode = mode
                await asyncio.sleep(self.random.uniform(0.5, 3.0))
                faults.mode = "ok"

    async def fault_engine(self) -> None:
        name = self.random.choice(sorted(self.site.engines))
        fault = self.random.choice(
            ["errors", "sheds", "cuts", "extra", "lost", "mute", "orders_unanswered"]
        )
        self.record_fault(f"{fault}: {name}")
        faults = self.site.engines[name].engine.faults
        setattr(faults, fault, 0.4)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        setattr(faults, fault, 0.0)

    async def limit_engines(self, until: float) -> None:
        """Make engines and services state limits for a while."""
        source = Random(self.plan.seed + 4)
        while time.monotonic() < until:
            await asyncio.sleep(source.expovariate(1 / LIMIT_INTERVAL_S))
            name = source.choice(sorted(self.site.engines))
            engine = self.site.engines[name].engine
            engine.limit = source.choice(["0", "0.5", "2", "5.5", "40", "none"])
            self.record_fault(f"limit of {engine.limit}: {name}")
            await asyncio.sleep(source.uniform(0.5, 3.0))
            engine.limit = None

    async def fault_process(self) -> None:
        name = self.random.choice(sorted(self.site.gateways))
        match self.random.choice(["stop", "kill", "pause", "reload"]):
            case "stop":
                self.record_fault(f"SIGTERM: {name}")
                self.site.signal_gateway(name, signal.SIGTERM)
            case "kill":
                self.record_fault(f"SIGKILL: {name}")
                self.site.signal_gateway(name, signal.SIGKILL)
            case "reload":
                self.record_fault(f"SIGHUP: {name}")
                self.site.signal_gateway(name, signal.SIGHUP)
            case _:
                self.record_fault(f"SIGSTOP: {name}")
                self.site.signal_gateway(name, signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.3, 3.0))
                self.site.signal_gateway(name, signal.SIGCONT)

    async def change_weights(self) -> None:
        self.record_fault(f"weights version {self.site.announce_weights()}")

    async def change_config(self) -> None:
        self.record_fault(f"configuration version {self.site.write_config()}")

    async def replace_engine(self) -> None:
        models = [name for name in self.site.engines if name.startswith("llm")]
        name = self.random.choice(sorted(models))
        self.record_fault(f"crash: {name}")
        self.proxies.pop(name).close()
        self.site.crash_engine(name)
        await asyncio.sleep(0.5)
        await self.add_engine(f"llm-{next(self.new_engine_numbers)}", is_model=True)

    async def check_recovery(self) -> tuple[list[str], float]:
        """Check that the site has recovered after the last fault.

        :returns: what is still wrong, and the fraction of the requests that were served.
        """
        await asyncio.sleep(SETTLE_TIME_S)
        phase_start = time.monotonic()
        recent: list[SentRequest] = []
        while (
            len(recent) < RECOVERY_REQUESTS + RECOVERY_REQUESTS // 5
            and time.monotonic() < phase_start + RECOVERY_TIMEOUT_S
        ):
            await asyncio.sleep(RECOVERY_POLL_INTERVAL_S)
            recent = [a for a in self.requests if a.began_at >= phase_start]
        deadly = [a for a in recent if a.answer.request_id.startswith(DEADLY_PART)]
        recent = [a for a in recent if a not in deadly]
        served = sum(a.answer.status == 200 and a.answer.is_complete for a in recent)
        disconnected = sum(not a.answer.is_complete and a.answer.status in (0, 200) for a in recent)
        served_fraction = (served + disconnected) / max(1, len(recent))
        broken = []
        if served_fraction < MIN_SERVED_FRACTION or len(recent) < RECOVERY_REQUESTS:
            broken.append(f"after recovery: {served} of {len(recent)} served")
        late = {a.answer.request_id for a in deadly}
        late_sends = sum(run.request_id in late for run in self.site.runs)
        if late_sends > MAX_LATE_SENDS:
            broken.append(f"{late_sends} requests with the deadly part reached engines")
        models = [p.engine for p in self.site.engines.values() if p.engine.model]
        outdated = [e.endpoint_id for e in models if e.version != self.site.weights]
        if outdated:
            broken.append(f"engines with outdated weights after recovery: {', '.join(outdated)}")
        return broken, served_fraction


async def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run one soak test; the gateways' logs and settings are written to ``folder``."""
    tenants = [SiteTenant("office", ["key-a"]), SiteTenant("closed", ["key-b"], isolated=True)]
    async with HostedSite(folder, Random(plan.seed + 1), tenants=tenants) as site:
        soak = _Soak(plan, site)
        soak.watchers.append(asyncio.create_task(soak.watch_stalls()))
        await soak.start()
        load = [asyncio.create_task(soak.send_requests(n)) for n in range(plan.callers)]
        await soak.inject_faults()
        broken, served_fraction = await soak.check_recovery()
        soak.stop.set()
        await asyncio.gather(*load)
        for watcher in soak.watchers:
            watcher.cancel()
        for proxy in soak.proxies.values():
            proxy.close()
        broken += check_guarantees(site, soak.requests, MIN_HOLDER_INTERVAL_S)
        statuses = Counter(entry.answer.status for entry in soak.requests)
        return SoakReport(
            plan.seed, broken, soak.faults, statuses, served_fraction, soak.longest_stall_s
        )
