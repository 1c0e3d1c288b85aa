"""Weight store: loads take time, and longer while many run at once."""

import asyncio
from time import monotonic

import msgspec
from aiohttp import web

from standins import _http
from standins._config import WeightStoreConfig
from standins._http import json_error, json_response
from standins._rate import RateLimit

LOAD_PARTS = 20


class WeightStoreFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields change nothing.

    :param outage: answer 503.
    :param slow_ms: wait before each load, in milliseconds.
    """

    outage: bool | None = None
    slow_ms: float | None = None


class WeightStoreServer:
    """Weight store as an aiohttp application."""

    def __init__(self, config: WeightStoreConfig) -> None:
        self.config = config
        self.rate = RateLimit(config.loads_per_s, config.load_burst, monotonic())
        self.faults = WeightStoreFaults()
        self.counts = {"active": 0, "peak": 0, "served": 0, "refused": 0}
        self.app = web.Application(middlewares=[_http.answer_errors])
        self.app.add_routes(
            [
                web.get("/weights/{model}/{version}", self.get_weights),
                web.get("/stats", self.stats),
                web.post("/faults", self.set_faults),
                web.get("/faults", self.get_faults),
            ]
        )

    async def get_weights(self, request: web.Request) -> web.Response:
        """Answer weights after the time of a load."""
        await asyncio.sleep((self.faults.slow_ms or 0.0) / 1000)
        if self.faults.outage:
            raise json_error(503, "outage")
        wait_s = self.rate.try_take(monotonic())
        if wait_s:
            self.counts["refused"] += 1
            raise json_error(429, "over the load rate", wait_s)
        self.counts["active"] += 1
        self.counts["peak"] = max(self.counts["peak"], self.counts["active"])
        try:
            # In parts, because loads that start or end change the speed of those under way.
            for _ in range(LOAD_PARTS):
                slowdown = max(1.0, self.counts["active"] / self.config.parallel_loads)
                await asyncio.sleep(self.config.load_s * slowdown / LOAD_PARTS)
        finally:
            self.counts["active"] -= 1
        self.counts["served"] += 1
        return web.Response(body=bytes(self.config.weight_bytes))

    async def stats(self, request: web.Request) -> web.Response:
        """Answer counts of loads."""
        return json_response(self.counts)

    async def get_faults(self, request: web.Request) -> web.Response:
        """Answer the faults that are switched on."""
        return json_response(self.faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Switch faults; fields that are absent keep their state."""
        _http.merge(self.faults, await _http.read_struct(request, WeightStoreFaults))
        return json_response(self.faults)
