"""Tests of the outcomes command on log lines in the format of the gateways."""

import json

import pytest
from click.testing import CliRunner

from teaselpath.cli._outcomes import count_outcomes, outcomes
from teaselpath.cli._trace import read_lines


def ended(timestamp, reason, *attempts, total_ms=10.0):
    return {
        "timestamp": timestamp, "message_type": "request", "route": "review", "reason": reason,
        "attempts": [["e1", attempt, 0.1] for attempt in attempts], "total_ms": total_ms,
    }  # fmt: skip


LINES = [
    ended(100.0, "OK", "Answered 200"),
    ended(100.5, "ENDPOINT_LEAVING", "NotRun 503", total_ms=70.0),
    ended(101.0, "ENDPOINT_LEAVING", "NotRun 503", total_ms=40.0),
    {
        "timestamp": 103.0, "message_type": "request_refused", "workspace": "office",
        "reason": "RATE_EXCEEDED",
    },
    {"timestamp": 103.5, "message_type": "log_dropped", "lines": 4},
    {"timestamp": 103.6, "message_type": "endpoint_removed", "endpoint": "e1"},
]  # fmt: skip


@pytest.fixture
def log(tmp_path):
    file = tmp_path / "gw-0.log"
    file.write_text("".join(f"gw-0 {json.dumps(line)}\n" for line in LINES))
    return file


def test_requests_are_counted_by_cause_and_window(log):
    found = count_outcomes(read_lines([log]), 2.0)
    assert found.requests == 4
    assert found.dropped_lines == 4
    assert found.by_cause["review", "ENDPOINT_LEAVING", "NotRun 503"] == 2
    assert found.total_ms["review", "ENDPOINT_LEAVING", "NotRun 503"] == 70.0
    assert found.by_window == {0: {"OK": 1, "ENDPOINT_LEAVING": 2}, 1: {"RATE_EXCEEDED": 1}}


def test_command_prints_failures_and_windows(log):
    result = CliRunner().invoke(outcomes, [str(log)])
    assert result.exit_code == 0
    assert "4 log lines were dropped" in result.output
    assert "      2       70  review, ENDPOINT_LEAVING: NotRun 503" in result.output
    assert "Answered 200" not in result.output
    assert "    2.0  RATE_EXCEEDED 1" in result.output


def test_window_must_be_positive(log):
    assert CliRunner().invoke(outcomes, ["--window", "0", str(log)]).exit_code == 2
