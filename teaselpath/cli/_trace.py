"""The trace command: extracts the lines about one request from gateway logs."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import msgspec

from teaselpath.cli._common import EXIT_FAULTS

# Lines about endpoints and dependencies are shown from this long before a request until this long
# after it.
CONTEXT_WINDOW_S = 6.0
# Message types that report the state of a gateway and of its dependencies.
DEPENDENCY_MESSAGES = frozenset(
    {
        "config_applied",
        "lease_taken",
        "log_dropped",
        "peer_lost",
        "peer_regained",
        "started",
        "stopping",
        "store_lost",
        "store_regained",
        "task_failed",
        "weights_named",
    }
)

Line = dict[str, Any]


@dataclass(slots=True)
class Trace:
    """Lines about a request, and lines about its endpoints and dependencies at that time.

    Both lists are ordered by time.
    """

    request: list[Line] = field(default_factory=list)
    context: list[Line] = field(default_factory=list)


def read_lines(files: Iterable[Path]) -> list[Line]:
    """Return the log lines of files, ordered by time; lines that hold no log message are skipped.

    :param files: log files; text before the JSON object of a line is ignored.
    """
    lines: list[Line] = []
    for file in files:
        with file.open(errors="replace") as stream:
            for text in stream:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = msgspec.json.decode(text[start:])
                except msgspec.DecodeError:
                    continue
                if isinstance(line, dict) and "message_type" in line:
                    lines.append({**line, "file": file.name})
    return sorted(lines, key=lambda line: line.get("timestamp", 0.0))


def trace_request(lines: list[Line], request_id: str) -> Trace:
    """Select the lines about a request and its context."""
    trace = Trace([line for line in lines if line.get("request_id") == request_id])
    if not trace.request:
        return trace
    endpoints = {
        attempt[0] for line in trace.request for attempt in line.get("attempts", []) if attempt[0]
    }
    files = {line["file"] for line in trace.request}
    ended_at = max(line["timestamp"] for line in trace.request)
    duration_s = max(line.get("total_ms", 0.0) for line in trace.request) / 1000
    for line in lines:
        if (
            not ended_at - duration_s - CONTEXT_WINDOW_S
            <= line["timestamp"]
            <= ended_at + CONTEXT_WINDOW_S
        ):
            continue
        is_dependency_line = line["file"] in files and line["message_type"] in DEPENDENCY_MESSAGES
        if is_dependency_line or line.get("endpoint") in endpoints:
            trace.context.append(line)
    return trace


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def trace(request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show the lines in FILES about REQUEST_ID, its endpoints and the gateway's dependencies."""
    found = trace_request(read_lines(files), request_id)
    if not found.request:
        click.echo(f"no log line has the request id {request_id}", err=True)
        raise SystemExit(EXIT_FAULTS)
    request = found.request[-1]
    for line in sorted(found.request + found.context, key=lambda line: line["timestamp"]):
        if as_json:
            click.echo(msgspec.json.encode(line).decode())
        else:
            click.echo(_format_line(line, request["timestamp"]))


def _format_line(line: Line, ended_at: float) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("timestamp", "message_type", "file") and value is not None
    )
    return f"{line['timestamp'] - ended_at:+8.3f} {line['file']} {line['message_type']} {fields}"
