"""Long prompts beside short ones at the same engines.

Load: bursts of long prompts. An engine prefills in order what it has admitted, so that a short
request which comes behind two long prompts misses its aim, whatever its priority. The prefill
pending at an engine is therefore bounded in time, by the shortest aim of the routes that use the
service; long prompts beyond it go to other engines or wait at the gateway.
"""

from collections.abc import Iterable

# Fraction of the shortest aim that pending prefill may take. The rest is for the way of a short
# request to its engine and for its own first event.
PREFILL_FRACTION = 0.5
# Fraction of the bound up to which pending prefill does not hold up a long prompt that exceeds the
# bound by itself.
IDLE_FRACTION = 0.25


def max_backlog_s(aims_s: Iterable[float]) -> float | None:
    """Return the longest pending prefill at an engine, in seconds; None for no bound of its own.

    :param aims_s: aims of the routes that use the service, in seconds; 0 for none.
    """
    shortest_s = min((aim_s for aim_s in aims_s if aim_s > 0.0), default=None)
    return None if shortest_s is None else PREFILL_FRACTION * shortest_s


def has_prefill_room(pending_s: float, own_s: float, bound_s: float) -> bool:
    """Return whether an engine may get a long prompt.

    :param pending_s: expected time of its pending prefill, in seconds.
    :param own_s: expected time of the prefill of this prompt, in seconds.
    :param bound_s: result of ``max_backlog_s``.
    """
    return pending_s + own_s <= bound_s or pending_s <= IDLE_FRACTION * bound_s
