"""HTTP calls with a deadline; failures are returned as values, not raised."""

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from teaselpath.results import Code, Failure

# Bounds the memory that a faulty server can use with its answer.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Answer:
    """HTTP response."""

    status: int
    body: bytes
    headers: dict[str, str]


@dataclass(slots=True, frozen=True)
class CallFailure:
    """Failure of an HTTP call without a usable response.

    :param was_sent: whether the request may have reached the server.
    """

    was_sent: bool
    detail: str


async def call(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    deadline: float,
    body: bytes | None = None,
    params: dict[str, str] | None = None,
) -> Result[Answer, CallFailure]:
    """Send one HTTP request and read the response.

    :param deadline: event-loop time by which the whole response must have arrived.
    """
    remaining_s = deadline - asyncio.get_running_loop().time()
    if remaining_s <= 0:
        return Err(CallFailure(False, "the deadline has passed"))
    # Only a failed connection attempt proves that the server did not receive the request; any other
    # error is reported with ``was_sent``.
    try:
        async with (
            asyncio.timeout(remaining_s),
            session.request(method, url, data=body, params=params) as response,
        ):
            data = await response.content.read(MAX_ANSWER_BYTES + 1)
            while not response.content.at_eof() and len(data) <= MAX_ANSWER_BYTES:
                data += await response.content.read(MAX_ANSWER_BYTES + 1 - len(data))
            if len(data) > MAX_ANSWER_BYTES:
                return Err(CallFailure(True, f"answer of more than {MAX_ANSWER_BYTES} bytes"))
            return Ok(Answer(response.status, data, dict(response.headers)))
    except aiohttp.ClientConnectorError as error:
        return Err(CallFailure(False, f"no connection: {error.__class__.__name__}"))
    except TimeoutError:
        return Err(CallFailure(True, f"no answer within {remaining_s:.1f} s"))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Err(CallFailure(True, f"connection lost: {error.__class__.__name__}"))


def decode_json(body: bytes, kind: Any, code: Code) -> Result[Any, Failure]:
    """Decode a JSON body as ``kind``."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(Failure(code, f"malformed answer: {error}"))


def retry_after_s(answer: Answer) -> float:
    """Return the ``Retry-After`` header in seconds; 0 if there is none."""
    try:
        return max(0.0, float(answer.headers.get("Retry-After", "0")))
    except ValueError:
        return 0.0
