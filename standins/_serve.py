"""Start-up and shutdown of stand-ins in the current event loop."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, Protocol

from aiohttp import web

from standins._config import (
    AnyConfig,
    CacheStoreConfig,
    EngineConfig,
    HostsConfig,
    LogConfig,
    ServiceConfig,
    WeightStoreConfig,
)
from standins.engine import EngineServer
from standins.hosts import HostListServer
from standins.log import LogServer
from standins.service import ServiceServer
from standins.stores import CacheStoreServer, WeightStoreServer

SHUTDOWN_TIMEOUT_S = 0.2


class Server(Protocol):
    """Interface of all stand-ins."""

    app: web.Application


@dataclass(slots=True)
class Running:
    """A running stand-in.

    :param url: base URL, without a trailing slash.
    :param server: the server object, for tests that inspect its state.
    """

    config: AnyConfig
    server: Any
    url: str


def make_server(config: AnyConfig) -> Server:
    """Return the stand-in for a configuration."""
    match config:
        case EngineConfig():
            return EngineServer(config)
        case ServiceConfig():
            return ServiceServer(config)
        case LogConfig():
            return LogServer(config)
        case HostsConfig():
            return HostListServer(config)
        case CacheStoreConfig():
            return CacheStoreServer(config)
        case WeightStoreConfig():
            return WeightStoreServer(config)


@asynccontextmanager
async def serve(config: AnyConfig) -> AsyncIterator[Running]:
    """Serve a stand-in for the duration of an ``async with`` block."""
    server = make_server(config)
    # An engine cancels a request when its caller disconnects; other stand-ins complete the call.
    runner = web.AppRunner(
        server.app,
        access_log=None,
        handler_cancellation=isinstance(config, EngineConfig),
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    try:
        site = web.TCPSite(runner, config.host, config.port)
        await site.start()
        host, port = runner.addresses[0][:2]
        yield Running(config, server, f"http://{host}:{port}")
    finally:
        await runner.cleanup()
