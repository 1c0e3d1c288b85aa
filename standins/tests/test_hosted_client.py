"""The stand-ins' caller tells bytes that belong to no answer from an answer that was cut off."""

import asyncio

import pytest

from standins.hosted import Answer, Caller

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
WHOLE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"
EVENT = b"f\r\nid: 1\ndata: x\n\n\r\n"


async def receive(reply: bytes, later: bytes = b"") -> tuple[Answer, ...]:
    """Return the answers to two requests, to which a server sends ``reply``.

    :param later: bytes that the server sends when the caller has read the first answer.
    """
    has_answer = asyncio.Event()

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        if later:
            await has_answer.wait()
            writer.write(later)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    caller = Caller(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
    first = await caller.send("/pay/x", "r1")
    has_answer.set()
    # The server closes its connection at the end.
    async with asyncio.timeout(10.0):
        while not all(connection.is_lost for connection in caller.pool.idle):
            await asyncio.sleep(0.01)
    second = await caller.send("/pay/x", "r2")
    caller.close()
    server.close()
    return first, second


@pytest.mark.parametrize(
    "reply",
    [
        STREAM_HEAD + EVENT + ERROR,
        STREAM_HEAD + EVENT + ERROR + b"0\r\n\r\n",
        STREAM_HEAD + EVENT + b"error",
        WHOLE + ERROR,
        WHOLE + b"error",
        b"error",
    ],
    ids=["head-in-stream", "head-and-end", "text-in-stream", "second", "text-after", "text"],
)
def test_foreign_bytes_are_a_fault(reply):
    first, _ = asyncio.run(receive(reply))
    assert "belong to no answer" in (first.fault(is_stream=False) or "")


@pytest.mark.parametrize("later", [ERROR, b"error"], ids=["answer", "text"])
def test_foreign_bytes_after_an_answer_are_a_fault(later):
    first, _ = asyncio.run(receive(WHOLE, later))
    assert "belong to no answer" in (first.fault(is_stream=False) or "")


@pytest.mark.parametrize(
    "reply",
    [STREAM_HEAD + EVENT, STREAM_HEAD + EVENT[:9], STREAM_HEAD[:30], WHOLE[:-1], b"", WHOLE],
    ids=["between-events", "event", "head", "body", "closed", "whole"],
)
def test_answer_that_was_cut_off_holds_no_foreign_bytes(reply):
    first, second = asyncio.run(receive(reply))
    assert not first.has_foreign_bytes
    assert first.is_complete == (reply == WHOLE)
    assert not second.has_foreign_bytes
