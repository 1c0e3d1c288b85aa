"""Messages between gateways, apart from those of the quarantine."""

import msgspec

from teaselpath.dispatch import EndpointView
from teaselpath.gateway._entities import LongPlacement
from teaselpath.lineage import LineageMessage
from teaselpath.quarantine import QuarantineUpdate
from teaselpath.rollout import RolloutNote


class EndpointStatus(msgspec.Struct, array_like=True):
    """Load and weights versions of one endpoint, as recorded by a gateway.

    :param endpoint_number: ``Endpoint.number`` of this start of the endpoint.
    :param held_tokens: ``Load.held_tokens`` of the gateway's requests at the endpoint.
    :param weights: versions that differ from those in the record of the endpoint.
    :param limit_per_s: requests per second that the endpoint states to take from all gateways;
        below 0 if it states no limit.
    :param limit_age_ms: time since that statement, in ms; below 0 if it is not reported.
    :param demand_per_s: requests per second that this gateway would send to it without a limit.
    :param leaves_in_ms: remaining time in ms for which it takes requests, below 0 if it is over;
        None if it has not stated that it leaves.
    :param switching_ms: remaining time in ms for which gateways avoid the endpoint, because it is
        about to load weights.
    :param times: what the gateway has learned of the engine's times; see
        ``EngineTimes.statement``.
    """

    endpoint_number: int
    requests: int
    held_tokens: int = 0
    weights: dict[str, int] = {}
    switching_ms: int = 0
    limit_per_s: float = -1.0
    limit_age_ms: int = -1
    demand_per_s: float = 0.0
    leaves_in_ms: int | None = None
    times: tuple[int, int, int] | None = None


class PlacementMessage(msgspec.Struct, array_like=True, tag="placement"):
    """A long prompt that a gateway has just sent to an engine."""

    host: str
    placement: LongPlacement


class Status(msgspec.Struct, array_like=True, tag="status"):
    """Status of a gateway.

    :param wanted: newest announced weights version by model.
    :param used: tokens charged since start-up by workspace.
    :param has_all_counters: whether ``used`` names each workspace with a charge.
    :param members: host, IP address, incarnation and failure domain of other gateways; None if the
        message does not list them.
    :param store_era: newest era of the store that the gateway knows.
    :param endpoint_position: era and offset of the newest endpoint record that it has.
    :param store_up: whether the gateway reaches the store.
    :param naming_ages_ms: time since the announcement of each weights version, in ms, by model and
        version.
    :param lease_end: era and offset at which the lease topic ends; None if unknown.
    :param lease: holder, nonce, fence and era of the newest known lease record.
    :param demand: requests per second that arrive at the gateway, by service whose room is
        contended.
    :param rollouts: rollouts of software that run or have ended lately.
    """

    host: str
    ip: str
    domain: str
    incarnation: int
    sequence: int
    config_version: int
    wanted: dict[str, int]
    store_era: int
    endpoint_position: tuple[int, int]
    used: dict[str, int]
    has_all_counters: bool
    endpoints: list[EndpointStatus]
    members: list[tuple[str, str, int, str]] | None
    store_up: bool
    store_is_near: bool
    is_stopping: bool
    naming_ages_ms: dict[str, dict[int, int]]
    lease_end: tuple[int, int] | None
    lease: tuple[str, str, int, int] | None
    demand: dict[str, float] = {}
    rollouts: list[RolloutNote] = []


class StatusToRelay(msgspec.Struct, array_like=True, tag="relay_status"):
    """Status that the recipient passes on to the gateways of its region."""

    status: Status


class PlacementToRelay(msgspec.Struct, array_like=True, tag="relay_placement"):
    """Placement that the recipient passes on to the gateways of its region."""

    message: PlacementMessage


class RelayedStatuses(msgspec.Struct, array_like=True, tag="relayed"):
    """Statuses of gateways of other regions."""

    statuses: list[Status]


Message = (
    Status
    | PlacementMessage
    | StatusToRelay
    | PlacementToRelay
    | RelayedStatuses
    | QuarantineUpdate
    | LineageMessage
)


class RecordSet(msgspec.Struct, array_like=True):
    """Records of the store that a gateway has: key, value, era, offset.

    :param endpoints_end: era and offset of the end of the endpoint topic, if the set names all
        endpoints up to it, so that any other one has left; None if it holds the changes only.
    """

    operators: list[tuple[str, bytes, int, int]]
    endpoints: list[tuple[str, bytes, int, int]]
    endpoints_end: tuple[int, int] | None = None


def newer_weights(view: EndpointView) -> dict[str, int]:
    """Return the weights versions that differ from the record of the endpoint."""
    recorded = dict(view.endpoint.weights)
    return {m: version for m, version in view.weights.items() if recorded.get(m) != version}


def describe_endpoint(view: EndpointView, now: float) -> EndpointStatus:
    """Return the status of an endpoint as this gateway knows it."""
    own = view.own
    return EndpointStatus(
        view.endpoint.number,
        own.requests,
        own.held_tokens,
        newer_weights(view),
        max(0, int((view.own_loading_until - now) * 1000)),
        *_limit_status(view, now),
        leaves_in_ms=_leaves_in_ms(view, now),
        times=view.times.statement(),
    )


def _leaves_in_ms(view: EndpointView, now: float) -> int | None:
    availability = view.availability
    return int((availability.leaves_at - now) * 1000) if availability.is_leaving else None


def _limit_status(view: EndpointView, now: float) -> tuple[float, int, float]:
    """Return limit, age of its statement in ms, and own demand, as in ``EndpointStatus``."""
    limit = view.limit
    if not limit.is_reported(now):
        return -1.0, -1, 0.0
    rate = -1.0 if limit.rate is None else limit.rate
    return rate, int((now - limit.stated_at) * 1000), limit.report_demand(now)
