"""HTTP server of the plain service."""

import asyncio
import time

import msgspec
from aiohttp import web

from standins import _http
from standins._config import ServiceConfig
from standins._credentials import ReceivedFields
from standins._http import ConnectionDropped, json_error, json_response
from standins.service._core import ServiceCore


class CrashFault(msgspec.Struct, forbid_unknown_fields=True):
    """Close the connection of the next calls without an answer.

    :param when: ``before`` or ``after`` the execution.
    """

    when: str = "after"
    count: int = 1


class StatusFault(msgspec.Struct, forbid_unknown_fields=True):
    """Reply to the next calls with an error, without executing them."""

    status: int = 503
    count: int = 1


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields keep their state.

    :param slow_ms: delay before each execution, in milliseconds.
    :param slow_reply_ms: delay after each execution, in milliseconds.
    """

    crash: CrashFault | None = None
    fail: StatusFault | None = None
    slow_ms: float | None = None
    slow_reply_ms: float | None = None


class ServiceServer:
    """Plain service as an aiohttp application."""

    def __init__(self, config: ServiceConfig) -> None:
        self.config = config
        self.core = ServiceCore()
        self.core.fill(config.records)
        self.faults = ServiceFaults()
        self.received = ReceivedFields(config.audit_ring)
        self.app = web.Application(
            middlewares=[_http.handle_errors], client_max_size=_http.MAX_BODY_BYTES
        )
        path = config.prefix + "/{collection}"
        self.app.add_routes(
            [
                web.get("/executions", self.get_executions),
                web.get("/audit", self.audit),
                web.post("/audit/watch", self.watch),
                web.post("/faults", self.set_faults),
                web.get("/faults", self.get_faults),
                web.route("*", path, self.call),
                web.route("*", path + "/{id}", self.call),
            ]
        )

    async def call(self, request: web.Request) -> web.Response:
        """Execute a call on a collection."""
        if request.method not in ("GET", "POST", "PUT", "DELETE"):
            raise json_error(405, f"method {request.method}")
        data = await request.read()
        received_at = time.monotonic()
        value = await _http.read_json(request) if data else None
        request_id = request.headers.get("X-Request-Id", "")
        headers = _http.header_list(request)
        self.received.add(request_id, request.method, request.path_qs, headers, value, data)
        faults = self.faults
        if faults.fail is not None and faults.fail.count > 0:
            faults.fail.count -= 1
            raise json_error(faults.fail.status, "refused by a fault")
        self._apply_crash_fault("before")
        await asyncio.sleep((self.config.service_ms + (faults.slow_ms or 0.0)) / 1000)
        status, body = self.core.execute(
            request.method,
            request.match_info["collection"],
            request.match_info.get("id", ""),
            value,
            request_id,
            request.headers.get("Idempotency-Key", ""),
            received_at,
        )
        self._apply_crash_fault("after")
        await asyncio.sleep((faults.slow_reply_ms or 0.0) / 1000)
        return json_response(body, status, {"X-Request-Id": request_id})

    def _apply_crash_fault(self, when: str) -> None:
        crash = self.faults.crash
        if crash is not None and crash.when == when and crash.count > 0:
            crash.count -= 1
            raise ConnectionDropped

    async def get_executions(self, request: web.Request) -> web.Response:
        """Return the number of executions by request id and by idempotency key."""
        return json_response(
            {
                "count": len(self.core.executions),
                "reads": self.core.reads,
                "by_request": self.core.by_request,
                "by_key": self.core.by_key,
                "executions": self.core.executions,
            }
        )

    async def audit(self, request: web.Request) -> web.Response:
        """Return the received requests, and possible credentials in them."""
        return json_response(
            {"received": list(self.received.requests), "suspects": list(self.received.suspects)}
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
        _http.merge(self.faults, await _http.read_struct(request, ServiceFaults))
        return json_response(self.faults)
