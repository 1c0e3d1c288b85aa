"""HTTP server of the host list."""

import asyncio
from time import monotonic
from typing import Any

import msgspec
from aiohttp import web

from standins import _http
from standins._config import HostsConfig
from standins._http import json_error, json_response, read_json
from standins.hosts._core import HostListCore


class HostListFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields keep their state.

    :param lag_s: delay until subsequent changes become visible, in seconds.
    :param outage: reply with status 503.
    :param slow_ms: delay before each answer, in milliseconds.
    """

    lag_s: float | None = None
    outage: bool | None = None
    slow_ms: float | None = None


class HostListServer:
    """Host list as an aiohttp application.

    ``PUT /hosts/{host}`` sets fields of an entry, ``DELETE`` removes it, and ``POST /hosts`` sets
    several entries. With ``?now=1`` a change skips the lag.
    """

    def __init__(self, config: HostsConfig) -> None:
        self.config = config
        self.core = HostListCore()
        self.faults = HostListFaults(lag_s=config.lag_s)
        for entry in config.hosts:
            self.core.schedule_change(entry["host"], {"state": "live", **entry}, 0.0)
        self.app = web.Application(middlewares=[_http.handle_errors])
        self.app.add_routes(
            [
                web.get("/hosts", self.get_hosts),
                web.post("/hosts", self.post_hosts),
                web.put("/hosts/{host}", self.put_host),
                web.delete("/hosts/{host}", self.delete_host),
                web.post("/faults", self.set_faults),
                web.get("/faults", self.get_faults),
            ]
        )

    async def get_hosts(self, request: web.Request) -> web.Response:
        """Return the list, in which changes appear ``lag_s`` after they were made."""
        await asyncio.sleep((self.faults.slow_ms or 0.0) / 1000)
        if self.faults.outage:
            raise json_error(503, "outage")
        return json_response({"hosts": self.core.read_hosts(monotonic())})

    def _change(self, request: web.Request, host: str, entry: dict[str, Any] | None) -> None:
        lag_s = 0.0 if request.query.get("now") else self.faults.lag_s or 0.0
        self.core.schedule_change(host, entry, monotonic() + lag_s)

    async def post_hosts(self, request: web.Request) -> web.Response:
        """Set several entries."""
        for entry in (await read_json(request))["hosts"]:
            self._change(request, entry["host"], {"state": "live", **entry})
        return json_response({})

    async def put_host(self, request: web.Request) -> web.Response:
        """Set fields of an entry."""
        self._change(request, request.match_info["host"], await read_json(request))
        return json_response({})

    async def delete_host(self, request: web.Request) -> web.Response:
        """Remove an entry."""
        self._change(request, request.match_info["host"], None)
        return json_response({})

    async def get_faults(self, request: web.Request) -> web.Response:
        """Return the faults in effect."""
        return json_response(self.faults)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set faults; absent fields keep their state."""
        _http.merge(self.faults, await _http.read_struct(request, HostListFaults))
        return json_response(self.faults)
