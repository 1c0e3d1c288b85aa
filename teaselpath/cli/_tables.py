"""Command output as a text table or as JSON."""

from collections.abc import Sequence
from typing import Any

import click
import msgspec


def format_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Format rows as left-aligned columns below a heading line."""
    cells = [
        [str(column) for column in columns],
        *[[_format_cell(value) for value in r] for r in rows],
    ]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = ["  ".join(value.ljust(widths[i]) for i, value in enumerate(row)) for row in cells]
    return "\n".join(line.rstrip() for line in lines)


def print_rows(as_json: bool, columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as a table, or as a JSON array on one line."""
    if as_json:
        data = [dict(zip(columns, row, strict=True)) for row in rows]
        click.echo(msgspec.json.encode(data).decode())
    else:
        click.echo(format_table(columns, rows) if rows else "nothing to show")


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.1f}"
    if isinstance(value, dict | list):
        return msgspec.json.encode(value).decode()
    return str(value)
