"""Stand-ins of the platform for the scripts in this folder, with the standard library only.

They follow PROTOCOL.md: a metadata store in the form of a log, engines, a proxy whose open
connections can go silent, clients, and gateways that run as processes with the command of the
deploy file.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[1]
START_TIMEOUT_S = 30.0
MODEL = "model-a"


@dataclass(slots=True)
class Request:
    """A request of a gateway or a client."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{k}: {v}" for k, v in {**headers, "Content-Length": str(len(body))}.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request whose body has a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = head[0].split(" ", 2)
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def serve(handler: Handler, host: str = "127.0.0.1") -> tuple[asyncio.Server, str]:
    """Serve HTTP on a free port; return the server and its address."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                await handler(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, host, 0)
    ip, port = server.sockets[0].getsockname()
    return server, f"{ip}:{port}"


class Store:
    """Metadata store: one partition of records for each topic, with the newest of each key."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.changed = asyncio.Event()

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record, as operators and engines do; None removes the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(topic, [(key, data)])

    def _append(self, topic: str, records: list[tuple[str, bytes]]) -> None:
        self.topics.setdefault(topic, []).extend(records)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Handle a call of a gateway."""
        parts = urlsplit(request.target)
        query = dict(parse_qsl(parts.query))
        topic = query.get("topic", "")
        match parts.path:
            case "/-/log-newest":
                writer.write(self._newest(topic, query.get("after", "")))
            case "/-/log-read":
                writer.write(await self._read(topic, query))
            case "/-/log-append":
                writer.write(self._write(topic, query, request.body))
            case _:
                writer.write(encode_answer(404, {}))

    def _newest(self, topic: str, after: str) -> bytes:
        records = self.topics.get(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in sorted(newest.items())
            if value and key > after
        ]
        page = {"items": items[:500], "hasMore": len(items) > 500, "end": len(records)}
        return encode_answer(200, {"Content-Type": "application/json"}, json.dumps(page).encode())

    async def _read(self, topic: str, query: dict[str, str]) -> bytes:
        start, until = int(query["from"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        records = self.topics.get(topic, [])
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return encode_answer(200, {}, body)

    def _write(self, topic: str, query: dict[str, str], body: bytes) -> bytes:
        end = len(self.topics.get(topic, []))
        if "at" in query and int(query["at"]) != end:
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
class Run:
    """A request that an engine began to work on."""

    at: float
    request_id: str
    endpoint_id: str
    path: str
    headers: dict[str, str]


class Engine:
    """An engine of a plain service.

    :param runs: list to which each request that it runs is appended.
    :ivar work_s: time that it works on a request, in seconds.
    """

    def __init__(self, endpoint_id: str, service: str, runs: list[Run]):
        self.endpoint_id = endpoint_id
        self.service = service
        self.runs = runs
        self.work_s = 0.02
        self.address = ""
        self.server: asyncio.Server | None = None
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"

    async def start(self) -> "Engine":
        """Listen on a free port."""
        self.server, self.address = await serve(self.handle)
        return self

    def entry(self, zone: str) -> dict[str, object]:
        """Return its entry in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "models": self.models(),
            "seq": self.seq,
            "born": self.born,
        }

    def models(self) -> list[dict[str, object]]:
        """Return the models that it serves; a plain service has none."""
        return []

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Handle a request of a gateway."""
        own = {
            "Request-Id": request.headers.get("request-id", ""),
            "Instance-Id": self.endpoint_id,
            "Server-Load": "1,0,8",
        }
        if request.headers.get("expect-instance", self.endpoint_id) != self.endpoint_id:
            writer.write(encode_answer(421, {**own, "Not-Run": "1"}))
            return
        await self.run(request, writer, own)

    def record(self, request: Request) -> Run:
        """Record that a request begins to run."""
        request_id = request.headers.get("request-id", "")
        run = Run(time.monotonic(), request_id, self.endpoint_id, request.target, request.headers)
        self.runs.append(run)
        return run

    async def run(self, request: Request, writer: asyncio.StreamWriter, own: dict) -> None:
        """Run a request and answer it."""
        run = self.record(request)
        await asyncio.sleep(self.work_s)
        stamp = {"Response-Stamp": f"stamp-{run.request_id}"}
        writer.write(encode_answer(200, {**own, **stamp}, f"done {run.request_id}".encode()))


class ModelEngine(Engine):
    """A model engine that answers with streams.

    :ivar accepted_orders: number of orders accepted since its start.
    :ivar load_s: time in which it loads new weights, in seconds.
    :ivar is_framed: whether its streams are sent in chunks; they end with the connection otherwise.
    :ivar deadly_part: part of a prompt that ends its process as it begins to write an answer on it.
    :ivar on_crash: called as its process ends.
    :ivar writers: its open connections.
    """

    def __init__(self, endpoint_id: str, service: str, runs: list[Run]):
        super().__init__(endpoint_id, service, runs)
        self.version = 1
        self.accepted_orders = 0
        self.is_loading = False
        self.load_s = 0.8
        self.is_framed = True
        self.deadly_part = ""
        self.on_crash: Callable[[ModelEngine], None] = lambda engine: None
        self.writers: set[asyncio.StreamWriter] = set()
        self.epoch = self.born % 100_000

    def models(self) -> list[dict[str, object]]:
        """Return the model and its version."""
        return [{"name": MODEL, "version": self.version, "adapters": []}]

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Handle a request of a gateway."""
        self.writers.add(writer)
        parts = urlsplit(request.target)
        match parts.path:
            case "/-/report":
                self._answer_json(writer, {
                    "stage": "both", "models": self.models(), "busy": self.is_loading,
                    "seq": self.accepted_orders, "waiting": 0, "running": 0,
                })  # fmt: skip
            case "/-/kv-events":
                await asyncio.sleep(int(request.headers.get("wait-ms", 0)) / 1000)
                since = int(dict(parse_qsl(parts.query)).get("since", 0))
                page = {"bootEpoch": self.epoch, "nextToken": since, "lost": False, "events": []}
                self._answer_json(writer, page)
            case "/-/order":
                writer.write(encode_answer(self._accept_order(request), {}))
            case _:
                await super().handle(request, writer)

    def _accept_order(self, request: Request) -> int:
        if request.headers.get("expect-instance", self.endpoint_id) != self.endpoint_id:
            return 421
        order = json.loads(request.body)
        if self.is_loading or order.get("expect", self.accepted_orders) != self.accepted_orders:
            return 409
        if order["version"] == self.version:
            return 200
        self.accepted_orders += 1
        self.is_loading = True
        asyncio.get_running_loop().call_later(self.load_s, self._end_loading, order["version"])
        return 202

    def _end_loading(self, version: int) -> None:
        self.version, self.is_loading = version, False

    def _answer_json(self, writer: asyncio.StreamWriter, body: object) -> None:
        fields = {"Content-Type": "application/json"}
        writer.write(encode_answer(200, fields, json.dumps(body).encode()))

    async def run(self, request: Request, writer: asyncio.StreamWriter, own: dict) -> None:
        """Run a request and answer it with a stream."""
        if request.headers.get("expect-version", str(self.version)) != str(self.version):
            writer.write(encode_answer(421, {**own, "Not-Run": "1"}))
            return
        if self.is_loading:
            writer.write(encode_answer(503, {**own, "Not-Run": "1"}))
            return
        run = self.record(request)
        await asyncio.sleep(self.work_s)
        framing = "Transfer-Encoding: chunked" if self.is_framed else "Connection: close"
        head = {
            **own,
            "Content-Type": "text/event-stream",
            "Response-Stamp": f"stamp-{run.request_id}",
            "Weight-Versions": str(self.version),
        }
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in head.items()), framing, "", ""]
        writer.write("\r\n".join(lines).encode("latin-1"))
        listed = request.headers.get("prompt-prefix", "").split(",")
        if self.deadly_part and self.deadly_part in [p.partition(":")[0] for p in listed[:-1]]:
            # Begins to write the first event; its process ends within it.
            self._write(writer, b"id: 1\nda")
            await writer.drain()
            self.crash()
            return
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, 6):
            self._write(writer, b"id: %d\ndata: piece %d\n\n" % (number, number))
            await asyncio.sleep(0.01)
        if self.is_framed:
            writer.write(b"0\r\n\r\n")
            return
        await writer.drain()
        writer.close()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data) if self.is_framed else data)

    def crash(self) -> None:
        """End its process: the kernel closes the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()
        self.on_crash(self)


class SilentProxy:
    """Passes connections on; those that are open can go silent, without a reset.

    :param target: address of the server behind it.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.server: asyncio.Server | None = None
        self.generation = 0

    async def start(self) -> "SilentProxy":
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        ip, port = self.server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"
        return self

    def silence_open_connections(self) -> None:
        """Pass nothing on for the connections that are open now; new ones work."""
        self.generation += 1

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        generation = self.generation
        ip, _, port = self.target.rpartition(":")
        try:
            to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pass_on(reader, to_writer, generation),
            self._pass_on(to_reader, writer, generation),
        )

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, generation: int
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if generation == self.generation:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if generation == self.generation:
            writer.close()


@dataclass(slots=True)
class Answer:
    """What a client got: status 0 if there was no complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes


async def call(
    address: str, method: str, target: str, headers: dict[str, str], timeout_s: float = 10.0
) -> Answer:
    """Send a request on a new connection, and return the complete answer."""
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            try:
                fields = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                writer.write(f"{method} {target} HTTP/1.1\r\n{fields}\r\n".encode("latin-1"))
                return await _read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0, {}, b"")


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") != "chunked":
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Answer(int(head[0].split(" ")[1]), headers, body)
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return Answer(int(head[0].split(" ")[1]), headers, body)


@dataclass(slots=True)
class Gateway:
    """A gateway that runs as a process of its own."""

    name: str
    ip: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None


@dataclass(slots=True)
class Deployment:
    """Gateways with their settings, in a temporary folder.

    :param bounds: as in the settings of the small deployments.
    """

    zones: dict[str, str]
    bounds: dict[str, object]
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="review-")))
    gateways: dict[str, Gateway] = field(default_factory=dict)
    ports: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Choose ports that are free on all loopback addresses."""
        sockets = []
        for _ in range(4):
            sock = socket.socket()
            sock.bind(("0.0.0.0", 0))
            sockets.append(sock)
        self.ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()

    def front(self, name: str) -> str:
        """Return the address of a gateway for clients."""
        return f"{self.gateways[name].ip}:{self.ports[0]}"

    def add(self, name: str, ip: str, zone: str, store: str) -> Gateway:
        """Write the settings of a gateway."""
        front, ready, control, peer = self.ports
        settings = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listenAddrs": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
            },
            "internalPorts": [peer, peer],
            "seeds": [f"{gateway.ip}:{control}" for gateway in self.gateways.values()],
            "bootstrap": True,
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 300, "maxFds": 4096},
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "bounds": self.bounds,
            "platform": {"address": store, "form": "log"},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        gateway = Gateway(name, ip, path, self.folder / f"{name}.log")
        self.gateways[name] = gateway
        return gateway

    async def start(self, name: str) -> Gateway:
        """Start the process of a gateway, with the command of the deploy file."""
        gateway = self.gateways[name]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TEASELPATH_SETTINGS": str(gateway.settings),
        }
        with gateway.log.open("ab") as output:
            gateway.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        return gateway

    async def wait_until_ready(self, name: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the readiness check of a gateway gets a 200.

        :raises TimeoutError: if it does not in time.
        """
        address = f"{self.gateways[name].ip}:{self.ports[1]}"
        async with asyncio.timeout(timeout_s):
            while (await call(address, "GET", "/-/ready", {"Host": "x"}, 1.0)).status != 200:
                await asyncio.sleep(0.05)

    async def stop_all(self) -> None:
        """Kill all processes that were started here."""
        processes = [g.process for g in self.gateways.values() if g.process is not None]
        running = [process for process in processes if process.returncode is None]
        for process in running:
            process.send_signal(signal.SIGKILL)
        for process in running:
            await process.wait()


class Record:
    """Writes what was sent, answered and run, with the time since the start.

    :param path: file that is written anew.
    """

    def __init__(self, path: Path):
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line."""
        at = time.monotonic() if at is None else at
        self.file.write(f"{at - self.started_at:8.3f} {text}\n")
        self.file.flush()


def run_case(main: Callable[[], Coroutine[None, None, int]]) -> None:
    """Run a case and end this process with its result, without waiting for open connections.

    SIGTERM cancels the case, so that it ends the processes that it has started.
    """

    async def run() -> None:
        task = asyncio.ensure_future(main())
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            code = await task
        except asyncio.CancelledError:
            code = 2
        os._exit(code)

    asyncio.run(run())
