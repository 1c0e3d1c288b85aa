"""Events of a recorded history.

Entries, agents, stand-in endpoints and test callers write them as JSON lines. ``at`` is a time in
seconds on a clock that all writers of a history share; ``node`` is the host on which the
event occurred.
"""

import msgspec


class _Event(msgspec.Struct, tag=True, kw_only=True, omit_defaults=True):
    """Base class of all events."""

    at: float
    node: str


class KeyGranted(_Event):
    """A key was granted to a workspace."""

    key: str
    workspace: str


class KeyRevoked(_Event):
    """A revocation of a key was published."""

    key: str


class RequestSent(_Event):
    """A caller sent a request; ``node`` is the entry.

    :param is_open: whether the route serves callers without a key.
    :param claim: idempotency key with its workspace and route; empty if there is none.
    """

    request_id: str
    caller: str
    key: str = ""
    repeatable: bool = True
    is_open: bool = False
    claim: str = ""


class RequestAnswered(_Event):
    """A caller received the outcome of a request; ``ran`` is a value of ``results.Ran``."""

    request_id: str
    code: int
    ran: str


class ExecutionStarted(_Event):
    """An endpoint started to execute a request; ``node`` is the host of the endpoint.

    :param received: headers and body that the endpoint received, as text.
    """

    request_id: str
    workspace: str
    received: str = ""


class ExecutionEnded(_Event):
    """An endpoint stopped executing a request.

    :param is_cut: whether its process stopped before the answer was complete.
    """

    request_id: str
    is_cut: bool = False


class StreamProduced(_Event):
    """Text that one execution of a request produced.

    :param position: for a continued answer, its length before this execution, in characters.
    :param is_whole: whether the answer is complete after this execution.
    """

    request_id: str
    text: str
    position: int = 0
    is_whole: bool = True


class StreamDelivered(_Event):
    """Text that a caller received; ``is_whole`` if the stream ended without an error."""

    request_id: str
    caller: str
    text: str
    is_whole: bool = True


class CacheReused(_Event):
    """An engine reused a cached block.

    The engine itself reports the origin of the block in the ``block_*`` fields.
    """

    request_id: str
    workspace: str
    incarnation: str
    weights: str
    block_workspace: str
    block_incarnation: str
    block_weights: str


class EngineStarted(_Event):
    """An engine started with an empty cache."""

    incarnation: str


class LimitInForce(_Event):
    """A workspace's rate (tokens/s) and burst (tokens) came into force."""

    workspace: str
    rate: float
    burst: float


class QuotaCharged(_Event):
    """Tokens charged at admission, or refunded after the request (negative)."""

    workspace: str
    tokens: float


class ConfigAccepted(_Event):
    """The log stored a bundle version that is valid and follows the accepted parent."""

    version: int


class ConfigInForce(_Event):
    """A node started to apply a bundle version."""

    version: int


class CandidatesChosen(_Event):
    """An entry computed the candidate endpoints for a prefix.

    :param context: digest of the inputs: bundle version, members and load step.
    """

    prefix: str
    context: str
    endpoints: list[str]


class ProcessReady(_Event):
    """A process started and accepts requests."""

    role: str


class EndpointLeaving(_Event):
    """An endpoint's host is listed as leaving in the host list, or received SIGTERM."""


class StopStarted(_Event):
    """A planned shutdown of a process started."""


class ProcessStopped(_Event):
    """A process stopped; ``is_planned`` is false for a crash or kill."""

    is_planned: bool = True


Event = (
    KeyGranted
    | KeyRevoked
    | RequestSent
    | RequestAnswered
    | ExecutionStarted
    | ExecutionEnded
    | StreamProduced
    | StreamDelivered
    | CacheReused
    | EngineStarted
    | LimitInForce
    | QuotaCharged
    | ConfigAccepted
    | ConfigInForce
    | CandidatesChosen
    | ProcessReady
    | EndpointLeaving
    | StopStarted
    | ProcessStopped
)
