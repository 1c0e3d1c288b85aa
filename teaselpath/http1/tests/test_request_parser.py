"""Requests are parsed as their callers sent them, whatever their connection options and cuts."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from teaselpath.http1._request_parser import RequestParser, RequestRejected

LIMITS = SimpleNamespace(header_bytes=16_384, body_bytes=65_536)
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAA\r\n"
# Head fields, framed body, and the body that an endpoint has to get.
BODIES = {
    "length": (b"Content-Length: 11\r\n", b"GET / HTTP/", b"GET / HTTP/"),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"3\r\nabc\r\n2\r\n\r\n\r\n0\r\n\r\n",
        b"abc\r\n",
    ),
    "trailer": (
        b"Transfer-Encoding: chunked\r\n",
        b"1\r\nx\r\n0\r\nTenant: other\r\n\r\n",
        b"x",
    ),
    "none": (b"", b"", b""),
}
CONNECTIONS = {"plain": b"", "offer": OFFER, "lone-field": b"Upgrade: websocket\r\n"}


def encode(number: int, connection: str, body: str) -> bytes:
    fields, framed, _ = BODIES[body]
    head = b"POST /%d HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\n" % (number, number)
    return head + CONNECTIONS[connection] + fields + b"\r\n" + framed


def parse(pieces: list[bytes]) -> tuple[list, int | None]:
    """Return the requests, and the status of the rejection that ended them."""

    async def run():
        requests: list = []
        parser = RequestParser(lambda: LIMITS, lambda: None, requests.append)
        try:
            for piece in pieces:
                parser.feed(piece)
        except RequestRejected as rejected:
            return requests, rejected.status
        return requests, None

    return asyncio.run(run())


def describe(requests: list) -> list[tuple]:
    return [(r.method, r.target, r.header(b"request-id"), r.body, r.keep_alive) for r in requests]


@pytest.mark.parametrize("body", BODIES)
@pytest.mark.parametrize("connection", CONNECTIONS)
def test_request_behind_an_offer_of_another_protocol_keeps_its_body_at_each_cut(connection, body):
    data = encode(0, connection, body) + encode(1, "plain", "length")
    expected = [
        (b"POST", b"/%d" % n, b"r%d" % n, BODIES[name][2], True)
        for n, name in enumerate((body, "length"))
    ]
    for cut in range(len(data)):
        requests, status = parse([data[:cut], data[cut:]])
        assert status is None
        assert describe(requests) == expected


def test_pipelined_requests_in_any_pieces_are_those_that_were_sent():
    random = Random(50)
    for _ in range(300):
        kinds = [(random.choice(list(CONNECTIONS)), random.choice(list(BODIES))) for _ in range(6)]
        data = b"".join(encode(n, *kind) for n, kind in enumerate(kinds))
        cuts = sorted(random.choices(range(len(data)), k=random.randrange(12)))
        pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]
        requests, status = parse(pieces)
        assert status is None
        assert [r.body for r in requests] == [BODIES[body][2] for _, body in kinds]
        assert [r.target for r in requests] == [b"/%d" % n for n in range(6)]


def test_mutated_bytes_never_change_a_request_before_them():
    random = Random(51)
    first = encode(0, "offer", "chunks")
    whole = describe(parse([first])[0])
    for _ in range(3000):
        data = bytearray(encode(1, random.choice(list(CONNECTIONS)), random.choice(list(BODIES))))
        for _ in range(random.randrange(1, 4)):
            data[random.randrange(len(data))] = random.randrange(256)
        requests, _ = parse([first, bytes(data)])
        assert describe(requests)[:1] == whole


def test_trailer_fields_are_no_header_fields():
    requests, _ = parse([encode(0, "plain", "trailer")])
    assert requests[0].header(b"tenant") is None


@pytest.mark.parametrize("target", [b"h:80", b"/"])
def test_connect_is_rejected_before_it_runs(target):
    requests, status = parse([b"CONNECT " + target + b" HTTP/1.1\r\nHost: h\r\n\r\n"])
    assert (requests, status) == ([], 400)


def test_connection_that_is_to_be_closed_behind_an_offer_is_closed():
    head = b"POST / HTTP/1.1\r\nConnection: close, Upgrade\r\nUpgrade: h2c\r\nContent-Length: 1\r\n"
    requests, _ = parse([head + b"\r\nx"])
    assert describe(requests) == [(b"POST", b"/", None, b"x", False)]


def test_body_that_exceeds_its_limit_behind_an_offer_is_rejected():
    head = b"POST / HTTP/1.1\r\n" + OFFER + b"Content-Length: 70000\r\n\r\n"
    assert parse([head, b"x" * 70_000]) == ([], 413)
