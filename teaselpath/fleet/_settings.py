"""Settings of a gateway process."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds that the deployment states.

    :param shutdown_grace_s: time between SIGTERM and SIGKILL.
    :param retry_ratio: arrivals beyond the first, as a fraction of the requests of a window.
    :param retry_extra: arrivals beyond the first that are allowed in any window.
    :param retry_window_s: length of that window.
    :param quota_slack: tokens beyond rate and burst that are tolerated.
    :param lease_handover_s: time after its last order in which no other holder may give orders.
    :param rollout_limit_s: time within which named weights are in place.
    :param recovery_window_s: time after a disturbance from which a host counts as undisturbed
        again.
    """

    shutdown_grace_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    quota_slack: float
    lease_handover_s: float
    rollout_limit_s: float
    recovery_window_s: float


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one gateway process.

    :param host: name of the host.
    :param caller_address: where callers connect, IP:PORT.
    :param readiness_address: where the balancer asks for readiness.
    :param peer_port: port of all gateways for messages between them.
    :param seed_ips: IP addresses of hosts that may run a gateway.
    :param failure_domains: region of each failure domain.
    :param store_address: address of the metadata store, IP:PORT.
    """

    host: str
    ip: str
    failure_domain: str
    region: str
    failure_domains: dict[str, str]
    caller_address: str
    readiness_address: str
    peer_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    bounds: Bounds
