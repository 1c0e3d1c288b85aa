"""HTTP server of the log service."""

import asyncio
from base64 import b64encode
from collections import defaultdict
from time import monotonic

import msgspec
from aiohttp import web

from standins import _http
from standins._config import LogConfig
from standins._http import ConnectionDropped, json_error, json_response
from standins.log._core import LogCore

MAX_READ_RECORDS = 1000
MAX_WAIT_MS = 60_000
OUTAGE_RETRY_AFTER_S = 1.0


class TrimFault(msgspec.Struct, forbid_unknown_fields=True):
    """Remove the records of a stream below an offset, or all of them if none is given."""

    stream: str
    before: int | None = None


class LogFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields keep their state.

    :param outage: reply with status 503 to every append and read.
    :param slow_ms: delay before each answer, in milliseconds.
    :param lose_next_replies: number of next appends that take effect but get no reply.
    """

    outage: bool | None = None
    slow_ms: float | None = None
    lose_next_replies: int | None = None
    trim: TrimFault | None = None


class LogServer:
    """Log service as an aiohttp application."""

    def __init__(self, config: LogConfig) -> None:
        self.config = config
        self.core = LogCore(
            config.keep_records,
            config.keep_s,
            config.appends_per_s,
            config.append_burst,
            monotonic(),
        )
        self.faults = LogFaults()
        self.appended: dict[str, asyncio.Event] = defaultdict(asyncio.Event)
        self.counts = {"appends": 0, "refused": 0, "lost_replies": 0, "reads": 0}
        self.app = web.Application(
            middlewares=[_http.handle_errors], client_max_size=_http.MAX_BODY_BYTES
        )
        path = "/streams/{stream}/records"
        self.app.add_routes(
            [
                web.post(path, self.append),
                web.get(path, self.read),
                web.get("/stats", self.stats),
                web.post("/faults", self.set_faults),
                web.get("/faults", self.get_faults),
            ]
        )

    async def _apply_faults(self) -> None:
        await asyncio.sleep((self.faults.slow_ms or 0.0) / 1000)
        if self.faults.outage:
            raise json_error(503, "outage", OUTAGE_RETRY_AFTER_S)

    async def append(self, request: web.Request) -> web.Response:
        """Append the request body as one record."""
        data = await request.read()
        await self._apply_faults()
        now = monotonic()
        wait_s = self.core.rate.try_acquire(now)
        if wait_s:
            self.counts["refused"] += 1
            raise json_error(429, "over the append rate", wait_s)
        name = request.match_info["stream"]
        offset = self.core.stream(name, now).append(data, now)
        self.counts["appends"] += 1
        self.appended.pop(name, asyncio.Event()).set()
        if self.faults.lose_next_replies:
            self.faults.lose_next_replies -= 1
            self.counts["lost_replies"] += 1
            raise ConnectionDropped
        return json_response({"offset": offset})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset; wait if there are none yet."""
        start = _http.query_int(request, "from", 0)
        limit = min(_http.query_int(request, "limit", MAX_READ_RECORDS), MAX_READ_RECORDS)
        wait_ms = min(_http.query_int(request, "wait_ms", 0), MAX_WAIT_MS)
        deadline = monotonic() + wait_ms / 1000
        name = request.match_info["stream"]
        await self._apply_faults()
        self.counts["reads"] += 1
        while self.core.stream(name, monotonic()).next_offset <= start:
            event = self.appended[name]
            try:
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time() + deadline - monotonic()
                ):
                    await event.wait()
            except TimeoutError:
                break
        if self.faults.outage:
            raise json_error(503, "outage", OUTAGE_RETRY_AFTER_S)
        now = monotonic()
        stream = self.core.stream(name, now)
        if start < stream.first:
            raise json_error(410, "trimmed", first=stream.first)
        records = [
            {
                "offset": r.offset,
                "age_ms": round((now - r.appended_at) * 1000),
                "data": b64encode(r.data).decode(),
            }
            for r in stream.read(start, limit)
        ]
        return json_response(
            {"first": stream.first, "next": stream.next_offset, "records": records}
        )

    async def stats(self, request: web.Request) -> web.Response:
        """Return call counts and the offsets of each stream."""
        streams = {
            name: {"first": s.first, "next": s.next_offset} for name, s in self.core.streams.items()
        }
        return json_response({**self.counts, "streams": streams})

    async def get_faults(self, request: web.Request) -> web.Response:
        """Return the faults in effect."""
        return json_response(self.faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults; absent fields keep their state."""
        update = await _http.read_struct(request, LogFaults)
        trim, update.trim = update.trim, None
        _http.merge(self.faults, update)
        if trim is not None:
            stream = self.core.stream(trim.stream, monotonic())
            stream.trim(stream.next_offset if trim.before is None else trim.before)
        return json_response(self.faults)
