"""Test server with the platform's log, host list and stores on one loopback port."""

import asyncio
from base64 import b64encode

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer


class FakePlatform:
    """In-memory platform; ``mode`` selects how requests fail."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.mode = "up"
        self.blocks = {}
        self.hosts = []
        self.waited_ms = 0

    def app(self):
        """Return the application with the routes of the protocol."""
        app = web.Application()
        app.router.add_post("/streams/{stream}/records", self.append)
        app.router.add_get("/streams/{stream}/records", self.read)
        app.router.add_get("/hosts", self.list_hosts)
        app.router.add_post("/blocks/lookup", self.lookup)
        app.router.add_get("/blocks/{hash}", self.get_block)
        app.router.add_put("/blocks/{hash}", self.put_block)
        app.router.add_get("/weights/{model}/{version}", self.get_weights)
        return app

    async def append(self, request):
        """Append a record, or fail as ``mode`` says."""
        data = await request.read()
        if self.mode == "limited":
            return web.json_response({}, status=429, headers={"Retry-After": "2"})
        if self.mode == "down":
            return web.json_response({}, status=503)
        if self.mode != "lost":
            self.records.append(data)
        if self.mode in ("reply lost", "lost"):
            self.mode = "up"
            request.transport.close()
        return web.json_response({"offset": len(self.records) - 1})

    async def read(self, request):
        """Return records; unlike the real log it does not wait for new ones."""
        start, limit = int(request.query["from"]), int(request.query["limit"])
        self.waited_ms = int(request.query["wait_ms"])
        if self.mode == "hang":
            await asyncio.sleep(30)
        if self.mode == "down":
            return web.json_response({}, status=503)
        if start < self.first:
            return web.json_response({"first": self.first}, status=410)
        records = [
            {"offset": start + i, "age_ms": 5, "data": b64encode(data).decode()}
            for i, data in enumerate(self.records[start : start + limit])
        ]
        return web.json_response(
            {"first": self.first, "next": len(self.records), "records": records}
        )

    async def list_hosts(self, request):
        """Return the host list."""
        if self.mode == "garbage":
            return web.Response(text="{")
        return web.json_response({"hosts": self.hosts}, status=503 if self.mode == "down" else 200)

    async def lookup(self, request):
        """Return which of the requested blocks are stored."""
        requested = (await request.json())["hashes"]
        return web.json_response({"hashes": [name for name in requested if name in self.blocks]})

    async def get_block(self, request):
        """Return a block."""
        block = self.blocks.get(request.match_info["hash"])
        return web.Response(body=block, status=404 if block is None else 200)

    async def put_block(self, request):
        """Store a block."""
        self.blocks[request.match_info["hash"]] = await request.read()
        return web.Response(status=204)

    async def get_weights(self, request):
        """Return weights, or 429 if ``mode`` is ``limited``."""
        if self.mode == "limited":
            return web.Response(status=429, headers={"Retry-After": "1.5"})
        return web.Response(body=b"weights")


def run_with(platform, function):
    """Serve the platform and run ``function(session, url, deadline)`` against it."""

    async def main():
        async with TestServer(platform.app()) as server, aiohttp.ClientSession() as session:
            deadline = asyncio.get_running_loop().time() + 10.0
            return await function(session, str(server.make_url("/")), deadline)

    return asyncio.run(main())
