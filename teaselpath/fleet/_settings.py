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
