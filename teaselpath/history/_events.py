"""Events of a recorded history.

Entries, agents, stand-ins and test callers write them as JSON lines. ``at`` is an instant in
seconds on a clock that all writers of a history share; ``node`` is the host that saw the event.
"""

import msgspec


class _Event(msgspec.Struct, tag=True, kw_only=True, omit_defaults=True):
    """Base of all events."""

    at: float
    node: str


class KeyGranted(_Event):
    """A key was granted to a workspace."""

    key: str
    workspace: str


class KeyRevoked(_Event):
    """A withdrawal of a key was published."""

    key: str


class RequestSent(_Event):
    """A caller sent a request; ``node`` is the entry.

    :param claim: idempotency key with its workspace and route; empty if there is none.
    :param is_open: whether the route serves callers without a key.
    """

    request_id: str
    caller: str
    key: str = ""
    repeatable: bool = True
    is_open: bool = False
    claim: str = ""


class RequestAnswered(_Event):
    """A request ended at the caller; ``ran`` is a value of ``results.Ran``."""

    request_id: str
    code: int
    ran: str


class ExecutionStarted(_Event):
    """An endpoint began to work on a request; ``node`` is the host of the endpoint.

    :param received: headers and body that the endpoint received, as text.
    """

    request_id: str
    workspace: str
    received: str = ""


class ExecutionEnded(_Event):
    """An endpoint ended its work; ``is_cut`` if its process stopped before the answer was whole."""

    request_id: str
    is_cut: bool = False


class StreamProduced(_Event):
    """Text that one run of a request produced.

    :param position: length of the answer before this run, for a continued one.
    :param is_whole: whether the answer is whole with this run.
    """

    request_id: str
    text: str
    position: int = 0
    is_whole: bool = True


class StreamDelivered(_Event):
    """Text that a caller got; ``is_whole`` if the stream ended without an error."""

    request_id: str
    caller: str
    text: str
    is_whole: bool = True


class CacheReused(_Event):
    """An engine reused a cached block; the engine itself reports where the block comes from."""

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
    """Rate (tokens/s) and burst (tokens) of a workspace."""

    workspace: str
    rate: float
    burst: float


class QuotaCharged(_Event):
    """Tokens charged at admission, or given back at the end (negative)."""

    workspace: str
    tokens: float


class ConfigAccepted(_Event):
    """The log took a bundle version that is valid and follows its parent."""

    version: int


class ConfigInForce(_Event):
    """A node works by a bundle version from now on."""

    version: int


class CandidatesChosen(_Event):
    """An entry computed the endpoints for a prefix.

    :param context: digest of the inputs: bundle version, members and load step.
    """

    prefix: str
    context: str
    endpoints: list[str]


class ProcessReady(_Event):
    """A process started and takes work."""

    role: str


class EndpointLeaving(_Event):
    """The host list shows an endpoint host as leaving, or it got SIGTERM."""


class StopStarted(_Event):
    """A planned stop of a process began."""


class ProcessStopped(_Event):
    """A process ended; ``is_planned`` is false for a crash or kill."""

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
