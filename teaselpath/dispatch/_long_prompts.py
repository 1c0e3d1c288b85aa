"""Long prompts beside short ones at the same engines.

Load: bursts of long prompts. An engine prefills in order what it has admitted, so that a short
request which comes behind two long prompts misses its aim, whatever its priority. The prefill
pending at an engine is therefore bounded in time, by the shortest aim of the routes that use the
service; long prompts beyond it go to other engines or wait at the gateway.

How long a prompt really takes is known only afterwards: attention grows with the square of its
length, and gateways learn of each other's prompts late. What short prompts experience tells, so the
part of its room that a gateway gives to long prompts follows the first events of its short ones.
"""

from collections.abc import Iterable

# Fraction of the shortest aim that pending prefill may take. The rest is for the way of a short
# request to its engine and for its own first event.
PREFILL_FRACTION = 0.5
# Fraction of the bound up to which pending prefill does not hold up a long prompt that exceeds the
# bound by itself.
IDLE_FRACTION = 0.25
# Largest and smallest part of its room that a gateway gives to long prompts.
MAX_LONG_SHARE = 0.8
MIN_LONG_SHARE = 0.1
# Fraction of its aim after which the first event of a short prompt counts as held up. The rest is
# for the time before it was sent.
HELD_UP_FRACTION = 0.6
# Change of the part for a short prompt that was held up, as a factor, and for one that was not.
# Parts fall faster than they rise, as parts of a congested link do (Chiu and Jain, "Analysis of the
# Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks", 1989).
DECREASE_FACTOR = 0.85
INCREASE = 0.02


class LongShare:
    """Part of a gateway's room that its long prompts may take.

    :ivar share: the part, from ``MIN_LONG_SHARE`` to ``MAX_LONG_SHARE``.
    """

    __slots__ = ("share",)

    def __init__(self) -> None:
        self.share = MAX_LONG_SHARE

    def record_short(self, first_event_s: float, aim_s: float) -> None:
        """Record how long the first event of a short prompt took.

        :param first_event_s: time since it was sent, in seconds.
        :param aim_s: its aim, in seconds; 0 for none.
        """
        if aim_s <= 0.0:
            return
        if first_event_s > HELD_UP_FRACTION * aim_s:
            self.share = max(MIN_LONG_SHARE, self.share * DECREASE_FACTOR)
        else:
            self.share = min(MAX_LONG_SHARE, self.share + INCREASE)

    def limit(self, part: float) -> float:
        """Return the long prompts that a gateway may have in flight.

        :param part: requests that it may have in flight; see ``ServiceRoom``.
        """
        return max(1.0, self.share * part)


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
