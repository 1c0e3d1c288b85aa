"""Watches the nodes of the fault run: versions in force, readiness, starts and stops."""

import asyncio
import time

import aiohttp

from benchmarks.fault_cluster import Cluster
from teaselpath.history import (
    ConfigInForce,
    EndpointLeaving,
    Event,
    ProcessReady,
    ProcessStopped,
    StopStarted,
)

POLL_S = 0.7


class Watcher:
    """Polls the status of all nodes and writes history events.

    :param events: list that gets the events.
    """

    def __init__(self, cluster: Cluster, events: list[Event]) -> None:
        self.cluster = cluster
        self.events = events
        self.incarnations: dict[str, int] = {}
        self.ready: dict[str, int] = {}
        self.versions: dict[str, int] = {}
        self.stops: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        timeout = aiohttp.ClientTimeout(total=0.5)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._poll(session)
                await asyncio.sleep(POLL_S)

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        stops = dict(self.stops)
        answers = await self.cluster.ask(list(self.cluster.fleet.nodes), "status", {})
        now = time.monotonic()
        for name, status in answers.items():
            if self.stops.get(name) != stops.get(name):
                # The answer may come from the process that ended meanwhile.
                continue
            self.incarnations[name] = status["incarnation"]
            self.versions[name] = status["version"]
            if status["version"]:
                self.events.append(ConfigInForce(at=now, node=name, version=status["version"]))
            if self.ready.get(name) != status["incarnation"]:
                await self._check_ready(session, name, status)

    async def _check_ready(self, session: aiohttp.ClientSession, name: str, status: dict) -> None:
        node = self.cluster.fleet.nodes[name]
        if node.role == "entry":
            try:
                async with session.get(node.http_url + "/readyz") as answer:
                    if answer.status != 200:
                        return
            except (aiohttp.ClientError, OSError, TimeoutError):
                return
        elif not status["version"]:
            return
        self.ready[name] = status["incarnation"]
        self.events.append(ProcessReady(at=time.monotonic(), node=name, role=node.role))

    def is_ready(self, name: str) -> bool:
        """Return whether the present process of a node was seen ready."""
        return name in self.ready and self.ready[name] == self.incarnations.get(name)

    async def wait_ready(self, name: str, timeout_s: float) -> bool:
        """Wait until a node that was started is ready; returns whether it was in time."""
        deadline = time.monotonic() + timeout_s
        while not self.is_ready(name):
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.1)
        return True

    def stop_started(self, name: str) -> None:
        """Write that a planned stop begins."""
        now = time.monotonic()
        self.events.append(StopStarted(at=now, node=name))
        if self.cluster.fleet.nodes[name].role == "agent":
            self.events.append(EndpointLeaving(at=now, node=name))

    def stopped(self, name: str, is_planned: bool) -> None:
        """Write that a process ended."""
        self.stops[name] = self.stops.get(name, 0) + 1
        self.ready.pop(name, None)
        self.incarnations.pop(name, None)
        self.events.append(ProcessStopped(at=time.monotonic(), node=name, is_planned=is_planned))
