"""Faults of an engine, switched by ``POST /faults``."""

from typing import Literal

import msgspec

SseMode = Literal["truncated", "malformed", "oversized", "after_done", "no_usage", "shuffled"]


class CrashFault(msgspec.Struct, forbid_unknown_fields=True):
    """Lose everything and come back as a new incarnation.

    :param down_s: seconds without an answer before the engine is back.
    """

    down_s: float = 0.0


class StreamFault(msgspec.Struct, forbid_unknown_fields=True):
    """Break the next streams after some tokens.

    :param after_tokens: tokens that are sent before the fault.
    :param count: streams that are hit.
    :param mode: kind of broken SSE; unused for ``die_mid_stream``.
    """

    after_tokens: int = 0
    count: int = 1
    mode: SseMode = "truncated"


class RejectFault(msgspec.Struct, forbid_unknown_fields=True):
    """Answer the next requests with an error before they run."""

    status: int = 503
    count: int = 1


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Body of ``POST /faults``; absent fields change nothing."""

    crash_and_return: CrashFault | None = None
    freeze: bool | None = None
    drop_events: float | None = None
    delay_events_s: float | None = None
    duplicate_events: float | None = None
    die_mid_stream: StreamFault | None = None
    sse: StreamFault | None = None
    reject: RejectFault | None = None
    fail_orders: int | None = None
