"""HTTP utilities shared by all stand-ins."""

from collections.abc import Awaitable, Callable
from math import ceil
from typing import Any, TypeVar

import msgspec
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
T = TypeVar("T")
MAX_BODY_BYTES = 64 << 20


class WatchRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /audit/watch``: values that must never reach an endpoint."""

    values: list[str]


class ConnectionDropped(Exception):
    """Raised by a handler to close the connection without an answer."""


@web.middleware
async def handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Send the response of a ``JsonError``; close the connection on ``ConnectionDropped``."""
    try:
        return await handler(request)
    except JsonError as error:
        return error.response
    except ConnectionDropped:
        abort(request)
        return web.Response(status=500)


def abort(request: web.Request) -> None:
    """Close the connection of a request immediately."""
    if request.transport is not None:
        request.transport.abort()


async def read_json(request: web.Request) -> Any:
    """Return the decoded JSON body; reply with status 400 if it is invalid."""
    try:
        return msgspec.json.decode(await request.read())
    except msgspec.DecodeError as error:
        raise json_error(400, str(error)) from error


async def read_struct(request: web.Request, kind: type[T]) -> T:
    """Return the body decoded as a struct; reply with status 400 if it is invalid."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.DecodeError as error:
        raise json_error(400, str(error)) from error


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


class JsonError(Exception):
    """An error response with a JSON body, sent by ``handle_errors``."""

    def __init__(self, response: web.Response) -> None:
        super().__init__(response.status)
        self.response = response


def json_error(status: int, detail: str, retry_after_s: float = 0.0, **fields: Any) -> JsonError:
    """Return an exception that sends an error response.

    HTTP defines ``Retry-After`` in whole seconds; the body has the time in milliseconds.
    """
    value = {"error": {"message": detail}, **fields}
    headers = None
    if retry_after_s:
        value["retry_after_ms"] = ceil(retry_after_s * 1000)
        headers = {"Retry-After": str(ceil(retry_after_s))}
    return JsonError(json_response(value, status, headers))


def header_list(request: web.Request) -> list[tuple[str, str]]:
    """Return the headers of a request in the order received."""
    return [(str(name), value) for name, value in request.headers.items()]


def query_int(request: web.Request, name: str, default: int) -> int:
    """Return an integer query parameter; reply with status 400 if it is invalid."""
    try:
        return int(request.query.get(name, default))
    except ValueError as error:
        raise json_error(400, f"{name} is not a whole number") from error


def merge(target: msgspec.Struct, update: msgspec.Struct) -> None:
    """Copy the fields of ``update`` that are not ``None`` to ``target``."""
    for name in update.__struct_fields__:
        value = getattr(update, name)
        if value is not None:
            setattr(target, name, value)
