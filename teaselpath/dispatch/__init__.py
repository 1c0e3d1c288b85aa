"""Decisions about single requests: rate limit, endpoint selection, retries. Does no I/O."""

from teaselpath.dispatch._attempts import (
    Answered,
    Broken,
    Fail,
    NotRun,
    NotSent,
    Outcome,
    PassOn,
    Progress,
    Refuse,
    SendAgain,
    Step,
    next_step,
)
from teaselpath.dispatch._backlog import Backlog
from teaselpath.dispatch._budget import RetryWindow
from teaselpath.dispatch._health import EndpointHealth
from teaselpath.dispatch._part_cache import PartCache
from teaselpath.dispatch._placement import LONG_TOKENS, choose_endpoint, home_key
from teaselpath.dispatch._pool import MAX_CANDIDATES, EndpointPool
from teaselpath.dispatch._quota import Granted, OverRate, SharedQuota
from teaselpath.dispatch._reservation import Reservation
from teaselpath.dispatch._views import (
    PREFILL_TOKENS_PER_S,
    Demand,
    EndpointView,
    Load,
    NoPlace,
    Placed,
    StoreView,
    Topology,
    scope_of,
)
from teaselpath.dispatch._waiting import Ticket, WaitingRoom

__all__ = [
    "LONG_TOKENS",
    "MAX_CANDIDATES",
    "PREFILL_TOKENS_PER_S",
    "Answered",
    "Backlog",
    "Broken",
    "Demand",
    "EndpointHealth",
    "EndpointPool",
    "EndpointView",
    "Fail",
    "Granted",
    "Load",
    "NoPlace",
    "NotRun",
    "NotSent",
    "Outcome",
    "OverRate",
    "PartCache",
    "PassOn",
    "Placed",
    "Progress",
    "Refuse",
    "Reservation",
    "RetryWindow",
    "SendAgain",
    "SharedQuota",
    "Step",
    "StoreView",
    "Ticket",
    "Topology",
    "WaitingRoom",
    "choose_endpoint",
    "home_key",
    "next_step",
    "scope_of",
]
