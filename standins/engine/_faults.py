"""Faults of an engine, set by ``POST /faults``."""

from typing import Literal

import msgspec

SseMode = Literal["truncated", "malformed", "oversized", "after_done", "no_usage", "shuffled"]


class CrashFault(msgspec.Struct, forbid_unknown_fields=True):
    """Crash: discard cache and requests, then restart as a new incarnation.

    :param down_s: time in seconds for which connections are closed without an answer.
    """

    down_s: float = 0.0


class StreamFault(msgspec.Struct, forbid_unknown_fields=True):
    """Corrupt or abort the next streams after a number of tokens.

    :param after_tokens: number of tokens sent before the fault.
    :param count: number of streams affected.
    :param mode: kind of invalid SSE; ignored by ``die_mid_stream``.
    """

    after_tokens: int = 0
    count: int = 1
    mode: SseMode = "truncated"


class RejectFault(msgspec.Struct, forbid_unknown_fields=True):
    """Reply to the next requests with an error, without running them."""

    status: int = 503
    count: int = 1


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields keep their state."""

    crash_and_return: CrashFault | None = None
    freeze: bool | None = None
    drop_events: float | None = None
    delay_events_s: float | None = None
    duplicate_events: float | None = None
    die_mid_stream: StreamFault | None = None
    sse: StreamFault | None = None
    reject: RejectFault | None = None
    fail_orders: int | None = None
