"""A small deployment on loopback: store and engines in this process, gateways as subprocesses."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from standins.fleet import free_ports
from standins.hosted._answers import stamp_of
from standins.hosted._engine import HostedEngine
from standins.hosted._records import Run
from standins.hosted._store import HostedStore
from teaselpath.fleet import CallerLimits
from teaselpath.http1 import ServerConnection

HEARTBEAT_INTERVAL_S = 0.4
START_TIMEOUT_S = 20.0
MODEL = "model-a"
# Memory of each model engine, in tokens.
ENGINE_TOKENS = 100_000
ROOT = Path(__file__).resolve().parents[2]
expected_signature = stamp_of


@dataclass(slots=True)
class SiteTenant:
    """A tenant in the site's configuration."""

    name: str
    keys: list[str]
    rate: float = 0
    burst: float = 0
    isolated: bool = False


@dataclass(slots=True)
class SiteRoute:
    """A route in the site's configuration."""

    name: str
    prefix: str
    kind: str
    service: str
    resumable: bool = False
    attempts: int = 2
    timeout_ms: int = 5000
    has_prompt: bool = False


DEFAULT_ROUTES = [
    SiteRoute("review", "/review/", "stream", "llm", True, 2, 8000, True),
    SiteRoute("query", "/query/", "stream", "llm", False, 1, 5000, True),
    SiteRoute("pay", "/pay/", "unsafe", "desk", False, 1),
    SiteRoute("lookup", "/lookup/", "safe", "desk"),
]


@dataclass(slots=True)
class GatewayProcess:
    """A gateway that runs as a subprocess."""

    name: str
    ip: str
    settings: Path
    process: asyncio.subprocess.Process
    log: Path


@dataclass(slots=True)
class ListedEngine:
    """An engine that the store lists, with its listener and connections."""

    engine: HostedEngine
    address: str
    zone: str
    server: asyncio.Server
    listed_address: str
    connections: set[ServerConnection]
    skips_heartbeats: bool = False


@dataclass(slots=True)
class HostedSite:
    """Runs the test doubles in this process and the gateways as subprocesses.

    :param folder: directory for settings files and logs.
    :param zones: region of each zone.
    :param bounds: bounds in the settings of the gateways that differ from the defaults.
    :param contracts: what operators and callers of the site ask for beyond the common parts.
    """

    folder: Path
    random: Random
    zones: dict[str, str] = field(default_factory=lambda: {"a": "north", "b": "south"})
    routes: list[SiteRoute] = field(default_factory=lambda: list(DEFAULT_ROUTES))
    bounds: dict[str, float] = field(default_factory=dict)
    contracts: list[str] = field(default_factory=list)
    tenants: list[SiteTenant] = field(default_factory=lambda: [SiteTenant("office", ["key-1"])])
    runs: list[Run] = field(default_factory=list)
    engines: dict[str, ListedEngine] = field(default_factory=dict)
    all_engines: list[HostedEngine] = field(default_factory=list)
    gateways: dict[str, GatewayProcess] = field(default_factory=dict)
    config_version: int = 0
    weights: int = 1
    idle_timeout_ms: int = 10_000
    store: HostedStore = field(init=False)
    heartbeat_task: asyncio.Task | None = None
    ports: dict[str, int] = field(default_factory=dict)

    async def __aenter__(self) -> "HostedSite":
        """Start the store and the heartbeats."""
        self.store = HostedStore(self.random)
        # All gateways use the same port numbers, each on its own loopback address.
        names = ("front", "ready", "peer")
        self.ports = dict(zip(names, free_ports(len(names), "0.0.0.0"), strict=True))
        self.heartbeat_task = asyncio.get_running_loop().create_task(self._send_heartbeats())
        return self

    async def __aexit__(self, *exc: object) -> None:
        """Stop the heartbeats, the gateways and the engines."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        for gateway in self.gateways.values():
            if gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()
        for listed_engine in self.engines.values():
            listed_engine.server.close()

    async def _listen(
        self,
        handler,
        address: tuple[str, int] = ("127.0.0.1", 0),
        connections: set[ServerConnection] | None = None,
    ):
        connections = set() if connections is None else connections
        limits = CallerLimits(idle_timeout_s=30.0)
        server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(handler, lambda: limits, connections), *address
        )
        host, port = server.sockets[0].getsockname()
        return server, f"{host}:{port}"

    # engines

    async def add_engine(
        self,
        name: str,
        service: str,
        zone: str = "a",
        *,
        is_model: bool = False,
        listed_address: str = "",
        software: object = "v1",
    ) -> HostedEngine:
        """Start an engine and register it in the store.

        :param software: version of its software; None for an entry without one.
        :param listed_address: address to register, such as that of a proxy; by default the
            engine's own.
        """
        engine = HostedEngine(
            name, service, self.runs, self.random,
            model=MODEL if is_model else None, version=self.weights,
        )  # fmt: skip
        engine.software = software
        connections: set[ServerConnection] = set()
        server, address = await self._listen(engine.handle, connections=connections)
        self.all_engines.append(engine)
        self.engines[name] = ListedEngine(
            engine, address, zone, server, listed_address or address, connections
        )
        self._register(self.engines[name])
        return engine

    def end_engine_process(self, name: str) -> None:
        """Close everything that the process of an engine has open; its record stays for a while."""
        listed_engine = self.engines[name]
        listed_engine.skips_heartbeats = True
        listed_engine.server.close()
        for connection in list(listed_engine.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def restart_engine(self, name: str) -> HostedEngine:
        """Start the process of an engine again, at its address, as a new incarnation."""
        before = self.engines.pop(name)
        engine = HostedEngine(
            name, before.engine.service, self.runs, self.random,
            model=before.engine.model, version=self.weights,
        )  # fmt: skip
        engine.software = before.engine.software
        engine.started_at_ms = max(engine.started_at_ms, before.engine.started_at_ms + 1)
        host, _, port = before.address.rpartition(":")
        connections: set[ServerConnection] = set()
        server, address = await self._listen(engine.handle, (host, int(port)), connections)
        self.all_engines.append(engine)
        self.engines[name] = ListedEngine(
            engine, address, before.zone, server, before.listed_address, connections
        )
        self._register(self.engines[name])
        return engine

    def _register(self, listed_engine: ListedEngine) -> None:
        entry = listed_engine.engine.entry(listed_engine.listed_address, listed_engine.zone)
        self.store.put("keyed.servers", listed_engine.engine.endpoint_id, entry)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for listed_engine in list(self.engines.values()):
                if not listed_engine.skips_heartbeats and self.store.faults.mode == "ok":
                    self._register(listed_engine)

    def crash_engine(self, name: str) -> None:
        """Stop an engine abruptly, and remove its record as after missed heartbeats."""
        listed_engine = self.engines.pop(name)
        listed_engine.server.close()
        self.store.put("keyed.servers", name, None)

    def expire_entries(self) -> None:
        """Remove the entries of engines that no longer exist, as after missed heartbeats."""
        for name in self.store.newest_keys("keyed.servers") - self.engines.keys():
            self.store.put("keyed.servers", name, None)

    def drain_engine(self, name: str) -> None:
        """Register an engine as draining."""
        listed_engine = self.engines[name]
        listed_engine.engine.state = "draining"
        self._register(listed_engine)

    # operators

    def write_config(self) -> int:
        """Write the next version of the configuration to the store and return its number."""
        self.config_version += 1
        self.repeat_config()
        return self.config_version

    def repeat_config(self) -> None:
        """Write the newest version again, as operators do once the store returns from a copy."""
        services = sorted({route.service for route in self.routes})
        config = {
            "version": self.config_version,
            "routes": [
                {
                    "name": r.name,
                    "host": "site.example",
                    "pathPrefix": r.prefix,
                    "kind": r.kind,
                    "timeoutMs": r.timeout_ms,
                    "targetLatencyMs": 1000,
                    "priority": 0,
                    "service": r.service,
                    "maxAttempts": r.attempts,
                    "sessionAffinity": r.has_prompt,
                    "resumable": r.resumable,
                    "gapAimMs": 400,
                }
                for r in self.routes
            ],
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 100,
                    **({"engine": _ENGINE} if name == "llm" else {}),
                }
                for name in services
            ],
            "limits": {"idleTimeoutMs": self.idle_timeout_ms},
            "tenants": [
                {
                    "name": t.name,
                    "apiKeys": t.keys,
                    "plainTokens": 200,
                    "isolated": t.isolated,
                    "ratePerS": t.rate,
                    "burst": t.burst,
                }
                for t in self.tenants
            ],
        }
        self.store.put("keyed.op", "config", config)

    def announce_weights(self) -> int:
        """Announce the next weights version in the store and return it."""
        self.weights += 1
        self.repeat_weights()
        return self.weights

    def repeat_weights(self) -> None:
        """Write the newest weights version again."""
        value = {"model": MODEL, "version": self.weights}
        self.store.put("keyed.op", f"version/{MODEL}", value)

    # gateways

    async def start_gateway(
        self,
        name: str,
        ip: str,
        zone: str = "a",
        store_address: str = "",
        seeds: Sequence[str] = (),
    ) -> GatewayProcess:
        """Start a gateway process without waiting until it is ready.

        :param seeds: addresses of hosts that may run other gateways, IP:PORT.
        :param store_address: address at which the gateway reaches the store, such as that of a
            proxy; by default a listener of its own.
        """
        store_address = store_address or await self.open_store_address(name)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self._settings(name, ip, zone, store_address, seeds)))
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "teaselpath.daemon.gateway",
                stdout=output, stderr=output, cwd=ROOT,
                env={**os.environ, "TEASELPATH_SETTINGS": str(path)},
            )  # fmt: skip
        self.gateways[name] = GatewayProcess(name, ip, path, process, log)
        return self.gateways[name]

    def _settings(
        self, name: str, ip: str, zone: str, store_address: str, seeds: Sequence[str]
    ) -> dict[str, object]:
        return {
            "nodeName": name,
            "ip": ip,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listenAddrs": {
                "front": f"{ip}:{self.ports['front']}",
                "ready": f"{ip}:{self.ports['ready']}",
            },
            "internalPorts": [self.ports["peer"], self.ports["peer"]],
            "seeds": list(seeds),
            "limits": {"memoryMb": 300, "maxFds": 1024},
            "contracts": self.contracts,
            "bounds": {"graceS": 8, "leaseMs": 600, **self.bounds},
            "platform": {"address": store_address},
        }

    async def start_gateways(self, count: int) -> None:
        """Start gateways gw-0 and so on, in zones a and b by turns; wait until all are ready."""
        started = [
            await self.start_gateway(f"gw-{n}", f"127.0.0.{n + 2}", "ab"[n % 2])
            for n in range(count)
        ]
        for gateway in started:
            await self.wait_until_ready(gateway)

    async def open_store_address(self, gateway: str) -> str:
        """Open a listener of the store for one gateway, so that its requests can be told apart.

        :returns: IP:PORT of the listener.
        """
        _, address = await self._listen(partial(self.store.handle, gateway=gateway))
        return address

    async def wait_until_ready(self, gateway: GatewayProcess) -> None:
        """Wait until the readiness probe of a gateway succeeds."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready(gateway):
                await asyncio.sleep(0.05)

    async def is_ready(self, gateway: GatewayProcess) -> bool:
        """Return whether the readiness probe of a gateway succeeds."""
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, self.ports["ready"])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 2.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def signal_gateway(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a gateway process that is still running."""
        process = self.gateways[name].process
        if process.returncode is None:
            process.send_signal(number)


_ENGINE = {
    "slots": 8,
    "kvCapacityTokens": ENGINE_TOKENS,
    "kvTokenBytes": 18_432,
    "linkMbps": 180_000,
    "models": [{"name": MODEL}],
}
