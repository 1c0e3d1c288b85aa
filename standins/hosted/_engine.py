"""Simulated model engines and plain services: prefix cache, orders, cache events and faults."""

import asyncio
import json
import socket
import struct
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from urllib.parse import parse_qsl, urlsplit

from standins.hosted._answers import answer_of, events_of, shared_parts_of, stamp_of
from standins.hosted._engine_faults import EngineFaults
from standins.hosted._records import Order, Refusal, Run
from teaselpath.http1 import Exchange, ServerConnection, encode_head

EVENT_INTERVAL_S = 0.004
# Delay of a slow answer in seconds, longer than twice the target latency of the routes.
SLOW_START_S = 2.6
# Interval between the comments of a stalled stream, in seconds.
STALL_INTERVAL_S = 0.1
WEIGHTS_LOAD_S = 0.15
CLOSE = (b"Connection", b"close")
PREFILL_TOKENS_PER_S = 400_000
MAX_EVENTS = 4_000
# Bytes that a faulty engine sends at most, so that a test cannot fill the memory of the machine.
MAX_FLOOD_BYTES = 256 << 20


@dataclass(slots=True)
class _Part:
    tokens: int
    weights: int


class HostedEngine:
    """A model engine, or a plain service if it has no model.

    :param runs: list shared by all engines, to which each started request is appended.
    :ivar software: version of its software in its entry; None for none.
    :ivar event_interval_s: time between the events of a stream, in seconds.
    :ivar deadly_parts: ids of prompt parts that end the process as it begins an answer on them.
    :ivar deadly_bodies: bodies of requests that end the process as it begins to run them.
    :ivar limit: value of the header field with the requests per second that it takes; None for no
        such field.
    :ivar pace: fourth figure of its stated load; None for no such figure.
    :ivar silent_until: time until which it sends nothing, as ``time.monotonic`` returns it.
    :ivar hold_offs: the next requests are refused with these values of Retry-After.
    :ivar leaving: value of the header field of all its answers that it leaves; None if it stays.
    :ivar arrivals: times at which requests reached it, those that it refused included.
    :ivar arrival_ids: ids of these requests.
    :ivar end_process: ends the process of this engine.
    :ivar flooded_bytes: bytes sent by the fault ``floods``.
    :ivar held_tokens: prompt and output tokens of the requests that it runs.
    :ivar most_held_tokens: the most of them at any time.
    :ivar late_copies: refusals that the fault ``repeats`` sends once more, by connection.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        runs: list[Run],
        random: Random,
        *,
        model: str | None = None,
        version: int = 1,
        slots: int = 8,
    ):
        self.endpoint_id = endpoint_id
        self.service = service
        self.runs = runs
        self.random = random
        self.model = model
        self.version = version
        self.slots = slots
        self.faults = EngineFaults()
        self.software: object = "v1"
        self.event_interval_s = EVENT_INTERVAL_S
        self.limit: str | None = None
        self.pace: str | None = None
        self.silent_until = 0.0
        self.leaving: str | None = None
        self.hold_offs: deque[str] = deque()
        self.arrivals: list[float] = []
        self.arrival_ids: list[str] = []
        self.refusals: list[Refusal] = []
        self.deadly_parts: set[str] = set()
        self.deadly_bodies: set[bytes] = set()
        self.end_process: Callable[[], None] = _never_ends
        self.parts: dict[tuple[str, str], _Part] = {}
        self.events: list[list[object]] = []
        self.changed = asyncio.Event()
        self.epoch = random.randrange(1 << 30)
        self.running = 0
        self.is_loading = False
        self.accepted_orders = 0
        self.orders: list[Order] = []
        self.state = "ready"
        self.started_at_ms = int(time.time() * 1000)
        self.heartbeats = 0
        self.flooded_bytes = 0
        self.held_tokens = 0
        self.most_held_tokens = 0
        self.late_copies: dict[ServerConnection, bytes] = {}

    def entry(self, address: str, zone: str) -> dict[str, object]:
        """Return the record of this engine for the metadata store, with the next heartbeat."""
        self.heartbeats += 1
        models = [{"name": self.model, "version": self.version}] if self.model else []
        software = {} if self.software is None else {"version": self.software}
        return {
            **software,
            "service": self.service,
            "address": address,
            "zone": zone,
            "slots": self.slots,
            "state": self.state,
            "models": models,
            "born": self.started_at_ms,
            "seq": self.heartbeats,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Handle one HTTP request."""
        await self._wait_while_silent()
        parts = urlsplit(exchange.request.target.decode())
        match parts.path:
            case "/-/report":
                self._json(exchange, 200, self._report())
            case "/-/order":
                await self._order(exchange)
            case "/-/kv-events":
                await self._events(exchange, dict(parse_qsl(parts.query)))
            case "/-/kv-list":
                held = [[s, p, part.tokens, self.model] for (s, p), part in self.parts.items()]
                page = {"bootEpoch": self.epoch, "nextToken": len(self.events), "held": held}
                self._json(exchange, 200, page)
            case path:
                await self._run(exchange, path)

    async def _wait_while_silent(self) -> None:
        while (silent_s := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(silent_s)

    def _json(self, exchange: Exchange, status: int, body: object) -> None:
        headers = [(b"Content-Type", b"application/json"), *self._leaving_headers()]
        exchange.respond(status, headers, json.dumps(body).encode())

    def _leaving_headers(self) -> list[tuple[bytes, bytes]]:
        return [] if self.leaving is None else [(b"Server-Leaving", self.leaving.encode())]

    def _load_text(self) -> bytes:
        pace = "" if self.pace is None else f",{self.pace}"
        return f"{self.running},0,{self.slots}{pace}".encode()

    def _report(self) -> dict[str, object]:
        return {
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "busy": self.is_loading,
            "seq": self.accepted_orders,
            "running": self.running,
            "waiting": 0,
        }

    async def _events(self, exchange: Exchange, query: dict[str, str]) -> None:
        if self.random.random() < self.faults.polls_unanswered:
            await asyncio.sleep(10.0)
        since = int(query.get("since", 0))
        wait_s = float(exchange.request.header(b"wait-ms") or 0) / 1000
        if since >= len(self.events) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        page = self.events[since : since + 500]
        body = {
            "bootEpoch": self.epoch,
            "nextToken": since + len(page),
            "lost": False,
            "events": page,
        }
        self._json(exchange, 200, body)

    async def _order(self, exchange: Exchange) -> None:
        order = json.loads(exchange.request.body)
        expected = order.get("expect")
        if (expected is not None and expected != self.accepted_orders) or self.is_loading:
            status = 409
        elif order["version"] == self.version:
            status = 200
        else:
            status = 202
        self.orders.append(
            Order(time.monotonic(), order["holder"], order["fence"], order["version"], status)
        )
        if status == 202:
            self.accepted_orders += 1
            self.is_loading = True
            asyncio.get_running_loop().create_task(self._load(order["version"]))
        if self.random.random() < self.faults.orders_unanswered:
            await asyncio.sleep(10.0)
        exchange.respond(status, self._leaving_headers())

    async def _load(self, version: int) -> None:
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WEIGHTS_LOAD_S)
        self.version = version
        self.parts.clear()
        self.is_loading = False

    def _refusal(self, headers: dict[str, str]) -> int | None:
        if headers.get("expect-instance", self.endpoint_id) != self.endpoint_id:
            return 421
        if headers.get("expect-version", str(self.version)) != str(self.version):
            return 421
        if self.is_loading or self.running >= 4 * self.slots:
            return 503
        return 503 if self.random.random() < self.faults.sheds else None

    async def _run(self, exchange: Exchange, path: str) -> None:
        request = exchange.request
        headers = {k.decode().lower(): v.decode() for k, v in request.headers}
        request_id = headers.get("request-id", "")
        base = [
            (b"Request-Id", request_id.encode()),
            (b"Instance-Id", self.endpoint_id.encode()),
            (b"Server-Load", self._load_text()),
            *self._leaving_headers(),
        ]
        if self.limit is not None:
            base.append((b"Server-Limit", self.limit.encode()))
        self.arrivals.append(time.monotonic())
        self.arrival_ids.append(request_id)
        if self.hold_offs:
            refusal = Refusal(request_id, time.monotonic(), self.hold_offs.popleft())
            self.refusals.append(refusal)
            retry_after = (b"Retry-After", refusal.retry_after.encode())
            exchange.respond(503, [*base, retry_after, (b"Not-Run", b"1")])
            return
        status = self._refusal(headers)
        if status is not None:
            fields = [*base, (b"Not-Run", b"1")]
            exchange.respond(status, fields)
            if self._strikes(self.faults.repeats):
                kept = fields[self.random.randrange(2) :]
                copy = encode_head(status, [*kept, (b"Content-Length", b"0")])
                self.late_copies[exchange.connection] = copy
            return
        run = Run(
            request_id, self.endpoint_id, self.service, headers.get("tenant"), path,
            time.monotonic(), self.version, headers.get("cache-salt"), 0, headers, request.body,
            self.software,
        )  # fmt: skip
        self.runs.append(run)
        self.running += 1
        tokens = sum(int(count) for count in headers.get("token-counts", "0").split(","))
        self.held_tokens += tokens
        self.most_held_tokens = max(self.most_held_tokens, self.held_tokens)
        try:
            await self._answer(exchange, run, base)
        finally:
            self.running -= 1
            self.held_tokens -= tokens
            run.ended_at = time.monotonic()

    async def _answer(self, exchange: Exchange, run: Run, base: list[tuple[bytes, bytes]]) -> None:
        faults, chance = self.faults, self.random.random
        if self.model is not None:
            await self._prefill(run)
        else:
            await asyncio.sleep(0.005)
        has_deadly_part = not self.deadly_parts.isdisjoint(shared_parts_of(run.headers))
        if has_deadly_part or run.body in self.deadly_bodies:
            self.end_process()
            return
        if chance() < faults.mute:
            await asyncio.sleep(60.0)
        if chance() < faults.slow:
            await asyncio.sleep(SLOW_START_S)
        if chance() < faults.lost:
            exchange.abort()
            return
        exchange.connection.write(self.late_copies.pop(exchange.connection, b""))
        stamp = (b"Response-Stamp", stamp_of(run.request_id).encode())
        if chance() < faults.errors:
            exchange.respond(500, [*base, stamp], b"error")
            return
        if chance() < faults.encoded:
            # Compressed bytes may contain the byte sequence that separates events.
            coding = (b"Content-Encoding", b"gzip")
            exchange.respond(200, [*base, stamp, coding], b"id: 1\ndata: \x1f\x8b\x08\n\n")
            return
        is_unframed = chance() < faults.unframed
        if self._strikes(faults.cut_heads):
            fields = [*base, stamp] if is_unframed else [*base, stamp, (b"Content-Length", b"9")]
            head = encode_head(200, fields)
            exchange.connection.write(head[: self.random.randrange(len(head) + 1)])
            self._cut(exchange)
            return
        if self.model is not None:
            await self._stream(exchange, run, [*base, stamp], is_unframed=is_unframed)
            return
        if chance() < faults.floods:
            exchange.connection.write(b"HTTP/1.1 200 OK\r\n")
            await self._repeat(exchange, b"Filler: bytes\r\n" * 512, 0.0)
        body = answer_of(run.request_id)
        if is_unframed:
            sent = body[: len(body) // 2] if faults.resets else body
            exchange.connection.write(encode_head(200, [*base, stamp, CLOSE]) + sent)
            self._cut(exchange)
            return
        if chance() < faults.cuts:
            exchange.start(200, [*base, stamp], len(body))
            exchange.write(body[: len(body) // 2])
            self._cut(exchange)
            return
        exchange.respond(200, [*base, stamp], body)
        if chance() < faults.extra:
            late = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nother"
            exchange.connection.write(late)

    async def _prefill(self, run: Run) -> None:
        listed = run.headers.get("prompt-prefix", "")
        uncached_tokens, prefix_is_cached = 0, True
        for entry in filter(None, listed.split(",")):
            part_id, _, size = entry.partition(":")
            key = (run.scope or "", part_id)
            cached = self.parts.get(key)
            if cached is not None and prefix_is_cached:
                run.stale_parts += cached.weights != self.version
                continue
            prefix_is_cached = False
            uncached_tokens += int(size)
            self.parts[key] = _Part(int(size), self.version)
            self.events.append(
                [len(self.events) + 1, "+", run.scope or "", part_id, int(size), self.model]
            )
        if uncached_tokens:
            self.changed.set()
            self.changed = asyncio.Event()
        await asyncio.sleep(0.002 + uncached_tokens / PREFILL_TOKENS_PER_S)

    async def _repeat(self, exchange: Exchange, block: bytes, pause_s: float) -> None:
        """Send a block of raw bytes again and again until the caller closes the connection."""
        for _ in range(MAX_FLOOD_BYTES // len(block)):
            exchange.connection.write(block)
            self.flooded_bytes += len(block)
            await exchange.drain()
            await asyncio.sleep(pause_s)

    async def _stream(
        self,
        exchange: Exchange,
        run: Run,
        headers: list[tuple[bytes, bytes]],
        *,
        is_unframed: bool,
    ) -> None:
        events = events_of(run.headers.get("resumes", run.request_id))
        if "last-event-id" in run.headers and self._strikes(self.faults.plain):
            document = [*headers, (b"Content-Type", b"application/json")]
            exchange.respond(200, document, b'{"events": []}\n\n')
            return
        first = self._first_event(run, len(events))
        cut_at = self.random.randrange(1, len(events) + 1)
        is_cut = self.random.random() < self.faults.cuts
        headers = [*headers, (b"Content-Type", b"text/event-stream")]
        if is_unframed:
            sent = events[first:cut_at] if is_cut else events[first:]
            rest = events[cut_at][:-4] if is_cut and first <= cut_at < len(events) else b""
            exchange.connection.write(encode_head(200, [*headers, CLOSE]) + b"".join(sent) + rest)
            self._cut(exchange)
            return
        exchange.start(200, headers)
        if self.random.random() < self.faults.stalls and first < len(events):
            exchange.write(events[first])
            await self._repeat(exchange, b"8\r\n: alive\n\r\n", STALL_INTERVAL_S)
        if self.random.random() < self.faults.floods and first < len(events):
            exchange.write(events[first])
            await self._repeat(exchange, b"2000\r\n" + b"x" * 8_192 + b"\r\n", 0.0)
        for number, event in enumerate(events[first:], first + 1):
            if is_cut and number >= cut_at:
                exchange.write(event[: len(event) // 2])
                self._cut(exchange)
                return
            await self._wait_while_silent()
            exchange.write(event)
            run.events += 1
            await exchange.drain()
            await asyncio.sleep(self.event_interval_s)
        exchange.finish()

    def _cut(self, exchange: Exchange) -> None:
        """Close the connection, or reset it if that fault is on."""
        transport = exchange.connection.transport
        if self.faults.resets and transport is not None:
            sock = transport.get_extra_info("socket")
            # Without lingering the kernel sends a reset instead of an orderly end.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            transport.abort()
        exchange.abort()

    def _strikes(self, probability: float) -> bool:
        """Return whether a fault strikes; one that is off leaves the random source alone."""
        return probability > 0 and self.random.random() < probability

    def _first_event(self, run: Run, count: int) -> int:
        """Return the number of events that the answer to a request leaves out."""
        first = int(run.headers.get("last-event-id", 0))
        if first and self._strikes(self.faults.restarts):
            return 0
        if 0 < first < count - 1 and self._strikes(self.faults.skips):
            return first + 1
        return first


def _never_ends() -> None:
    """Ignore the end of a process that nothing can end."""
