"""Parts of the HTTP layer that all stand-ins share."""

from collections.abc import Awaitable, Callable
from math import ceil
from typing import Any, TypeVar

import msgspec
from aiohttp import web

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
T = TypeVar("T")
MAX_BODY_BYTES = 64 << 20


class WatchRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /audit/watch``: values that no endpoint should ever see."""

    values: list[str]


class ConnectionCut(Exception):
    """The stand-in closes the connection without an answer."""


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer ``JsonError``, and close the connection at ``ConnectionCut``."""
    try:
        return await handler(request)
    except JsonError as error:
        return error.response
    except ConnectionCut:
        abort(request)
        return web.Response(status=500)


def abort(request: web.Request) -> None:
    """Drop the connection of a request at once."""
    if request.transport is not None:
        request.transport.abort()


async def read_json(request: web.Request) -> Any:
    """Return the decoded body, or answer 400."""
    try:
        return msgspec.json.decode(await request.read())
    except msgspec.DecodeError as error:
        raise json_error(400, str(error)) from error


async def read_struct(request: web.Request, kind: type[T]) -> T:
    """Return the body as a struct, or answer 400."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except msgspec.DecodeError as error:
        raise json_error(400, str(error)) from error


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type="application/json",
    )


class JsonError(Exception):
    """An error answer with a JSON body; ``answer_errors`` sends it."""

    def __init__(self, response: web.Response) -> None:
        super().__init__(response.status)
        self.response = response


def json_error(status: int, detail: str, retry_after_s: float = 0.0, **fields: Any) -> JsonError:
    """Return an exception that answers with an error body.

    ``Retry-After`` is in whole seconds, as HTTP has it; the body has the exact value.
    """
    value = {"error": {"message": detail}, **fields}
    headers = None
    if retry_after_s:
        value["retry_after_ms"] = ceil(retry_after_s * 1000)
        headers = {"Retry-After": str(ceil(retry_after_s))}
    return JsonError(json_response(value, status, headers))


def header_list(request: web.Request) -> list[tuple[str, str]]:
    """Return the headers of a request in their order."""
    return [(str(name), value) for name, value in request.headers.items()]


def query_int(request: web.Request, name: str, default: int) -> int:
    """Return a whole number from the query, or answer 400."""
    try:
        return int(request.query.get(name, default))
    except ValueError as error:
        raise json_error(400, f"{name} is not a whole number") from error


def merge(target: msgspec.Struct, wanted: msgspec.Struct) -> None:
    """Copy the fields that are not ``None``."""
    for name in wanted.__struct_fields__:
        value = getattr(wanted, name)
        if value is not None:
            setattr(target, name, value)
