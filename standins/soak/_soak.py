"""One soak run: a site, callers, faults in series and overlapping, a calm end."""

import asyncio
import itertools
import signal
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from standins.hosted import Caller, HostedSite, SiteTenant
from standins.soak._checks import Asked, check_promises
from standins.soak._proxy import FaultyProxy, LinkFault

TURN_S = 0.6
KINDS = ("review", "query", "pay", "lookup")
# Time after the last fault in which the site settles before the calm end is judged, in seconds.
SETTLE_S = 6.0
# Interval at which the soak looks whether it is late itself, in seconds.
STALL_CHECK_S = 0.05
# Requests that the calm end needs, and the longest time to wait for them, in seconds.
CALM_REQUESTS = 50
CALM_LIMIT_S = 30.0
CALM_S = 2.0
# Share of the requests of the calm end that must be served.
CALM_SERVED = 0.98
RESTART_DELAY_S = 0.3


@dataclass(slots=True)
class SoakPlan:
    """Size and length of a run.

    :param fault_s: time with faults.
    :param gap_s: mean time between two faults; they last longer, so they overlap.
    """

    seed: int
    fault_s: float = 20.0
    gap_s: float = 0.8
    gateways: int = 3
    engines: int = 4
    callers: int = 8


@dataclass(slots=True)
class SoakReport:
    """What a run showed.

    :param broken: promises that were broken.
    :param faults: faults as they began: time and description.
    :param longest_stall_s: longest time for which the soak's own process did nothing; callers and
        stand-ins stood still, too.
    """

    seed: int
    broken: list[str]
    faults: list[tuple[float, str]]
    statuses: Counter[int] = field(default_factory=Counter)
    calm_served: float = 0.0
    longest_stall_s: float = 0.0


class _Soak:
    def __init__(self, plan: SoakPlan, site: HostedSite):
        self.plan = plan
        self.site = site
        self.random = Random(plan.seed)
        self.proxies: dict[str, FaultyProxy] = {}
        self.asked: list[Asked] = []
        self.faults: list[tuple[float, str]] = []
        self.numbers = itertools.count()
        self.stop = asyncio.Event()
        self.started_at = time.monotonic()
        self.running: set[asyncio.Task] = set()
        self.watchers: list[asyncio.Task] = []
        self.names = itertools.count(100)
        self.longest_stall_s = 0.0

    async def watch_stalls(self) -> None:
        """Measure how late this process runs."""
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(STALL_CHECK_S)
            late_s = time.monotonic() - began_at - STALL_CHECK_S
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
            proxy = await FaultyProxy(await site.open_store_door(name)).open()
            self.proxies[f"store of {name}"] = proxy
            await site.start_gateway(name, f"127.0.0.{number + 2}", "ab"[number % 2], proxy.address)
        for gateway in site.gateways.values():
            await site.until_ready(gateway)
            self.watchers.append(asyncio.create_task(self._keep_alive(gateway.name)))

    async def add_engine(self, name: str, *, is_model: bool) -> None:
        service, zone = ("llm" if is_model else "desk"), self.random.choice("ab")
        proxy = FaultyProxy("")
        await proxy.open()
        await self.site.add_engine(name, service, zone, is_model=is_model, listed=proxy.address)
        proxy.target = self.site.engines[name].address
        self.proxies[name] = proxy

    async def _keep_alive(self, name: str) -> None:
        """Start a gateway again when it has ended, as the platform does."""
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

    async def press(self, number: int) -> None:
        """Send requests one after the other over kept connections."""
        random = Random(f"{self.plan.seed}-{number}")
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
            kind = random.choice(KINDS)
            request_id = f"{kind}-{next(self.numbers)}"
            prefix = ""
            if kind in ("review", "query"):
                prefix = f"s{random.randrange(6)}:2000,o{request_id}:200"
            began_at = time.monotonic()
            answer = await callers[name, key].ask(
                f"/{kind}/x", request_id, prefix=prefix, timeout_s=6.0,
                leave_after_s=random.choice([None] * 15 + [0.05]),
            )  # fmt: skip
            self.asked.append(Asked(kind, tenant.name, key, began_at, answer))
            if answer.status != 200:
                await asyncio.sleep(0.05)
        for caller in callers.values():
            caller.close()

    # faults

    async def inject(self) -> None:
        """Begin faults at random times; each runs as a task of its own."""
        until = time.monotonic() + self.plan.fault_s
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
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(self.random.expovariate(1 / self.plan.gap_s))
        await asyncio.gather(*self.running)

    def note(self, text: str) -> None:
        self.faults.append((round(time.monotonic() - self.started_at, 2), text))

    async def fault_link(self) -> None:
        name = self.random.choice(sorted(self.proxies))
        proxy = self.proxies[name]
        fault = self.random.choice([f for f in LinkFault if f is not LinkFault.NONE])
        self.note(f"{fault.value}: {name}")
        proxy.fault = fault
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        proxy.fault = LinkFault.NONE
        proxy.reset()

    async def fault_store(self) -> None:
        faults = self.site.store.faults
        match self.random.choice(["busy", "reset", "silent", "lost", "late", "history", "slow"]):
            case "history":
                self.note("store forgets its history")
                self.site.store.forget_history()
            case "slow":
                self.note("store is slow")
                faults.delay_s = 0.5
                await asyncio.sleep(2.0)
                faults.delay_s = 0.0
            case ("lost" | "late") as mode:
                self.note(f"store: answers {mode}")
                faults.lost, faults.late = 0.5, mode == "late"
                await asyncio.sleep(2.0)
                faults.lost = 0.0
            case mode:
                self.note(f"store: {mode}")
                faults.mode = mode
                await asyncio.sleep(self.random.uniform(0.5, 3.0))
                faults.mode = "ok"

    async def fault_engine(self) -> None:
        name = self.random.choice(sorted(self.site.engines))
        fault = self.random.choice(
            ["errors", "sheds", "cuts", "extra", "lost", "mute", "orders_unanswered"]
        )
        self.note(f"{fault}: {name}")
        faults = self.site.engines[name].engine.faults
        setattr(faults, fault, 0.4)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        setattr(faults, fault, 0.0)

    async def fault_process(self) -> None:
        name = self.random.choice(sorted(self.site.gateways))
        match self.random.choice(["stop", "kill", "pause", "reload"]):
            case "stop":
                self.note(f"SIGTERM: {name}")
                self.site.signal_gateway(name, signal.SIGTERM)
            case "kill":
                self.note(f"SIGKILL: {name}")
                self.site.signal_gateway(name, signal.SIGKILL)
            case "reload":
                self.note(f"SIGHUP: {name}")
                self.site.signal_gateway(name, signal.SIGHUP)
            case _:
                self.note(f"SIGSTOP: {name}")
                self.site.signal_gateway(name, signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.3, 3.0))
                self.site.signal_gateway(name, signal.SIGCONT)

    async def change_weights(self) -> None:
        self.note(f"weights {self.site.name_weights()}")

    async def change_config(self) -> None:
        self.note(f"configuration {self.site.write_config()}")

    async def replace_engine(self) -> None:
        models = [name for name in self.site.engines if name.startswith("llm")]
        name = self.random.choice(sorted(models))
        self.note(f"crash: {name}")
        self.proxies.pop(name).close()
        self.site.crash_engine(name)
        await asyncio.sleep(0.5)
        await self.add_engine(f"llm-{next(self.names)}", is_model=True)

    async def calm_end(self) -> tuple[list[str], float]:
        """Return what a settled site still does wrong, and the share that it serves."""
        await asyncio.sleep(SETTLE_S)
        mark = time.monotonic()
        calm: list[Asked] = []
        while len(calm) < CALM_REQUESTS and time.monotonic() < mark + CALM_LIMIT_S:
            await asyncio.sleep(CALM_S)
            calm = [a for a in self.asked if a.began_at >= mark]
        served = sum(a.answer.status == 200 and a.answer.is_whole for a in calm)
        left = sum(not a.answer.is_whole and a.answer.status in (0, 200) for a in calm)
        share = (served + left) / max(1, len(calm))
        broken = []
        if share < CALM_SERVED or len(calm) < CALM_REQUESTS:
            broken.append(f"calm end: {served} of {len(calm)} served")
        models = [p.engine for p in self.site.engines.values() if p.engine.model]
        behind = [e.endpoint_id for e in models if e.version != self.site.weights]
        if behind:
            broken.append(f"older weights at the end: {', '.join(behind)}")
        return broken, share


async def run_soak(plan: SoakPlan, folder: Path) -> SoakReport:
    """Run one soak; logs and settings of the gateways stay in ``folder``."""
    tenants = [SiteTenant("office", ["key-a"]), SiteTenant("closed", ["key-b"], isolated=True)]
    async with HostedSite(folder, Random(plan.seed + 1), tenants=tenants) as site:
        soak = _Soak(plan, site)
        soak.watchers.append(asyncio.create_task(soak.watch_stalls()))
        await soak.start()
        load = [asyncio.create_task(soak.press(n)) for n in range(plan.callers)]
        await soak.inject()
        broken, share = await soak.calm_end()
        soak.stop.set()
        await asyncio.gather(*load)
        for watcher in soak.watchers:
            watcher.cancel()
        for proxy in soak.proxies.values():
            proxy.close()
        broken += check_promises(site, soak.asked, TURN_S)
        statuses = Counter(entry.answer.status for entry in soak.asked)
        return SoakReport(plan.seed, broken, soak.faults, statuses, share, soak.longest_stall_s)
