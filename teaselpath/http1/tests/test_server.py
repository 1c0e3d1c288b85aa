"""Server connections: order, framing errors, limits and graceful shutdown."""

import asyncio
import socket

import pytest

from teaselpath.fleet import CallerLimits
from teaselpath.http1 import Listener, ResponseStateError, ServerConnection
from teaselpath.http1.tests.conftest import TestServer, read_response

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


def test_request_during_shutdown_gets_a_response_and_closes_the_connection(listener: TestServer):
    async def scenario():
        async with await listener.open():
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            await read_response(reader)
            for connection in listener.connections:
                connection.stop_reuse()
            writer.write(GET % 2)
            head, body = await asyncio.wait_for(read_response(reader), 5)
            rest = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return head, body, rest

    head, body, rest = asyncio.run(scenario())
    assert b"Connection: close" in head
    assert body == b"/2|"
    assert rest == b""


def test_pipelined_requests_get_responses_in_order(listener: TestServer):
    async def scenario():
        async with await listener.open():
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(b"".join(GET % i for i in range(10)))
            bodies = [(await read_response(reader))[1] for _ in range(10)]
            writer.close()
            return bodies

    assert asyncio.run(scenario()) == [b"/%d|" % i for i in range(10)]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
            b"400",
        ),
        (b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\n" + b"A: " + b"x" * 300 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n" + b"x" * 300, b"413"),
        (b"\x00\x01garbage\r\n\r\n", b"400"),
    ],
)
def test_malformed_request_is_rejected_and_later_data_is_not_handled(
    listener: TestServer, data: bytes, status: bytes
):
    listener.limits = CallerLimits(header_bytes=200, body_bytes=200)

    async def scenario():
        async with await listener.open():
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(data)
            answer = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return answer

    answer = asyncio.run(scenario())
    assert answer.split(b" ")[1] == status
    assert listener.requests == []


def play_behind_a_request(listener: TestServer, rest: bytes, *, stop_reuse: bool) -> bytes:
    """Send bytes behind a request, answered once all are read; return all that comes back."""

    async def scenario():
        is_read = asyncio.Event()

        async def wait_and_respond(exchange):
            await is_read.wait()
            await listener.respond(exchange)

        async with await listener.open(wait_and_respond):
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1 + rest)
            while not any(connection.task for connection in listener.connections):
                await asyncio.sleep(0)
            if stop_reuse:
                (connection,) = listener.connections
                connection.stop_reuse()
            is_read.set()
            response = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return response

    return asyncio.run(scenario())


def test_requests_that_were_read_get_responses_before_the_connection_closes(listener: TestServer):
    """A connection that was not to be reused was closed with whole requests in its queue."""
    response = play_behind_a_request(listener, GET % 2 + GET % 3, stop_reuse=True)
    assert response.count(b"HTTP/1.1 200 ") == 3
    assert response.count(b"Connection: close") == 1
    assert response.endswith(b"Connection: close\r\n\r\n/3|")


@pytest.mark.parametrize("stop_reuse", [False, True])
def test_rejected_request_gets_its_response_behind_earlier_ones(listener: TestServer, stop_reuse):
    """The whole request in between, and the rejected one, got nothing."""
    rest = GET % 2 + b"\x00garbage\r\n\r\n" + GET % 3
    response = play_behind_a_request(listener, rest, stop_reuse=stop_reuse)
    heads = [line for line in response.split(b"\r\n") if b"HTTP/1.1" in line]
    assert [head.rpartition(b"HTTP/1.1 ")[2][:3] for head in heads] == [b"200", b"200", b"400"]
    assert response.count(b"Connection: close") == 1
    assert listener.requests == [b"/1", b"/2"]


def test_request_behind_a_response_that_did_not_announce_the_end_is_served(listener: TestServer):
    async def scenario():
        may_finish = asyncio.Event()

        async def begin(exchange):
            exchange.start(200, [], 4)
            await may_finish.wait()
            exchange.write(b"done")
            exchange.finish()

        async with await listener.open(begin):
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            await reader.readuntil(b"\r\n\r\n")
            (connection,) = listener.connections
            connection.stop_reuse()
            # The response ends before the server reads the request that the kernel holds.
            may_finish.set()
            writer.write(GET % 2)
            assert await reader.readexactly(4) == b"done"
            head, body = await asyncio.wait_for(read_response(reader), 5)
            writer.close()
            return head, body

    head, body = asyncio.run(scenario())
    assert b"Connection: close" in head
    assert body == b"done"


def test_request_that_was_not_read_as_the_idle_timeout_ends_is_served(listener: TestServer):
    """Its connection was reset."""

    async def scenario():
        listener.limits = CallerLimits(idle_timeout_s=60.0)
        async with await listener.open():
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            await read_response(reader)
            (connection,) = listener.connections
            listener.limits = CallerLimits(idle_timeout_s=0.0)
            # The transport writes at once; the server reads in the next iteration of the loop.
            writer.write(GET % 2)
            connection._on_timeout()
            _, body = await asyncio.wait_for(read_response(reader), 5)
            rest = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return body, rest

    assert asyncio.run(scenario()) == (b"/2|", b"")


def test_raised_idle_timeout_holds_for_connections_that_are_idle(listener: TestServer):
    """A caller that knew the new limit reused a connection that the old one had closed."""

    async def scenario():
        listener.limits = CallerLimits(idle_timeout_s=0.05)
        async with await listener.open():
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            await read_response(reader)
            listener.limits = CallerLimits(idle_timeout_s=60.0)
            await asyncio.sleep(0.3)
            writer.write(GET % 2)
            _, body = await asyncio.wait_for(read_response(reader), 5)
            writer.close()
            return body

    assert asyncio.run(scenario()) == b"/2|"


def test_handler_is_cancelled_when_the_caller_disconnects(listener: TestServer):
    cancelled = asyncio.Event()

    async def wait_forever(exchange):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    async def scenario():
        async with await listener.open(wait_forever):
            _, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            await writer.drain()
            while not any(connection.task for connection in listener.connections):
                await asyncio.sleep(0)
            writer.close()
            await asyncio.wait_for(cancelled.wait(), 5)

    asyncio.run(scenario())


def test_unfinished_response_is_aborted(listener: TestServer):
    async def start_only(exchange):
        exchange.start(200, [])
        exchange.write(b"half")

    async def scenario():
        async with await listener.open(start_only):
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            answer = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return answer

    answer = asyncio.run(scenario())
    assert b"half" in answer
    assert not answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("length", [None, 8], ids=["chunks", "length"])
@pytest.mark.parametrize(
    "mistake",
    [
        lambda exchange: exchange.respond(500, [], b"error"),
        lambda exchange: exchange.start(200, []),
        lambda exchange: (exchange.finish(), exchange.respond(503, [])),
        lambda exchange: (exchange.finish(), exchange.write(b"more")),
        lambda exchange: (exchange.finish(), exchange.finish()),
        lambda exchange: (exchange.abort(), exchange.write(b"more")),
    ],
    ids=["respond", "start", "respond-after", "write-after", "finish-after", "write-aborted"],
)
def test_caller_receives_no_second_response_inside_the_first(listener: TestServer, length, mistake):
    raised = []

    async def handle(exchange):
        exchange.start(200, [], length)
        exchange.write(b"half")
        try:
            mistake(exchange)
        except ResponseStateError as error:
            raised.append(error)

    async def scenario():
        async with await listener.open(handle):
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return answer

    head, _, body = asyncio.run(scenario()).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK")
    assert len(raised) == 1
    if length is None:
        assert body in (b"4\r\nhalf\r\n", b"4\r\nhalf\r\n0\r\n\r\n")
    else:
        assert body == b"half"


def test_body_is_not_longer_than_announced(listener: TestServer):
    async def handle(exchange):
        exchange.start(200, [], 4)
        with pytest.raises(ResponseStateError):
            exchange.write(b"too long")
        exchange.write(b"body")
        exchange.finish()

    async def scenario():
        async with await listener.open(handle):
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            _, body = await asyncio.wait_for(read_response(reader), 5)
            writer.close()
            return body

    assert asyncio.run(scenario()) == b"body"


def test_connection_in_the_backlog_is_served_when_the_listener_closes():
    """The kernel has accepted connection and request; closing the socket would reset them."""

    async def scenario():
        connections: set[ServerConnection] = set()

        async def handle(exchange):
            exchange.respond(200, [], exchange.request.target)

        accepting = Listener(lambda: ServerConnection(handle, CallerLimits, connections))
        await accepting.open("127.0.0.1:0")
        assert accepting.socket is not None
        address = accepting.socket.getsockname()
        # Without an iteration of the event loop in between, the connection stays in the backlog.
        caller = socket.create_connection(address)
        caller.sendall(GET % 1)
        caller.setblocking(False)
        await accepting.close()
        reader, writer = await asyncio.open_connection(sock=caller)
        _, body = await asyncio.wait_for(read_response(reader), 5)
        writer.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)
        return body

    assert asyncio.run(scenario()) == b"/1"


def test_request_that_was_not_read_yet_keeps_its_connection_open(listener: TestServer):
    async def scenario():
        async with await listener.open():
            reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)
            writer.write(GET % 1)
            await read_response(reader)
            (connection,) = listener.connections
            # The transport writes at once; the server reads in the next iteration of the loop.
            writer.write(GET % 2)
            closed = connection.close_if_idle()
            _, body = await asyncio.wait_for(read_response(reader), 5)
            writer.close()
            return closed, body

    assert asyncio.run(scenario()) == (False, b"/2|")
