"""Decisions about single requests: rate limit, endpoint selection, retries. Does no I/O."""

from teaselpath.dispatch._attempts import (
    Answered,
    Broken,
    Cut,
    Fail,
    FirstStep,
    ForwardAnswer,
    NotRun,
    NotSent,
    Outcome,
    Progress,
    Refuse,
    Resend,
    StreamStep,
    next_step,
    next_stream_step,
)
from teaselpath.dispatch._availability import Availability, AvailabilityTable
from teaselpath.dispatch._backlog import Backlog
from teaselpath.dispatch._endpoint_limit import (
    SEND_WINDOW_S,
    EndpointLimit,
    first_level,
    split_limit,
)
from teaselpath.dispatch._engine_memory import (
    ANNOUNCE_MIN_TOKENS,
    CLAIM_S,
    held_fraction,
    is_within_memory,
)
from teaselpath.dispatch._engine_times import (
    PREFILL_TOKENS_PER_S,
    EngineTimes,
    ExpectedTimes,
    ServiceTimes,
)
from teaselpath.dispatch._fair_order import FairOrder
from teaselpath.dispatch._health import EndpointHealth
from teaselpath.dispatch._long_prompts import max_backlog_s
from teaselpath.dispatch._memory_bound import LargestRequest, MemoryBound
from teaselpath.dispatch._part_cache import PartCache
from teaselpath.dispatch._placement import (
    LONG_PROMPT_TOKENS,
    affinity_key,
    choose_endpoint,
    choose_from_service,
)
from teaselpath.dispatch._pool import MAX_CANDIDATES, EndpointPool
from teaselpath.dispatch._progress import AttemptLimits, caller_gap_limit_s
from teaselpath.dispatch._queue import QueuedRequest, RequestQueue
from teaselpath.dispatch._quota import Contact, Granted, OverRate, SharedQuota
from teaselpath.dispatch._reservation import Reservation
from teaselpath.dispatch._retry_budget import RetryGrant, SlidingRetryBudget
from teaselpath.dispatch._return_times import ReturnTimes
from teaselpath.dispatch._room import ServiceRoom, share_of_demand
from teaselpath.dispatch._timeliness import Reject, Wait, admit_by_aim, comes_late
from teaselpath.dispatch._views import (
    Demand,
    EndpointView,
    Load,
    NoEndpoint,
    Placed,
    StoreView,
    Topology,
    scope_of,
)

__all__ = [
    "ANNOUNCE_MIN_TOKENS",
    "CLAIM_S",
    "LONG_PROMPT_TOKENS",
    "MAX_CANDIDATES",
    "PREFILL_TOKENS_PER_S",
    "SEND_WINDOW_S",
    "Answered",
    "AttemptLimits",
    "Availability",
    "AvailabilityTable",
    "Backlog",
    "Broken",
    "Contact",
    "Cut",
    "Demand",
    "EndpointHealth",
    "EndpointLimit",
    "EndpointPool",
    "EndpointView",
    "EngineTimes",
    "ExpectedTimes",
    "Fail",
    "FairOrder",
    "FirstStep",
    "ForwardAnswer",
    "Granted",
    "LargestRequest",
    "Load",
    "MemoryBound",
    "NoEndpoint",
    "NotRun",
    "NotSent",
    "Outcome",
    "OverRate",
    "PartCache",
    "Placed",
    "Progress",
    "QueuedRequest",
    "Refuse",
    "Reject",
    "RequestQueue",
    "Resend",
    "Reservation",
    "RetryGrant",
    "ReturnTimes",
    "ServiceRoom",
    "ServiceTimes",
    "SharedQuota",
    "SlidingRetryBudget",
    "StoreView",
    "StreamStep",
    "Topology",
    "Wait",
    "admit_by_aim",
    "affinity_key",
    "caller_gap_limit_s",
    "choose_endpoint",
    "choose_from_service",
    "comes_late",
    "first_level",
    "held_fraction",
    "is_within_memory",
    "max_backlog_s",
    "next_step",
    "next_stream_step",
    "scope_of",
    "share_of_demand",
    "split_limit",
]
