"""Faults of a soak run: links, store, engines, gateways, and changes by the operator."""

import asyncio
import signal
import time
from collections import deque
from collections.abc import Callable, Coroutine
from random import Random
from typing import TYPE_CHECKING

from standins.hosted import HEARTBEAT_INTERVAL_S, StoreCopy
from standins.soak._answer_faults import LATE_ANSWERS, MISLEADING_ANSWERS, disturb_answers
from standins.soak._configs import change_routes
from standins.soak._crowd import UnusualDemand
from standins.soak._proxy import LinkFault

if TYPE_CHECKING:
    from standins.soak._soak import Soak

# Mean interval between limits that engines state, in seconds.
LIMIT_INTERVAL_S = 4.0
# Mean interval between changes of routes, in seconds.
CONFIG_INTERVAL_S = 1.0
# Mean interval between returns of the store from a copy, and the longest time for which it is away
# before, in seconds.
RESTORE_INTERVAL_S = 4.0
MAX_AWAY_S = 2.0
# Interval at which copies are made, in seconds, and their number: the oldest is 10 s old.
COPY_INTERVAL_S = 0.25
MAX_COPIES = 40
# Longest time until the operator has written its records again, in seconds, and the fraction of the
# returns after which it also announces new weights.
MAX_REPEAT_DELAY_S = 1.5
NEW_WEIGHTS_FRACTION = 0.5
# Time after which the platform removes entries of engines that are gone, in seconds.
ENTRY_EXPIRY_S = 3 * HEARTBEAT_INTERVAL_S
# Ends of engines after which gateways refuse the requests that end them.
COUNTED_ENDS = 5


class FaultInjector:
    """Starts faults at random times; each runs as a separate task.

    :param soak: the run whose site it disturbs.
    """

    def __init__(self, soak: "Soak"):
        self.soak = soak
        self.plan = soak.plan
        self.site = soak.site
        self.random = soak.random
        self.proxies = soak.proxies

    async def inject_faults(self) -> None:
        """Start faults at random times; each runs as a separate task."""
        until = time.monotonic() + self.plan.fault_s
        record = self.soak.record_fault
        late, misleading = Random(self.plan.seed + 2), Random(self.plan.seed + 7)
        self.soak.start_fault(disturb_answers(self.site, LATE_ANSWERS, late, until, record))
        self.soak.start_fault(
            disturb_answers(self.site, MISLEADING_ANSWERS, misleading, until, record)
        )
        self.soak.start_fault(self.limit_engines(until))
        self.soak.start_fault(self.change_routes(until))
        self.soak.start_fault(self.restore_store(until))
        UnusualDemand(self.soak).start(until)
        source = Random(self.plan.seed + 3)
        for service in self.soak.deadly_from:
            delay_s = source.uniform(0.1, 0.5) * self.plan.fault_s
            self.soak.deadly_from[service] = time.monotonic() + delay_s
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
            self.soak.start_fault(self.random.choice(kinds)())
            await asyncio.sleep(self.random.expovariate(1 / self.plan.fault_interval_s))
        await asyncio.gather(*self.soak.fault_tasks)
        # In the recovery phase all gateways must have this version.
        self.change_route(source)
        for service in self.soak.deadly_from:
            # In the recovery phase such requests are sent only if they must be known by then.
            if self.soak.engine_ends[service] < COUNTED_ENDS:
                self.soak.deadly_from[service] = float("inf")

    async def fault_link(self) -> None:
        name = self.random.choice(sorted(self.proxies))
        proxy = self.proxies[name]
        fault = self.random.choice([f for f in LinkFault if f is not LinkFault.NONE])
        self.soak.record_fault(f"{fault.value}: {name}")
        proxy.fault = fault
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        proxy.fault = LinkFault.NONE
        proxy.reset()

    async def fault_store(self) -> None:
        faults = self.site.store.faults
        match self.random.choice(["busy", "reset", "silent", "lost", "late", "history", "slow"]):
            case "history":
                self.soak.record_fault("store: history discarded")
                self.site.store.discard_history()
            case "slow":
                self.soak.record_fault("store: slow")
                faults.delay_s = 0.5
                await asyncio.sleep(2.0)
                faults.delay_s = 0.0
            case ("lost" | "late") as mode:
                self.soak.record_fault(f"store: answers {mode}")
                faults.lost, faults.late = 0.5, mode == "late"
                await asyncio.sleep(2.0)
                faults.lost = 0.0
            case mode:
                self.soak.record_fault(f"store: {mode}")
                faults.mode = mode
                await asyncio.sleep(self.random.uniform(0.5, 3.0))
                faults.mode = "ok"

    async def fault_engine(self) -> None:
        name = self.random.choice(sorted(self.site.engines))
        fault = self.random.choice(
            ["errors", "sheds", "cuts", "extra", "lost", "mute", "orders_unanswered"]
        )
        self.soak.record_fault(f"{fault}: {name}")
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
            self.soak.record_fault(f"limit of {engine.limit}: {name}")
            await asyncio.sleep(source.uniform(0.5, 3.0))
            engine.limit = None

    async def fault_process(self) -> None:
        name = self.random.choice(sorted(self.site.gateways))
        match self.random.choice(["stop", "kill", "pause", "reload"]):
            case "stop":
                self.soak.record_fault(f"SIGTERM: {name}")
                self.site.signal_gateway(name, signal.SIGTERM)
            case "kill":
                self.soak.record_fault(f"SIGKILL: {name}")
                self.site.signal_gateway(name, signal.SIGKILL)
            case "reload":
                self.soak.record_fault(f"SIGHUP: {name}")
                self.site.signal_gateway(name, signal.SIGHUP)
            case _:
                self.soak.record_fault(f"SIGSTOP: {name}")
                self.site.signal_gateway(name, signal.SIGSTOP)
                await asyncio.sleep(self.random.uniform(0.3, 3.0))
                self.site.signal_gateway(name, signal.SIGCONT)

    async def change_weights(self) -> None:
        self.soak.record_fault(f"weights version {self.site.announce_weights()}")

    async def change_config(self) -> None:
        self.soak.record_fault(f"configuration version {self.soak.write_config()}")

    async def change_routes(self, until: float) -> None:
        """Add and remove routes, and change timeouts."""
        source = Random(self.plan.seed + 5)
        while time.monotonic() < until:
            await asyncio.sleep(source.expovariate(1 / CONFIG_INTERVAL_S))
            self.change_route(source)

    def change_route(self, source: Random) -> None:
        change = change_routes(self.site, source)
        version = self.soak.write_config()
        self.soak.record_fault(f"configuration version {version}: {change}")

    async def restore_store(self, until: float) -> None:
        """Let the store be away and return from a copy some seconds old, several times."""
        source = Random(self.plan.seed + 6)
        store = self.site.store
        copies: deque[tuple[float, StoreCopy]] = deque(maxlen=MAX_COPIES)
        restore_at = time.monotonic() + source.expovariate(1 / RESTORE_INTERVAL_S)
        while time.monotonic() < until:
            copies.append((time.monotonic(), store.copy_topics()))
            await asyncio.sleep(COPY_INTERVAL_S)
            if time.monotonic() < restore_at:
                continue
            age_s = source.uniform(0.0, MAX_COPIES * COPY_INTERVAL_S)
            store.faults.mode = source.choice(["reset", "silent", "busy"])
            await asyncio.sleep(source.uniform(0.0, MAX_AWAY_S))
            made_at, copied = min(copies, key=lambda c: abs(time.monotonic() - age_s - c[0]))
            store.restore(copied)
            store.faults.mode = "ok"
            age_s = time.monotonic() - made_at
            self.soak.record_fault(f"store: era {store.era}, from a copy {age_s:.1f} s old")
            self.soak.start_fault(self.repeat_records(source))
            restore_at = time.monotonic() + source.expovariate(1 / RESTORE_INTERVAL_S)

    async def repeat_records(self, source: Random) -> None:
        """Write what operators and the platform write again after the store has returned."""
        has_new_weights = source.random() < NEW_WEIGHTS_FRACTION
        await asyncio.sleep(source.uniform(0.0, MAX_REPEAT_DELAY_S))
        self.site.repeat_config()
        self.site.repeat_weights()
        self.soak.record_fault("operator's records written again")
        if has_new_weights:
            await self.change_weights()
        await asyncio.sleep(ENTRY_EXPIRY_S)
        self.site.expire_entries()

    async def replace_engine(self) -> None:
        models = [name for name in self.site.engines if name.startswith("llm")]
        name = self.random.choice(sorted(models))
        self.soak.record_fault(f"crash: {name}")
        self.proxies.pop(name).close()
        self.site.crash_engine(name)
        await asyncio.sleep(0.5)
        await self.soak.add_engine(f"llm-{next(self.soak.new_engine_numbers)}", is_model=True)
