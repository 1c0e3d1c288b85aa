"""Fixture with a small fleet of real processes, shared by the end-to-end tests."""

import asyncio
import json
import threading
from collections.abc import Iterator
from dataclasses import dataclass

import aiohttp
import pytest

from standins.fleet import Fleet, FleetPlan, make_key
from teaselpath.bundle import (
    Bundle,
    EndpointSpec,
    KeySpec,
    ModelSpec,
    RequestClass,
    Route,
    Workspace,
    key_digest,
)

MODEL = "model-a"
KEY = make_key("office")
HEADERS = {"Authorization": f"Bearer {KEY}"}
MAX_BODY_BYTES = 200_000
WAIT_S = 30.0


@dataclass(slots=True)
class Answer:
    """Status, headers and body of an HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict:
        """Return the error object in the body."""
        return json.loads(self.body)["error"]


class Installation:
    """Small fleet, driven by an event loop in a separate thread."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def run(self, work, timeout_s: float = WAIT_S):
        """Run a coroutine in the event loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(timeout_s)

    def close(self) -> None:
        """Stop the event loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    @property
    def url(self) -> str:
        """Return the base URL of the entry."""
        return self.fleet.entries()[0].http_url

    def endpoint_url(self, endpoint: str) -> str:
        """Return the base URL of an endpoint, to read its audit and load."""
        return self.fleet.nodes[f"agent-{endpoint}"].endpoint_url

    def call(self, method: str, path: str, url: str = "", **options) -> Answer:
        """Send a request to the entry, or to another base URL."""
        return self.run(self._call(method, (url or self.url) + path, options))

    async def _call(self, method: str, url: str, options) -> Answer:
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, **options) as answer,
        ):
            headers = {name.lower(): value for name, value in answer.headers.items()}
            return Answer(answer.status, headers, await answer.read())


def make_bundle(fleet: Fleet) -> Bundle:
    """Return a bundle with two keys of one workspace, one engine and one service."""
    keys = [
        KeySpec(id=f"office-{n}", digest=key_digest(make_key("office", n)).hex()) for n in (1, 2)
    ]
    return Bundle(
        version=1,
        parent=0,
        change_id="test-1",
        workspaces=[
            Workspace(id="office", rate=1e7, burst=1e7, keys=keys),
            Workspace(id="public", rate=1e4, burst=1e4),
        ],
        models=[ModelSpec(id=MODEL, weights="w1")],
        endpoints=[
            EndpointSpec(id="engine-1", kind="engine", models=[MODEL]),
            EndpointSpec(id="service-1", kind="service", service="records"),
        ],
        routes=[
            Route(prefix="/bookings", service="records", methods=["POST"]),
            Route(
                prefix="/schedule",
                service="records",
                repeatable=True,
                open=True,
                open_workspace="public",
            ),
        ],
        classes=[
            RequestClass(id="interactive", priority=0, deadline_ms=15_000, max_wait_ms=3_000),
            RequestClass(
                id="once", priority=0, deadline_ms=15_000, max_wait_ms=3_000, continuation=False
            ),
        ],
    )


@pytest.fixture(scope="session")
def installation(tmp_path_factory) -> Iterator[Installation]:
    """Yield a fleet with one entry, one engine and one service with their agents."""
    plan = FleetPlan(
        engines=("region-a",),
        entries=("region-a",),
        engine_options={"step_us": 2000.0, "max_running": 64},
        settings={"limits": {"body_bytes": MAX_BODY_BYTES, "body_timeout_s": 0.5}},
    )
    fleet = Fleet(tmp_path_factory.mktemp("fleet"), plan)
    fleet.prepare()
    installation = Installation(fleet)
    try:
        installation.run(fleet.start())
        installation.run(fleet.publish(make_bundle(fleet)))
        installation.run(fleet.wait_ready())
        yield installation
    finally:
        installation.run(fleet.stop())
        installation.close()
