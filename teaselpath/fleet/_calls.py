"""Messages between callers, gateways and endpoints in the product's own terms."""

from dataclasses import dataclass
from typing import Protocol

from teaselpath.fleet._prompts import Prompt

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class CallerRequest:
    """What a caller asks for.

    :param request_id: id of this attempt of the caller; empty if it sent none.
    :param time_left_s: how long the caller waits; None if it does not say.
    :param last_event_id: event after which a stream is to go on; None from the start.
    :param tokens: prompt and output tokens together; None if not stated.
    :param forwarded_headers: header fields that go to the endpoint as they are.
    """

    method: bytes
    target: bytes
    host: str
    path: str
    request_id: str
    key: str | None
    time_left_s: float | None
    last_event_id: bytes | None
    prompt: Prompt | None
    tokens: int | None
    forwarded_headers: Headers
    body: bytes


@dataclass(slots=True)
class Forwarding:
    """What the gateway adds to a request.

    :param time_left_s: time after which nobody waits for the answer.
    :param endpoint_id: the only endpoint that may run it.
    :param scope: scope of cached parts; None for plain services.
    :param weights: the only version of the weights that may run it.
    :param last_event_id: event after which a stream goes on.
    :param fetch_from: engine or store from which cached parts may be copied.
    :param save_to: store that receives the parts once they are read.
    """

    time_left_s: float
    endpoint_id: str
    workspace: str | None = None
    scope: str | None = None
    weights: int | None = None
    priority: int | None = None
    last_event_id: bytes | None = None
    fetch_from: str | None = None
    save_to: str | None = None


@dataclass(slots=True)
class AnswerInfo:
    """What the head of an endpoint's answer says.

    :param is_authentic: whether it carries the endpoint's signature.
    :param did_not_run: whether the endpoint states that it did not run the request.
    :param weights: version of the weights; None if not told.
    :param forwarded_headers: header fields that go to the caller as they are.
    """

    status: int
    is_authentic: bool
    did_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    weights: int | None
    forwarded_headers: Headers


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State of a model engine.

    :param accepted_orders: number of orders that it has accepted since its start.
    :param is_busy: whether an order is in progress.
    """

    accepted_orders: int
    is_busy: bool
    weights: dict[str, int]


@dataclass(slots=True, frozen=True)
class CacheChange:
    """A cached part has now this many tokens; 0 if it was dropped."""

    scope: str
    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class CacheChanges:
    """Changes of a cache since a cursor.

    :param epoch: changes with each start of the engine or store.
    :param has_gap: whether changes are missing.
    """

    epoch: int
    cursor: int
    has_gap: bool
    changes: list[CacheChange]


class EngineCallError(Exception):
    """A call to an engine failed.

    :param is_outcome_unknown: whether the engine may have taken it.
    :param has_reply: whether the engine answered, so that it is reachable.
    """

    def __init__(self, reason: str, *, is_outcome_unknown: bool, has_reply: bool = False):
        super().__init__(reason)
        self.is_outcome_unknown = is_outcome_unknown
        self.has_reply = has_reply


@dataclass(slots=True, frozen=True)
class WeightsOrder:
    """Order to an engine to change the weights of a model.

    :param orders_before: number of orders that the engine must have accepted before.
    """

    endpoint_id: str
    address: str
    model: str
    version: int
    holder: str
    fence: int
    orders_before: int | None


class RequestCodec(Protocol):
    """Translation of requests and answers."""

    @property
    def id_header(self) -> bytes:
        """Return the name of the header field with the request's id."""

    def decode_request(self, method: bytes, target: bytes, headers: Headers, body: bytes):
        """Return a ``CallerRequest``, or None if the request is malformed."""

    def encode_request(self, request: CallerRequest, forwarding: Forwarding) -> bytes:
        """Return the bytes that go to an endpoint."""

    def decode_answer(self, status: int, headers: Headers) -> AnswerInfo:
        """Return what the head of an answer says."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return header fields of an answer of the gateway's own."""


class EngineCalls(Protocol):
    """Calls to model engines and cache stores besides requests."""

    async def fetch_report(self, address: str, deadline: float) -> EngineReport:
        """Return the state of an engine."""

    async def send_order(self, order: WeightsOrder, deadline: float) -> str:
        """Send an order; return ``accepted``, ``done``, ``busy``, ``fenced`` or ``invalid``."""

    async def poll_cache_changes(
        self, address: str, cursor: int, wait_s: float, deadline: float
    ) -> CacheChanges:
        """Return changes after a cursor; 0 for all that the cache still tells."""
