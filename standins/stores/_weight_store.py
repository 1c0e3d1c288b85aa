"""Weight store: loads take time, and slow down when many run concurrently."""

import asyncio
from time import monotonic

import msgspec
from aiohttp import web

from standins import _http
from standins._config import WeightStoreConfig
from standins._http import json_error, json_response
from standins._rate import TokenBucket

LOAD_STEPS = 20


class WeightStoreFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields keep their state.

    :param outage: reply with status 503.
    :param slow_ms: delay before each load, in milliseconds.
    """

    outage: bool | None = None
    slow_ms: float | None = None


class WeightStoreServer:
    """Weight store as an aiohttp application."""

    def __init__(self, config: WeightStoreConfig) -> None:
        self.config = config
        self.rate = TokenBucket(config.loads_per_s, config.load_burst, monotonic())
        self.faults = WeightStoreFaults()
        self.counts = {"active": 0, "peak": 0, "served": 0, "refused": 0}
        self.app = web.Application(middlewares=[_http.handle_errors])
        self.app.add_routes(
            [
                web.get("/weights/{model}/{version}", self.get_weights),
                web.get("/stats", self.stats),
                web.post("/faults", self.set_faults),
                web.get("/faults", self.get_faults),
            ]
        )

    async def get_weights(self, request: web.Request) -> web.Response:
        """Return weights after the simulated load time."""
        await asyncio.sleep((self.faults.slow_ms or 0.0) / 1000)
        if self.faults.outage:
            raise json_error(503, "outage")
        wait_s = self.rate.try_acquire(monotonic())
        if wait_s:
            self.counts["refused"] += 1
            raise json_error(429, "over the load rate", wait_s)
        self.counts["active"] += 1
        self.counts["peak"] = max(self.counts["peak"], self.counts["active"])
        try:
            # In steps, as the speed changes when other loads start or end.
            for _ in range(LOAD_STEPS):
                slowdown = max(1.0, self.counts["active"] / self.config.parallel_loads)
                await asyncio.sleep(self.config.load_s * slowdown / LOAD_STEPS)
        finally:
            self.counts["active"] -= 1
        self.counts["served"] += 1
        return web.Response(body=bytes(self.config.weight_bytes))

    async def stats(self, request: web.Request) -> web.Response:
        """Return load counts."""
        return json_response(self.counts)

    async def get_faults(self, request: web.Request) -> web.Response:
        """Return the faults in effect."""
        return json_response(self.faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults; absent fields keep their state."""
        _http.merge(self.faults, await _http.read_struct(request, WeightStoreFaults))
        return json_response(self.faults)
