"""Odd values in the header fields of a request: it gets a response, and others are not harmed."""

import asyncio

import pytest

from teaselpath.gateway.tests.front import Front, respond
from teaselpath.http1 import Exchange

NUMBERS = ["", "nan", "-nan", "inf", "-inf", "1e400", "-5", "0", "abc", "9" * 5000, "\xb2", "1_0"]
FIELDS = [
    *(f"Deadline-Ms: {number}" for number in NUMBERS),
    *(f"Model: m\r\nToken-Counts: {number},{number}" for number in NUMBERS),
    *(f"Model: m\r\nToken-Counts: 9,9\r\nPrompt-Prefix: a:{number},b:1" for number in NUMBERS),
    "Model: \xff\r\nToken-Counts: 9,9\r\nPrompt-Prefix: \xfe:1,\xfd:1",
    "Authorization: Token \xff",
    "Authorization: Token",
    "Last-Event-Id: \xff",
    "Request-Id: \xff",
    "Connection: \xff, host",
    "Expect: 100-continue",
]
ENGINE = {"name": "s", "engine": {"kvCapacityTokens": 1000, "kvTokenBytes": 8, "linkMbps": 10}}


@pytest.mark.parametrize("field", FIELDS, ids=[ascii(field[:60]) for field in FIELDS])
def test_request_gets_a_response(field):
    async def scenario():
        async with Front() as front:
            front.put_config(services=[ENGINE])
            await front.add_endpoint("e", respond)
            odd = await front.send(fields=f"{field}\r\n")
            return odd, await front.send()

    odd, other = asyncio.run(scenario())
    assert odd.startswith(b"HTTP/1.1 ")
    assert odd.split(b" ")[1] in (b"200", b"503", b"504")
    assert other.startswith(b"HTTP/1.1 200 ")


def test_time_that_is_no_number_does_not_outlast_the_route():
    """Its deadline was no number either, so that no timer of its event loop was in order."""

    async def never_respond(exchange: Exchange):
        await asyncio.Event().wait()

    async def scenario():
        fired: list[int] = []
        async with Front() as front:
            route = {"name": "r", "host": "h", "pathPrefix": "/", "kind": "unsafe", "service": "s"}
            front.put_config(routes=[{**route, "timeoutMs": 300}])
            await front.add_endpoint("e", never_respond)
            sends = [front.send(fields="Deadline-Ms: nan\r\n") for _ in range(4)]
            for number in range(30):
                asyncio.get_running_loop().call_later(0.01 * (30 - number), fired.append, number)
            return await asyncio.gather(*sends), fired

    responses, fired = asyncio.run(scenario())
    assert [response.split(b" ")[1] for response in responses] == [b"504"] * 4
    assert fired == list(range(29, -1, -1))
