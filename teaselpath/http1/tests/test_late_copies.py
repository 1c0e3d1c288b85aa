"""Late copies of earlier refusals: none is taken for the answer to another request."""

import asyncio
from itertools import pairwise

import pytest

from teaselpath.http1 import (
    ClientConnection,
    ConnectionBroken,
    ConnectionPool,
    PoolLimits,
    encode_request,
)
from teaselpath.http1.tests.conftest import SilentTransport

STATUSES = [503, 429, 421, 400]
FRAMINGS = ["length", "chunks", "none"]
OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 3\r\n\r\ntwo"
OWN_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\ntw\r\n1\r\no\r\n0\r\n\r\n"
)


def encode_refusal(status: int, framing: str, request_id: bytes | None) -> bytes:
    fields = b"Not-Run: 1\r\n"
    if request_id is not None:
        fields = b"Request-Id: %b\r\n" % request_id + fields
    body = b"busy"
    if framing == "length":
        fields, body = fields + b"Content-Length: 4\r\n", b"busy"
    elif framing == "chunks":
        fields, body = fields + b"Transfer-Encoding: chunked\r\n", b"4\r\nbusy\r\n0\r\n\r\n"
    return b"HTTP/1.1 %d Refused\r\n%b\r\n%b" % (status, fields, body)


async def open_used() -> ClientConnection:
    """Return an idle connection that has carried request r1, which was refused."""
    connection = ClientConnection(asyncio.get_running_loop())
    connection.connection_made(SilentTransport())
    connection.send(b"GET", b"", b"request-id", b"r1")
    connection.data_received(encode_refusal(503, "length", b"r1"))
    await connection.read_head(_deadline())
    await connection.read_body(_deadline())
    connection.end_request()
    assert connection.is_reusable
    return connection


async def read_answer(connection: ClientConnection, pieces: list[bytes]) -> tuple[int, bytes]:
    """Return status and body after the pieces have arrived and the server has closed.

    :returns: status 0 if the connection broke first.
    """

    async def read() -> tuple[int, bytes]:
        try:
            head = await connection.read_head(_deadline())
            return head.status, await connection.read_body(_deadline())
        except ConnectionBroken:
            return 0, b""

    reading = asyncio.ensure_future(read())
    for piece in pieces:
        await asyncio.sleep(0)
        if not connection.is_lost:
            connection.data_received(piece)
    await asyncio.sleep(0)
    if not connection.is_lost:
        connection.eof_received()
        connection.connection_lost(None)
    return await reading


def _deadline() -> float:
    return asyncio.get_running_loop().time() + 30.0


def cut_in_two(data: bytes) -> list[list[bytes]]:
    """Return the data as a whole, byte by byte, and in two pieces cut at each byte."""
    single = [data[i : i + 1] for i in range(len(data))]
    return [[data], single, *([data[:i], data[i:]] for i in range(1, len(data)))]


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("copy_id", [b"r1", None], ids=["with-id", "without-id"])
@pytest.mark.parametrize("own", [OWN, OWN_CHUNKED], ids=["length", "chunks"])
def test_copy_before_the_answer_is_not_the_answer(framing, copy_id, own):
    """The request may be running: what the engine said about an earlier one proves nothing."""

    async def scenario(pieces):
        connection = await open_used()
        connection.send(b"GET", b"", b"request-id", b"r2")
        return await read_answer(connection, pieces)

    # A copy without framing takes the answer into its body.
    allowed = {(0, b"")} if framing == "none" else {(200, b"two")}
    for status in STATUSES:
        for pieces in cut_in_two(encode_refusal(status, framing, copy_id) + own):
            assert asyncio.run(scenario(pieces)) in allowed, pieces


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("copy_id", [b"r1", None], ids=["with-id", "without-id"])
@pytest.mark.parametrize("own", [OWN, OWN_CHUNKED], ids=["length", "chunks"])
def test_copy_inside_or_after_the_answer_is_not_the_answer(framing, copy_id, own):
    async def scenario(data):
        connection = await open_used()
        connection.send(b"GET", b"", b"request-id", b"r2")
        answer = await read_answer(connection, [data])
        return answer, connection.is_reusable

    copy = encode_refusal(503, framing, copy_id)
    for position in range(1, len(own) + 1):
        (status, _), is_reusable = asyncio.run(scenario(own[:position] + copy + own[position:]))
        assert status in (200, 0)
        assert not is_reusable


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("copy_id", [b"r1", None], ids=["with-id", "without-id"])
@pytest.mark.parametrize("is_idle", [False, True], ids=["with-the-answer", "idle"])
def test_connection_on_which_a_copy_has_begun_carries_no_other_request(framing, copy_id, is_idle):
    async def scenario(arrived):
        connection = ClientConnection(asyncio.get_running_loop())
        connection.connection_made(SilentTransport())
        connection.send(b"GET", b"", b"request-id", b"r2")
        connection.data_received(OWN + (b"" if is_idle else arrived))
        await connection.read_head(_deadline())
        await connection.read_body(_deadline())
        connection.end_request()
        if is_idle:
            connection.data_received(arrived)
        return connection.is_reusable and not connection.is_lost

    copy = encode_refusal(503, framing, copy_id)
    for end in range(1, len(copy) + 1):
        assert not asyncio.run(scenario(copy[:end]))


class _RepeatingServer:
    """Server that refuses the first request on a connection, and sends that refusal once more
    before the answer to each later one.

    :param refusal: encoded refusal.
    :ivar answered: requests that it answered with success.
    """

    def __init__(self, refusal: bytes, answer: bytes):
        self.refusal = refusal
        self.answer = answer
        self.answered = 0

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.refusal)
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.answered += 1
                writer.write(self.refusal + self.answer)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()


@pytest.mark.parametrize("request_id", [b"r1", None], ids=["same-id", "without-id"])
@pytest.mark.parametrize("status", STATUSES)
def test_request_that_its_id_does_not_tell_apart_goes_on_another_connection(request_id, status):
    """A copy could not be told from the answer, so "not run" would be no proof."""
    field = b"" if request_id is None else b"Request-Id: r1\r\n"
    answer = b"HTTP/1.1 200 OK\r\n%bContent-Length: 3\r\n\r\ntwo" % field
    server = _RepeatingServer(encode_refusal(status, "length", request_id), answer)
    request = encode_request(b"GET", b"/", [(b"Host", b"h")], b"")

    async def scenario():
        listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
        address = f"127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        pool = ConnectionPool(address, PoolLimits(), b"request-id")
        used = []
        for _ in range(2):
            connection = await pool.acquire_for(request_id, _deadline())
            connection.send(b"GET", request, b"request-id", request_id)
            head = await connection.read_head(_deadline())
            await connection.read_body(_deadline())
            pool.release(connection, head)
            used.append((connection, head.status))
        other = await pool.acquire_for(b"r9", _deadline())
        listener.close()
        pool.close()
        return used, other

    used, other = asyncio.run(scenario())
    assert all(first is not second for (first, _), (second, _) in pairwise(used))
    # Each was the first request on its connection, and was refused.
    assert [status for _, status in used] == [status, status]
    assert server.answered == 0
    assert other in [connection for connection, _ in used]
