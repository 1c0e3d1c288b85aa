"""Requests of the commands to the internal port of a gateway."""

import asyncio

import aiohttp
import click

from teaselpath.cli._common import EXIT_UNREACHABLE, fail

TIMEOUT_S = 5.0

gateway_option = click.option(
    "--gateway",
    "address",
    required=True,
    help="IP:PORT of a gateway, first of its internal ports; any gateway will do.",
)


def send_request(
    method: str, address: str, path: str, body: bytes | None = None
) -> tuple[int, bytes]:
    """Send a request to the internal port of a gateway; return status and body."""

    async def send() -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, f"http://{address}{path}", data=body) as response,
        ):
            return response.status, await response.read()

    try:
        return asyncio.run(send())
    except (aiohttp.ClientError, TimeoutError) as error:
        fail(EXIT_UNREACHABLE, f"{address} cannot be reached: {error}")
