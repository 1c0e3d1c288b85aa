"""The verdicts command: lists and lifts verdicts on prompt parts and requests at the gateways."""

from typing import Any

import click
import msgspec

from teaselpath.cli._common import EXIT_FAULTS, fail, json_option
from teaselpath.cli._gateway import gateway_option, send_request
from teaselpath.cli._tables import print_rows

COLUMNS = ("verdict", "parts", "ends", "strikes", "issued_by", "age_s", "left_s")


@click.group()
def verdicts() -> None:
    """List or lift verdicts on prompt parts and requests that crash engines."""


@verdicts.command("list")
@gateway_option
@json_option
def list_verdicts(address: str, as_json: bool) -> None:
    """List the verdicts in force."""
    status, body = send_request("GET", address, "/verdicts")
    if status != 200:
        fail(EXIT_FAULTS, f"{address} answers {status}")
    found: list[dict[str, Any]] = msgspec.json.decode(body)
    print_rows(as_json, COLUMNS, [[verdict[name] for name in COLUMNS] for verdict in found])


@verdicts.command("lift")
@click.argument("verdict_id")
@gateway_option
def lift_verdict(verdict_id: str, address: str) -> None:
    """Lift a verdict at all gateways. Its parts need new evidence to be judged again."""
    status, _ = send_request("DELETE", address, f"/verdicts/{verdict_id}")
    if status == 404:
        fail(EXIT_FAULTS, f"{address} knows no verdict {verdict_id}")
    if status != 204:
        fail(EXIT_FAULTS, f"{address} answers {status}")
    click.echo(f"lifted {verdict_id}")
