"""Fixtures that start stand-ins in the test process, on free loopback ports.

A test module imports the fixture that it needs::

    from standins.testing import start_standin  # noqa: F401

    def test_read(start_standin):
        log = start_standin(LogConfig())
        log.post("/streams/config/records", data=b"x")

Asynchronous tests can use ``async with serve(LogConfig()) as log`` in their own event loop.
"""

import asyncio
import threading
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import msgspec
import pytest

from standins._config import (
    AnyConfig,
    CacheStoreConfig,
    EngineConfig,
    HostsConfig,
    LogConfig,
    ServiceConfig,
    WeightStoreConfig,
)
from standins._serve import Running, serve
from standins._text import expected_tokens, verify_answer

__all__ = [
    "CacheStoreConfig",
    "EngineConfig",
    "HostsConfig",
    "LogConfig",
    "Running",
    "ServiceConfig",
    "StandinHandle",
    "WeightStoreConfig",
    "expected_tokens",
    "serve",
    "start_standin",
    "verify_answer",
]

CALL_TIMEOUT_S = 30.0


class StandinHandle:
    """Blocking client of a stand-in that runs in another thread.

    :param url: base URL, without a trailing slash.
    """

    def __init__(self, running: Running) -> None:
        self.config = running.config
        self.server = running.server
        self.url = running.url

    def call(self, method: str, path: str, data: bytes | None = None) -> tuple[int, Any]:
        """Return the status and the decoded body of a response, also for error statuses."""
        request = Request(self.url + path, data=data, method=method)
        try:
            with urlopen(request, timeout=CALL_TIMEOUT_S) as answer:
                return answer.status, msgspec.json.decode(answer.read())
        except HTTPError as error:
            with error:
                return error.code, msgspec.json.decode(error.read())

    def get(self, path: str) -> Any:
        """Send a GET request and return the decoded body; fail on an error status."""
        status, body = self.call("GET", path)
        assert status < 300, (status, body)
        return body

    def post(self, path: str, body: Any = None, data: bytes | None = None) -> Any:
        """Send a POST request and return the decoded body; fail on an error status."""
        status, answer = self.call(
            "POST", path, msgspec.json.encode(body) if data is None else data
        )
        assert status < 300, (status, answer)
        return answer

    def faults(self, **faults: Any) -> Any:
        """Set faults."""
        return self.post("/faults", faults)


@pytest.fixture
def start_standin() -> Iterator[Callable[[AnyConfig], StandinHandle]]:
    """Return a function that starts a stand-in in a thread; all are stopped after the test."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    stack = AsyncExitStack()

    def start(config: AnyConfig) -> StandinHandle:
        started = asyncio.run_coroutine_threadsafe(stack.enter_async_context(serve(config)), loop)
        return StandinHandle(started.result(CALL_TIMEOUT_S))

    yield start
    asyncio.run_coroutine_threadsafe(stack.aclose(), loop).result(CALL_TIMEOUT_S)
    loop.call_soon_threadsafe(loop.stop)
    thread.join(CALL_TIMEOUT_S)
    loop.close()
