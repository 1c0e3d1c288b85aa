"""Last responses: a stream that was begun is cut, whatever ends its request."""

import asyncio
from typing import Any, cast

import pytest

from teaselpath.dispatch import NoEndpoint
from teaselpath.gateway._quarantine import Quarantined
from teaselpath.gateway._responses import Responder
from teaselpath.gateway.tests.test_placement import make_call
from teaselpath.http1 import Exchange, Request
from teaselpath.platform import PlatformRequests
from teaselpath.results import Code, http_status

NO_ENDPOINT = NoEndpoint("full", retry_after_s=0.5)
QUARANTINED = Quarantined(Code.PART_QUARANTINED, 1.0, "verdict")
ERROR = PlatformRequests().decode_answer(500, [(b"Response-Stamp", b"s")])

CUT = {Code.STREAM_INCOMPLETE}
REFUSED = {Code.STREAM_INCOMPLETE, Code.PART_QUARANTINED}


class RecordingConnection:
    """Stands in for the connection of a caller; records what is written to it."""

    def __init__(self) -> None:
        self.written = b""
        self.is_closed = False

    def closes_after(self, request: Request) -> bool:
        """Return that the connection is kept."""
        return False

    def write(self, data: bytes) -> None:
        """Record data."""
        self.written += data

    def close_after_flush(self) -> None:
        """Record the close."""
        self.is_closed = True


@pytest.mark.parametrize("runs", [0, 1])
@pytest.mark.parametrize("has_answer", [False, True])
@pytest.mark.parametrize(
    ("end", "codes"),
    [
        (lambda responder, *rest: responder.refuse(*rest, Code.ENDPOINT_LEAVING, 0.2), CUT),
        (lambda responder, *rest: responder.fail(*rest, 502), CUT),
        (lambda responder, *rest: responder.end_unplaced(*rest, NO_ENDPOINT), CUT),
        (
            lambda responder, *rest: responder.end_quarantined(*rest, QUARANTINED),
            {*CUT, Code.PART_QUARANTINED},
        ),
        (lambda responder, *rest: responder.end_unfinished(*rest, 0.2), CUT),
        (lambda responder, *rest: responder.end_stopping(*rest, 0.2), CUT),
        (lambda responder, *rest: responder.end_failed(*rest), {Code.INTERNAL_ERROR}),
    ],
    ids=["refuse", "fail", "unplaced", "quarantined", "unfinished", "stopping", "failed"],
)
def test_begun_stream_is_cut_and_gets_no_other_response(state, end, codes, has_answer, runs):
    async def scenario():
        call = make_call()
        call.progress.runs, call.was_sent = runs, bool(runs)
        if has_answer:
            call.answer, call.answer_body = ERROR, b"error"
        connection: Any = RecordingConnection()
        exchange = Exchange(connection, Request(b"POST", b"/", [], b"", True, 0.0))
        exchange.start(200, [])
        exchange.write(b"id: 1\ndata: x\n\n")
        before = connection.written
        code = end(Responder(state, PlatformRequests()), exchange, call)
        return code, connection.written == before, connection.is_closed

    code, is_unchanged, is_closed = asyncio.run(scenario())
    assert code in codes
    assert is_unchanged
    assert is_closed


def test_request_larger_than_any_engine_is_refused_as_by_a_full_one(state):
    """Guards against a 4xx for a proper request, and against one without a time to return."""

    async def scenario():
        call, connection = make_call(), RecordingConnection()
        exchange = Exchange(cast(Any, connection), Request(b"POST", b"/", [], b"", True, 0.0))
        too_large = NoEndpoint("too_large", retry_after_s=0.0)
        code = Responder(state, PlatformRequests()).end_unplaced(exchange, call, too_large)
        return code, connection.written

    code, written = asyncio.run(scenario())
    assert code is Code.LARGER_THAN_ENGINE
    assert http_status(code) == 503
    assert written.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 3" in written
