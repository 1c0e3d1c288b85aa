"""Configuration of the stand-ins; the command line options are generated from these fields."""

from typing import Annotated

import msgspec
from msgspec import Meta


class StandinConfig(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Fields common to all stand-ins."""

    id: Annotated[str, Meta(description="name in answers and progress lines")] = ""
    host: Annotated[str, Meta(description="address to listen on")] = "127.0.0.1"
    port: Annotated[int, Meta(description="TCP port; 0 picks a free one")] = 0
    seed: Annotated[int, Meta(description="seed of all random choices")] = 1


class EngineConfig(StandinConfig, tag_field="kind", tag="engine"):
    """Model engine."""

    model: Annotated[str, Meta(description="served model")] = "model-a"
    weights: Annotated[str, Meta(description="weights version at start")] = "w1"
    role: Annotated[str, Meta(description="role at start")] = "both"
    max_running: Annotated[int, Meta(description="batch size limit")] = 16
    prefill_us_per_token: Annotated[float, Meta(description="prefill cost of a token")] = 50.0
    decode_us_per_token: Annotated[float, Meta(description="cost of a step for each sequence")] = (
        200.0
    )
    step_us: Annotated[float, Meta(description="fixed cost of a step")] = 5000.0
    prefill_chunk_tokens: Annotated[int, Meta(description="prefill tokens in one step")] = 4096
    block_tokens: Annotated[int, Meta(description="tokens in a cache block")] = 2048
    cache_blocks: Annotated[int, Meta(description="capacity of the prefix cache")] = 64
    event_ring: Annotated[int, Meta(description="cache events kept for readers")] = 4096
    kv_block_bytes: Annotated[int, Meta(description="size of a block when it is exported")] = 16384
    transfer_bytes_per_s: Annotated[float, Meta(description="import speed; 0: no limit")] = 0.0
    load_lag_s: Annotated[float, Meta(description="age of the load report")] = 0.2
    load_sample_s: Annotated[float, Meta(description="interval of load samples")] = 0.05
    fencing: Annotated[bool, Meta(description="refuse orders with an old fence")] = True
    clear_cache_on_load: Annotated[bool, Meta(description="clear the cache on new weights")] = False
    weight_store_url: Annotated[str, Meta(description="store to load from; empty: none")] = ""
    weight_load_s: Annotated[float, Meta(description="load time without a weight store")] = 1.0
    stop_one_in: Annotated[int, Meta(description="natural end at one token in N; 0: never")] = 0
    audit_ring: Annotated[int, Meta(description="requests kept for /audit")] = 20000


class ServiceConfig(StandinConfig, tag_field="kind", tag="service"):
    """Plain service."""

    prefix: Annotated[str, Meta(description="path prefix of the collections")] = ""
    records: Annotated[int, Meta(description="records 0.. in sponsorships and schedule")] = 0
    service_ms: Annotated[float, Meta(description="duration of a call")] = 0.0
    audit_ring: Annotated[int, Meta(description="requests kept for /audit")] = 20000


class LogConfig(StandinConfig, tag_field="kind", tag="log"):
    """Append-only log service."""

    keep_records: Annotated[int, Meta(description="records kept per stream")] = 100_000
    keep_s: Annotated[float, Meta(description="maximum age of records")] = 86_400.0
    appends_per_s: Annotated[float, Meta(description="append rate over all streams")] = 500.0
    append_burst: Annotated[float, Meta(description="burst of appends")] = 100.0


class HostsConfig(StandinConfig, tag_field="kind", tag="hosts"):
    """Host list."""

    lag_s: Annotated[float, Meta(description="time until a change is visible")] = 2.0
    hosts: list[dict] = []


class CacheStoreConfig(StandinConfig, tag_field="kind", tag="cache-store"):
    """KV cache store."""

    capacity_bytes: Annotated[int, Meta(description="bytes of blocks kept, LRU")] = 256 << 20
    bytes_per_s: Annotated[float, Meta(description="read bandwidth; 0: no limit")] = 0.0


class WeightStoreConfig(StandinConfig, tag_field="kind", tag="weight-store"):
    """Weight store."""

    load_s: Annotated[float, Meta(description="time of a load")] = 1.0
    parallel_loads: Annotated[int, Meta(description="concurrent loads at full speed")] = 3
    loads_per_s: Annotated[float, Meta(description="rate of load requests")] = 10.0
    load_burst: Annotated[float, Meta(description="burst of load requests")] = 20.0
    weight_bytes: Annotated[int, Meta(description="size of the response body")] = 65536


AnyConfig = (
    EngineConfig | ServiceConfig | LogConfig | HostsConfig | CacheStoreConfig | WeightStoreConfig
)


class AllConfig(msgspec.Struct, forbid_unknown_fields=True):
    """Configuration file of ``python -m standins all``."""

    standins: list[AnyConfig]
