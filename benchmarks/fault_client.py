"""One request of a caller, and everything that the caller observes of it."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from teaselpath.results import Code, Ran

# A caller that gets no terminal answer within this time reports a violation.
LIMIT_S = 60.0


@dataclass(slots=True)
class Attempt:
    """One request as its caller saw it.

    :param tag: name of the work; repeated requests for the same work share it.
    :param entry: name of the entry.
    :param claim: idempotency key with its workspace; empty if there is none.
    :param key_number: number of the caller's key in its workspace.
    :param expected: the only right answer, as text.
    :param times: arrival of each part of a stream, in seconds.
    :param timed_out: whether there was no terminal answer within the limit.
    """

    tag: str
    entry: str
    workspace: str
    key_number: int
    kind: str
    expected: str = ""
    claim: str = ""
    request_class: str = ""
    sent: float = 0.0
    first: float = 0.0
    ended: float = 0.0
    request_id: str = ""
    code: int = 0
    ran: str = Ran.UNKNOWN
    detail: str = ""
    text: str = ""
    is_whole: bool = False
    timed_out: bool = False
    times: list[float] = field(default_factory=list)
    usage: dict[str, Any] | None = None
    retry_after_s: float = 0.0

    @property
    def is_served(self) -> bool:
        """Return whether the caller has its whole answer."""
        return self.code == Code.OK and self.is_whole

    def fail(self, code: int, ran: str, detail: str) -> None:
        """Set the outcome of a request that failed."""
        self.code, self.ran, self.detail, self.is_whole = code, ran, detail[:200], False


class _Lines:
    """Splits a body into lines of any length."""

    def __init__(self) -> None:
        self.rest = b""

    def add(self, data: bytes) -> list[bytes]:
        """Return the lines that are complete now."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        return lines


async def send(
    session: aiohttp.ClientSession,
    url: str,
    body: dict[str, Any],
    headers: dict[str, str],
    attempt: Attempt,
    limit_s: float = LIMIT_S,
) -> None:
    """Send a request and record how it ended."""
    attempt.sent = time.monotonic()
    try:
        async with (
            asyncio.timeout(limit_s),
            session.post(url, json=body, headers=headers) as answer,
        ):
            attempt.request_id = answer.headers.get("x-request-id", "")
            attempt.first = time.monotonic()
            await _read(answer, body, attempt)
    except TimeoutError:
        attempt.timed_out = True
        attempt.fail(Code.OUTCOME_UNKNOWN, Ran.UNKNOWN, f"no terminal answer within {limit_s} s")
    except aiohttp.ClientConnectorError as error:
        attempt.fail(Code.PEER_UNREACHABLE, Ran.NOT_RUN, f"not connected: {error}")
    except (aiohttp.ClientError, OSError) as error:
        attempt.fail(Code.OUTCOME_UNKNOWN, Ran.UNKNOWN, f"cut: {error!r}")
    except (ValueError, KeyError, TypeError) as error:
        attempt.fail(Code.ENDPOINT_PROTOCOL, Ran.UNKNOWN, f"malformed answer: {error!r}")
    finally:
        attempt.ended = time.monotonic()


async def _read(answer: aiohttp.ClientResponse, body: dict[str, Any], attempt: Attempt) -> None:
    if answer.status not in (200, 201):
        attempt.retry_after_s = float(answer.headers.get("retry-after", 0))
        _take_error(json.loads(await answer.read())["error"], attempt)
    elif body.get("stream"):
        await _read_stream(answer, attempt)
    else:
        whole = json.loads(await answer.read())
        attempt.code, attempt.ran, attempt.is_whole = Code.OK, Ran.RAN, True
        if attempt.kind == "booking":
            attempt.text = json.dumps(whole["value"], sort_keys=True)
            attempt.usage = {"execution": whole["execution"], "record": whole["id"]}
        else:
            attempt.text, attempt.usage = whole["choices"][0]["text"], whole["usage"]


def _take_error(error: dict[str, Any], attempt: Attempt) -> None:
    attempt.fail(error["result_code"], error["ran"], str(error["message"]))
    attempt.request_id = error["request_id"] or attempt.request_id


async def _read_stream(answer: aiohttp.ClientResponse, attempt: Attempt) -> None:
    lines, parts, is_done, has_failed = _Lines(), [], False, False
    try:
        async for data in answer.content.iter_any():
            for line in lines.add(data):
                if not line.startswith(b"data: "):
                    continue
                if line.strip() == b"data: [DONE]":
                    is_done = True
                    continue
                event = json.loads(line[6:])
                if "error" in event:
                    _take_error(event["error"], attempt)
                    has_failed = True
                    continue
                attempt.usage = event.get("usage") or attempt.usage
                text = "".join(choice.get("text", "") for choice in event.get("choices", ()))
                if text:
                    parts.append(text)
                    attempt.times.append(time.monotonic())
    finally:
        attempt.text = "".join(parts)
    if has_failed:
        return
    if is_done:
        attempt.code, attempt.ran, attempt.is_whole = Code.OK, Ran.RAN, True
    else:
        attempt.fail(Code.OUTCOME_UNKNOWN, Ran.UNKNOWN, "cut: the stream ended without an end")
