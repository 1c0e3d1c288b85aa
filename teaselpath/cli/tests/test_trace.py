"""Tests of the trace command on log lines in the format of the gateways."""

import json

import pytest
from click.testing import CliRunner

from teaselpath.cli._trace import read_lines, trace, trace_request

LINES = [
    {"timestamp": 90.0, "message_type": "engine_silent", "endpoint": "e1"},
    {"timestamp": 98.0, "message_type": "engine_silent", "endpoint": "e1"},
    {"timestamp": 99.0, "message_type": "engine_silent", "endpoint": "e2"},
    {"timestamp": 99.5, "message_type": "store_lost", "reason": "cut"},
    {
        "timestamp": 100.0,
        "message_type": "request",
        "request_id": "r1",
        "reason": "OUTCOME_UNKNOWN",
        "attempts": [["e1", "Broken", 2.0]],
        "total_ms": 2000.0,
    },
    {"timestamp": 101.0, "message_type": "endpoint_removed", "endpoint": "e1"},
]


@pytest.fixture
def log(tmp_path):
    file = tmp_path / "gw-0.log"
    text = "".join(f"  {line['timestamp']} gw-0 {json.dumps(line)}\n" for line in LINES)
    file.write_text(text + "Traceback: no JSON {\n")
    return file


def test_trace_selects_the_request_its_endpoint_and_dependencies(log):
    found = trace_request(read_lines([log]), "r1")
    assert [line["timestamp"] for line in found.request] == [100.0]
    assert [line["timestamp"] for line in found.context] == [98.0, 99.5, 101.0]


def test_command_prints_lines_in_order(log):
    result = CliRunner().invoke(trace, ["r1", str(log)])
    assert result.exit_code == 0
    kinds = [text.split()[2] for text in result.output.splitlines()]
    assert kinds == ["engine_silent", "store_lost", "request", "endpoint_removed"]


def test_unknown_request_is_reported(log):
    result = CliRunner().invoke(trace, ["r2", str(log)])
    assert result.exit_code == 1
    assert "r2" in result.output
