"""The software command: watches and stops the rollouts of software that operators asked for."""

from typing import Any
from urllib.parse import quote

import click
import msgspec

from teaselpath.cli._common import EXIT_FAULTS, fail, json_option
from teaselpath.cli._gateway import gateway_option, send_request
from teaselpath.cli._tables import print_rows

COLUMNS = (
    "service", "target", "state", "step", "left_s", "confirmed", "answered", "bad", "reason",
)  # fmt: skip


@click.group()
def software() -> None:
    """Watch or stop rollouts of software, which are ordered in the platform's store."""


@software.command("list")
@gateway_option
@json_option
def list_rollouts(address: str, as_json: bool) -> None:
    """List the newest rollout of each service, as the gateway knows it."""
    status, body = send_request("GET", address, "/rollouts")
    if status != 200:
        fail(EXIT_FAULTS, f"{address} answers {status}")
    found: list[dict[str, Any]] = msgspec.json.decode(body)
    print_rows(as_json, COLUMNS, [[rollout[name] for name in COLUMNS] for rollout in found])


@software.command("stop")
@click.argument("service")
@gateway_option
def stop_rollout(service: str, address: str) -> None:
    """Roll a service back at all gateways. The same order then begins no new rollout."""
    status, _ = send_request("DELETE", address, f"/rollouts/{quote(service, safe='')}")
    if status == 404:
        fail(EXIT_FAULTS, f"{address} knows no rollout of {service} that runs")
    if status != 204:
        fail(EXIT_FAULTS, f"{address} answers {status}")
    click.echo(f"stopped the rollout of {service}")
