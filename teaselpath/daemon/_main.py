"""Command line of the daemon: reads the settings, opens the log file and runs the process."""

import asyncio
import sys
from pathlib import Path

import click
from eliot import to_file
from result import Err

from teaselpath.clients import Settings, load_settings
from teaselpath.daemon._process import Process
from teaselpath.results import Failure

EXIT_INVALID_SETTINGS = 2


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
    help="JSON file with the settings of this process; see docs/configuration.md.",
)
@click.version_option(package_name="teaselpath")
def main(path: Path) -> None:
    """Run one node of teaselpath: an entry, or the agent beside an endpoint.

    SIGTERM or SIGINT stops it gracefully; a second one ends it at once. SIGHUP reads the accepted
    CURVE keys again.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        _print_faults(loaded.err_value)
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = loaded.ok_value
    _open_log(settings)
    sys.exit(asyncio.run(Process(settings, path).run()))


def _open_log(settings: Settings) -> None:
    # The log file stays open for the life of the process.
    to_file(Path(settings.log_file).open("a") if settings.log_file else sys.stderr)  # noqa: SIM115


def _print_faults(faults: list[Failure]) -> None:
    for fault in faults:
        click.echo(str(fault), err=True)
