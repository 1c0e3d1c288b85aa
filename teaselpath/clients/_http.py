"""HTTP calls with a deadline; every failure is returned as a value."""

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec
from result import Err, Ok, Result

from teaselpath.results import Code, Failure

# Bounds the memory that a faulty answer can take.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(slots=True, frozen=True)
class Answer:
    """Status, body and headers of an HTTP answer."""

    status: int
    body: bytes
    headers: dict[str, str]


@dataclass(slots=True, frozen=True)
class NoAnswer:
    """The call failed.

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
) -> Result[Answer, NoAnswer]:
    """Make one HTTP call.

    :param deadline: event-loop time by which the whole answer must be here.
    """
    remaining_s = deadline - asyncio.get_running_loop().time()
    if remaining_s <= 0:
        return Err(NoAnswer(False, "the deadline has passed"))
    # Only a failed connection proves that the server did not get the request; any other error is
    # reported as sent.
    try:
        async with (
            asyncio.timeout(remaining_s),
            session.request(method, url, data=body, params=params) as response,
        ):
            data = await response.content.read(MAX_ANSWER_BYTES + 1)
            while not response.content.at_eof() and len(data) <= MAX_ANSWER_BYTES:
                data += await response.content.read(MAX_ANSWER_BYTES + 1 - len(data))
            if len(data) > MAX_ANSWER_BYTES:
                return Err(NoAnswer(True, f"answer of more than {MAX_ANSWER_BYTES} bytes"))
            return Ok(Answer(response.status, data, dict(response.headers)))
    except aiohttp.ClientConnectorError as error:
        return Err(NoAnswer(False, f"no connection: {error.__class__.__name__}"))
    except TimeoutError:
        return Err(NoAnswer(True, f"no answer within {remaining_s:.1f} s"))
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return Err(NoAnswer(True, f"connection lost: {error.__class__.__name__}"))


def decode_json(body: bytes, kind: Any, code: Code) -> Result[Any, Failure]:
    """Decode a JSON answer as ``kind``."""
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(Failure(code, f"malformed answer: {error}"))


def retry_after_s(answer: Answer) -> float:
    """Return the ``Retry-After`` of an answer in seconds; 0 if there is none."""
    try:
        return max(0.0, float(answer.headers.get("Retry-After", "0")))
    except ValueError:
        return 0.0
