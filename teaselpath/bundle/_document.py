"""Structs of the bundle document; the annotations define the valid range of each field."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\s\x00]+\Z")]
KeyDigest = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
PositiveInt = Annotated[int, Meta(ge=1, le=2**53)]
Milliseconds = Annotated[int, Meta(ge=1, le=86_400_000)]
Rate = Annotated[float, Meta(gt=0, le=1e12)]
PathPrefix = Annotated[str, Meta(min_length=1, max_length=1000, pattern=r"^/[^\s?#]*\Z")]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class _StrictStruct(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of all structs of the document; unknown fields are errors."""


class KeySpec(_StrictStruct):
    """A caller's key, stored as its digest.

    :param id: name of the key, for logs and revocations.
    :param digest: SHA-256 of the key, 64 hexadecimal digits.
    """

    id: Name
    digest: KeyDigest


class Workspace(_StrictStruct):
    """A customer with its own keys and its own share of the endpoints.

    :param rate: refill rate of the quota, in tokens per second.
    :param burst: capacity of the quota, in tokens.
    :param weight: weight in weighted fair queueing.
    """

    id: Name
    rate: Rate
    burst: Annotated[float, Meta(ge=1, le=1e15)]
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    keys: list[KeySpec] = []


class ModelSpec(_StrictStruct):
    """A language model and the weights version that engines serve it with.

    :param block_tokens: block size of the prefix cache, in tokens.
    :param bytes_per_token: average length of a token in the rendered prompt, in bytes.
    """

    id: Name
    weights: Name
    block_tokens: Annotated[int, Meta(ge=1, le=1_000_000)] = 2048
    bytes_per_token: Annotated[float, Meta(gt=0, le=1000)] = 4.0


class EndpointSpec(_StrictStruct):
    """An endpoint: a model engine or another HTTP service.

    :param kind: ``engine`` or ``service``.
    :param models: models that an engine serves.
    :param service: service name, for an endpoint of kind ``service``.
    """

    id: Name
    kind: Literal["engine", "service"]
    models: list[str] = []
    service: str = ""


class Route(_StrictStruct):
    """A path prefix whose requests are routed to a service.

    :param repeatable: whether a call may be retried after an unknown outcome.
    :param open: whether callers without a key are served, as workspace ``open_workspace``.
    :param request_class: scheduling class of the calls.
    :param cost_tokens: quota charged per call, in tokens.
    """

    prefix: PathPrefix
    service: Name
    methods: Annotated[list[Method], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["GET"]
    )
    repeatable: bool = False
    open: bool = False
    open_workspace: str = ""
    request_class: Name = "interactive"
    cost_tokens: Annotated[int, Meta(ge=0, le=2**53)] = 1


class RequestClass(_StrictStruct):
    """Scheduling class of requests.

    :param priority: classes with a lower value are served first.
    :param deadline_ms: limit on the time from arrival to the first token, in milliseconds.
    :param max_wait_ms: a request that has been queued for longer precedes newer requests of higher
        priority.
    :param continuation: whether an interrupted stream may be continued on another engine.
    """

    id: Name
    priority: Annotated[int, Meta(ge=0, le=100)]
    deadline_ms: Milliseconds
    max_wait_ms: Milliseconds
    continuation: bool = True


class LinkSpec(_StrictStruct):
    """Bandwidth limit of the link between regions for all traffic except requests."""

    bytes_per_s: Annotated[float, Meta(ge=0, le=1e12)] = 100_000.0
    burst_bytes: Annotated[float, Meta(ge=0, le=1e12)] = 1_000_000.0


class OrderSpec(_StrictStruct):
    """Desired state of an engine.

    :param kind: ``load_weights``, ``load_adapter`` or ``set_role``.
    """

    endpoint: Name
    kind: Literal["load_weights", "load_adapter", "set_role"]
    model: str = ""
    version: str = ""
    role: str = ""


class Bundle(_StrictStruct):
    """A complete, versioned configuration.

    :param version: version number; higher than ``parent``.
    :param parent: version that this bundle replaces; 0 for the first bundle.
    :param change_id: unique id of the change, which makes a retried append idempotent.
    :param claim_window_s: how long an idempotency key is stored, in seconds.
    """

    version: PositiveInt
    parent: Annotated[int, Meta(ge=0, le=2**53)]
    change_id: Name
    workspaces: list[Workspace]
    models: list[ModelSpec] = []
    endpoints: list[EndpointSpec] = []
    routes: list[Route] = []
    classes: list[RequestClass] = []
    region_link: LinkSpec = msgspec.field(default_factory=LinkSpec)
    orders: list[OrderSpec] = []
    claim_window_s: Annotated[float, Meta(gt=0, le=604_800)] = 3600.0
