"""Simulated KV cache store and weight store."""

from standins.stores._cache_store import CacheStoreServer
from standins.stores._weight_store import WeightStoreServer

__all__ = ["CacheStoreServer", "WeightStoreServer"]
