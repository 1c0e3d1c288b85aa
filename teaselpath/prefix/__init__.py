"""Routing by shared prompt prefixes: hash chain, candidates, cost, cache index, link budget."""

from teaselpath.prefix._chain import chain_hashes, chain_seed, render_prompt
from teaselpath.prefix._events import (
    CacheEvent,
    CacheEventKind,
    Choice,
    EngineSeen,
    EventBatch,
    Finished,
    NeedSnapshot,
    Routed,
    Snapshot,
)
from teaselpath.prefix._index import CacheIndex
from teaselpath.prefix._link import LinkBudget
from teaselpath.prefix._router import PrefixRouter

__all__ = [
    "CacheEvent",
    "CacheEventKind",
    "CacheIndex",
    "Choice",
    "EngineSeen",
    "EventBatch",
    "Finished",
    "LinkBudget",
    "NeedSnapshot",
    "PrefixRouter",
    "Routed",
    "Snapshot",
    "chain_hashes",
    "chain_seed",
    "render_prompt",
]
