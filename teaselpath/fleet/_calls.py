"""Messages between callers, gateways and endpoints, independent of their wire format."""

from dataclasses import dataclass
from typing import Protocol

from teaselpath.fleet._prompts import Prompt
from teaselpath.utils import hash_fields

Headers = list[tuple[bytes, bytes]]

# Size of a request's digest: collisions are improbable among the requests of a caller.
DIGEST_BYTES = 12


@dataclass(slots=True)
class CallerRequest:
    """Request of a caller.

    :param request_id: id that the caller gave this request; empty if it sent none. Each attempt of
        a caller has its own id, so a caller's own retry comes with another id.
    :param key: key of the caller's workspace; None if it sent none.
    :param time_left_s: how long the caller waits, in seconds; None if not stated.
    :param last_event_id: event after which to resume a stream; None to start at the beginning.
    :param resumes: id of the caller's request that brought the first event of the stream to resume;
        None if not stated.
    :param tokens: sum of prompt and output tokens; None if not stated.
    :param forwarded_headers: header fields that are forwarded to the endpoint unchanged.
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
    resumes: str | None = None

    def digest(self, caller: str | None) -> str:
        """Return what equal requests of a caller have in common, whatever their ids.

        :param caller: workspace of the caller; None if it has none.
        """
        prompt = self.prompt
        fields = [self.method, self.host.encode(), self.target, (caller or "").encode(), self.body]
        if prompt is not None:
            fields.append(prompt.model.encode())
            fields += [part.part_id.encode() for part in prompt.parts]
        return hash_fields(fields, DIGEST_BYTES).hex()


@dataclass(slots=True)
class Forwarding:
    """Fields that the gateway adds to a request.

    :param time_left_s: time until the deadline of the request, in seconds.
    :param endpoint_id: the only endpoint that may run it.
    :param scope: scope of cached parts; None for plain services.
    :param weights: the only version of the weights that may run it.
    :param last_event_id: event after which the stream resumes.
    :param fetch_from: engine or store from which cached parts may be fetched.
    :param save_to: store to which the parts are saved after prefill.
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
    """Status and header fields of an endpoint's answer.

    :param has_stamp: whether it carries the endpoint's response stamp.
    :param did_not_run: whether the endpoint states that it did not run the request.
    :param is_misdirected: whether the request reached an endpoint other than the intended one.
    :param is_encoded: whether the body has a content encoding.
    :param weights: version of the weights; None if not stated.
    :param forwarded_headers: header fields that are forwarded to the caller unchanged.
    :param requests: requests that the endpoint was running or had queued; None if not stated.
    :param pace: how long work takes at the endpoint at this moment, as a multiple of the usual;
        None if not stated.
    :param invalid_load: text of a stated load that cannot be read; None if there is none.
    :param limit_per_s: requests per second that the endpoint takes from all gateways together; None
        if it states no limit.
    :param invalid_limit: text of a limit that is no decimal number; None if there is none.
    :param media_type: kind of the body, in lower case and without parameters; empty if not stated.
    :param is_leaving: whether the endpoint states that it leaves.
    :param invalid_leaving: text of such a statement that has no meaning; None if there is none.
    :param hold_off_s: time for which the endpoint, which refuses the request, wants no others of
        this gateway, in seconds; None if it states none.
    :param invalid_hold_off: text of such a time that is no decimal number; None if there is none.
    """

    status: int
    has_stamp: bool
    did_not_run: bool
    is_misdirected: bool
    is_encoded: bool
    weights: int | None
    forwarded_headers: Headers
    requests: int | None = None
    pace: float | None = None
    invalid_load: str | None = None
    limit_per_s: float | None = None
    invalid_limit: str | None = None
    media_type: bytes = b""
    is_leaving: bool = False
    invalid_leaving: str | None = None
    hold_off_s: float | None = None
    invalid_hold_off: str | None = None


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State of a model engine.

    :param accepted_orders: number of orders that it has accepted since its start.
    :param is_busy: whether an order is in progress.
    :param weights: version of the weights by model.
    :param is_leaving: whether the engine states that it leaves.
    """

    accepted_orders: int
    is_busy: bool
    weights: dict[str, int]
    is_leaving: bool = False


@dataclass(slots=True, frozen=True)
class CacheChange:
    """New number of cached tokens of a part; 0 if it was evicted."""

    scope: str
    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class CacheChanges:
    """Changes of a cache since a cursor.

    :param epoch: number that differs for each start of the engine or store.
    :param cursor: cursor for the next poll.
    :param has_gap: whether changes after the cursor of the poll are missing.
    :param is_leaving: whether the engine states that it leaves.
    """

    epoch: int
    cursor: int
    has_gap: bool
    changes: list[CacheChange]
    is_leaving: bool = False


class EngineCallError(Exception):
    """A call to an engine failed.

    :param is_outcome_unknown: whether the call may have taken effect.
    :param has_reply: whether the engine replied, so that it is reachable.
    :param hold_off_s: as in ``AnswerInfo``.
    """

    def __init__(
        self,
        reason: str,
        *,
        is_outcome_unknown: bool,
        has_reply: bool = False,
        hold_off_s: float | None = None,
    ):
        super().__init__(reason)
        self.is_outcome_unknown = is_outcome_unknown
        self.has_reply = has_reply
        self.hold_off_s = hold_off_s


@dataclass(slots=True, frozen=True)
class WeightsOrder:
    """Order to an engine to load weights of a model.

    :param holder: host that holds the lease.
    :param fence: fencing token of the lease.
    :param orders_before: number of orders that the engine must have accepted before this one, else
        it ignores this one; None for no condition.
    """

    endpoint_id: str
    address: str
    model: str
    version: int
    holder: str
    fence: int
    orders_before: int | None


class RequestCodec(Protocol):
    """Conversion of requests and answers between the wire format and the model."""

    @property
    def id_header(self) -> bytes:
        """Name of the header field with the request id."""

    def decode_request(self, method: bytes, target: bytes, headers: Headers, body: bytes):
        """Return a ``CallerRequest``, or None if the request is malformed."""

    def encode_request(self, request: CallerRequest, forwarding: Forwarding) -> bytes:
        """Return the bytes to send to an endpoint."""

    def decode_answer(self, status: int, headers: Headers) -> AnswerInfo:
        """Return the decoded status and header fields of an answer."""

    def own_response_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the header fields of a response that the gateway itself generates."""


class EngineCalls(Protocol):
    """Calls to model engines and cache stores, apart from forwarded requests."""

    async def fetch_report(self, address: str, deadline: float) -> EngineReport:
        """Return the state of an engine."""

    async def send_order(self, order: WeightsOrder, deadline: float) -> str:
        """Send an order and return its status.

        Returns ``accepted``, ``done`` if the engine already has the weights, ``busy``, ``fenced``,
        ``elsewhere`` or ``invalid``.
        """

    async def poll_cache_changes(
        self, address: str, cursor: int, wait_s: float, deadline: float
    ) -> CacheChanges:
        """Return the changes after a cursor, with a long poll.

        :param cursor: 0 for all changes that the cache still has.
        :param wait_s: how long the cache waits for a change before it replies, in seconds.
        """
