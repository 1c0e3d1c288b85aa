"""The outcomes command: counts how requests ended, from gateway logs."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from teaselpath.cli._trace import read_lines

# Message types that report the end of a request.
ENDED = "request"
REFUSED = "request_refused"
# Rows that are printed per table.
MAX_ROWS = 20

Line = dict[str, Any]


@dataclass(slots=True)
class Outcomes:
    """How requests ended.

    :param by_cause: requests by route, reason and outcomes of the attempts; refused ones by
        workspace.
    :param by_window: requests by window and reason; windows are counted from the first line.
    :param total_ms: largest duration by cause, in ms.
    :param dropped_lines: log lines that the gateways dropped, so that requests are missing.
    """

    by_cause: Counter[tuple[str, str, str]] = field(default_factory=Counter)
    by_window: dict[int, Counter[str]] = field(default_factory=dict)
    total_ms: dict[tuple[str, str, str], float] = field(default_factory=dict)
    dropped_lines: int = 0

    @property
    def requests(self) -> int:
        """Return the number of requests."""
        return self.by_cause.total()


def count_outcomes(lines: Iterable[Line], window_s: float) -> Outcomes:
    """Count the ends of requests.

    :param window_s: length of a window, in seconds.
    """
    outcomes = Outcomes()
    began_at: float | None = None
    for line in lines:
        if line["message_type"] == "log_dropped":
            outcomes.dropped_lines += line.get("lines", 0)
        if line["message_type"] not in (ENDED, REFUSED):
            continue
        ended_at = line.get("timestamp", 0.0)
        began_at = ended_at if began_at is None else began_at
        reason = line.get("reason", "")
        attempts = ", ".join(attempt[1] for attempt in line.get("attempts", []))
        # A refused request may have no route; its path is the caller's choice.
        where = line.get("route") or line.get("workspace") or "-"
        cause = (where, reason, attempts)
        outcomes.by_cause[cause] += 1
        total_ms = line.get("total_ms") or 0.0
        outcomes.total_ms[cause] = max(total_ms, outcomes.total_ms.get(cause, 0.0))
        window = int((ended_at - began_at) / window_s)
        outcomes.by_window.setdefault(window, Counter())[reason] += 1
    return outcomes


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--window", "window_s", default=2.0, show_default=True, help="Window, in seconds.")
@click.option("--served", is_flag=True, help="Count served requests in the first table, too.")
def outcomes(files: tuple[Path, ...], window_s: float, served: bool) -> None:
    """Count how the requests in FILES ended, by cause and over time."""
    if window_s <= 0:
        raise click.BadParameter("must be positive", param_hint="--window")
    found = count_outcomes(read_lines(files), window_s)
    click.echo(f"{found.requests} requests")
    if found.dropped_lines:
        click.echo(f"{found.dropped_lines} log lines were dropped; some requests are missing")
    click.echo(f"\n{'count':>7} {'max ms':>8}  route or workspace, reason: attempts")
    causes = [c for c in found.by_cause.most_common() if served or c[0][1] != "OK"]
    for cause, count in causes[:MAX_ROWS]:
        where, reason, attempts = cause
        click.echo(f"{count:7} {found.total_ms[cause]:8.0f}  {where}, {reason}: {attempts}")
    click.echo(f"\n{'from s':>7}  requests by reason")
    for window, reasons in sorted(found.by_window.items()):
        text = ", ".join(f"{reason} {count}" for reason, count in reasons.most_common())
        click.echo(f"{window * window_s:7.1f}  {text}")
