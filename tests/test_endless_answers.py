"""End-to-end tests of engines that send bytes without end."""

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest

from standins.hosted import Caller, HostedSite
from standins.hosted._answers import stamp_of

FAULTY = 12
# Bytes that a faulty engine sends at most on one connection.
SENT_BYTES = 96 << 20
PIECE = b"x" * 65_536
# Growth that leaves a host of the smallest deployment, with 128 MB, enough for its other requests.
MAX_GROWTH_BYTES = 64 << 20
REQUESTS = 48
OK = b"HTTP/1.1 200 OK\r\n"
STREAM = b"Content-Type: text/event-stream\r\n"

# What comes before the bytes without end, and one piece of these.
ENDLESS = {
    "body-with-length": (OK + b"Content-Length: 99999999999\r\n\r\n", PIECE),
    "body-in-chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n"),
    "body-without-framing": (OK + b"\r\n", PIECE),
    "event-in-chunks": (
        OK + STREAM + b"Transfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n",
    ),
    "event-without-framing": (OK + STREAM + b"\r\nid: 1\ndata: ", PIECE),
    "comments": (OK + STREAM + b"\r\n", b": x\n\n" * 8192),
    "head": (OK, b"A: b\r\n" * 8192),
    "head-field": (OK + b"A: ", PIECE),
    "status-line": (b"HTTP/1.1 200 ", PIECE),
    "interim-answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2048),
    "chunk-extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n5;", PIECE),
    "no-answer": (b"", PIECE),
}  # fmt: skip


@asynccontextmanager
async def open_faulty_engine(first: bytes, piece: bytes):
    """Serve an answer without end that names the request; yield the address."""

    async def handle(reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
            fields = b"Request-Id: %b\r\nResponse-Stamp: %b\r\n" % (
                request_id, stamp_of(request_id.decode()).encode()
            )  # fmt: skip
            writer.write(first.replace(OK, OK + fields))
            for _ in range(SENT_BYTES // len(piece)):
                writer.write(piece)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    async with server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def peak_bytes(process) -> int:
    """Return the largest memory that a process has used."""
    fields = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    peak = next(field for field in fields if field.startswith("VmHWM:"))
    return int(peak.split()[1]) << 10


@pytest.mark.parametrize("kind", ENDLESS)
def test_gateway_keeps_no_answer_without_end(tmp_path, kind):
    """Guards against a gateway that runs out of memory, and its other requests with it."""

    async def scenario():
        async with (
            open_faulty_engine(*ENDLESS[kind]) as faulty,
            HostedSite(tmp_path, Random(7)) as site,
        ):
            for number in range(2):
                await site.add_engine(f"llm-{number}", "llm", is_model=True)
                await site.add_engine(f"desk-{number}", "desk")
            site.write_config()
            gateway = await site.start_gateway("gw-0", "127.0.0.2")
            await site.wait_until_ready(gateway)
            caller = Caller(f"127.0.0.2:{site.ports['front']}")
            await caller.send("/lookup/x", "first")
            before = peak_bytes(gateway.process)
            for number in range(FAULTY):
                for service in ("llm", "desk"):
                    await site.add_engine(
                        f"bad-{service}-{number}", service, is_model=service == "llm",
                        listed_address=faulty,
                    )  # fmt: skip
            await asyncio.sleep(1.5)
            sends = []
            for number in range(REQUESTS):
                prefix = f"aa{number % 7}:2000,ff{number:04x}:50"
                sends += [
                    caller.send("/lookup/x", f"l{number}"),
                    caller.send("/review/x", f"s{number}", prefix=prefix),
                ]
            answers = await asyncio.gather(*sends)
            sound = await caller.send("/lookup/x", "last")
            return before, peak_bytes(gateway.process), answers, sound, gateway.process.returncode

    before, peak, answers, sound, returncode = asyncio.run(scenario())
    assert peak - before < MAX_GROWTH_BYTES
    assert returncode is None
    assert sound.status == 200
    for answer in answers:
        assert answer.fault(is_stream=answer.request_id.startswith("s")) is None
