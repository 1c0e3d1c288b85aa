"""Decisions on the exchange of gateways with the store and with each other, without I/O."""

from teaselpath.exchange._fanout import (
    CROSS_REGION_INTERVAL_S,
    STATUS_INTERVAL_S,
    Fanout,
    Peer,
    is_large_fleet,
    plan_fanout,
    select_readers,
    select_relays,
    status_interval_s,
)
from teaselpath.exchange._polls import TopicPolls
from teaselpath.exchange._service_times import ServiceTimes
from teaselpath.exchange._stop import Stop, StopPeer, StopPhase, plan_stop, refuses_requests

__all__ = [
    "CROSS_REGION_INTERVAL_S",
    "STATUS_INTERVAL_S",
    "Fanout",
    "Peer",
    "ServiceTimes",
    "Stop",
    "StopPeer",
    "StopPhase",
    "TopicPolls",
    "is_large_fleet",
    "plan_fanout",
    "plan_stop",
    "refuses_requests",
    "select_readers",
    "select_relays",
    "status_interval_s",
]
