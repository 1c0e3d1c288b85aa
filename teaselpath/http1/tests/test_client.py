"""Client connections: responses without end, flow control, answers to other requests."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest

from teaselpath.http1 import (
    ConnectionBroken,
    ConnectionPool,
    HttpClient,
    PoolLimits,
    ReadTimeout,
    ResponseLimits,
    encode_request,
)

LIMITS = ResponseLimits()
# Bytes that a server can send beyond what the client reads: socket buffers of both sides, and one
# read of the event loop.
IN_TRANSIT_BYTES = 12 << 20
REQUEST = encode_request(b"GET", b"/", [(b"Host", b"h"), (b"Request-Id", b"r2")], b"")
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\n"
LARGE_CHUNK = b"x" * 65_536


class FloodServer:
    """Server that replies with a start and then repeats a block until the client closes.

    :ivar sent: bytes written to connections.
    :ivar closed: set when a client has closed its connection.
    """

    def __init__(self, start: bytes, block: bytes):
        self.start = start
        self.block = block
        self.sent = 0
        self.closed = asyncio.Event()

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while True:
                writer.write(self.block)
                self.sent += len(self.block)
                await writer.drain()
        self.closed.set()
        writer.close()


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def listen(handler: Handler):
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


def deadline_in(seconds: float) -> float:
    return asyncio.get_running_loop().time() + seconds


@pytest.mark.parametrize(
    ("start", "block"),
    [
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + LARGE_CHUNK + b"\r\n"),
        (HEAD + b"\r\n", LARGE_CHUNK),
        (HEAD + b"Content-Length: 99999999999\r\n\r\n", LARGE_CHUNK),
        (HEAD, b"A: b\r\n" * 4_096),
        (HEAD + b"A: ", LARGE_CHUNK),
        (b"HTTP/1.1 200 ", LARGE_CHUNK),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 512),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", LARGE_CHUNK),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n" * 4_096),
        (b"", b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1000\r\n\r\n" + b"x" * 1000),
    ],
    ids=[
        "chunks", "body-until-close", "long-body", "fields", "one-field", "status-line", "interim",
        "chunk-extension", "trailer", "other-responses",
    ],
)  # fmt: skip
def test_response_without_end_is_cut_off(start, block):
    """An engine in trouble sends bytes until the caller closes, in a head or in a body."""

    async def scenario():
        server = FloodServer(start, block)
        async with listen(server.handle) as address:
            pool = ConnectionPool(address, PoolLimits())
            connection = await pool.acquire(deadline_in(5.0))
            connection.send(b"GET", REQUEST, b"request-id", b"r2")
            with pytest.raises(ConnectionBroken):
                await _read_answer(connection)
            connection.abort()
            await asyncio.wait_for(server.closed.wait(), 10.0)
            return server.sent

    limit_bytes = max(LIMITS.body_bytes, LIMITS.head_bytes, LIMITS.skipped_bytes)
    assert asyncio.run(scenario()) <= limit_bytes + IN_TRANSIT_BYTES


def test_call_limits_the_response():
    async def scenario():
        server = FloodServer(b"HTTP/1.1 200 OK\r\n\r\n", LARGE_CHUNK)
        async with listen(server.handle) as address:
            http = HttpClient()
            with pytest.raises(ConnectionBroken, match="body"):
                await http.call(
                    address, b"GET", b"/", deadline=deadline_in(30.0), max_body_bytes=100_000
                )
            await asyncio.wait_for(server.closed.wait(), 10.0)
            return server.sent

    assert asyncio.run(scenario()) <= 100_000 + IN_TRANSIT_BYTES


def test_reading_pauses_while_the_body_is_not_taken():
    """A fast engine must not fill the memory of a gateway whose caller reads slowly."""

    async def scenario():
        server = FloodServer(HEAD + b"\r\n", LARGE_CHUNK)
        async with listen(server.handle) as address:
            pool = ConnectionPool(address, PoolLimits())
            connection = await pool.acquire(deadline_in(5.0))
            connection.send(b"GET", REQUEST, b"request-id", b"r2")
            await connection.read_head(deadline_in(5.0))
            sent, before = -1, -2
            while sent != before:
                before = sent
                await asyncio.sleep(0.1)
                sent = server.sent
            paused_at = connection.buffered_bytes
            chunk = await connection.read_chunk(deadline_in(5.0))
            assert chunk is not None
            # Reading goes on once the buffered data has been taken.
            second = await connection.read_chunk(deadline_in(5.0))
            connection.abort()
            return paused_at, second, sent

    paused_at, second, sent = asyncio.run(scenario())
    # One read of the event loop may exceed the mark.
    assert paused_at <= LIMITS.high_water_bytes + (256 << 10)
    assert second
    assert sent <= IN_TRANSIT_BYTES


async def _reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *replies: bytes):
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        for reply in replies:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(reply)
        await reader.read()
    writer.close()


def _response(body: bytes, request_id: bytes | None) -> bytes:
    field = b"Request-Id: " + request_id + b"\r\n" if request_id else b""
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (field, len(body), body)


@pytest.mark.parametrize("copy_id", [b"r1", None], ids=["with-id", "without-id"])
def test_late_second_copy_is_not_taken_for_the_next_answer(copy_id):
    """The server sends an answer once more when the connection carries the next request."""
    first, copy, own = (
        _response(b"one", b"r1"),
        _response(b"one", copy_id),
        _response(b"two", b"r2"),
    )

    async def scenario():
        async with listen(lambda r, w: _reply(r, w, first, copy + own)) as address:
            pool = ConnectionPool(address, PoolLimits())
            bodies = []
            for request_id in (b"r1", b"r2"):
                connection = await pool.acquire(deadline_in(5.0))
                connection.send(b"GET", REQUEST, b"request-id", request_id)
                try:
                    head = await connection.read_head(deadline_in(5.0))
                    bodies.append(await connection.read_body(deadline_in(5.0)))
                    pool.release(connection, head)
                except ConnectionBroken:
                    connection.abort()
            return bodies, len(pool.idle)

    bodies, idle = asyncio.run(scenario())
    assert bodies in ([b"one", b"two"], [b"one"])
    assert idle == 0


def test_late_copy_of_an_answer_is_not_the_reply_to_a_control_call():
    """Control calls carry no request id, and share connections with forwarded requests."""
    first, copy = _response(b"one", b"r1"), _response(b"one", b"r1")
    own = _response(b"report", None)

    async def scenario():
        async with listen(lambda r, w: _reply(r, w, first, copy + own)) as address:
            http = HttpClient(id_header=b"request-id")
            pool = http.pool(address)
            connection = await pool.acquire(deadline_in(5.0))
            connection.send(b"GET", REQUEST, b"request-id", b"r1")
            head = await connection.read_head(deadline_in(5.0))
            await connection.read_body(deadline_in(5.0))
            pool.release(connection, head)
            response = await http.call(address, b"GET", b"/-/report", deadline=deadline_in(5.0))
            return response.body

    assert asyncio.run(scenario()) == b"report"


CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "reply",
    [
        HEAD + b"Content-Length: 10\r\n\r\nabc",
        CHUNKED + b"3\r\nabc\r\n",
        CHUNKED + b"3\r\nabc",
        CHUNKED + b"3\r\nabc\r\n0\r\n",
        HEAD + b"Content-Length: 10\r\n",
        b"HTTP/1.1 200 OK",
    ],
    ids=["length", "chunks", "chunk", "last-chunk", "head", "status-line"],
)
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
def test_truncated_answer_is_not_complete(reply, is_reset):
    assert not asyncio.run(_reads_complete_answer(reply, is_reset=is_reset))


def test_answer_without_length_is_incomplete_if_the_connection_is_reset():
    reply = HEAD + b"\r\nabc"
    assert asyncio.run(_reads_complete_answer(reply, is_reset=False))
    assert not asyncio.run(_reads_complete_answer(reply, is_reset=True))


async def _reads_complete_answer(reply: bytes, *, is_reset: bool) -> bool:
    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        await writer.drain()
        if is_reset:
            await got_data.wait()
            sock = writer.get_extra_info("socket")
            # Without lingering the kernel sends a reset instead of an orderly end.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            writer.close()

    got_data = asyncio.Event()
    async with listen(handle) as address:
        pool = ConnectionPool(address, PoolLimits())
        connection = await pool.acquire(deadline_in(5.0))
        connection.send(b"GET", REQUEST, b"request-id", b"r2")
        try:
            reading = asyncio.ensure_future(_read_answer(connection))
            # The reset must not overtake the data, which the kernel would then discard.
            await asyncio.sleep(0.05)
            got_data.set()
            await reading
        except (ConnectionBroken, ReadTimeout):
            return False
        finally:
            connection.abort()
        return True


async def _read_answer(connection) -> bytes:
    await connection.read_head(deadline_in(30.0))
    return await connection.read_body(deadline_in(30.0))
