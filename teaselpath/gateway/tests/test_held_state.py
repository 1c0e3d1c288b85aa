"""A response that is held back is started once, as any other."""

from types import SimpleNamespace
from typing import Any

import pytest

from teaselpath.gateway._held import HeldExchange, HeldMemory
from teaselpath.http1 import Exchange, Request
from teaselpath.http1._server import ResponseStateError


@pytest.fixture
def written() -> list[bytes]:
    """Return what is written to the caller."""
    return []


@pytest.fixture
def held(written) -> HeldExchange:
    """Return an exchange whose response is held back."""
    connection: Any = SimpleNamespace(
        write=written.append,
        closes_after=lambda request: True,
        close_after_flush=lambda: written.append(b"closed"),
    )
    request = Request(b"POST", b"/", [], b"", True, 0.0)
    return HeldExchange(Exchange(connection, request), (502, []), HeldMemory())


def test_no_response_replaces_a_stream_that_is_held_back(held):
    """It would look complete, and lacks the events that were held."""
    held.start(200, [])
    held.write(b"id: 1\ndata: x\n\n")
    with pytest.raises(ResponseStateError):
        held.respond(200, [])


@pytest.mark.parametrize(
    "step",
    [
        lambda held: held.start(200, []),
        lambda held: held.write(b"x"),
        lambda held: held.finish(),
        lambda held: held.respond(200, []),
    ],
    ids=["start", "write", "finish", "respond"],
)
@pytest.mark.parametrize("has_failed", [False, True])
def test_nothing_follows_a_response_that_is_finished(held, written, has_failed, step):
    held.start(200, [])
    if has_failed:
        held.abort()
    else:
        held.finish()
    before = list(written)
    with pytest.raises(ResponseStateError):
        step(held)
    assert written == before


def test_abort_after_a_complete_response_closes_the_connection_only(held, written):
    """The failure was sent behind it, which raised."""
    held.respond(503, [])
    before = list(written)
    held.abort()
    assert written == [*before, b"closed"]
