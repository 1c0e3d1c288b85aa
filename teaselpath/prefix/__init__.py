"""Prefix-aware routing: hash chain, candidate endpoints, costs, cache index, link budget."""

from teaselpath.prefix._chain import chain_hashes, chain_seed, render_prompt
from teaselpath.prefix._events import (
    CacheEvent,
    CacheEventKind,
    Choice,
    EngineReported,
    EventBatch,
    Finished,
    RequestSnapshot,
    Routed,
    Snapshot,
)
from teaselpath.prefix._imports import ImportPlan, ImportSource, plan_import
from teaselpath.prefix._index import CacheIndex
from teaselpath.prefix._link import LinkBudget
from teaselpath.prefix._router import PrefixRouter, RouterLimits

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheIndex",
    "Choice",
    "EngineReported",
    "EventBatch",
    "Finished",
    "ImportPlan",
    "ImportSource",
    "LinkBudget",
    "PrefixRouter",
    "RequestSnapshot",
    "Routed",
    "RouterLimits",
    "Snapshot",
    "chain_hashes",
    "chain_seed",
    "plan_import",
    "render_prompt",
]
