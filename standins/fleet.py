"""Runs a small fleet of processes on loopback, for the demo, the tests and the benchmarks.

Each node of the router and each group of stand-ins is a separate process, which can be stopped,
killed and paused individually.
"""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterable, Iterator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from teaselpath.bundle import Bundle, key_digest, operator_public_key, sign_record
from teaselpath.transport import CurveKeys

ADDRESS = "127.0.0.1"
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


@dataclass(slots=True)
class FleetPlan:
    """Composition of a fleet.

    :param engines: region of each model engine.
    :param services: region of each plain service.
    :param entries: region of each entry.
    :param engine_options: fields of the stand-in engine's configuration.
    :param settings: additional fields of each node's settings.
    :param host_list_lag_s: lag of the host list, in seconds.
    """

    engines: Sequence[str] = ("region-a",) * 3
    services: Sequence[str] = ("region-a",)
    entries: Sequence[str] = ("region-a",) * 2
    engine_options: dict[str, Any] = field(default_factory=dict)
    settings: dict[str, Any] = field(default_factory=dict)
    host_list_lag_s: float = 1.0


@dataclass(slots=True)
class Node:
    """One process of the router.

    :param settings: settings file.
    :param http_url: base URL; an agent serves only health, readiness and metrics there.
    :param endpoint_url: base URL of an agent's endpoint, or an empty string.
    """

    name: str
    role: str
    region: str
    settings: Path
    control_port: int
    curve_public: str
    http_url: str = ""
    endpoint: str = ""
    endpoint_url: str = ""
    process: subprocess.Popen | None = None


def free_ports(count: int, address: str = ADDRESS) -> list[int]:
    """Return ports that are currently free."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for item in sockets:
            item.bind((address, 0))
        return [item.getsockname()[1] for item in sockets]


class Fleet:
    """Processes of one small installation.

    :param root: directory for settings, keys and logs.
    :param plan: composition of the fleet.
    """

    def __init__(self, root: Path, plan: FleetPlan):
        self.root = root
        self.plan = plan
        self.nodes: dict[str, Node] = {}
        self.standins: dict[str, subprocess.Popen] = {}
        self.standin_configs: dict[str, list[dict[str, Any]]] = {}
        self.operator_secret = Ed25519PrivateKey.generate().private_bytes_raw()
        self.tool_keys = CurveKeys.generate()
        self.interpreter_options: dict[str, list[str]] = {}
        self.log_url = self.hosts_url = self.cache_store_url = self.weight_store_url = ""

    # Preparation

    def prepare(self) -> None:
        """Choose ports and write the settings of all processes."""
        plan = self.plan
        self.root.mkdir(parents=True, exist_ok=True)
        endpoints = len(plan.engines) + len(plan.services)
        ports = iter(free_ports(4 + 3 * endpoints + 2 * len(plan.entries)))
        self.log_url, self.hosts_url, self.cache_store_url, self.weight_store_url = (
            f"http://{ADDRESS}:{next(ports)}" for _ in range(4)
        )
        for index, region in enumerate(plan.engines, 1):
            self._prepare_agent(f"engine-{index}", "engine", region, ports)
        for index, region in enumerate(plan.services, 1):
            self._prepare_agent(f"service-{index}", "service", region, ports)
        for index, region in enumerate(plan.entries, 1):
            self._prepare_entry(f"entry-{index}", region, next(ports), next(ports))
        self._prepare_platform()
        self._write_secret("operator.key", self.operator_secret.hex().encode())
        self._write_secret("tool.curve", self.tool_keys.secret)
        (self.root / "tool.curve.pub").write_bytes(self.tool_keys.public)

    def _write_secret(self, name: str, data: bytes) -> Path:
        path = self.root / name
        path.touch(mode=0o600)
        path.write_bytes(data)
        return path

    def tool_options(self) -> list[str]:
        """Return the options that the operators' tool needs for commands that contact nodes."""
        return [
            f"--operator-key={self.root / 'operator.key'}",
            f"--curve-secret={self.root / 'tool.curve'}",
            f"--curve-public={self.root / 'tool.curve.pub'}",
            f"--host-list-url={self.hosts_url}",
        ]

    def _prepare_agent(self, endpoint: str, kind: str, region: str, ports: Iterator[int]) -> None:
        endpoint_port = next(ports)
        url = f"http://{ADDRESS}:{endpoint_port}"
        config: dict[str, Any] = {"kind": kind, "id": endpoint, "port": endpoint_port}
        if kind == "engine":
            config |= {"weight_store_url": self.weight_store_url, **self.plan.engine_options}
        else:
            config |= {"records": 200}
        self.standin_configs[endpoint] = [config]
        node = self._prepare_node(f"agent-{endpoint}", "agent", region, next(ports))
        node.endpoint, node.endpoint_url = endpoint, url
        http_port = next(ports)
        node.http_url = f"http://{ADDRESS}:{http_port}"
        self._write_settings(
            node,
            {
                "endpoint": {"id": endpoint, "kind": kind, "url": url},
                "http": {"address": ADDRESS, "port": http_port},
            },
        )

    def _prepare_entry(self, name: str, region: str, port: int, http_port: int) -> None:
        node = self._prepare_node(name, "entry", region, port)
        node.http_url = f"http://{ADDRESS}:{http_port}"
        self._write_settings(node, {"http": {"address": ADDRESS, "port": http_port}})

    def _prepare_node(self, name: str, role: str, region: str, port: int) -> Node:
        keys = CurveKeys.generate()
        self._write_secret(f"{name}.curve", keys.secret)
        path = self.root / f"{name}.json"
        node = Node(name, role, region, path, port, keys.public.decode())
        self.nodes[name] = node
        return node

    def _write_settings(self, node: Node, extra: dict[str, Any]) -> None:
        settings = {
            "role": node.role,
            "host": node.name,
            "region": node.region,
            "failure_domain": f"{node.region}-1",
            "operator_keys": [operator_public_key(self.operator_secret).hex()],
            "control": {
                "address": ADDRESS,
                "port": node.control_port,
                "curve_public": node.curve_public,
                "curve_secret_file": str(self.root / f"{node.name}.curve"),
                "accepted_curve_keys": [self.tool_keys.public.decode()],
            },
            "log_url": self.log_url,
            "host_list_url": self.hosts_url,
            "cache_store_url": self.cache_store_url,
            "weight_store_url": self.weight_store_url,
            "log_file": str(self.root / f"{node.name}.log"),
            **extra,
            **self.plan.settings,
        }
        node.settings.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))

    def _prepare_platform(self) -> None:
        def port(url: str) -> int:
            return int(url.rpartition(":")[2])

        self.standin_configs["log"] = [{"kind": "log", "id": "log", "port": port(self.log_url)}]
        self.standin_configs["hosts"] = [
            {
                "kind": "hosts",
                "id": "hosts",
                "port": port(self.hosts_url),
                "lag_s": self.plan.host_list_lag_s,
                "hosts": [self.host_entry(node) for node in self.nodes.values()],
            }
        ]
        self.standin_configs["stores"] = [
            {"kind": "cache-store", "id": "cache-store", "port": port(self.cache_store_url)},
            {"kind": "weight-store", "id": "weight-store", "port": port(self.weight_store_url)},
        ]

    def host_entry(self, node: Node, state: str = "live") -> dict[str, Any]:
        """Return a node's entry in the host list."""
        return {
            "host": node.name,
            "role": node.role,
            "region": node.region,
            "failure_domain": f"{node.region}-1",
            "address": ADDRESS,
            "control_port": node.control_port,
            "http_port": int(node.http_url.rpartition(":")[2]) if node.http_url else 0,
            "curve_public": node.curve_public,
            "endpoint": node.endpoint,
            "state": state,
        }

    # Processes

    async def start(self) -> None:
        """Start all processes and wait until they respond."""
        for name in self.standin_configs:
            self.start_standin(name)
        urls = [self.log_url + "/streams/config/records?from=0", self.hosts_url + "/hosts"]
        urls += [node.endpoint_url + "/audit" for node in self.nodes.values() if node.endpoint_url]
        await self._wait_for(urls)
        for name in self.nodes:
            self.start_node(name)
        await self._wait_for(node.http_url + "/healthz" for node in self.entries())

    def start_standin(self, name: str) -> None:
        """Start the process of a stand-in."""
        path = self.root / f"standin-{name}.json"
        path.write_bytes(msgspec.json.encode({"standins": self.standin_configs[name]}))
        command = [sys.executable, "-m", "standins", "all", "--config", str(path)]
        self.standins[name] = self._spawn(command, f"standin-{name}")

    def start_node(self, name: str) -> None:
        """Start the process of a node."""
        node = self.nodes[name]
        options = self.interpreter_options.get(name, [])
        command = [sys.executable, *options, "-m", "teaselpath.daemon"]
        command += ["--settings", str(node.settings)]
        node.process = self._spawn(command, name)

    def _spawn(self, command: list[str], name: str) -> subprocess.Popen:
        with (self.root / f"{name}.out").open("ab") as output:
            return subprocess.Popen(
                command, stdout=output, stderr=output, stdin=subprocess.DEVNULL, env=os.environ
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a node that is running."""
        process = self.nodes[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def stop_node(self, name: str, timeout_s: float = 40.0) -> int | None:
        """Stop a node gracefully; return its exit code, or None on timeout."""
        self.signal(name, signal.SIGTERM)
        return await self._wait_for_exit(self.nodes[name].process, timeout_s)

    async def kill_node(self, name: str) -> None:
        """Kill a node with SIGKILL and wait for its exit."""
        self.signal(name, signal.SIGKILL)
        await self._wait_for_exit(self.nodes[name].process, 10.0)

    async def _wait_for_exit(
        self, process: subprocess.Popen | None, timeout_s: float
    ) -> int | None:
        if process is None:
            return None
        try:
            return await asyncio.to_thread(process.wait, timeout_s)
        except subprocess.TimeoutExpired:
            return None

    async def stop(self) -> None:
        """Stop all processes of the fleet; kill those that do not exit within 5 s."""
        processes = [node.process for node in self.nodes.values()]
        processes += list(self.standins.values())
        running = [item for item in processes if item is not None and item.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        await asyncio.gather(*(self._wait_for_exit(process, 5.0) for process in running))
        for process in running:
            if process.poll() is None:
                process.kill()
                process.wait()

    # Operation

    def entries(self) -> list[Node]:
        """Return the nodes with the role of entry."""
        return [node for node in self.nodes.values() if node.role == "entry"]

    async def publish(self, bundle: Bundle) -> int:
        """Sign a bundle and append it to the log.

        :returns: offset of the record.
        """
        payload = msgspec.json.encode(bundle)
        return await self.append("config", sign_record("bundle", payload, self.operator_secret))

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record to a stream of the log."""
        url = f"{self.log_url}/streams/{stream}/records"
        async with aiohttp.ClientSession() as session, session.post(url, data=data) as answer:
            answer.raise_for_status()
            return (await answer.json())["offset"]

    async def set_faults(self, url: str, faults: dict[str, Any]) -> None:
        """Set faults of a stand-in."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(url + "/faults", json=faults) as answer,
        ):
            answer.raise_for_status()

    async def get(self, url: str) -> Any:
        """Send a GET request and return the decoded JSON body."""
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return await answer.json()

    async def wait_ready(self) -> None:
        """Wait until each entry is ready: it has an active bundle and knows all agents."""
        await self._wait_for(node.http_url + "/readyz" for node in self.entries())

    async def _wait_for(self, urls: Iterable[str]) -> None:
        async with aiohttp.ClientSession() as session, asyncio.timeout(START_TIMEOUT_S):
            for url in urls:
                while not await _responds(session, url):
                    await asyncio.sleep(POLL_INTERVAL_S)


async def _responds(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError):
        return False


def make_key(workspace: str, number: int = 1) -> str:
    """Return a deterministic API key for demo and tests; real keys are random."""
    return f"tp-{workspace}-{number:04d}-" + key_digest(f"{workspace}/{number}").hex()[:32]
