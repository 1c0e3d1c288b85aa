"""The trace command: what a gateway's logs say about one request."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import msgspec

from teaselpath.cli._common import EXIT_FAULTS

# Time around a request from which lines about its endpoints and dependencies are shown, in seconds.
CONTEXT_S = 6.0
# Lines that say what a gateway believes about its dependencies.
DEPENDENCIES = frozenset(
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
    """Lines about a request, and what was believed around it, in order of time."""

    request: list[Line] = field(default_factory=list)
    context: list[Line] = field(default_factory=list)


def read_lines(files: Iterable[Path]) -> list[Line]:
    """Return the log lines of files in order of time; other lines are left out.

    :param files: logs; text before the JSON object of a line is dropped.
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
    """Return what the lines say about a request."""
    trace = Trace([line for line in lines if line.get("request_id") == request_id])
    if not trace.request:
        return trace
    endpoints = {
        attempt[0] for line in trace.request for attempt in line.get("attempts", []) if attempt[0]
    }
    files = {line["file"] for line in trace.request}
    ended_at = max(line["timestamp"] for line in trace.request)
    took_s = max(line.get("total_ms", 0.0) for line in trace.request) / 1000
    for line in lines:
        if not ended_at - took_s - CONTEXT_S <= line["timestamp"] <= ended_at + CONTEXT_S:
            continue
        is_own = line["file"] in files and line["message_type"] in DEPENDENCIES
        if is_own or line.get("endpoint") in endpoints:
            trace.context.append(line)
    return trace


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON lines.")
def trace(request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show what the logs in FILES say about REQUEST_ID and about its endpoints around it."""
    found = trace_request(read_lines(files), request_id)
    if not found.request:
        click.echo(f"no line names {request_id}", err=True)
        raise SystemExit(EXIT_FAULTS)
    request = found.request[-1]
    for line in sorted(found.request + found.context, key=lambda line: line["timestamp"]):
        if as_json:
            click.echo(msgspec.json.encode(line).decode())
        else:
            click.echo(_describe(line, request["timestamp"]))


def _describe(line: Line, ended_at: float) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("timestamp", "message_type", "file") and value is not None
    )
    return f"{line['timestamp'] - ended_at:+8.3f} {line['file']} {line['message_type']} {fields}"
