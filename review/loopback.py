"""Small stand-ins for the cases of the second review: store, platform, callers and engines.

They speak the users' pages over loopback and need nothing but the standard library.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
# Interval between two statements of an engine to the store, in seconds.
HEARTBEAT_S = 1.2
START_TIMEOUT_S = 20.0

Headers = dict[str, str]
Handler = Callable[["Message", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Message:
    """Head of a request or response, with its body once that is read."""

    start: str
    headers: Headers
    body: bytes = b""

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def length(self) -> int:
        """Return the stated length of the body."""
        return int(self.headers.get("content-length", "0"))


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(start, headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message with a length, or in chunks.

    :raises asyncio.IncompleteReadError: if the connection ends first.
    """
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        message.body = b"".join(parts)
    else:
        message.body = await reader.readexactly(message.length)


def encode_response(status: int, headers: Headers, body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def serve(handler: Handler, ip: str = "127.0.0.1", port: int = 0, receive_bytes: int = 0):
    """Serve connections whose requests are handled one after another; return server and address.

    The handler reads the body itself.

    :param receive_bytes: what the kernel holds of what was not read; 0 for its default.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                await handler(message, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.bind((ip, port))
    server = await asyncio.start_server(handle, sock=sock, backlog=512)
    host, bound = sock.getsockname()
    return server, f"{host}:{bound}"


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path: Path):
        self.began_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.file.flush()


@dataclass
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """The platform's metadata store: topics of keyed records."""

    def __init__(self) -> None:
        self.topics: dict[str, _Topic] = {}
        self.address = ""

    async def open(self) -> None:
        """Listen at a free port."""
        _, self.address = await serve(self.handle)

    def put(self, topic: str, key: str, value: object) -> None:
        """Append a record as an operator or an engine does; None drops the key."""
        data = b"" if value is None else json.dumps(value).encode()
        self._append(self._topic(topic), [(key, data)])

    def _topic(self, name: str) -> _Topic:
        return self.topics.setdefault(name, _Topic())

    def _append(self, topic: _Topic, records: list[tuple[str, bytes]]) -> None:
        topic.records += records
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def handle(
        self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handle one call."""
        await read_body(reader, message)
        path, _, text = message.target.partition("?")
        query = dict(pair.split("=", 1) for pair in text.split("&") if pair)
        topic = self._topic(query.get("topic", ""))
        match path:
            case "/-/log-newest":
                data = self._list(topic, query)
            case "/-/log-read":
                data = await self._read(topic, query)
            case "/-/log-append":
                data = self._write(topic, query, message.body)
            case _:
                data = encode_response(404, {})
        writer.write(data)
        await writer.drain()

    def _list(self, topic: _Topic, query: dict[str, str]) -> bytes:
        newest = {key: (n, value) for n, (key, value) in enumerate(topic.records)}
        keys = sorted(k for k in newest if k > query.get("after", "") and newest[k][1])
        items = [
            {"key": k, "value": base64.b64encode(newest[k][1]).decode(), "offset": newest[k][0]}
            for k in keys
        ]
        body = {"items": items, "hasMore": False, "end": len(topic.records)}
        return encode_response(200, {}, json.dumps(body).encode())

    async def _read(self, topic: _Topic, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        if start >= len(topic.records):
            try:
                async with asyncio.timeout(float(query.get("waitMs", 0)) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        for key, value in topic.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            parts += [struct.pack(">I", len(content)), content]
        return encode_response(200, {}, b"".join(parts))

    def _write(self, topic: _Topic, query: dict[str, str], body: bytes) -> bytes:
        at = query.get("at")
        if at is not None and int(at) != len(topic.records):
            return encode_response(412, {}, json.dumps({"end": len(topic.records)}).encode())
        position, records = 0, []
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            key_end = 1 + content[0]
            records.append((content[1:key_end].decode(), content[key_end:]))
            position += 4 + length
        offset = len(topic.records)
        self._append(topic, records)
        answer = {"offset": offset, "end": len(topic.records)}
        return encode_response(200, {}, json.dumps(answer).encode())


@dataclass
class Gateway:
    """A process of the system on a machine of its own, which has a loopback address."""

    name: str
    ip: str
    zone: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    kills: int = 0
    ready_at: float = 0.0

    def anonymous_mb(self) -> float:
        """Return the memory of the process that belongs to no file, in MB; 0 once it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        return int(fields.get("RssAnon", "0 kB").split()[0]) / 1024


class Site:
    """The platform: store, engines' entries and the machines that run the gateways.

    :param config: configuration without its version.
    :param settings: fields of the settings beside those of a machine.
    """

    def __init__(self, record: Record, config: dict, settings: dict):
        self.record = record
        self.config = config
        self.settings = settings
        self.store = Store()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways: dict[str, Gateway] = {}
        self.entries: dict[str, dict] = {}
        self.tasks: list[asyncio.Task] = []
        self.ports: dict[str, int] = {}

    async def open(self) -> None:
        """Start the store, with the first configuration."""
        sockets = [socket.socket() for _ in range(4)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        names = ("front", "ready", "control", "peer")
        self.ports = {n: s.getsockname()[1] for n, s in zip(names, sockets, strict=True)}
        for sock in sockets:
            sock.close()
        await self.store.open()
        self.store.put("keyed.op", "config", {"version": 1, **self.config})
        self.tasks.append(asyncio.create_task(self._send_heartbeats()))

    def register(self, engine_id: str, entry: dict) -> None:
        """List an engine, and renew its entry from now on."""
        self.entries[engine_id] = {"born": int(time.time() * 1000), "seq": 0, **entry}
        self._renew(engine_id)

    def _renew(self, engine_id: str) -> None:
        entry = self.entries[engine_id]
        entry["seq"] += 1
        self.store.put("keyed.servers", engine_id, entry)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine_id in self.entries:
                self._renew(engine_id)

    async def start(self, name: str, ip: str, zone: str) -> Gateway:
        """Start a gateway and wait until it is ready."""
        address = {n: f"{ip}:{self.ports[n]}" for n in ("front", "ready", "control")}
        settings = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": ip,
            "zone": zone,
            "listenAddrs": address,
            "internalPorts": [self.ports["peer"], self.ports["peer"]],
            "seeds": [],
            "platform": {"address": self.store.address, "form": "log"},
            **self.settings,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        gateway = self.gateways[name] = Gateway(name, ip, zone, path)
        await self.run(gateway)
        return gateway

    async def run(self, gateway: Gateway) -> None:
        """Run the command of the deploy file on a machine and wait until the process is ready."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "TEASELPATH_SETTINGS": str(gateway.settings),
        }
        with (self.folder / f"{gateway.name}.log").open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                "python3",
                *("-m", "teaselpath.daemon.gateway"),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        self.record.write(f"{gateway.name} started")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready(gateway):
                await asyncio.sleep(0.05)
        gateway.ready_at = time.monotonic()
        self.record.write(f"{gateway.name} ready")

    async def _is_ready(self, gateway: Gateway) -> bool:
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, self.ports["ready"])
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def signal(self, gateway: Gateway, number: signal.Signals) -> None:
        """Send a signal to the process of a gateway, if it runs."""
        if gateway.process is not None and gateway.process.returncode is None:
            gateway.process.send_signal(number)

    async def close(self) -> None:
        """End all processes that were started."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways.values():
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Caller:
    """A caller with one connection that it keeps.

    :ivar requests: requests answered on the present connection.
    """

    def __init__(self, ip: str, port: int):
        self.ip, self.port = ip, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.requests = 0

    async def send(self, head: list[str], body: bytes, timeout_s: float) -> Message | None:
        """Return the whole answer to a request; None if the connection ends without one.

        :raises OSError: if no connection could be opened; nothing was sent.
        :raises TimeoutError: if there is no whole answer in time; the caller leaves then.
        """
        async with asyncio.timeout(timeout_s):
            if self.writer is None:
                self.requests = 0
                self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)
            assert self.reader is not None
            lines = [*head, f"Content-Length: {len(body)}", "", ""]
            try:
                self.writer.write("\r\n".join(lines).encode() + body)
                await self.writer.drain()
                answer = await read_head(self.reader)
                if answer is not None:
                    await read_body(self.reader, answer)
            except (ConnectionError, asyncio.IncompleteReadError):
                answer = None
            except asyncio.CancelledError:
                self.close()
                raise
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        self.requests += 1
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def run_case(scenario: Callable[[Record, bool], Awaitable[bool]], folder: Path) -> None:
    """Run a case; exit with 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> bool:
        async with asyncio.timeout(110.0):
            return await scenario(record, has_trouble)

    try:
        is_kept = asyncio.run(play())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("rule held" if is_kept else "rule broken")
    print("rule held" if is_kept else "rule broken")
    sys.exit(0 if is_kept else 1)
