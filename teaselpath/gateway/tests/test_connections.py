"""Reports of connections that end with something unanswered."""

import eliot
import pytest

from teaselpath.gateway._connections import ConnectionReporter
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.http1 import ConnectionEnd, EndCause, Request


@pytest.fixture
def lines():
    """Collect the log messages of a test."""
    messages: list[dict] = []
    eliot.add_destinations(messages.append)
    yield messages
    eliot.remove_destination(messages.append)


@pytest.fixture
def reporter() -> ConnectionReporter:
    return ConnectionReporter(b"Request-Id", GatewayMetrics("gw-0"))


def request(name: str) -> Request:
    return Request(b"GET", b"/", [(b"Request-Id", name.encode())], b"", True, 0.0)


def test_end_names_cause_and_requests(lines, reporter):
    end = ConnectionEnd(EndCause.IDLE, request("a"), (request("b"), request("c")), False, 7)
    reporter.on_end(end)
    (line,) = [line for line in lines if line.get("message_type") == "connection_ended"]
    assert (line["cause"], line["cut"], line["unanswered"]) == ("idle", "a", ["b", "c"])
    assert line["unread_bytes"] == 7
    assert b'teaselpath_connection_ends_total{cause="idle"' in reporter.metrics.render()[0]


def test_failed_handler_names_request_and_error(lines, reporter):
    try:
        raise KeyError("route")
    except KeyError as error:
        reporter.on_handler_failed(request("a"), error)
    (line,) = [line for line in lines if line.get("message_type") == "handler_failed"]
    assert (line["request_id"], line["error"]) == ("a", "KeyError('route')")
    assert any("traceback" in line for line in lines)
    assert b"teaselpath_handler_failures_total" in reporter.metrics.render()[0]
