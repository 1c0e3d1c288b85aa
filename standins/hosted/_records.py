"""Records of what reached the simulated engines."""

from dataclasses import dataclass


@dataclass(slots=True)
class Run:
    """A request that an engine has started to run.

    :param weights: weights version at the start.
    :param scope: cache salt of the request.
    :param software: version of the engine's software.
    :param events: events sent so far, if the answer is not cut off.
    :param stale_parts: cached prompt parts that were reused although other weights computed them.
    """

    request_id: str
    endpoint_id: str
    service: str
    tenant: str | None
    path: str
    began_at: float
    weights: int
    scope: str | None
    stale_parts: int
    headers: dict[str, str]
    body: bytes = b""
    software: object = None
    events: int = 0
    ended_at: float | None = None


@dataclass(slots=True)
class Order:
    """An order as received by an engine, with the status of the reply."""

    at: float
    holder: str
    fence: int
    version: int
    status: int


@dataclass(slots=True, frozen=True)
class Refusal:
    """A request that was refused with a time for which the engine wants no others."""

    request_id: str
    at: float
    retry_after: str
