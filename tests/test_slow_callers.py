"""Callers that read slowly: they hold no engine for long, and little memory of the gateway."""

import asyncio
import socket
import time
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from random import Random

from standins.hosted import HostedSite
from standins.hosted._answers import stamp_of
from tests.test_endless_answers import peak_bytes

SLOW_CALLERS = 300
EVENT_BYTES = 4_096
# Growth that leaves a host of the smallest deployment, with 160 MB, half of its memory.
MAX_GROWTH_BYTES = 80 << 20
# Time after which no slow caller may hold an engine, in seconds: engines cut off an answer that is
# unread for some seconds, and 300 callers begin within one second.
MAX_HELD_S = 5.0


@dataclass
class LongAnswers:
    """Engine whose answers have a given number of large events.

    :ivar held_s: duration of each answer, in seconds, until it was sent or broken off.
    """

    events: int
    address: str = ""
    held_s: list[float] = field(default_factory=list)

    async def handle(self, reader, writer) -> None:
        """Answer one request."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # A connection that only shows that this process listens.
            writer.close()
            return
        request_id = head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
        began_at = time.monotonic()
        # What the kernel holds of an answer would hide that nobody reads it.
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 16_384)
        writer.transport.set_write_buffer_limits(0)
        fields = b"Request-Id: %b\r\nResponse-Stamp: %b\r\n" % (
            request_id, stamp_of(request_id.decode()).encode(),
        )  # fmt: skip
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
            b"Transfer-Encoding: chunked\r\nServer-Load: 1,0,1000,100\r\n" + fields + b"\r\n"
        )
        with suppress(ConnectionError):
            for number in range(1, self.events + 1):
                event = b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self.held_s.append(time.monotonic() - began_at)
        writer.close()


@asynccontextmanager
async def open_site(folder, events: int, contracts: tuple[str, ...] = ("pressure",)):
    """Run a gateway with one engine of long answers."""
    answers = LongAnswers(events)
    server = await asyncio.start_server(answers.handle, "127.0.0.1", 0)
    answers.address = "{}:{}".format(*server.sockets[0].getsockname())
    async with server, HostedSite(folder, Random(3)) as site:
        site.contracts = list(contracts)
        engine = await site.add_engine(
            "llm-0", "llm", is_model=True, listed_address=answers.address
        )
        engine.slots = 1_000
        await asyncio.sleep(0.5)
        site.write_config()
        await site.start_gateways(1)
        yield site, answers


def open_caller(site: HostedSite, number: int, buffer_bytes: int = 4_096) -> socket.socket:
    """Send a request, and read nothing.

    :param buffer_bytes: size of the receive buffer.
    """
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    caller.connect((site.gateways["gw-0"].ip, site.ports["front"]))
    caller.sendall(
        b"POST /review/x HTTP/1.1\r\nHost: site.example\r\nAuthorization: Token key-1\r\n"
        b"Request-Id: s%d\r\nDeadline-Ms: 8000\r\nModel: model-a\r\nToken-Counts: 200,10\r\n"
        b"Prompt-Prefix: aa:100,bb%04x:100\r\nContent-Length: 2\r\n\r\n{}" % (number, number)
    )
    return caller


def read_rest(caller: socket.socket) -> bytes:
    """Return all that arrives until the connection ends or is silent."""
    caller.settimeout(1.0)
    data = bytearray()
    with suppress(OSError):
        while piece := caller.recv(65_536):
            data += piece
            if data.endswith(b"0\r\n\r\n"):
                break
    caller.close()
    return bytes(data)


def test_slow_callers_hold_no_engine_for_long(tmp_path):
    """Guards against engines that cut answers off, and gateways that run out of memory."""

    async def scenario():
        async with open_site(tmp_path, events=256) as (site, answers):
            process = site.gateways["gw-0"].process
            before = peak_bytes(process)
            callers = []
            for number in range(SLOW_CALLERS):
                callers.append(open_caller(site, number))
                await asyncio.sleep(0.003)
            async with asyncio.timeout(20):
                while len(answers.held_s) < SLOW_CALLERS:
                    await asyncio.sleep(0.05)
            growth = peak_bytes(process) - before
            reader = await asyncio.to_thread(read_rest, open_caller(site, SLOW_CALLERS, 1 << 18))
            taken = [await asyncio.to_thread(read_rest, caller) for caller in callers[:10]]
            return growth, before, answers.held_s[:SLOW_CALLERS], reader, taken

    growth, before, held_s, reader, taken = asyncio.run(scenario())
    print(f"before {before >> 10} KB, growth {growth >> 10} KB, longest held {max(held_s):.2f} s")
    assert growth < MAX_GROWTH_BYTES
    assert max(held_s) < MAX_HELD_S
    assert reader.endswith(b"0\r\n\r\n")
    assert reader.count(b"id: ") == 256
    for data in taken:
        assert data.startswith(b"HTTP/1.1 200")
        assert not data.endswith(b"0\r\n\r\n")


def test_short_answer_is_read_ahead_and_waits_for_its_caller(tmp_path):
    """Guards against streams that are broken off though they fit into the gateway's memory."""

    async def scenario():
        async with open_site(tmp_path, events=10) as (site, answers):
            caller = open_caller(site, 0)
            async with asyncio.timeout(3):
                while not answers.held_s:
                    await asyncio.sleep(0.02)
            await asyncio.sleep(1.5)
            return await asyncio.to_thread(read_rest, caller), answers.held_s

    data, held_s = asyncio.run(scenario())
    assert data.endswith(b"0\r\n\r\n")
    assert data.count(b"id: ") == 10
    assert held_s[0] < 1.0
