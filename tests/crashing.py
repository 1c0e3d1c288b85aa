"""Hosted site whose engines end on some requests, and start again a little later."""

import asyncio
import itertools
from contextlib import asynccontextmanager
from random import Random

from standins.hosted import Answer, Caller, HostedSite, shared_parts_of

ENGINES = 6
PLAIN_ENGINES = 3
GATEWAYS = 3
RESTART_S = 0.8
# Engines that may end, and requests that end them which may then reach engines.
MAX_ENDS = 5
MAX_LATE_SENDS = 3


class CrashingSite:
    """A hosted site whose engines end on parts of prompts or on bodies, and start again.

    :ivar deadly: ids of the parts.
    :ivar deadly_bodies: the bodies.
    """

    def __init__(self, site: HostedSite, deadly: set[str], deadly_bodies: set[bytes]):
        self.site = site
        self.deadly = deadly
        self.deadly_bodies = deadly_bodies
        self.ends: list[str] = []
        self.tasks: set[asyncio.Task] = set()
        self.numbers = itertools.count()

    def prepare(self, name: str) -> None:
        """Make an engine end on the deadly parts and bodies."""
        engine = self.site.engines[name].engine
        engine.deadly_parts = self.deadly
        engine.deadly_bodies = self.deadly_bodies

        def end_process() -> None:
            task = asyncio.get_running_loop().create_task(self.restart(name))
            self.tasks.add(task)

        engine.end_process = end_process

    async def restart(self, name: str) -> None:
        """End an engine, and start it again."""
        self.ends.append(name)
        self.site.end_engine_process(name)
        await asyncio.sleep(RESTART_S)
        await self.site.restart_engine(name)
        self.prepare(name)

    def caller(self, gateway: int, key: str = "key-1") -> Caller:
        """Return a caller of a gateway."""
        ip = self.site.gateways[f"gw-{gateway}"].ip
        return Caller(f"{ip}:{self.site.ports['front']}", key)

    async def send(
        self, gateway: int, *parts: str, timeout_s: float = 8.0, own_part: str = "",
        body: bytes = b"{}",
    ) -> Answer:  # fmt: skip
        """Send a request with shared parts and one of its own."""
        n = next(self.numbers)
        own_part = own_part or f"ff{n:04x}"
        prefix = ",".join([f"{part}:100" for part in parts] + [f"{own_part}:50"])
        return await self.caller(gateway).send(
            "/review/x", f"r{n}", prefix=prefix, tokens="300,10", timeout_s=timeout_s, body=body
        )

    async def send_plain(
        self, gateway: int, path: str, body: bytes, *, key: str = "key-1"
    ) -> Answer:
        """Send a request to the plain service."""
        n = next(self.numbers)
        return await self.caller(gateway, key).send(path, f"r{n}", timeout_s=5.0, body=body)

    def deadly_sends(self) -> int:
        """Return the number of requests with a deadly part or body that reached an engine."""
        return sum(
            not self.deadly.isdisjoint(shared_parts_of(run.headers))
            or run.body in self.deadly_bodies
            for run in self.site.runs
        )


@asynccontextmanager
async def open_crashing_site(folder, deadly=(), deadly_bodies=(), gateways=GATEWAYS):
    """Run a site with model engines and engines of a plain service."""
    async with HostedSite(folder, Random(11)) as site:
        crashing = CrashingSite(site, set(deadly), set(deadly_bodies))
        for number in range(ENGINES):
            await site.add_engine(f"llm-{number}", "llm", "ab"[number % 2], is_model=True)
            crashing.prepare(f"llm-{number}")
        for number in range(PLAIN_ENGINES):
            await site.add_engine(f"desk-{number}", "desk", "ab"[number % 2])
            crashing.prepare(f"desk-{number}")
        site.write_config()
        await site.start_gateways(gateways)
        yield crashing


async def restart_gateways(site: HostedSite) -> None:
    """Kill all gateways, and start them again."""
    for gateway in site.gateways.values():
        gateway.process.kill()
        await gateway.process.wait()
    await site.start_gateways(GATEWAYS)
