"""HTTP application of the entry."""

import asyncio
from collections.abc import Callable

from eliot import write_traceback
from result import Err, Ok, Result
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route as HttpRoute

from teaselpath.control import StatusPages
from teaselpath.entry._auth import check_caller
from teaselpath.entry._call import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    Call,
    HttpRequest,
    check_model_call,
    check_service_call,
    find_route,
)
from teaselpath.entry._responses import CallerStream, error_body, error_headers
from teaselpath.entry._service import EntryService
from teaselpath.results import Code, Failure, Ran, http_status
from teaselpath.utils import new_id


class EntryApp:
    """ASGI application of the entry.

    :param service: shared state and routing of the entry.
    """

    def __init__(self, service: EntryService):
        self.service = service

    def build(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                *StatusPages(self.service.plane, self.service.not_ready_reason).routes(),
                HttpRoute("/v1/models", self.models),
                HttpRoute("/{path:path}", _RawAsgiApp(self.call)),
            ]
        )

    async def models(self, request: Request) -> Response:
        """List the models of the bundle; requires a valid key."""
        bundle = self.service.plane.bundle
        if bundle is None:
            return _error_response(Failure(Code.NO_BUNDLE, "no bundle is in force"))
        caller = self._check_caller(_lower_headers(request.scope), None)
        if isinstance(caller, Err):
            return _error_response(caller.err_value)
        models = [
            {"id": model.id, "object": "model", "created": 0, "owned_by": "teaselpath"}
            for model in bundle.models
        ]
        return JSONResponse({"object": "list", "data": models})

    async def call(self, scope, receive, send) -> None:
        """Handle a call to a model or to a plain service."""
        request_id = new_id(self.service.random)
        arrived_at = self.service.clock()
        stream = CallerStream(send, is_event_stream=False)
        if scope["type"] != "http":
            return
        body = await _read_body(receive, self.service.settings.limits)
        checked = self._check(scope, body)
        if isinstance(checked, Err):
            self.service.observe_rejection(request_id, checked.err_value)
            await stream.fail(checked.err_value, request_id)
            return
        call = checked.ok_value
        stream.is_event_stream = call.stream
        try:
            await _run_until_disconnect(
                receive, lambda: self.service.serve(request_id, call, stream, arrived_at)
            )
        except Exception:
            # Without this the caller would see a programming error as a closed connection only.
            write_traceback()
            failure = Failure(Code.OUTCOME_UNKNOWN, "internal error", Ran.UNKNOWN)
            await stream.fail(failure, request_id)

    def _check_caller(self, headers: dict[str, str], route) -> Result:
        plane = self.service.plane
        assert plane.key_index is not None
        return check_caller(headers, plane.key_index, route)

    def _check(self, scope, body: Result[bytes, Failure]) -> Result[Call, Failure]:
        bundle = self.service.plane.bundle
        if bundle is None:
            return Err(Failure(Code.NO_BUNDLE, "no bundle is in force yet", retry_after_s=1.0))
        if isinstance(body, Err):
            return body
        path = scope["path"]
        is_model = path in (CHAT_PATH, COMPLETIONS_PATH)
        route = None if is_model else find_route(bundle, path)
        if not is_model and route is None:
            return Err(Failure(Code.UNKNOWN_ROUTE, f"no route for {path[:200]!r}"))
        headers = _lower_headers(scope)
        caller = self._check_caller(headers, route)
        if isinstance(caller, Err):
            return caller
        request = HttpRequest(
            scope["method"],
            scope.get("raw_path", path.encode()).decode("latin-1").partition("?")[0],
            scope["query_string"],
            headers,
            body.ok_value,
        )
        if route is not None:
            return check_service_call(request, route, bundle, caller.ok_value)
        if request.method != "POST":
            return Err(Failure(Code.METHOD_NOT_ALLOWED, "allowed: POST"))
        return check_model_call(request, bundle, caller.ok_value)


class _RawAsgiApp:
    """Wraps a bound coroutine method; Starlette treats a non-function as a raw ASGI application."""

    def __init__(self, app: Callable):
        self.app = app

    async def __call__(self, scope, receive, send) -> None:
        await self.app(scope, receive, send)


async def _run_until_disconnect(receive, start: Callable) -> None:
    """Run a coroutine, and cancel it when the caller closes the connection."""
    work = asyncio.ensure_future(start())
    watch = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
        await asyncio.gather(work, return_exceptions=False)
    except asyncio.CancelledError:
        work.cancel()
    finally:
        watch.cancel()


async def _wait_for_disconnect(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _read_body(receive, limits) -> Result[bytes, Failure]:
    """Read the whole request body within the size limit and the timeout."""
    parts: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(limits.body_timeout_s):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return Err(Failure(Code.CALLER_GONE, "the caller closed the connection"))
                parts.append(message.get("body", b""))
                size += len(parts[-1])
                if size > limits.body_bytes:
                    detail = f"the body is larger than {limits.body_bytes} bytes"
                    return Err(Failure(Code.BODY_TOO_LARGE, detail))
                if not message.get("more_body", False):
                    return Ok(b"".join(parts))
    except TimeoutError:
        detail = f"the body did not arrive within {limits.body_timeout_s} s"
        return Err(Failure(Code.REQUEST_TIMEOUT, detail))


def _lower_headers(scope) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]
    }


def _error_response(failure: Failure) -> Response:
    return Response(
        error_body(failure, ""),
        http_status(failure.code),
        headers=dict(error_headers(failure, "")),
    )
