"""Answers that end early, at each byte: none counts as complete before its end."""

import asyncio

import pytest

from teaselpath.http1 import ClientConnection, ConnectionBroken
from teaselpath.http1.tests.conftest import SilentTransport

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nResponse-Stamp: s\r\n"
BODY = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
CHUNKS = b"f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
ANSWERS = {
    "length": HEAD + b"Content-Length: 30\r\nContent-Type: text/plain\r\n\r\n" + BODY,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\nServer-Load: 1,0,8\r\n\r\n" + CHUNKS,
    "trailer": HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS[:-2] + b"Sum: 1\r\n\r\n",
    "none": HEAD + b"Content-Type: text/plain\r\n\r\n" + BODY,
    "old": HEAD.replace(b"1.1", b"1.0") + b"\r\n" + BODY,
    "interim": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + HEAD + b"\r\n" + BODY,
    "foreign-coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\n" + BODY,
}
# Without a framing the body ends with the connection, unless that is reset or there is no body.
UNFRAMED = ("none", "old", "interim")


async def receive(pieces: list[bytes], *, is_reset: bool) -> bytes | None:
    """Return the body that counts as complete after the pieces and the end; None if none does."""
    connection = ClientConnection(asyncio.get_running_loop())
    connection.connection_made(SilentTransport())
    deadline = asyncio.get_running_loop().time() + 30.0

    async def read() -> bytes | None:
        try:
            await connection.read_head(deadline)
            return await connection.read_body(deadline)
        except ConnectionBroken:
            return None

    connection.send(b"GET", b"", b"request-id", b"r2")
    reading = asyncio.ensure_future(read())
    for piece in pieces:
        connection.data_received(piece)
        await asyncio.sleep(0)
    if not is_reset:
        connection.eof_received()
    connection.connection_lost(ConnectionResetError() if is_reset else None)
    return await reading


@pytest.mark.parametrize("framing", ANSWERS)
@pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("is_split", [False, True], ids=["one-packet", "bytes"])
def test_answer_that_was_cut_does_not_count_as_complete(framing, is_reset, is_split):
    """Guards against an empty or short body that is passed on as the whole answer."""
    answer = ANSWERS[framing]
    head_end = answer.rindex(b"\r\n\r\nid: 1" if framing in UNFRAMED else b"\r\n\r\n") + 4
    for end in range(len(answer) + 1):
        cut = answer[:end]
        pieces = [cut[i : i + 1] for i in range(end)] if is_split else [cut]
        found = asyncio.run(receive(pieces, is_reset=is_reset))
        if framing in UNFRAMED:
            expected = None if is_reset or end <= head_end else cut[head_end:]
        elif framing == "foreign-coding" or end < len(answer):
            expected = None
        else:
            expected = BODY
        assert found == expected, cut


@pytest.mark.parametrize("status", [404, 503, 500])
def test_refusal_without_framing_needs_no_body(status):
    """Its head says all; only of a success the body is the point."""
    answer = b"HTTP/1.1 %d X\r\nRequest-Id: r2\r\nNot-Run: 1\r\n\r\n" % status
    assert asyncio.run(receive([answer], is_reset=False)) == b""
    assert asyncio.run(receive([answer], is_reset=True)) is None


@pytest.mark.parametrize(
    "answer",
    [
        HEAD + b"Content-Length: 0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\nRequest-Id: r2\r\n\r\n",
    ],
    ids=["length", "chunks", "no-content"],
)
def test_empty_body_is_complete_if_its_framing_says_so(answer):
    assert asyncio.run(receive([answer], is_reset=False)) == b""
