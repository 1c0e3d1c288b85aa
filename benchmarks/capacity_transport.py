"""Slopes of the connections between nodes and of the polls of log, host list and engine.

Each size is measured in a process of its own, because resident memory does not shrink again.
"""

import asyncio
import contextlib
import functools
import importlib
import json
import subprocess
import sys
import threading
import time
from pathlib import Path

import aiohttp
import zmq
from capacity_fit import Slope

from teaselpath.clients import LogClient
from teaselpath.transport import CurveKeys, KeyAllowList, Node

PAGE_BYTES = 4096
IDLE_S = 4.0
CONNECT_S = 20.0
PEERS = 2939
CHILD_TIMEOUT_S = 90.0
# More than a context's default limit of sockets allows.
PEERS_TRIED = 600


def resident() -> int:
    """Return the resident memory of this process, in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


class Relay:
    """Forwards TCP connections and counts their bytes."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.bytes = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect a caller with the target."""
        there, back = await asyncio.open_connection(*self.target)
        self.writers += [writer, back]
        await asyncio.gather(self._pump(reader, back), self._pump(there, writer))

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            self.bytes += len(data)
            writer.write(data)


async def _connect(caller: Node, port: int, public: bytes, count: int) -> None:
    for number in range(count):
        # The other end tells its peers apart by this name.
        caller.host = f"caller-{number}"
        caller.connect(f"peer-{number}", f"127.0.0.1:{port}", public)
    deadline = time.monotonic() + CONNECT_S
    while not all(peer.connected for peer in caller.peers.values()):
        if time.monotonic() > deadline:
            raise TimeoutError("the peers are not connected")
        await asyncio.sleep(0.05)


async def _pair() -> tuple[Node, Node, int]:
    keys, other = CurveKeys.generate(), CurveKeys.generate()
    allowed = KeyAllowList({keys.public, other.public})
    nodes = []
    for name, pair in (("caller", keys), ("server", other)):
        nodes.append(Node(name, 1, "127.0.0.1:*", pair, allowed, lambda event: None))
        await nodes[-1].start()
    endpoint = nodes[1].router.getsockopt(zmq.LAST_ENDPOINT).decode()
    return nodes[0], nodes[1], int(endpoint.rstrip("\0").rpartition(":")[2])


async def measure_peers(count: int) -> dict[str, float]:
    """Measure both ends of idle connections.

    In a full mesh a node has one outgoing and one incoming connection per peer, which are the two
    ends measured here.
    """
    caller, server, port = await _pair()
    before, used = resident(), time.process_time()
    await _connect(caller, port, server.keys.public, count)
    connecting = time.process_time() - used
    memory = resident() - before
    started, used = time.monotonic(), time.process_time()
    await asyncio.sleep(IDLE_S)
    used = (time.process_time() - used) / (time.monotonic() - started)
    await caller.stop()
    await server.stop()
    return {"memory": memory, "cpu_ms_per_s": used * 1e3, "connect_ms": connecting * 1e3}


async def measure_bytes(count: int) -> dict[str, float]:
    """Measure the bytes on idle connections, in both directions."""
    caller, server, port = await _pair()
    relay = Relay(("127.0.0.1", port))
    listener = await asyncio.start_server(relay.accept, "127.0.0.1", 0)
    relay_port = listener.sockets[0].getsockname()[1]
    await _connect(caller, relay_port, server.keys.public, count)
    first, started = relay.bytes, time.monotonic()
    await asyncio.sleep(IDLE_S)
    rate = (relay.bytes - first) / (time.monotonic() - started)
    listener.close()
    await caller.stop()
    await server.stop()
    return {"bytes_per_s": rate}


async def find_limit() -> dict[str, float]:
    """Return how many peers a node can connect to."""
    caller, server, port = await _pair()
    try:
        for number in range(PEERS_TRIED):
            caller.host = f"caller-{number}"
            caller.connect(f"peer-{number}", f"127.0.0.1:{port}", server.keys.public)
    except zmq.ZMQError:
        pass
    return {"peers": len(caller.peers)}


class PollServer:
    """Answers each request with an empty page of the log and counts the bytes."""

    def __init__(self) -> None:
        body = b'{"first":0,"next":0,"records":[]}'
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        self.answer = head.encode() + str(len(body)).encode() + b"\r\n\r\n" + body
        self.port = 0
        self.bytes = 0
        self.ready = threading.Event()
        threading.Thread(target=lambda: asyncio.run(self._serve()), daemon=True).start()
        self.ready.wait()

    async def _serve(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.ready.set()
        await server.serve_forever()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                data = await reader.readuntil(b"\r\n\r\n")
                self.bytes += len(data) + len(self.answer)
                writer.write(self.answer)


async def measure_polls(count: int) -> dict[str, float]:
    """Measure reads of the log that find nothing, at the reader's end."""
    server = PollServer()
    async with aiohttp.ClientSession() as session:
        client = LogClient(session, f"http://127.0.0.1:{server.port}")
        deadline = asyncio.get_running_loop().time() + CHILD_TIMEOUT_S
        await client.read("config", 0, deadline)
        first, used = server.bytes, time.thread_time()
        for _ in range(count):
            (await client.read("config", 0, deadline)).unwrap()
        used = time.thread_time() - used
        return {"cpu_us": used * 1e6, "bytes": server.bytes - first}


@functools.cache
def in_child(kind: str, size: int) -> dict[str, float]:
    """Run a measurement in its own process."""
    command = [sys.executable, __file__, kind, str(size)]
    answer = subprocess.run(
        command, check=True, capture_output=True, timeout=CHILD_TIMEOUT_S, text=True
    )
    return json.loads(answer.stdout.splitlines()[-1])


async def measure_process() -> dict[str, float]:
    """Measure the resident memory of a process that has loaded the product."""
    importlib.import_module("teaselpath.daemon")
    return {"memory": resident()}


def process_memory() -> float:
    """Return the resident memory of a process before it holds any state, in bytes."""
    return in_child("process", 0)["memory"]


def peer_limit() -> int:
    """Return how many peers a node can connect to before its sockets run out."""
    return int(in_child("limit", 0)["peers"])


def transport_slopes() -> list[Slope]:
    """Return the slopes of this module."""
    peers, polls = (20, 40, 80), (200, 400, 800)

    def of(kind: str, key: str):
        return lambda size: in_child(kind, size)[key]

    return [
        Slope("peers.memory", "B", "peers", peers, PEERS, of("peers", "memory")),
        Slope("peers.cpu", "ms/s", "peers", peers, PEERS, of("peers", "cpu_ms_per_s")),
        Slope("peers.connect_cpu", "ms", "peers", peers, PEERS, of("peers", "connect_ms")),
        Slope("peers.bytes", "B/s", "peers", peers, PEERS, of("bytes", "bytes_per_s")),
        Slope("polls.cpu", "us", "polls", polls, 8640, of("polls", "cpu_us")),
        Slope("polls.bytes", "B", "polls", polls, 8640, of("polls", "bytes")),
    ]


def main() -> None:
    """Run one measurement for the parent process."""
    kind, size = sys.argv[1], int(sys.argv[2])
    if kind == "peers":
        result = asyncio.run(measure_peers(size))
    elif kind == "bytes":
        result = asyncio.run(measure_bytes(size))
    elif kind == "polls":
        result = asyncio.run(measure_polls(size))
    elif kind == "process":
        result = asyncio.run(measure_process())
    else:
        result = asyncio.run(find_limit())
    print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
