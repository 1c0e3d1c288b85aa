"""Options, exit codes and file readers shared by the commands."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import aiohttp
import click
import msgspec
from result import Result

from teaselpath.bundle import Bundle, check_bundle
from teaselpath.cli._client import NodeAddress, ToolKeys, send_requests
from teaselpath.clients import HostListClient, read_secret
from teaselpath.results import Failure

Value = TypeVar("Value")

# Exit codes of all commands.
EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4
EXIT_PARTIAL = 5

EXIT_HELP = """Exit codes: 0 done; 1 faults, refused or rejected; 2 wrong usage; 3 log, host list or
node not reachable; 4 outcome unknown; 5 some nodes did not answer or lag."""

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
key_option = click.option(
    "--operator-key",
    required=True,
    type=click.Path(),
    help="File with the operator's private key, mode 600.",
)
log_option = click.option("--log-url", required=True, help="Base URL of the log service.")


class NodesFile(msgspec.Struct):
    """Node addresses in the format of the host list, for use while that service is down."""

    hosts: list[dict[str, Any]]


def fail(code: int, message: str) -> NoReturn:
    """Print an error message and exit with the given code."""
    click.echo(message, err=True)
    sys.exit(code)


def run(
    coroutine: Callable[[aiohttp.ClientSession, float], Awaitable[Value]], timeout: float
) -> Value:
    """Run a coroutine function with an HTTP session and a deadline in event-loop time."""

    async def main() -> Value:
        async with aiohttp.ClientSession() as session:
            return await coroutine(session, asyncio.get_running_loop().time() + timeout)

    return asyncio.run(main())


def read_file(path: str) -> bytes:
    """Return the contents of a file; exit if it cannot be read."""
    try:
        return Path(path).read_bytes()
    except OSError as error:
        fail(EXIT_USAGE, f"cannot read {path}: {error.strerror}")


def read_key(path: str) -> bytes:
    """Return the 32-byte private key from a file of hexadecimal digits; exit if it is invalid."""
    secret = read_secret(path)
    if secret.is_err():
        fail(EXIT_USAGE, secret.unwrap_err().detail)
    try:
        key = bytes.fromhex(secret.unwrap().decode("ascii"))
    except ValueError:
        key = b""
    if len(key) != 32:
        fail(EXIT_USAGE, f"{path}: expected an operator's private key, 64 hexadecimal digits")
    return key


def read_bundle(path: str) -> Bundle:
    """Return the bundle in a file; if it is invalid, print every fault and exit."""
    checked = check_bundle(read_file(path))
    if checked.is_err():
        fail(EXIT_FAULTS, "\n".join(f"{path}: {fault}" for fault in checked.unwrap_err()))
    return checked.unwrap()


def node_options(command: Callable) -> Callable:
    """Add the options that all commands with requests to nodes share."""
    for option in (
        key_option,
        click.option("--curve-public", required=True, type=click.Path(), help="Public key file."),
        click.option("--curve-secret", required=True, type=click.Path(), help="Secret key file."),
        click.option("--host-list-url", default="", help="Base URL of the host list."),
        click.option(
            "--nodes",
            "nodes_file",
            default="",
            type=click.Path(),
            help="JSON file in the format of the host list, used instead of it.",
        ),
        click.option("--timeout", default=5.0, show_default=True, help="Seconds to wait."),
        json_option,
    ):
        command = option(command)
    return command


class Nodes:
    """Addresses of the nodes that a command sends requests to, and the operator's keys."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.timeout = options["timeout"]
        secret = read_secret(options["curve_secret"])
        if secret.is_err():
            fail(EXIT_USAGE, secret.unwrap_err().detail)
        self.keys = ToolKeys(
            read_key(options["operator_key"]),
            read_file(options["curve_public"]).strip(),
            secret.unwrap(),
        )
        self.addresses = self._resolve_addresses(options["host_list_url"], options["nodes_file"])

    def ask(
        self, command: str, arguments: dict[str, Any], host: str = ""
    ) -> dict[str, Result[Any, Failure]]:
        """Send a request to all nodes, or only to ``host``."""
        targets = [node for node in self.addresses if not host or node.host == host]
        if not targets:
            fail(EXIT_USAGE, f"unknown host {host}" if host else "the list of nodes is empty")
        return send_requests(targets, command, arguments, self.keys, self.timeout)

    def _resolve_addresses(self, host_list_url: str, nodes_file: str) -> list[NodeAddress]:
        if nodes_file:
            try:
                entries = msgspec.json.decode(read_file(nodes_file), type=NodesFile).hosts
                return [
                    NodeAddress(e["host"], e["address"], e["control_port"], e["curve_public"])
                    for e in entries
                ]
            except (msgspec.DecodeError, KeyError) as error:
                fail(EXIT_USAGE, f"{nodes_file} is not a valid host list: {error}")
        if not host_list_url:
            fail(EXIT_USAGE, "either --host-list-url or --nodes is required")
        fetched = run(
            lambda session, deadline: HostListClient(session, host_list_url).fetch(deadline),
            self.timeout,
        )
        if fetched.is_err():
            fail(EXIT_UNREACHABLE, str(fetched.unwrap_err()))
        return [
            NodeAddress(e.host, e.address, e.control_port, e.curve_public) for e in fetched.unwrap()
        ]
