"""KV cache store: blocks by hash, with LRU eviction."""

import asyncio
from collections import OrderedDict

import msgspec
from aiohttp import web

from standins import _http
from standins._config import CacheStoreConfig
from standins._http import json_error, json_response, read_json


class CacheStoreFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields keep their state.

    :param outage: reply with status 503.
    :param slow_ms: delay before each answer, in milliseconds.
    :param forget: remove all blocks once.
    """

    outage: bool | None = None
    slow_ms: float | None = None
    forget: bool | None = None


class BlockStore:
    """Blocks in least recently used order, bounded by their total size."""

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.blocks: OrderedDict[str, bytes] = OrderedDict()
        self.used_bytes = 0

    def put(self, block_hash: str, data: bytes) -> None:
        """Store a block, and evict the least recently used ones above the capacity."""
        self.used_bytes += len(data) - len(self.blocks.pop(block_hash, b""))
        self.blocks[block_hash] = data
        while self.used_bytes > self.capacity_bytes:
            self.used_bytes -= len(self.blocks.popitem(last=False)[1])

    def get(self, block_hash: str) -> bytes | None:
        """Return a block, or None if it is not stored."""
        data = self.blocks.get(block_hash)
        if data is not None:
            self.blocks.move_to_end(block_hash)
        return data


class CacheStoreServer:
    """KV cache store as an aiohttp application."""

    def __init__(self, config: CacheStoreConfig) -> None:
        self.config = config
        self.core = BlockStore(config.capacity_bytes)
        self.faults = CacheStoreFaults()
        self.counts = {"gets": 0, "hits": 0, "puts": 0, "sent_bytes": 0, "received_bytes": 0}
        self.app = web.Application(
            middlewares=[_http.handle_errors], client_max_size=_http.MAX_BODY_BYTES
        )
        self.app.add_routes(
            [
                web.get("/blocks/{hash}", self.get_block),
                web.put("/blocks/{hash}", self.put_block),
                web.post("/blocks/lookup", self.lookup),
                web.get("/stats", self.stats),
                web.post("/faults", self.set_faults),
                web.get("/faults", self.get_faults),
            ]
        )

    async def _apply_faults(self, byte_count: int = 0) -> None:
        transfer_s = byte_count / self.config.bytes_per_s if self.config.bytes_per_s else 0.0
        await asyncio.sleep((self.faults.slow_ms or 0.0) / 1000 + transfer_s)
        if self.faults.outage:
            raise json_error(503, "outage")

    async def get_block(self, request: web.Request) -> web.Response:
        """Return a block."""
        data = self.core.get(request.match_info["hash"])
        await self._apply_faults(len(data or b""))
        self.counts["gets"] += 1
        if data is None:
            raise json_error(404, "no such block")
        self.counts["hits"] += 1
        self.counts["sent_bytes"] += len(data)
        return web.Response(body=data)

    async def put_block(self, request: web.Request) -> web.Response:
        """Store a block."""
        data = await request.read()
        await self._apply_faults()
        self.core.put(request.match_info["hash"], data)
        self.counts["puts"] += 1
        self.counts["received_bytes"] += len(data)
        return json_response({})

    async def lookup(self, request: web.Request) -> web.Response:
        """Return the hashes whose blocks are stored, in the order of the request."""
        await self._apply_faults()
        requested = (await read_json(request))["hashes"]
        return json_response({"hashes": [h for h in requested if h in self.core.blocks]})

    async def stats(self, request: web.Request) -> web.Response:
        """Return call counts, and the number and total size of the blocks."""
        return json_response(
            {**self.counts, "blocks": len(self.core.blocks), "used_bytes": self.core.used_bytes}
        )

    async def get_faults(self, request: web.Request) -> web.Response:
        """Return the faults in effect."""
        return json_response(self.faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults; absent fields keep their state."""
        update = await _http.read_struct(request, CacheStoreFaults)
        if update.forget:
            self.core = BlockStore(self.config.capacity_bytes)
            update.forget = None
        _http.merge(self.faults, update)
        return json_response(self.faults)
