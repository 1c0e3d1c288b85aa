"""Ends of connections that leave something unanswered are reported with their cause."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from teaselpath.fleet import CallerLimits
from teaselpath.http1 import ConnectionEnd, EndCause, Exchange, Request, ServerConnection
from teaselpath.http1.tests.conftest import TestServer, read_response

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
CLOSE = b"GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class Observer:
    """Keeps what connections report."""

    def __init__(self) -> None:
        self.failures: list[tuple[bytes, str]] = []
        self.ends: list[ConnectionEnd] = []

    def on_handler_failed(self, request: Request, error: Exception) -> None:
        self.failures.append((request.target, repr(error)))

    def on_end(self, end: ConnectionEnd) -> None:
        self.ends.append(end)


Handler = Callable[[Exchange], Awaitable[None]]
Play = Callable[[asyncio.StreamReader, asyncio.StreamWriter, ServerConnection], Awaitable[None]]


def play(handler: Handler, caller: Play, limits: CallerLimits | None = None) -> Observer:
    """Run one connection and return what was reported."""
    observer, server = Observer(), TestServer()

    async def scenario():
        loop, made = asyncio.get_running_loop(), asyncio.Event()

        def make():
            made.set()
            return ServerConnection(
                handler, lambda: limits or CallerLimits(), server.connections, observer
            )

        # The handler's exception is retrieved by nobody.
        loop.set_exception_handler(lambda *_: None)
        listener = await loop.create_server(make, "127.0.0.1", 0)
        async with listener:
            reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
            await made.wait()
            while not server.connections:
                await asyncio.sleep(0)
            (connection,) = server.connections
            async with asyncio.timeout(5):
                await caller(reader, writer, connection)
                writer.close()
                while server.connections:
                    await asyncio.sleep(0)

    asyncio.run(scenario())
    return observer


async def respond(exchange: Exchange) -> None:
    exchange.respond(200, [], exchange.request.target)


async def wait_forever(exchange: Exchange) -> None:
    await asyncio.Event().wait()


def targets(requests: tuple[Request, ...]) -> list[bytes]:
    return [request.target for request in requests]


@pytest.mark.parametrize("started", [False, True])
def test_handler_that_raises_is_reported_with_its_request(started):
    async def fail(exchange):
        if started:
            exchange.start(200, [])
            exchange.write(b"x")
        raise KeyError("route")

    async def caller(reader, writer, connection):
        writer.write(GET % 1)
        await reader.read()

    observer = play(fail, caller)
    assert observer.failures == [(b"/1", "KeyError('route')")]
    (end,) = observer.ends
    assert end.cause is EndCause.HANDLER_FAILED
    assert (end.cut is not None) == started
    assert targets(end.unanswered) == ([] if started else [b"/1"])


def test_response_that_its_handler_breaks_off_is_reported():
    async def abort(exchange):
        exchange.start(200, [])
        exchange.abort()

    async def caller(reader, writer, connection):
        writer.write(GET % 1)
        await reader.read()

    (end,) = play(abort, caller).ends
    assert end.cause is EndCause.ABORTED
    assert end.cut is not None


def test_requests_behind_the_last_response_are_reported():
    """The end was announced before they were read."""

    async def respond_slowly(exchange):
        exchange.start(200, [])
        while not exchange.connection.pipelined:
            await asyncio.sleep(0)
        exchange.finish()

    async def caller(reader, writer, connection):
        connection.stop_reuse()
        writer.write(GET % 1)
        await reader.readuntil(b"Connection: close")
        writer.write(GET % 2)
        await reader.read()

    (end,) = play(respond_slowly, caller).ends
    assert end.cause is EndCause.AFTER_RESPONSE
    assert targets(end.unanswered) == [b"/2"]


def test_unread_request_behind_an_aborted_response_is_reported():
    exchanges = []

    async def begin(exchange):
        exchange.start(200, [])
        exchanges.append(exchange)
        await wait_forever(exchange)

    async def caller(reader, writer, connection):
        writer.write(GET % 1)
        await reader.readuntil(b"\r\n\r\n")
        # The transport writes at once; the server reads in the next iteration of the loop.
        writer.write(GET % 2)
        exchanges[0].abort()
        with pytest.raises(ConnectionError):
            await reader.readexactly(1)

    (end,) = play(begin, caller).ends
    assert end.cause is EndCause.ABORTED
    assert end.unread_bytes == len(GET % 2)


def test_requests_behind_that_of_a_cancelled_handler_are_reported():
    started = asyncio.Event()

    async def wait(exchange):
        started.set()
        await wait_forever(exchange)

    async def caller(reader, writer, connection):
        writer.write(GET % 1 + GET % 2)
        await started.wait()
        connection.task.cancel()
        await reader.read()

    (end,) = play(wait, caller).ends
    assert end.cause is EndCause.STOPPED
    assert targets(end.unanswered) == [b"/1", b"/2"]


@pytest.mark.parametrize("whole", [False, True])
def test_end_of_the_callers_side_is_told_apart(whole):
    async def caller(reader, writer, connection):
        writer.write(GET % 1 if whole else b"GET /1 HT")
        await writer.drain()
        while not connection.is_reading and connection.task is None:
            await asyncio.sleep(0)
        writer.write_eof()
        await reader.read()

    (end,) = play(wait_forever, caller).ends
    assert end.cause is EndCause.CALLER_EOF
    assert targets(end.unanswered) == ([b"/1"] if whole else [])
    assert end.has_partial_request != whole


def test_clean_ends_are_not_reported():
    async def caller(reader, writer, connection):
        writer.write(GET % 1 + CLOSE % 2)
        await read_response(reader)
        await read_response(reader)
        await reader.read()

    observer = play(respond, caller)
    assert observer.ends == []
    assert observer.failures == []
