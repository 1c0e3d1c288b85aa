"""HTTP client of the agent's endpoint."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp
import msgspec

from teaselpath.results import Code, Failure, Ran
from teaselpath.wire import Start

# Retained end of a stream: large enough for the last event with its usage and the end marker.
TAIL_BYTES = 4096
# Starts with a line feed, which generated text cannot contain because JSON escapes it.
DONE_MARKER = b"\ndata: [DONE]"
FORWARDED_RESPONSE_HEADERS = frozenset({"content-type", "cache-control", "location", "retry-after"})


@dataclass(slots=True)
class Usage:
    """Token counts of a request."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclass(slots=True)
class Head:
    """Status line and headers of the answer."""

    status: int
    headers: list[tuple[str, str]]


@dataclass(slots=True)
class Data:
    """Bytes of the body, as received."""

    data: bytes


@dataclass(slots=True)
class Finished:
    """The answer is complete."""

    usage: Usage


@dataclass(slots=True)
class Failed:
    """The answer is missing or incomplete."""

    failure: Failure
    usage: Usage = field(default_factory=Usage)


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _UsageBody(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails = msgspec.field(default_factory=_PromptDetails)


class _UsageEvent(msgspec.Struct):
    usage: _UsageBody | None = None


class _Choice(msgspec.Struct):
    finish_reason: str | None = None


class _LastEvent(msgspec.Struct):
    usage: _UsageBody | None = None
    choices: list[_Choice] = []


_last_decoder = msgspec.json.Decoder(_LastEvent)
_usage_decoder = msgspec.json.Decoder(_UsageEvent)


def parse_usage(data: bytes) -> Usage | None:
    """Parse the usage from an OpenAI-style JSON answer or the end of an event stream.

    :returns: the usage, or None if none is well-formed.
    """
    for line in reversed(data.split(b"\n")):
        body = line.strip().removeprefix(b"data:").strip()
        if b'"usage"' not in body:
            continue
        try:
            usage = _usage_decoder.decode(body).usage
        except msgspec.DecodeError:
            continue
        if usage is not None:
            return Usage(
                usage.prompt_tokens,
                usage.prompt_tokens_details.cached_tokens,
                usage.completion_tokens,
            )
    return None


class EndpointClient:
    """Sends requests to the endpoint and streams the answers.

    :param url: base URL of the endpoint.
    :param session: HTTP session, owned by the caller.
    :param idle_timeout_s: longest time without data within an answer, in seconds.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession, idle_timeout_s: float):
        self.url = url.rstrip("/")
        self.session = session
        self.idle_timeout_s = idle_timeout_s

    async def run(
        self, start: Start, headers: list[tuple[str, str]], first_byte_timeout_s: float
    ) -> AsyncIterator[Head | Data | Finished | Failed]:
        """Run one request; the last item is ``Finished`` or ``Failed``."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=2.0, sock_read=max(first_byte_timeout_s, self.idle_timeout_s)
        )
        tail, is_done = b"\n", False
        try:
            async with self.session.request(
                start.method,
                self.url + start.path,
                data=start.body or None,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                yield Head(response.status, _response_headers(response))
                is_stream = start.stream and response.status == 200
                async for data in response.content.iter_any():
                    if is_done:
                        # Data after the end marker is not part of the answer.
                        continue
                    received, tail = len(tail), tail + data
                    if is_stream and DONE_MARKER in tail:
                        is_done = True
                        tail = tail[: tail.index(DONE_MARKER) + len(DONE_MARKER)]
                        data = tail[received:] + b"\n\n"
                    elif start.stream:
                        tail = tail[-TAIL_BYTES:]
                    yield Data(data)
        except aiohttp.ClientConnectorError as error:
            yield Failed(Failure(Code.ENDPOINT_FAILED, str(error), Ran.NOT_RUN))
            return
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = f"{type(error).__name__}: {error}"
            yield Failed(Failure(Code.ENDPOINT_FAILED, detail, Ran.UNKNOWN), _usage(tail))
            return
        if is_stream and not (is_done and _is_well_terminated(tail)):
            # Every stream is requested with its usage; a stream without it is incomplete.
            detail = "the event stream ended without usage, reason or end marker"
            yield Failed(Failure(Code.STREAM_INCOMPLETE, detail, Ran.RAN), _usage(tail))
            return
        yield Finished(_usage(tail))

    async def cancel(self, request_id: str) -> None:
        """Cancel a request at a model engine; errors are ignored, the connection closes anyway."""
        try:
            async with asyncio.timeout(1.0):
                await self.session.post(f"{self.url}/cancel", json={"request_id": request_id})
        except (aiohttp.ClientError, TimeoutError, OSError):
            return


def _is_well_terminated(tail: bytes) -> bool:
    """Return whether the event before the end marker has usage and each finish reason."""
    lines = [line for line in tail.removesuffix(DONE_MARKER).split(b"\n") if line.strip()]
    if not lines:
        return False
    try:
        event = _last_decoder.decode(lines[-1].strip().removeprefix(b"data:"))
    except msgspec.DecodeError:
        return False
    return event.usage is not None and all(choice.finish_reason for choice in event.choices)


def _usage(tail: bytes) -> Usage:
    return parse_usage(tail) or Usage()


def _response_headers(response: aiohttp.ClientResponse) -> list[tuple[str, str]]:
    return [
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() in FORWARDED_RESPONSE_HEADERS
    ]
