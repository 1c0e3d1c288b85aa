"""Settings file of the gateway on the platform."""

import os
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from teaselpath.fleet import Bounds, GatewaySettings, RolloutBounds
from teaselpath.results import Code, Failure

SETTINGS_VARIABLE = "TEASELPATH_SETTINGS"
# Heartbeats that an endpoint misses before the store removes its entry.
MISSED_HEARTBEATS = 3
# Contracts of a deployment whose callers compete for room, and whose operators ask for rollouts.
CONTENDED_CONTRACT = "pressure"
ROLLOUT_CONTRACT = "rollout"


class _Addresses(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct, rename="camel"):
    grace_s: float = 8
    budget_ratio: float = 0.2
    budget_extra: float = 50
    budget_window_s: float = 10
    quota_slack: float = 0
    lease_ms: float = 3000
    version_ms: float = 10_000
    stable_window_ms: float = 4000
    drain_ms: float = 3000
    # Share of the requests that a bad version may get, and requests beyond it.
    expose_share: float = 0.1
    bad_version_share: float = 50
    rollback_ms: float = 5000


class _StoreAddress(msgspec.Struct, rename="camel"):
    address: str


class _SettingsFile(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    listen_addrs: _Addresses
    # Only the first is used.
    internal_ports: tuple[int, int]
    platform: _StoreAddress
    heartbeat_ms: float = 1200
    contracts: list[str] = []
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # Addresses of the control interfaces of hosts, which may be down; only the IP is used.
    seeds: list[str] = []


def read_settings(path: str | None = None) -> Result[GatewaySettings, Failure]:
    """Return the settings of this gateway.

    :param path: settings file; None for the one that the environment variable names.
    :returns: the settings, or a failure that names the unreadable file or the invalid field.
    """
    file = path or os.environ.get(SETTINGS_VARIABLE, "")
    try:
        raw = Path(file).read_bytes()
    except OSError as error:
        return Err(Failure(Code.INVALID_SETTINGS, f"cannot read settings file {file!r}: {error}"))
    try:
        return Ok(_to_gateway_settings(msgspec.json.decode(raw, type=_SettingsFile)))
    except msgspec.MsgspecError as error:
        return Err(Failure(Code.INVALID_SETTINGS, f"settings file {file!r}: {error}"))


def _to_gateway_settings(file: _SettingsFile) -> GatewaySettings:
    bounds = file.bounds
    return GatewaySettings(
        host=file.node_name,
        ip=file.ip,
        failure_domain=file.zone,
        region=file.region,
        regions=file.zones,
        caller_address=file.listen_addrs.front,
        readiness_address=file.listen_addrs.ready,
        peer_port=file.internal_ports[0],
        seed_ips=tuple(seed.rpartition(":")[0] for seed in file.seeds),
        store_address=file.platform.address,
        entry_expiry_s=MISSED_HEARTBEATS * file.heartbeat_ms / 1000,
        bounds=Bounds(
            shutdown_grace_s=bounds.grace_s,
            retry_ratio=bounds.budget_ratio,
            retry_extra=bounds.budget_extra,
            retry_window_s=bounds.budget_window_s,
            quota_slack=bounds.quota_slack,
            lease_handover_s=bounds.lease_ms / 1000,
            rollout_limit_s=bounds.version_ms / 1000,
            recovery_window_s=bounds.stable_window_ms / 1000,
            drain_s=bounds.drain_ms / 1000,
        ),
        is_room_contended=CONTENDED_CONTRACT in file.contracts,
        rollout=_to_rollout_bounds(bounds) if ROLLOUT_CONTRACT in file.contracts else None,
    )


def _to_rollout_bounds(bounds: _Bounds) -> RolloutBounds:
    return RolloutBounds(
        exposed_fraction=bounds.expose_share,
        exposed_extra=bounds.bad_version_share,
        rollback_s=bounds.rollback_ms / 1000,
    )
