"""Capacity at the design size, from slopes measured at smaller sizes.

Prints the tables of docs/CAPACITY.md with ratios to the budget, and one line of JSON.
"""

import argparse
import dataclasses
import json
import time
from pathlib import Path

from capacity_control import AGENTS, ENTRIES, control_slopes
from capacity_endpoint import endpoint_slopes
from capacity_fit import Fit, Slope, fit
from capacity_model import (
    ASSUMPTIONS,
    BUDGET_BYTES_PER_S,
    BUDGET_CPU_PERCENT,
    BUDGET_MEMORY,
    REQUESTS_PER_S,
    Model,
    Row,
    total,
)
from capacity_request import request_slopes
from capacity_transport import peer_limit, process_memory, transport_slopes

ROLES = {"entry": ENTRIES, "agent": AGENTS}


def all_slopes() -> list[Slope]:
    """Return every slope that is measured."""
    return [*control_slopes(), *endpoint_slopes(), *request_slopes(), *transport_slopes()]


def show(head: list[str], rows: list[list[str]]) -> None:
    """Print a Markdown table."""
    print("| " + " | ".join(head) + " |")
    print("| --- " * len(head) + "|")
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print()


def number(value: float) -> str:
    """Format a number with three significant digits."""
    if value == 0:
        return "-"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{float(f'{value:.3g}'):g}"


def show_slopes(fits: list[Fit]) -> None:
    """Print the measured slopes with their errors."""
    rows = []
    for row in fits:
        slope = row.slope
        rows.append(
            [
                f"`{slope.name}`",
                slope.unit,
                slope.size_unit,
                ", ".join(str(size) for size in slope.sizes),
                number(row.base),
                f"{number(row.per_size)} ± {number(row.slope_error)}",
                f"{100 * row.error:.1f}%",
                number(slope.full),
                number(row.at_full),
            ]
        )
    head = ["slope", "unit", "per", "sizes", "base", "each ± standard error", "residual"]
    show([*head, "full size", "at full size"], rows)


def show_background(role: str, rows: list[Row]) -> None:
    """Print the cost of an idle node with ratios to the budget."""

    def cells(row: Row) -> list[str]:
        return [
            number(row.cpu),
            number(row.cpu / BUDGET_CPU_PERCENT),
            number(row.memory / 1e6),
            number(row.memory / BUDGET_MEMORY),
            number(row.rate),
            number(row.rate / BUDGET_BYTES_PER_S),
        ]

    print(f"Background cost of a node in role {role}\n")
    head = [role, "mechanism", "% of a core", "of 1.4%", "MB", "of 256 MB", "B/s", "of 2 KB/s"]
    table = [[row.part, row.mechanism, *cells(row)] for row in rows]
    local = total(rows, lambda row: not row.part.startswith("engine:"))
    if local.cpu < total(rows).cpu:
        table.append(["sum without the engine", "", *cells(local)])
    table.append(["sum", "", *cells(total(rows))])
    show(head, table)


def show_request(role: str, rows: list[Row]) -> None:
    """Print the cost per request, and that of the peak on one node."""
    rate = REQUESTS_PER_S / ROLES[role]
    print(f"Cost per request in role {role}, {rate:.1f} requests/s per node at the peak\n")
    table = [
        [r.part, r.mechanism, number(r.cpu), number(r.rate), number(r.cpu * rate / 1e4)]
        for r in [*rows, total(rows)]
    ]
    show([role, "mechanism", "us of processor", "B of messages", "% of a core at peak"], table)


def show_log(rows: list[dict]) -> None:
    """Print the streams of the log."""
    head = ["stream", "appends/s", "of 300/s", "B per record", "readers", "polls/s", "read B/s"]
    head += ["of a far region's link", "few readers", "read B/s with few", "of the link", "ratio"]
    show(
        head,
        [
            [
                f"`{row['stream']}`",
                number(row["appends_per_s"]),
                number(row["of_rate"]),
                number(row["record_bytes"]),
                number(row["readers"]),
                number(row["polls_per_s"]),
                number(row["read_bytes_per_s"]),
                number(row["of_region_link"]),
                number(row["few_readers"]),
                number(row["few_bytes_per_s"]),
                number(row["few_of_region_link"]),
                number(row["few_bytes_per_s"] / row["read_bytes_per_s"]),
            ]
            for row in rows
        ],
    )


def show_recovery(rows: list[dict]) -> None:
    """Print what restarted nodes fetch."""
    show(
        ["event", "MB fetched", "processor s per node", "s over a link of 4 Mbit/s"],
        [
            [r["event"], number(r["bytes"] / 1e6), number(r["cpu_s"]), number(r["link_s"])]
            for r in rows
        ],
    )


def show_states(rows: list[dict]) -> None:
    """Print what a reader of each stream keeps and computes."""
    show(
        ["stream", "state of a reader, MB", "of 256 MB", "% of a core", "of 1.4%"],
        [
            [
                f"`{row['stream']}`",
                number(row["state_bytes"] / 1e6),
                number(row["state_bytes"] / BUDGET_MEMORY),
                number(row["reader_ms_per_s"] / 10),
                number(row["reader_ms_per_s"] / 10 / BUDGET_CPU_PERCENT),
            ]
            for row in rows
        ],
    )


def show_alternatives(rows: list[dict], fitting: dict[str, float]) -> None:
    """Print designs that are not built beside what is built."""
    show(
        ["part", "design", "B/s per node", "of 2 KB/s", "built"],
        [
            [
                row["part"],
                row["design"],
                number(row["bytes_per_s"]),
                number(row["bytes_per_s"] / BUDGET_BYTES_PER_S),
                "yes" if row["is_built"] else "no",
            ]
            for row in rows
        ],
    )
    counts = ", ".join(f"{name} {count:.0f}" for name, count in fitting.items())
    print(f"Idle connections that use up a budget alone: {counts}.\n")


def main() -> None:
    """Measure, fit, evaluate and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path, help="file for the results")
    options = parser.parse_args()
    started = time.monotonic()
    fits = [fit(slope, [slope.measure(size) for size in slope.sizes]) for slope in all_slopes()]
    model = Model({row.slope.name: row for row in fits}, process_memory())
    limit = peer_limit()
    show_slopes(fits)
    result: dict = {"benchmark": "capacity", "assumptions": ASSUMPTIONS, "peer_limit": limit}
    result["slopes"] = {
        row.slope.name: {
            "unit": row.slope.unit,
            "sizes": row.slope.sizes,
            "points": row.points,
            "base": row.base,
            "per_size": row.per_size,
            "slope_error": row.slope_error,
            "error": row.error,
            "at_full": row.at_full,
        }
        for row in fits
    }
    for role in ROLES:
        background, request = model.background(role), model.request(role)
        show_background(role, background)
        show_request(role, request)
        result[role] = {
            "background": [dataclasses.asdict(row) for row in background],
            "request": [dataclasses.asdict(row) for row in request],
        }
    result["log"], result["recovery"] = model.log(), model.recovery()
    result["alternatives"] = model.alternatives()
    result["peers_that_fit"] = model.peers_that_fit()
    show_log(result["log"])
    show_states(result["log"])
    show_alternatives(result["alternatives"], result["peers_that_fit"])
    show_recovery(result["recovery"])
    print(f"A node can connect to {limit} peers before its sockets run out.\n")
    result["seconds"] = time.monotonic() - started
    if options.json is not None:
        options.json.write_text(json.dumps(result, indent=1))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
