"""Calls to engines on connections that they share with callers' requests."""

import asyncio

import pytest

from teaselpath.fleet import WeightsOrder
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformEngines, PlatformRequests

REPORT = b'{"models":[{"name":"m","version":1}],"busy":false,"seq":0}'


def encode(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


@pytest.mark.parametrize(
    "copy", [encode(409), encode(421), encode(200, REPORT)], ids=["busy", "elsewhere", "report"]
)
def test_late_copy_is_not_taken_for_the_reply_to_an_order(copy):
    """Guards against an order that counts as refused, and goes out once more, though it holds."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        is_first = True
        while head := await _read_request(reader):
            reply = encode(202) if b"POST" in head else encode(200, REPORT)
            writer.write(reply if is_first else copy + reply)
            is_first = False
        writer.close()

    async def scenario():
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        http = HttpClient(id_header=PlatformRequests.id_header)
        engines = PlatformEngines(http)
        deadline = asyncio.get_running_loop().time() + 10.0
        await engines.fetch_report(address, deadline)
        order = WeightsOrder("e-1", address, "m", 2, "gw-0", 7, 0)
        status = await engines.send_order(order, deadline)
        http.pool(address).close()
        server.close()
        return status

    assert asyncio.run(scenario()) == "accepted"


async def _read_request(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a request; empty at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return b""
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            await reader.readexactly(int(line.partition(b":")[2]))
    return head
