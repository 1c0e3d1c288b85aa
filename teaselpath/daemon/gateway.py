"""Run a gateway on the users' platform as ``python -m teaselpath.daemon.gateway``."""

import asyncio
import gc
import sys

import click
from result import Err

from teaselpath.fleet import GatewaySettings
from teaselpath.gateway import GatewayService, LogSink
from teaselpath.http1 import HttpClient
from teaselpath.platform import PlatformEngines, PlatformRequests, PlatformStore, read_settings

EXIT_INVALID_SETTINGS = 2


@click.command()
@click.option("--settings", "path", default=None, help="Settings file; default: the platform's.")
def main(path: str | None) -> None:
    """Run one gateway; SIGTERM stops it gracefully."""
    loaded = read_settings(path)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    asyncio.run(_run(loaded.ok_value))


async def _run(settings: GatewaySettings) -> None:
    log = LogSink()
    log.open()
    http = HttpClient(id_header=PlatformRequests.id_header)
    store = PlatformStore(settings.store_address, http)
    service = GatewayService(settings, store, PlatformRequests(), PlatformEngines(http), http, log)
    gc.freeze()
    await service.run()


if __name__ == "__main__":
    main()
