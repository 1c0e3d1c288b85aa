"""Settings of a gateway process."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits specified by the deployment.

    :param shutdown_grace_s: time between SIGTERM and SIGKILL, in seconds.
    :param retry_ratio: retries allowed in any window, as a fraction of its requests.
    :param retry_extra: further retries allowed in any window.
    :param retry_window_s: length of that window, in seconds.
    :param quota_slack: tolerated tokens beyond rate and burst.
    :param lease_handover_s: least time between orders of two lease holders, in seconds.
    :param rollout_limit_s: time limit for the rollout of announced weights, in seconds.
    :param recovery_window_s: time after a fault until a host counts as recovered, in seconds.
    :param drain_s: time for which an endpoint that leaves still takes requests, in seconds.
    """

    shutdown_grace_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    quota_slack: float
    lease_handover_s: float
    rollout_limit_s: float
    recovery_window_s: float
    drain_s: float


@dataclass(slots=True, frozen=True)
class RolloutBounds:
    """Limits on a rollout of software that an operator asks for.

    :param exposed_fraction: fraction of a service's requests that a bad version may get.
    :param exposed_extra: requests that it may get beyond them.
    :param rollback_s: time after the answers that show a version to be bad until it gets no more
        requests, in seconds.
    """

    exposed_fraction: float
    exposed_extra: float
    rollback_s: float


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    :param host: name of the host.
    :param caller_address: listening address for callers, IP:PORT.
    :param readiness_address: listening address for readiness checks of the load balancer.
    :param peer_port: port for messages between gateways, the same on all hosts.
    :param seed_ips: IP addresses of hosts that may run a gateway.
    :param regions: region of each failure domain.
    :param store_address: address of the metadata store, IP:PORT.
    :param entry_expiry_s: time without heartbeats after which the store removes the entry of an
        endpoint, in seconds.
    :param is_room_contended: whether workspaces compete for too little room at the endpoints, so
        that they share it by weight and requests that would come too late are rejected.
    :param rollout: limits on rollouts of software; None if operators ask for none.
    """

    host: str
    ip: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    caller_address: str
    readiness_address: str
    peer_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    entry_expiry_s: float
    bounds: Bounds
    is_room_contended: bool = False
    rollout: RolloutBounds | None = None
