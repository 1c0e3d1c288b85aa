"""Demand of a soak run beyond the usual: a crowd of one workspace, and callers that read slowly."""

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING

from standins.hosted import LONG_ANSWER, Caller
from standins.soak._checks import SentRequest

if TYPE_CHECKING:
    from standins.soak._soak import Soak

# Requests of the crowd that are in flight at once, the mean interval between two crowds and the
# duration of one, in seconds.
CROWD_SIZE = 16
CROWD_INTERVAL_S = 4.0
CROWD_S = 1.5
# Prompt tokens of requests of the crowd; engines hold 100,000.
CROWD_TOKENS = (2_000, 17_000, 40_000)
# Mean interval between slow callers, and the longest time between their reads, in seconds.
SLOW_INTERVAL_S = 0.7
MAX_READ_PAUSE_S = 0.3
# Paces that engines state: true or not, and texts that are none.
PACES = ("100", "100", "250", "900", "37.5", "0", "-5", "much", "1e400")
PACE_INTERVAL_S = 0.5


class UnusualDemand:
    """Sends the requests of crowds and of slow callers, and changes the paces that engines state.

    :param soak: the run whose site it uses.
    """

    def __init__(self, soak: "Soak"):
        self.soak = soak
        self.seed = soak.plan.seed

    def start(self, until: float) -> None:
        """Start all of it as faults; the last begins before ``until``."""
        for job in (self.send_crowds, self.send_slow_readers, self.change_paces):
            self.soak.start_fault(job(until))

    async def send_crowds(self, until: float) -> None:
        """Let the first workspace send many times its usual, again and again."""
        source = Random(self.seed + 11)
        while True:
            await asyncio.sleep(source.expovariate(1 / CROWD_INTERVAL_S))
            if time.monotonic() >= until:
                return
            self.soak.record_fault("crowd of one workspace")
            ends_at = time.monotonic() + CROWD_S
            await asyncio.gather(
                *(
                    self._send_in_crowd(Random(f"{source.random()}"), ends_at)
                    for _ in range(CROWD_SIZE)
                )
            )

    async def _send_in_crowd(self, source: Random, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            tokens = source.choice(CROWD_TOKENS)
            request_id = f"query-{next(self.soak.request_numbers)}"
            prefix = f"c{source.randrange(4)}:{tokens - 1_000},o{request_id}:1000"
            await self._send("query", source, request_id, prefix=prefix, tokens=f"{tokens},20")
            await asyncio.sleep(0.02)

    async def send_slow_readers(self, until: float) -> None:
        """Send requests with long answers that their callers read slowly."""
        source = Random(self.seed + 12)
        tasks = set()
        while time.monotonic() < until:
            await asyncio.sleep(source.expovariate(1 / SLOW_INTERVAL_S))
            request_id = f"{LONG_ANSWER}{next(self.soak.request_numbers)}"
            pause_s = source.uniform(0.0, MAX_READ_PAUSE_S)
            self.soak.record_fault(f"slow caller: {request_id}")
            sending = self._send(
                "review", source, request_id, prefix=f"s1:2000,o{request_id}:200",
                tokens="2200,48", read_pause_s=pause_s,
            )  # fmt: skip
            tasks.add(asyncio.create_task(sending))
        await asyncio.gather(*tasks)

    async def _send(self, kind: str, source: Random, request_id: str, **fields) -> None:
        site = self.soak.site
        tenant = site.tenants[0]
        gateway = site.gateways[source.choice(sorted(site.gateways))]
        caller = Caller(f"{gateway.ip}:{site.ports['front']}", tenant.keys[0])
        began_at = time.monotonic()
        answer = await caller.send(f"/{kind}/x", request_id, timeout_s=6.0, **fields)
        caller.close()
        entry = SentRequest(kind, tenant.name, tenant.keys[0], began_at, answer)
        self.soak.requests.append(entry)

    async def change_paces(self, until: float) -> None:
        """Let engines state other paces, whether or not their work takes as long."""
        source = Random(self.seed + 13)
        while time.monotonic() < until:
            await asyncio.sleep(source.expovariate(1 / PACE_INTERVAL_S))
            name = source.choice(sorted(self.soak.site.engines))
            engine = self.soak.site.engines[name].engine
            engine.pace = source.choice(PACES)
            self.soak.record_fault(f"pace of {engine.pace}: {name}")
        for listed_engine in self.soak.site.engines.values():
            listed_engine.engine.pace = "100"
