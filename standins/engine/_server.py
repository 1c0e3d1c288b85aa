"""HTTP server of the simulated model engine."""

import asyncio
import time
from collections import deque
from collections.abc import AsyncIterator
from time import monotonic
from typing import Any

import msgspec
from aiohttp import ClientSession, web

from standins import _http
from standins._config import EngineConfig
from standins._credentials import ReceivedFields
from standins._http import ConnectionDropped, Handler, json_error, json_response, read_json
from standins._text import render_prompt
from standins.engine._core import NO_SALT, EngineCore, Sequence
from standins.engine._faults import EngineFaults, StreamFault
from standins.engine._orders import OrderExecutor, OrderRequest
from standins.engine._sse import CONTENT_TYPE, DONE, Framing, reuse_headers
from standins.engine._transfer import Transfer

# Number of steps after which to yield to the event loop if steps cost almost no time.
STEPS_PER_YIELD = 8
MAX_CATCH_UP_S = 0.05
EVENT_POLL_S = 0.005
_TEST_PATHS = {"/faults", "/audit", "/audit/watch"}
# Polled continually: scanned for credentials, but not stored.
_POLLED_PATHS = {"/load", "/cache/events", "/cache/snapshot"}


class EngineServer:
    """Model engine as an aiohttp application."""

    def __init__(self, config: EngineConfig) -> None:
        self.config = config
        self.core = EngineCore(config, monotonic())
        self.faults = EngineFaults(freeze=False)
        self.received = ReceivedFields(config.audit_ring)
        self.audited: deque[Sequence] = deque(maxlen=config.audit_ring)
        self.samples: deque[tuple[float, dict[str, Any]]] = deque(maxlen=1000)
        self.progress_events: dict[str, asyncio.Event] = {}
        self.ids = 0
        self.down_until = 0.0
        self.new_work = asyncio.Event()
        self.not_frozen = asyncio.Event()
        self.not_frozen.set()
        self.app = web.Application(
            middlewares=[_http.handle_errors, self._apply_faults],
            client_max_size=_http.MAX_BODY_BYTES,
        )
        self.app.cleanup_ctx.append(self._tasks)
        self.app.add_routes(
            [
                web.post("/v1/completions", self.complete),
                web.post("/v1/chat/completions", self.complete),
                web.post("/cancel", self.cancel),
                web.get("/cache/events", self.cache_events),
                web.get("/cache/snapshot", self.cache_snapshot),
                web.post("/cache/export", self.cache_export),
                web.post("/cache/import", self.cache_import),
                web.get("/load", self.load),
                web.post("/orders", self.post_order),
                web.get("/orders", self.get_orders),
                web.get("/audit", self.audit),
                web.post("/audit/watch", self.watch),
                web.post("/faults", self.set_faults),
                web.get("/faults", self.get_faults),
            ]
        )

    async def _tasks(self, app: web.Application) -> AsyncIterator[None]:
        async with ClientSession() as session:
            self.transfer = Transfer(self.core, session)
            self.orders = OrderExecutor(self.core, session)
            tasks = [
                asyncio.create_task(self._run_steps()),
                asyncio.create_task(self._sample_load()),
            ]
            yield
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self.orders.close()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if request.path == "/faults":
            return await handler(request)
        if monotonic() < self.down_until:
            raise ConnectionDropped
        await self.not_frozen.wait()
        if request.path not in _TEST_PATHS:
            await self._record(request)
        return await handler(request)

    async def _record(self, request: web.Request) -> None:
        data = await request.read()
        try:
            body = msgspec.json.decode(data)
        except msgspec.DecodeError:
            body = None
        request_id = body.get("request_id", "") if isinstance(body, dict) else ""
        headers = _http.header_list(request)
        self.received.add(
            str(request_id),
            request.method,
            request.path_qs,
            headers,
            body,
            data,
            keep=request.path not in _POLLED_PATHS,
        )

    async def _run_steps(self) -> None:
        due = monotonic()
        steps = 0
        while True:
            if not self.core.has_work:
                self.new_work.clear()
                await self.new_work.wait()
            await self.not_frozen.wait()
            now = monotonic()
            result = self.core.step(now)
            due = max(due, now - MAX_CATCH_UP_S) + result.cost_s
            steps += 1
            if due > now:
                await asyncio.sleep(due - now)
            elif steps % STEPS_PER_YIELD == 0:
                await asyncio.sleep(0)
            for sequence in result.touched:
                self._signal_progress(sequence)

    def _signal_progress(self, sequence: Sequence) -> None:
        progress = self.progress_events.get(sequence.request_id)
        if progress is not None:
            progress.set()

    async def _sample_load(self) -> None:
        while True:
            self.samples.append((monotonic(), self.core.load_report()))
            await asyncio.sleep(self.config.load_sample_s)

    def _sequence(self, body: Any, chat: bool) -> Sequence:
        if not isinstance(body, dict) or ("messages" if chat else "prompt") not in body:
            raise json_error(400, "no prompt")
        model = str(body.get("model", ""))
        if not self.core.has_model(model):
            raise json_error(404, f"model {model} is not loaded")
        self.ids += 1
        try:
            salt = bytes.fromhex(body["cache_salt"]) if body.get("cache_salt") else NO_SALT
            return Sequence(
                request_id=str(body.get("request_id") or f"{self.config.id}-{self.ids}"),
                text=render_prompt(body),
                salt=salt,
                max_tokens=int(body.get("max_tokens", 16)),
                priority=int(body.get("priority", 0)),
                model=model or self.core.model,
                received_at=time.monotonic(),
            )
        except (TypeError, ValueError, KeyError, AttributeError) as error:
            raise json_error(400, f"malformed request: {error}") from error

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Handle a completion or chat request."""
        chat = request.path.endswith("/chat/completions")
        body = await read_json(request)
        reject = self.faults.reject
        if reject is not None and reject.count > 0:
            reject.count -= 1
            raise json_error(reject.status, "refused by a fault")
        sequence = self._sequence(body, chat)
        if not self.core.submit(sequence):
            raise json_error(409, f"request {sequence.request_id} is running")
        self.audited.append(sequence)
        progress = self.progress_events[sequence.request_id] = asyncio.Event()
        self.new_work.set()
        framing = Framing(sequence, chat)
        try:
            if body.get("stream"):
                return await self._stream(request, sequence, framing, progress)
            while not sequence.finish_reason:
                progress.clear()
                await progress.wait()
            if sequence.finish_reason == "crashed":
                raise ConnectionDropped
            return json_response(framing.full_body(), headers=reuse_headers(sequence))
        except ConnectionResetError:
            raise ConnectionDropped from None
        finally:
            if self.progress_events.get(sequence.request_id) is progress:
                del self.progress_events[sequence.request_id]
            if not sequence.finish_reason:
                self.core.cancel(sequence.request_id)
            sequence.release()

    async def _stream(
        self, request: web.Request, sequence: Sequence, framing: Framing, progress: asyncio.Event
    ) -> web.StreamResponse:
        abort_fault = _consume_fault(self.faults.die_mid_stream)
        sse_fault = None if abort_fault else _consume_fault(self.faults.sse)
        fault = abort_fault or sse_fault
        limit = fault.after_tokens if fault else None
        await progress.wait()
        if sequence.finish_reason == "crashed":
            raise ConnectionDropped
        response = web.StreamResponse(headers=reuse_headers(sequence))
        response.content_type = CONTENT_TYPE
        await response.prepare(request)
        sent = 0
        while True:
            progress.clear()
            end = len(sequence.tokens) if limit is None else min(limit, len(sequence.tokens))
            if end > sent:
                await response.write(framing.tokens(sequence.tokens[sent:end]))
                sent = end
            if limit is not None and (sent >= limit or sequence.finish_reason):
                break
            if sequence.finish_reason and sent == len(sequence.tokens):
                break
            if not sequence.finish_reason:
                await progress.wait()
        if sequence.finish_reason == "crashed" or abort_fault:
            raise ConnectionDropped
        await response.write(
            framing.faulty_end(sse_fault.mode) if sse_fault else framing.final_event() + DONE
        )
        return response

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a request."""
        body = await read_json(request)
        sequence = self.core.cancel(str(body.get("request_id", "")))
        if sequence is not None:
            self._signal_progress(sequence)
        return json_response({"cancelled": sequence is not None})

    async def cache_events(self, request: web.Request) -> web.Response:
        """Return the cache events after a sequence number; wait if there are none yet."""
        after = _http.query_int(request, "after", 0)
        deadline = monotonic() + _http.query_int(request, "wait_ms", 0) / 1000
        incarnation = self.core.incarnation
        events = self.core.cache.read_events(after, monotonic())
        while not events and monotonic() < deadline:
            await asyncio.sleep(min(EVENT_POLL_S, max(deadline - monotonic(), 0)))
            if incarnation != self.core.incarnation:
                raise ConnectionDropped
            events = self.core.cache.read_events(after, monotonic())
        await self.not_frozen.wait()
        return json_response({"incarnation": self.core.incarnation, "events": events})

    async def cache_snapshot(self, request: web.Request) -> web.Response:
        """Return the hashes of all cached blocks, and the number of the last event included."""
        cache = self.core.cache
        hashes = [block.hash for block in cache.blocks.values()]
        return json_response(
            {"incarnation": self.core.incarnation, "seq": cache.seq, "hashes": hashes}
        )

    async def cache_export(self, request: web.Request) -> web.Response:
        """Return cached blocks, or save them to the store at ``target``."""
        return await self.transfer.export_blocks(await read_json(request))

    async def cache_import(self, request: web.Request) -> web.Response:
        """Fetch blocks from the engine or store at ``source``."""
        return await self.transfer.import_blocks(await read_json(request))

    async def load(self, request: web.Request) -> web.Response:
        """Return the newest load report that is at least ``load_lag_s`` old, else the oldest."""
        now = monotonic()
        while len(self.samples) > 1 and self.samples[1][0] <= now - self.config.load_lag_s:
            self.samples.popleft()
        sampled_at, report = self.samples[0]
        return json_response({**report, "age_ms": round((now - sampled_at) * 1000)})

    async def post_order(self, request: web.Request) -> web.Response:
        """Execute an order; the reply is sent once it has completed."""
        order = await _http.read_struct(request, OrderRequest)
        if self.faults.fail_orders:
            self.faults.fail_orders -= 1
            raise json_error(500, "failed by a fault")
        return json_response(await self.orders.execute(order))

    async def get_orders(self, request: web.Request) -> web.Response:
        """Return the orders received so far."""
        return json_response({"fence": self.orders.fence, "orders": self.orders.history})

    async def audit(self, request: web.Request) -> web.Response:
        """Return the blocks that each request reused, and possible credentials received."""
        only_id = request.query.get("request_id")
        requests = [
            _audit_entry(s) for s in self.audited if only_id is None or s.request_id == only_id
        ]
        received = [
            r for r in self.received.requests if only_id is None or r["request_id"] == only_id
        ]
        return json_response(
            {
                "engine": self.config.id,
                "incarnation": self.core.incarnation,
                "generated_tokens": self.core.generated_tokens,
                "prefilled_tokens": self.core.prefilled_tokens,
                "requests": requests,
                "received": received,
                "suspects": list(self.received.suspects),
            }
        )

    async def watch(self, request: web.Request) -> web.Response:
        """Set the values to search for in all later requests."""
        self.received.watched_values = (await _http.read_struct(request, _http.WatchRequest)).values
        return json_response({})

    async def get_faults(self, request: web.Request) -> web.Response:
        """Return the faults in effect."""
        return json_response(self.faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults; absent fields keep their state."""
        update = await _http.read_struct(request, EngineFaults)
        crash, update.crash_and_return = update.crash_and_return, None
        _http.merge(self.faults, update)
        events = self.core.event_faults
        events.drop_fraction = self.faults.drop_events or 0.0
        events.delay_s = self.faults.delay_events_s or 0.0
        events.duplicate_fraction = self.faults.duplicate_events or 0.0
        if self.faults.freeze:
            self.not_frozen.clear()
        else:
            self.not_frozen.set()
        if crash is not None:
            self.down_until = monotonic() + crash.down_s
            self.orders.cancel_loads()
            # A restarted process has no load reports of its predecessor.
            self.samples.clear()
            for sequence in self.core.restart(monotonic()):
                self._signal_progress(sequence)
            self.samples.append((monotonic(), self.core.load_report()))
        return json_response(self.faults)


def _consume_fault(fault: StreamFault | None) -> StreamFault | None:
    if fault is None or fault.count <= 0:
        return None
    fault.count -= 1
    return fault


def _audit_entry(sequence: Sequence) -> dict[str, Any]:
    return {
        "request_id": sequence.request_id,
        "received_at": sequence.received_at,
        "salt": sequence.salt.hex(),
        "model": sequence.model,
        "weights": sequence.weights,
        "incarnation": sequence.incarnation,
        "priority": sequence.priority,
        "prompt_tokens": sequence.prompt_tokens,
        "cached_tokens": sequence.cached_tokens,
        "output_tokens": sequence.output_tokens,
        "finish_reason": sequence.finish_reason,
        "reused": sequence.reused,
    }
