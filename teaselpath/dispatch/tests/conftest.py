"""Routes, endpoints and prompts for the tests."""

import pytest

from teaselpath.dispatch import EndpointView, Topology
from teaselpath.fleet import (
    Backend,
    Endpoint,
    EndpointState,
    EngineLimits,
    Prompt,
    PromptPart,
    RequestKind,
    Route,
)

MODEL = "m"
DOMAINS = {"a": "north", "b": "north", "c": "south"}
ENGINE = EngineLimits(160_000, 18_432, 0.8e-6)


def make_route(kind: RequestKind, *, resumable: bool = False, max_attempts: int = 2) -> Route:
    """Return a route of the given kind."""
    return Route(
        "r", "h", "/p/", kind, (Backend("s", 1.0),), 8.0, 0.8, 1, max_attempts, False,
        resumable,
    )  # fmt: skip


def make_view(name: str, domain: str = "a", weights: int = 1, slots: int = 16) -> EndpointView:
    """Return an idle engine."""
    # Names of different lengths give different addresses.
    endpoint = Endpoint(
        name, "s", f"10.0.0.{len(name)}:80", domain, slots, EndpointState.READY, 1,
        ((MODEL, weights),),
    )  # fmt: skip
    return EndpointView(endpoint, weights={MODEL: weights})


def make_prompt(shared: str = "p1", tokens: int = 13_300, own: int = 3_700) -> Prompt:
    """Return a prompt with one shared part and one part of its own."""
    parts = (PromptPart(shared, tokens), PromptPart(f"own-{shared}", own))
    return Prompt(MODEL, parts, tokens + own, 20)


@pytest.fixture
def topology() -> Topology:
    """Return two failure domains in one region and one in another."""
    return Topology("a", DOMAINS)
