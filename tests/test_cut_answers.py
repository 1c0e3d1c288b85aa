"""Engines that stop within an answer: the caller never takes the part for the whole."""

import asyncio
from random import Random

import pytest

from standins.hosted import EngineFaults, HostedSite
from standins.hosted._answers import events_of, stamp_of
from tests.test_gateway import PREFIX, make_caller, open_site, runs_by_request

FAULTS = [
    {"cut_heads": 0.5},
    {"cut_heads": 0.5, "unframed": 0.5},
    {"cut_heads": 0.5, "resets": 1.0},
    {"cuts": 0.5, "resets": 1.0},
    {"cuts": 0.5, "unframed": 1.0, "resets": 1.0},
]


@pytest.mark.parametrize("faults", FAULTS, ids=" ".join)
def test_part_of_an_answer_never_looks_complete(tmp_path, faults):
    async def scenario():
        async with open_site(tmp_path) as site:
            for placed in site.engines.values():
                placed.engine.faults = EngineFaults(**faults)
            caller = make_caller(site)
            answers = []
            for n in range(20):
                sends = [caller.send(f"/{kind}/x", f"{kind}{n}") for kind in ("pay", "lookup")]
                sends += [
                    caller.send(f"/{kind}/x", f"{kind}{n}", prefix=PREFIX.format(n))
                    for kind in ("review", "query")
                ]
                answers += await asyncio.gather(*sends)
            return site, answers

    site, answers = asyncio.run(scenario())
    run_counts = runs_by_request(site)
    for answer in answers:
        kind = answer.request_id.rstrip("0123456789")
        assert answer.fault(is_stream=kind in ("review", "query")) is None
        if kind in ("pay", "query"):
            assert run_counts[answer.request_id] <= 1
            assert not (answer.status in (429, 503) and run_counts[answer.request_id])
    assert any(answer.status != 200 or not answer.is_complete for answer in answers)


def test_stream_does_not_end_where_the_next_engine_stopped_after_its_head(tmp_path):
    """The first engine broke off between two events, so nothing else shows that one is missing."""

    async def handle(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        request_id = head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode()
        fields = f"Request-Id: {request_id}\r\nResponse-Stamp: {stamp_of(request_id)}\r\n"
        events = b"" if b"Last-Event-Id" in head else b"".join(events_of(request_id)[:2])
        framing = "Transfer-Encoding: chunked\r\n" if events else ""
        writer.write(
            f"HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n{framing}\r\n".encode()
        )
        if events:
            writer.write(b"%x\r\n%b\r\n" % (len(events), events))
        writer.close()

    async def scenario():
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with HostedSite(tmp_path, Random(7)) as site:
            for name in ("llm-0", "llm-1"):
                await site.add_engine(name, "llm", is_model=True, listed_address=address)
            site.write_config()
            await site.wait_until_ready(await site.start_gateway("gw-0", "127.0.0.2"))
            answer = await make_caller(site).send("/review/x", "r1", prefix=PREFIX.format(1))
        server.close()
        return answer

    answer = asyncio.run(scenario())
    assert answer.body == b"".join(events_of("r1")[:2])
    assert not answer.is_complete
