"""A small platform on loopback for the scripts of the third review; standard library only.

A store, model engines and callers in this process, gateways as separate processes that run the
command of the deploy file with ``target/deps`` on Python's path.
"""

import asyncio
import base64
import hashlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "caller.example"
MODEL = "model-a"
ENGINE_SERVICE = "assistant"
DESK_SERVICE = "desk"
# Bounds of a small deployment.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 3000,
    "rollbackSlackMs": 250, "stretchMaxMs": 6000, "strictRevoke": False, "revokeMs": 5000,
    "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 56, "quotaWindowS": 8,
    "quotaOver": 0.1, "quotaSlack": 190000, "recoveryS": 12, "deliveryLagMs": 400,
    "retryAfterS": 10, "requireFence": False, "leaseMs": 3000, "thawSlackMs": 300,
    "versionMs": 10000, "versionAllMs": 14000,
}  # fmt: skip
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Record:
    """Log of what was sent, answered and run; the file ``record.txt`` of a case."""

    def __init__(self, folder: Path | None):
        self.file = None if folder is None else (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the time since the start, in seconds."""
        if self.file is None:
            return
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


@dataclass(slots=True)
class Message:
    """A request or an answer; names of header fields are in lower case."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read start line and header fields."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    return Message(head[0].split(" ", 2), {k.lower(): v.strip() for k, _, v in pairs})


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Read a request, whose body has a length."""
    request = await read_head(reader)
    request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
    return request


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an encoded answer with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n{lines}\r\n".encode() + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


async def serve(handler: Handler) -> tuple[asyncio.Server, str]:
    """Serve at a free port; return the address too."""
    server = await serve_at(handler, "127.0.0.1:0")
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


async def serve_at(handler: Handler, address: str) -> asyncio.Server:
    """Serve requests, one at a time on a connection."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await handler(await read_request(reader), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has closed the connection, or the case has ended.
            pass
        finally:
            writer.close()

    ip, _, port = address.rpartition(":")
    return await asyncio.start_server(on_connection, ip, int(port))


class Store:
    """The platform's store: keyed topics of one partition."""

    def __init__(self, record: Record):
        self.record = record
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.has_changed = asyncio.Event()

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Append a record as the operator or an engine does; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, [(key, data)])

    def _append(self, topic: str, records: list[tuple[str, bytes]]) -> None:
        self.topics.setdefault(topic, []).extend(records)
        self.has_changed.set()
        self.has_changed = asyncio.Event()

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Handle one call."""
        parts = urlsplit(request.start[1])
        query = dict(parse_qsl(parts.query))
        topic = query.get("topic", "")
        match parts.path:
            case "/-/log-newest":
                writer.write(self._newest(topic, query.get("after", "")))
            case "/-/log-read":
                wait_s = float(query.get("waitMs", 0)) / 1000
                writer.write(await self._read(topic, int(query["from"]), wait_s))
            case "/-/log-append":
                writer.write(self._write(topic, query.get("at"), request.body))
            case _:
                writer.write(encode_answer(404, {}, b""))

    def _newest(self, topic: str, after: str) -> bytes:
        records = self.topics.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        body = {"items": items, "hasMore": False, "end": len(records)}
        return encode_answer(200, {}, json.dumps(body).encode())

    async def _read(self, topic: str, start: int, wait_s: float) -> bytes:
        until = time.monotonic() + wait_s
        while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self.has_changed.wait()
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return encode_answer(200, {}, body)

    def _write(self, topic: str, at: str | None, body: bytes) -> bytes:
        end = len(self.topics.get(topic, []))
        if at is not None and int(at) != end:
            return encode_answer(412, {}, json.dumps({"end": end}).encode())
        records, index = [], 0
        while index < len(body):
            (length,) = struct.unpack_from(">I", body, index)
            content = body[index + 4 : index + 4 + length]
            split = 1 + content[0]
            records.append((content[1:split].decode(), content[split:]))
            index += 4 + length
        self._append(topic, records)
        answer = {"offset": end, "end": end + len(records)}
        return encode_answer(200, {}, json.dumps(answer).encode())


@dataclass(slots=True)
class Part:
    """A cached part of a prompt, and what made it."""

    tokens: int
    tenant: str
    version: int


@dataclass(slots=True)
class Run:
    """A request that an engine has begun to run.

    :param used: cached parts that it used: id, tenant that made the part, weights version.
    """

    request_id: str
    engine: str
    tenant: str
    headers: dict[str, str]
    at: float
    used: list[tuple[str, str, int]] = field(default_factory=list)


class Engine:
    """A sound model engine, or a plain service without a model."""

    def __init__(self, name: str, record: Record, runs: list[Run], *, has_model: bool, zone: str):
        self.name, self.record, self.runs = name, record, runs
        self.has_model, self.zone = has_model, zone
        self.version = 1
        self.parts: dict[tuple[str, str], Part] = {}
        self.events: list[list[object]] = []
        self.orders = 0
        self.seq = 0
        self.epoch = int(hashlib.blake2b(name.encode(), digest_size=4).hexdigest(), 16)
        self.born = int(time.time() * 1000)
        self.address = ""

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return its entry in the store."""
        self.seq += 1
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return {
            "service": ENGINE_SERVICE if self.has_model else DESK_SERVICE,
            "address": self.address, "zone": self.zone, "version": "v1", "slots": 16,
            "state": state, "coldLeftMs": 0, "seq": self.seq, "born": self.born,
            "models": models if self.has_model else [],
        }  # fmt: skip

    async def handle(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Handle one request."""
        parts = urlsplit(request.start[1])
        match parts.path:
            case "/-/report":
                self._answer_json(writer, self._report())
            case "/-/order":
                order = json.loads(request.body)
                self.record.write(f"engine {self.name} gets order {order}")
                is_held = order["version"] == self.version
                self.orders += not is_held
                self.version = order["version"]
                if not is_held:
                    self.parts.clear()
                writer.write(encode_answer(200 if is_held else 202, {}, b""))
            case "/-/kv-events":
                await self._events(request, dict(parse_qsl(parts.query)), writer)
            case "/health":
                writer.write(encode_answer(200, {"Instance-Id": self.name}, b""))
            case _:
                await self.run(request, writer)

    def _answer_json(self, writer: asyncio.StreamWriter, body: object) -> None:
        headers = {"Content-Type": "application/json"}
        writer.write(encode_answer(200, headers, json.dumps(body).encode()))

    def _report(self) -> dict[str, object]:
        return {
            "stage": "both", "busy": False, "seq": self.orders, "waiting": 0, "running": 0,
            "kvUsed": 0, "kvTotal": 159_399, "handles": 0, "born": self.born,
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
        }  # fmt: skip

    async def _events(
        self, request: Message, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        since = int(query.get("since", 0))
        until = time.monotonic() + float(request.headers.get("wait-ms", 0)) / 1000
        while len(self.events) <= since and time.monotonic() < until:
            await asyncio.sleep(0.02)
        page = self.events[since:]
        body = {"bootEpoch": self.epoch, "nextToken": since + len(page), "lost": False}
        self._answer_json(writer, {**body, "events": page, "born": self.born})

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request, or refuse it if another engine or version is expected."""
        headers = request.headers
        request_id = headers.get("request-id", "")
        base = {"Request-Id": request_id, "Instance-Id": self.name, "Server-Load": "0,0,16"}
        is_other = headers.get("expect-instance", self.name) != self.name
        if is_other or headers.get("expect-version", str(self.version)) != str(self.version):
            self.record.write(f"engine {self.name} refuses {request_id} with 421")
            writer.write(encode_answer(421, {**base, "Not-Run": "1"}, b""))
            return
        run = Run(request_id, self.name, headers.get("tenant", ""), headers, time.monotonic())
        self.runs.append(run)
        if self.has_model:
            self._read_prompt(run)
        self.record.write(
            f"engine {self.name} runs {request_id} for tenant {run.tenant!r}"
            f" salt {headers.get('cache-salt')!r} prefix {headers.get('prompt-prefix')!r}"
            f" uses {run.used}"
        )
        await self.answer(run, base, writer)

    def _read_prompt(self, run: Run) -> None:
        """Use the cached parts of a prompt, and cache the others."""
        salt, is_cached = run.headers.get("cache-salt", ""), True
        for entry in run.headers.get("prompt-prefix", "").split(","):
            part_id, _, tokens = entry.partition(":")
            known = self.parts.get((salt, part_id))
            if known is not None and is_cached:
                run.used.append((part_id, known.tenant, known.version))
                continue
            is_cached = False
            self.parts[salt, part_id] = Part(int(tokens), run.tenant, self.version)
            event = [len(self.events) + 1, "+", salt, part_id, int(tokens), MODEL]
            self.events.append(event)

    async def answer(self, run: Run, base: dict[str, str], writer: asyncio.StreamWriter) -> None:
        """Answer a request that runs."""
        await asyncio.sleep(0.02)
        stamp = {**base, "Response-Stamp": f"stamp-{run.request_id}"}
        if not self.has_model:
            writer.write(encode_answer(200, stamp, f"answer to {run.request_id}".encode()))
            return
        headers = {
            **stamp,
            "Content-Type": "text/event-stream",
            "Weight-Versions": str(self.version),
        }
        body = "".join(f"id: {n}\ndata: {run.request_id}-{n}\n\n" for n in range(1, 5))
        writer.write(encode_answer(200, headers, body.encode()))


@dataclass(slots=True)
class Answer:
    """An answer as its caller got it; the status is 0 if none came.

    :param is_complete: whether it came to its end by its framing.
    """

    request_id: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


@dataclass(slots=True)
class EngineProcess:
    """An engine that runs as a process of its own.

    :param process: None while it is down.
    """

    engine: Engine
    behaviour: dict[str, object]
    process: asyncio.subprocess.Process | None = None
    runs: int = 0


@dataclass(slots=True)
class Arrival:
    """A request that the process of an engine has begun to run."""

    request_id: str
    engine: str
    at: float


@dataclass(slots=True)
class Tenant:
    """A tenant of the configuration."""

    name: str
    key: str
    isolated: bool = False


class Platform:
    """Store, engines, callers and gateways of one case."""

    def __init__(self, folder: Path):
        self.record = Record(folder)
        self.runs: list[Run] = []
        self.engines: list[Engine] = []
        self.engine_processes: list[EngineProcess] = []
        self.tasks: set[asyncio.Task[None]] = set()
        # Requests that engine processes have begun to run, and times at which such processes ended.
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self.gateways: dict[str, asyncio.subprocess.Process] = {}
        self.store = Store(self.record)
        self.temporary = tempfile.TemporaryDirectory()
        self.version = 0
        self.requests = 0

    async def start(self) -> None:
        """Start the store, and find ports for the gateways."""
        _, self.store_address = await serve(self.store.handle)
        names = ("front", "ready", "control", "peer")
        sockets = [socket.socket() for _ in names]
        for found in sockets:
            found.bind(("0.0.0.0", 0))
        self.ports = {n: s.getsockname()[1] for n, s in zip(names, sockets, strict=True)}
        for found in sockets:
            found.close()

    async def add_engine(self, engine: Engine) -> None:
        """Start an engine and register it."""
        _, engine.address = await serve(engine.handle)
        self.engines.append(engine)
        self.store.put("keyed.servers", engine.name, engine.entry())

    async def add_engine_process(
        self, name: str, *, has_model: bool = True, **behaviour: object
    ) -> EngineProcess:
        """Start an engine as a process and register it.

        :param behaviour: see ``stream_engine.Behaviour``.
        """
        behaviour["has_model"] = has_model
        engine = Engine(name, self.record, self.runs, has_model=has_model, zone="a")
        with socket.socket() as found:
            found.bind(("127.0.0.1", 0))
            engine.address = f"127.0.0.1:{found.getsockname()[1]}"
        listed = EngineProcess(engine, behaviour)
        self.engine_processes.append(listed)
        await self._start_engine_process(listed)
        return listed

    async def _start_engine_process(self, listed: EngineProcess) -> None:
        engine = listed.engine
        program = str(ROOT / "review" / "stream_engine.py")
        listed.process = await asyncio.create_subprocess_exec(
            sys.executable, program, engine.name, engine.address, json.dumps(listed.behaviour),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        task = asyncio.create_task(self._read_output(listed))
        self.tasks.add(task)
        await asyncio.sleep(0.5)
        engine.born = int(time.time() * 1000)
        engine.seq = 0
        self.store.put("keyed.servers", engine.name, engine.entry())

    async def _read_output(self, listed: EngineProcess) -> None:
        assert listed.process is not None
        assert listed.process.stdout is not None
        while line := await listed.process.stdout.readline():
            text = line.decode().strip()
            self.record.write(f"engine {listed.engine.name} {text}")
            if text.startswith("runs"):
                listed.runs += 1
                arrival = Arrival(text.split()[1], listed.engine.name, time.monotonic())
                self.arrivals.append(arrival)
            else:
                self.crashes.append(time.monotonic())

    async def keep_engines_running(self, down_s: float) -> None:
        """Start the processes of engines that have ended again, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            for listed in self.engine_processes:
                process = listed.process
                if process is not None and process.returncode is not None:
                    listed.process = None
                    task = asyncio.create_task(self._restart_engine_process(listed, down_s))
                    self.tasks.add(task)

    async def _restart_engine_process(self, listed: EngineProcess, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self._start_engine_process(listed)
        self.record.write(f"engine {listed.engine.name} is back")

    async def kill_busiest_engine(self) -> None:
        """Kill the process of the engine that has run most requests."""
        await self.kill_engine(max(self.engine_processes, key=lambda listed: listed.runs))

    async def kill_engine(self, listed: EngineProcess) -> None:
        """Kill the process of an engine."""
        assert listed.process is not None
        self.record.write(f"SIGKILL of the process of engine {listed.engine.name}")
        listed.process.send_signal(signal.SIGKILL)
        await listed.process.wait()

    def write_config(self, tenants: list[Tenant]) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        engine = {
            "slots": 16, "kvCapacityTokens": 159_399, "kvTokenBytes": 18_432,
            "linkMbps": 180_000.0, "maxInFlight": 12, "models": [{"name": MODEL}],
        }  # fmt: skip
        route = {"host": HOST, "priority": 0, "public": False}
        config = {
            "version": self.version,
            "routes": [
                {
                    **route, "name": "review", "pathPrefix": "/review/", "kind": "stream",
                    "timeoutMs": 8000, "targetLatencyMs": 800, "service": ENGINE_SERVICE,
                    "maxAttempts": 2, "sessionAffinity": True, "resumable": True, "gapAimMs": 400,
                },
                {
                    **route, "name": "payment", "pathPrefix": "/payment/", "kind": "unsafe",
                    "timeoutMs": 6000, "targetLatencyMs": 500, "service": DESK_SERVICE,
                    "maxAttempts": 1, "sessionAffinity": False, "resumable": False,
                },
            ],
            "services": [
                {"name": ENGINE_SERVICE, "healthPath": "/health", "maxConns": 180,
                 "engine": engine},
                {"name": DESK_SERVICE, "healthPath": "/health", "maxConns": 110},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [
                {"name": t.name, "apiKeys": [t.key], "unit": "token_count", "plainTokens": 200,
                 "isolated": t.isolated, "ratePerS": 148_581, "burst": 148_581}
                for t in tenants
            ],
        }  # fmt: skip
        self.store.put("keyed.op", "config", config)
        shown = {t.name: "isolated" if t.isolated else "not isolated" for t in tenants}
        self.record.write(f"the store acknowledges configuration {self.version}: {shown}")

    # gateways

    async def start_gateway(self, name: str, number: int, zone: str) -> None:
        """Start a gateway with the command of the deploy file, and wait until it is ready."""
        ip = f"127.0.0.{number}"
        ports = self.ports
        settings = {
            "nodeName": name, "role": "gateway", "machineClass": "front",
            "serves": ["front", "control"], "ip": ip, "zone": zone, "region": "north",
            "zones": {"a": "north", "b": "north"},
            "listenAddrs": {k: f"{ip}:{ports[k]}" for k in ("front", "ready", "control")},
            "internalPorts": [ports["peer"], ports["peer"]],
            "seeds": [f"127.0.0.2:{ports['control']}"], "bootstrap": True,
            "limits": {"cpuShare": 0.8, "cores": 1, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
                          "stream", "engine", "tenants", "quota", "platform"],
            "bounds": BOUNDS,
            "platform": {"address": self.store_address, "form": "log", "writesPerS": 400,
                         "readsPerS": 2000},
        }  # fmt: skip
        path = Path(self.temporary.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        variables = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        variables |= {
            "TEASELPATH_SETTINGS": str(path),
            "PYTHONPATH": f"{ROOT}:{ROOT / 'target' / 'deps'}",
        }
        with (Path(self.temporary.name) / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.gateways[name] = process
        async with asyncio.timeout(20.0):
            while not await self._is_ready(ip):
                if process.returncode is not None:
                    raise RuntimeError(f"{name} ended with {process.returncode}")
                await asyncio.sleep(0.05)
        self.record.write(f"{name} is ready")

    async def _is_ready(self, ip: str) -> bool:
        try:
            reader, writer = await asyncio.open_connection(ip, self.ports["ready"])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def stop(self) -> None:
        """End the gateways."""
        for task in self.tasks:
            task.cancel()
        engines = [listed.process for listed in self.engine_processes]
        for process in [*self.gateways.values(), *engines]:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        self.temporary.cleanup()

    # callers

    async def send(
        self, number: int, key: str, path: str, prefix: str = "", deadline_ms: int = 6000
    ) -> Answer:
        """Send a request to a gateway on a new connection."""
        self.requests += 1
        answer = Answer(f"{self.requests:016x}")
        lines = [
            f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {answer.request_id}",
            f"Deadline-Ms: {deadline_ms}", f"Authorization: Token {key}",
        ]  # fmt: skip
        if prefix:
            tokens = sum(int(entry.partition(":")[2]) for entry in prefix.split(","))
            lines += [f"Model: {MODEL}", f"Token-Counts: {tokens},20", f"Prompt-Prefix: {prefix}"]
        lines += ["Content-Length: 2", "", "{}"]
        self.record.write(
            f"caller sends {answer.request_id} with key {key} to gateway {number}: {path} {prefix}"
        )
        address = f"127.0.0.{number}", self.ports["front"]
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    writer.write("\r\n".join(lines).encode())
                    await read_answer(reader, answer)
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.write(f"caller has no whole answer to {answer.request_id}: {error!r}")
        self.record.write(
            f"caller gets {answer.status} to {answer.request_id}, {len(answer.body)} bytes,"
            f" {'complete' if answer.is_complete else 'incomplete'}"
        )
        return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer with a length or in chunks."""
    head = await read_head(reader)
    answer.status, answer.headers = int(head.start[1]), head.headers
    if head.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        answer.body = await reader.readexactly(int(head.headers["content-length"]))
    answer.is_complete = True


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Platform], Awaitable[bool]], folder: Path, limit_s: float) -> None:
    """Run a case and exit with 1 if a rule was broken, 0 if it held, 2 if it could not run."""

    def end(_number: int, _frame: object) -> None:
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, end)

    async def run() -> bool:
        platform = Platform(folder)
        try:
            async with asyncio.timeout(limit_s):
                await platform.start()
                return await case(platform)
        finally:
            await platform.stop()

    try:
        is_broken = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
