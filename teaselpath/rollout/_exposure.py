"""Exposure of the target of a rollout: which requests of one gateway try it, and where.

Before the move a gateway sends the target at most ``SPENT_FRACTION`` of the allowed fraction, of
its own requests. The sum over all gateways keeps the bound whatever each of them knows of the
others. Rare routes try the target more often than frequent ones, so that each brings evidence.
"""

from collections.abc import Iterable

from teaselpath.fleet import Step
from teaselpath.utils import rendezvous_top

# Part of the allowed fraction that gateways spend; the rest covers chance.
SPENT_FRACTION = 0.8
# Parts of what may be spent, by step.
STEP_PARTS = {Step.FEW: 0.2, Step.SOME: 0.5, Step.FULL: 1.0}
# Fraction of all new requests at the first step of the move, equally of each route.
PARTLY_FRACTION = 0.16
# Engines that exposed requests reach at least, so that one of them can be told apart.
MIN_EXPOSED_ENGINES = 3
# Time for which the same engines get them, in seconds.
TURN_S = 0.5
# Multiple of the fraction that rare routes try the target with, at most, before the move.
MAX_BOOST = 3.0
# Requests that a gateway saves up at most.
MAX_SAVED = 2.0


def fraction_of(step: Step, exposed_fraction: float) -> float:
    """Return the fraction of new requests that the target gets at a step.

    :param exposed_fraction: fraction that a bad version may get.
    """
    match step:
        case Step.NONE:
            return 0.0
        case Step.PARTLY:
            return PARTLY_FRACTION
        case Step.ALL:
            return 1.0
        case _:
            return STEP_PARTS[step] * SPENT_FRACTION * exposed_fraction


class Exposure:
    """Chooses requests of one gateway that try the target.

    :param phase: random start between 0 and 1, so that a restart adds nothing in the mean.
    :ivar saved: requests that may try the target by now.
    :ivar seen: requests by route.
    :ivar due: requests by route that should try it by now.
    """

    __slots__ = ("due", "saved", "seen")

    def __init__(self, phase: float):
        self.saved = phase
        self.seen: dict[str, int] = {}
        self.due: dict[str, float] = {}

    def take(self, route: str, fraction: float) -> bool:
        """Count a request; return whether it tries the target.

        :param fraction: fraction of all requests that may.
        """
        self.saved = min(MAX_SAVED, self.saved + fraction)
        self.seen[route] = self.seen.get(route, 0) + 1
        share = self.seen[route] / sum(self.seen.values())
        boost = 1.0 / (len(self.seen) * share)
        if fraction < PARTLY_FRACTION:
            boost = min(MAX_BOOST, boost)
        due = self.due.get(route, self.saved) + boost * fraction
        is_taken = due >= 1.0 and self.saved >= 1.0
        if is_taken:
            due -= 1.0
            self.saved -= 1.0
        self.due[route] = min(MAX_SAVED, due)
        return is_taken


def exposed_engines(
    key: str, engines: Iterable[str], fraction: float, old_count: int, turn: int
) -> frozenset[str]:
    """Return the engines of the target that get a fraction of the requests now.

    So few do at a time that each has about the load of an old engine, and several do by turns, so
    that one of them cannot stand for the version.

    :param key: the same at all gateways.
    :param old_count: number of old engines.
    :param turn: number that rises with time, about the same at all gateways.
    """
    count = max(1, round(fraction * old_count))
    several = rendezvous_top(key.encode(), engines, max(MIN_EXPOSED_ENGINES, count))
    start = turn * count
    return frozenset(several[(start + n) % len(several)] for n in range(count) if several)
