"""One running request: streams the endpoint's answer to the main task."""

import asyncio
from collections.abc import Awaitable, Callable

from eliot import write_traceback

from teaselpath.agent._endpoint import (
    Data,
    EndpointClient,
    Failed,
    Finished,
    Head,
    Usage,
)
from teaselpath.delivery import RunChunk, RunEnd
from teaselpath.results import Code, Ran
from teaselpath.wire import Start

Report = Callable[[RunChunk | RunEnd], Awaitable[None]]


class RequestRun:
    """Runs one attempt at the endpoint.

    :param start: the request.
    :param report: called with each chunk and the end; waits while the inbox is full.
    :param prepare: called immediately before the request is sent; completes its body.
    """

    def __init__(
        self,
        start: Start,
        client: EndpointClient,
        report: Report,
        prepare: Callable[[], Awaitable[None]] | None = None,
    ):
        self.start = start
        self.prepare = prepare
        self.client = client
        self.report = report
        self.readable = asyncio.Event()
        self.readable.set()
        self.task: asyncio.Task | None = None

    def pause(self) -> None:
        """Stop reading; TCP backpressure slows the endpoint down."""
        self.readable.clear()

    def resume(self) -> None:
        """Resume reading."""
        self.readable.set()

    async def run(self, headers: list[tuple[str, str]], first_byte_timeout_s: float) -> None:
        """Run the attempt and report its end exactly once."""
        end = self._end(Code.CANCELLED, Ran.UNKNOWN, detail="cancelled")
        try:
            end = await self._read(headers, first_byte_timeout_s)
        except asyncio.CancelledError:
            await self.client.cancel(self.start.request_id)
            raise
        except Exception:
            # A programming error fails this request only; the agent keeps running.
            write_traceback()
            end = self._end(Code.ENDPOINT_FAILED, Ran.UNKNOWN, detail="internal error")
        finally:
            await asyncio.shield(self.report(end))

    async def _read(self, headers: list[tuple[str, str]], first_byte_timeout_s: float) -> RunEnd:
        head = Head(0, [])
        is_first = True
        if self.prepare is not None:
            await self.prepare()
        async for item in self.client.run(self.start, headers, first_byte_timeout_s):
            match item:
                case Head():
                    head = item
                case Data(data):
                    await self._report_chunk(data, head, is_first)
                    is_first = False
                case Finished(usage):
                    if is_first:
                        await self._report_chunk(b"", head, True)
                    return self._end(Code.OK, Ran.RAN, usage)
                case Failed(failure, usage):
                    return self._end(failure.code, failure.ran, usage, failure.detail)
        raise AssertionError("the endpoint client yielded neither Finished nor Failed")

    async def _report_chunk(self, data: bytes, head: Head, is_first: bool) -> None:
        await self.readable.wait()
        status, headers = (head.status, head.headers) if is_first else (0, None)
        start = self.start
        await self.report(RunChunk(start.request_id, start.attempt, data, status, headers))

    def _end(self, code: Code, ran: Ran, usage: Usage | None = None, detail: str = "") -> RunEnd:
        start = self.start
        usage = usage or Usage()
        return RunEnd(
            start.request_id,
            start.attempt,
            code,
            ran,
            usage.prompt_tokens,
            usage.cached_tokens,
            usage.output_tokens,
            detail,
        )
