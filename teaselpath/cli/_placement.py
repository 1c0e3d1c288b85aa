"""The placement command: where a request would go now at a gateway, and why."""

from typing import Any

import click
import msgspec

from teaselpath.cli._common import EXIT_FAULTS, EXIT_USAGE, fail, json_option
from teaselpath.cli._gateway import send_request
from teaselpath.cli._tables import format_table

COLUMNS = (
    "endpoint", "failure_domain", "cost_s", "first_event_s", "uncached_tokens", "fetch_from",
    "requests", "slots", "pending_tokens", "held_tokens", "rtt_s", "failure_rate", "pace",
    "left_out",
)  # fmt: skip
# What the cost of an endpoint is made of: ``ExpectedTimes``.
TIMES_COLUMNS = (
    "network_s", "queue_s", "fixed_s", "batch_s", "ahead_s", "prefill_s", "fetch_s", "decode_s",
    "penalty_s",
)  # fmt: skip


@click.command()
@click.option(
    "--gateway",
    "address",
    required=True,
    help="IP:PORT of a gateway, first of its internal ports.",
)
@click.option("--host", required=True, help="Host of the request.")
@click.option("--path", required=True, help="Path of the request.")
@click.option("--workspace", default="", help="Name of its workspace; no key is needed.")
@click.option("--model", default="", help="Model of its prompt.")
@click.option("--parts", default="", help="Parts of its prompt, ID:TOKENS,ID:TOKENS.")
@click.option("--output-tokens", default=0, help="Largest number of tokens to generate.")
@click.option("--time-left", default=30.0, help="How long its caller waits, in seconds.")
@json_option
def placement(
    address: str,
    host: str,
    path: str,
    workspace: str,
    model: str,
    parts: str,
    output_tokens: int,
    time_left: float,
    as_json: bool,
) -> None:
    """Show where a request would go now, and why, without sending it."""
    request = {
        "host": host,
        "path": path,
        "workspace": workspace,
        "model": model,
        "parts": _parse_parts(parts),
        "output_tokens": output_tokens,
        "time_left_s": time_left,
    }
    status, body = send_request("POST", address, "/placement", msgspec.json.encode(request))
    if status != 200:
        fail(EXIT_FAULTS, f"{address} answers {status}: {body.decode(errors='replace')}")
    if as_json:
        click.echo(body.decode())
        return
    found: dict[str, Any] = msgspec.json.decode(body)
    candidates = found.pop("candidates", [])
    for name, value in found.items():
        click.echo(f"{name}: {_text(value)}")
    if candidates:
        rows = [[_cell(candidate.get(name)) for name in COLUMNS] for candidate in candidates]
        click.echo(format_table(COLUMNS, rows))
    placed = [candidate for candidate in candidates if candidate.get("times")]
    if placed:
        click.echo("cost_s is the sum of:")
        rows = [
            [candidate["endpoint"], *(_cell(candidate["times"].get(n)) for n in TIMES_COLUMNS)]
            for candidate in placed
        ]
        click.echo(format_table(("endpoint", *TIMES_COLUMNS), rows))


def _parse_parts(text: str) -> list[tuple[str, int]]:
    parts = []
    for entry in filter(None, text.split(",")):
        part_id, _, tokens = entry.rpartition(":")
        if not part_id or not tokens.isdecimal():
            fail(EXIT_USAGE, f"{entry} is not ID:TOKENS")
        parts.append((part_id, int(tokens)))
    return parts


def _text(value: object) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {_text(item)}" for key, item in value.items())
    return "-" if value is None else str(value)


def _cell(value: object) -> object:
    # Costs are small fractions of a second, which tables would round.
    return f"{value:.4g}" if isinstance(value, float) else value
