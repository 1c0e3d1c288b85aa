"""A deadly part that stands behind many others in a prompt crashes engines without end."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from loopback import (
    Caller,
    Gateway,
    Message,
    Record,
    Site,
    encode_response,
    read_body,
    run_case,
    serve,
)

# Shared parts of each prompt, the deadly one last among them, as of a long conversation.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "70"))
ENGINES = 9
# Time after which a crashed engine is back, in seconds.
DOWN_S = 3.0
# Requests a second: of the route, and the share of those with the deadly part.
REQUESTS_PER_S = 40.0
DEADLY_SHARE = 0.03
CALM_S = 8.0
DEADLY_S = 20.0
STABLE_WINDOW_S = 4.0
# The rules allow three, from STABLE_WINDOW_S after the fifth crash.
COUNTED_CRASH = 5
MAX_DEADLY = 3
# The rule on sound requests counts from 20 of them.
MIN_SOUND = 20

CONFIG = {
    "routes": [
        {
            "name": "draft", "host": "site.example", "pathPrefix": "/draft/", "kind": "stream",
            "timeoutMs": 10_000, "targetLatencyMs": 1200, "priority": 1, "service": "llm",
            "maxAttempts": 2, "resumable": True, "gapAimMs": 400, "sessionAffinity": True,
        },
    ],
    "services": [
        {
            "name": "llm", "healthPath": "/health", "maxConns": 360,
            "engine": {
                "slots": 64, "kvCapacityTokens": 142_878, "kvTokenBytes": 18_432,
                "linkMbps": 180_000, "models": [{"name": "model-a"}],
            },
        },
    ],
    "limits": {
        "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": "office", "apiKeys": ["key-1"], "plainTokens": 200}],
}  # fmt: skip
SETTINGS = {
    "region": "south", "zones": {"a": "south", "b": "south"}, "heartbeatMs": 1200,
    "limits": {"memoryMb": 150, "maxFds": 4100, "cpuShare": 0.817, "cores": 1},
    "contracts": ["base", "drain", "config", "retry", "stream", "engine", "tenants", "platform"],
    "bounds": {
        "graceS": 8, "leaseMs": 3000, "stableWindowMs": 4000, "drainMs": 3000,
        "budgetRatio": 0.2, "budgetExtra": 52, "budgetWindowS": 10,
    },
}  # fmt: skip


class Engine:
    """A model engine, which crashes as it begins to write an answer on a deadly part."""

    def __init__(self, case: "Case", number: int):
        self.case = case
        self.number = number
        self.starts = 0
        self.engine_id = ""
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start a new incarnation, at the address of the one before."""
        self.starts += 1
        self.engine_id = f"llm-{self.number}-{self.starts}"
        self.server, address = await serve(self.handle, port=self.port)
        self.port = int(address.rpartition(":")[2])
        entry = {
            "address": address, "zone": "a", "state": "ready", "version": "v1",
            "service": "llm", "slots": 64, "models": [{"name": "model-a", "version": 1}],
        }  # fmt: skip
        self.case.site.register(self.engine_id, entry)

    async def crash(self) -> None:
        """End as a process does that crashes, and come back later."""
        assert self.server is not None
        engine_id = self.engine_id
        self.case.site.entries.pop(engine_id)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()
        await asyncio.sleep(DOWN_S)
        await self.start()
        # Three heartbeats of 1.2 s after the last one, the store drops the entry.
        await asyncio.sleep(0.6)
        self.case.site.store.put("keyed.servers", engine_id, None)

    async def handle(self, message: Message, reader, writer) -> None:
        """Handle a call or a request."""
        self.writers.add(writer)
        await read_body(reader, message)
        headers = message.headers
        if message.target.startswith("/-/"):
            if "kv-events" in message.target:
                await asyncio.sleep(0.4)
                text = f'{{"bootEpoch":{self.starts},"nextToken":0,"lost":false,"events":[]}}'
            else:
                text = '{"models":[{"name":"model-a","version":1}],"busy":false,"seq":0}'
            writer.write(encode_response(200, {"Content-Type": "application/json"}, text.encode()))
            return
        request_id = headers["request-id"]
        own = {"Request-Id": request_id, "Instance-Id": self.engine_id}
        if headers.get("expect-instance", self.engine_id) != self.engine_id:
            writer.write(encode_response(421, {**own, "Not-Run": "1"}))
            return
        parts = [entry.partition(":")[0] for entry in headers["prompt-prefix"].split(",")]
        is_deadly = self.case.deadly_part in parts[:-1]
        self.case.observe(request_id, self.engine_id, is_deadly=is_deadly)
        await asyncio.sleep(0.03)
        if is_deadly and self.case.has_trouble:
            self.case.observe_crash(request_id, self.engine_id)
            self.case.tasks.add(asyncio.create_task(self.crash()))
            return
        self.case.begun.add(request_id)
        lines = [f"{k}: {v}" for k, v in own.items()]
        head = "\r\n".join(
            ["HTTP/1.1 200 OK", *lines, f"Response-Stamp: {request_id}", "Weight-Versions: 1",
             "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        )  # fmt: skip
        writer.write(head.encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, 9):
            if writer.is_closing():
                return
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")


class Case:
    """State of one run."""

    def __init__(self, record: Record, has_trouble: bool):
        self.record = record
        self.has_trouble = has_trouble
        self.site = Site(record, CONFIG, SETTINGS)
        self.deadly_part = "dead0001"
        self.shared = [f"{0xA000 + n:08x}:60" for n in range(SHARED_PARTS - 1)]
        self.begun: set[str] = set()
        self.arrivals: list[tuple[float, str]] = []
        self.crashes: list[float] = []
        self.sound: list[tuple[float, str]] = []
        self.statuses: dict[str, int] = {}
        self.tasks: set[asyncio.Task] = set()
        self.random = random.Random(7)

    def observe(self, request_id: str, engine_id: str, *, is_deadly: bool) -> None:
        """Record a request that has reached an engine."""
        if is_deadly:
            self.arrivals.append((time.monotonic(), request_id))
            self.record.write(f"{request_id} (deadly) reaches {engine_id}")

    def observe_crash(self, request_id: str, engine_id: str) -> None:
        """Record a crash."""
        self.crashes.append(time.monotonic())
        self.record.write(f"{engine_id} crashes on {request_id}: crash {len(self.crashes)}")

    async def send(self, gateway: Gateway, request_id: str, *, is_deadly: bool) -> None:
        """Send one request on a connection of its own."""
        own = f"{self.random.getrandbits(48):012x}:100"
        last_shared = f"{self.deadly_part}:60" if is_deadly else "5bad0001:60"
        parts = [*self.shared, last_shared, own]
        head = [
            "POST /draft/x HTTP/1.1", "Host: site.example", f"Request-Id: {request_id}",
            "Deadline-Ms: 10000", "Authorization: Token key-1", "Model: model-a",
            f"Token-Counts: {60 * SHARED_PARTS + 100},8", f"Prompt-Prefix: {','.join(parts)}",
        ]  # fmt: skip
        caller = Caller(gateway.ip, self.site.ports["front"])
        if not is_deadly:
            self.sound.append((time.monotonic(), request_id))
        try:
            answer = await caller.send(head, request_id.encode(), 10.5)
            result = "cut" if answer is None else str(answer.status)
        except (TimeoutError, OSError) as error:
            result = type(error).__name__
        caller.close()
        kind = "deadly" if is_deadly else "sound"
        self.statuses[f"{kind} {result}"] = self.statuses.get(f"{kind} {result}", 0) + 1
        if is_deadly or result != "200":
            self.record.write(f"{request_id} ({kind}) to {gateway.name}: {result}")

    async def play(self) -> bool:
        """Return whether the rules held."""
        site = self.site
        await site.open()
        try:
            for number in range(ENGINES):
                await Engine(self, number).start()
            gateways = [
                await site.start("front-a-1", "127.0.0.2", "a"),
                await site.start("front-b-1", "127.0.0.3", "b"),
            ]
            # Machines count as in touch this long after their start.
            await asyncio.sleep(STABLE_WINDOW_S + 1.0)
            began_at, number = time.monotonic(), 0
            async with asyncio.TaskGroup() as group:
                while (age_s := time.monotonic() - began_at) < CALM_S + DEADLY_S:
                    number += 1
                    is_deadly = age_s >= CALM_S and self.random.random() < DEADLY_SHARE
                    gateway = gateways[number % 2]
                    group.create_task(self.send(gateway, f"draft-{number}", is_deadly=is_deadly))
                    await asyncio.sleep(1.0 / REQUESTS_PER_S)
        finally:
            for task in self.tasks:
                task.cancel()
            await site.close()
        return self.judge(began_at + CALM_S)

    def judge(self, calm_until: float) -> bool:
        """Return whether the rules held."""
        record = self.record
        record.write(f"{len(self.crashes)} crashes, {len(self.arrivals)} deadly arrivals")
        record.write(str(dict(sorted(self.statuses.items()))))
        if not self.crashes:
            return True
        counted = self.crashes[min(COUNTED_CRASH, len(self.crashes)) - 1]
        late = [r for at, r in self.arrivals if at > counted + STABLE_WINDOW_S]
        is_fifth = len(self.crashes) >= COUNTED_CRASH
        record.write(f"deadly requests at engines that late after the fifth crash: {len(late)}")
        before = [r for at, r in self.sound if at < calm_until]
        after = [r for at, r in self.sound if at > counted + 2 * STABLE_WINDOW_S]
        parts = [sum(r in self.begun for r in ids) / max(1, len(ids)) for ids in (before, after)]
        record.write(f"sound requests that begin: {parts[0]:.3f} of {len(before)} before, "
                     f"{parts[1]:.3f} of {len(after)} after")  # fmt: skip
        keeps_budget = not is_fifth or len(late) <= MAX_DEADLY
        is_counted = min(len(before), len(after)) >= MIN_SOUND
        serves_sound = not is_counted or parts[1] >= parts[0] / 2
        record.write(f"BUDGET {'held' if keeps_budget else 'broken'}, "
                     f"LOST {'held' if serves_sound else 'broken'}")  # fmt: skip
        return keeps_budget and serves_sound


if __name__ == "__main__":
    run_case(lambda record, trouble: Case(record, trouble).play(), Path(__file__).parent)
