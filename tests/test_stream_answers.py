"""Streams of which the caller has a part when an engine breaks off and the next one fails."""

import asyncio

import pytest

from standins.hosted import HostedSite
from tests.test_gateway import make_caller, open_site

REQUEST = (
    b"POST /review/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %b\r\n"
    b"Authorization: Token key-1\r\nModel: model-a\r\nToken-Counts: 300,10\r\n"
    b"Prompt-Prefix: %b:100,bb:50\r\nDeadline-Ms: 8000\r\nConnection: close\r\n"
    b"Content-Length: 2\r\n\r\n{}"
)


@pytest.fixture
def folder(tmp_path):
    return tmp_path


async def read_raw(site: HostedSite, request_id: str) -> bytes:
    """Send a request for a stream and return everything that the gateway sends."""
    reader, writer = await asyncio.open_connection(site.gateways["gw-0"].ip, site.ports["front"])
    name = request_id.encode()
    writer.write(REQUEST % (name, name))
    answer = await asyncio.wait_for(reader.read(), 15.0)
    writer.close()
    return answer


@pytest.mark.parametrize("fault", ["errors", "sheds", "lost", "encoded"])
def test_begun_stream_is_never_followed_by_another_answer(folder, fault):
    """An engine breaks streams off, the others fail: the caller sees a cut stream, and no more."""

    async def scenario():
        async with open_site(folder) as site:
            site.engines["llm-0"].engine.faults.cuts = 1.0
            for name in ("llm-1", "llm-2"):
                setattr(site.engines[name].engine.faults, fault, 1.0)
            return [await read_raw(site, f"s{n}") for n in range(24)]

    answers = asyncio.run(scenario())
    begun = [answer for answer in answers if b"\ndata: " in answer]
    assert begun
    for answer in begun:
        assert answer.count(b"HTTP/1.1 ") == 1, answer
        assert not answer.endswith(b"0\r\n\r\n"), answer


@pytest.mark.parametrize("fault", ["restarts", "skips", "plain"])
def test_stream_is_continued_only_with_the_events_that_follow(folder, fault):
    """The next engine starts again, leaves an event out, or answers with a document."""

    async def scenario():
        async with open_site(folder) as site:
            site.engines["llm-0"].engine.faults.cuts = 1.0
            for name in ("llm-1", "llm-2"):
                setattr(site.engines[name].engine.faults, fault, 1.0)
            caller = make_caller(site)
            sends = [
                caller.send("/review/x", f"s{n}", prefix=f"aa{n}:100,bb:50") for n in range(24)
            ]
            return await asyncio.gather(*sends)

    answers = asyncio.run(scenario())
    faults = [answer.fault(is_stream=True) for answer in answers]
    assert [fault for fault in faults if fault] == []
    assert any(answer.body and not answer.is_complete for answer in answers)
