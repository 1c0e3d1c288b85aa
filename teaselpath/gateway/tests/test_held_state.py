"""A response that is held back is started once, as any other."""

from types import SimpleNamespace
from typing import Any

import pytest

from teaselpath.gateway._held import HeldExchange
from teaselpath.http1 import Exchange, Request
from teaselpath.http1._server import ResponseStateError


def test_no_response_replaces_a_stream_that_is_held_back():
    """It would look complete, and lacks the events that were held."""
    written: list[bytes] = []
    connection: Any = SimpleNamespace(write=written.append, closes_after=lambda request: True)
    request = Request(b"POST", b"/", [], b"", True, 0.0)
    held = HeldExchange(Exchange(connection, request), (502, []))
    held.start(200, [])
    held.write(b"id: 1\ndata: x\n\n")
    with pytest.raises(ResponseStateError):
        held.respond(200, [])
