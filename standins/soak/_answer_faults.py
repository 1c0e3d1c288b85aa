"""Faults of engines' answers during a soak run."""

import asyncio
import time
from collections.abc import Callable
from random import Random

from standins.hosted import HostedSite

# Mean interval between faults of the answers of engines, in seconds.
ANSWER_FAULT_INTERVAL_S = 1.5
# Fraction of the requests that a fault affects.
ANSWER_FAULT_FRACTION = 0.3
# Answers that come late, without end, or not at all.
LATE_ANSWERS = ("stalls", "floods", "slow", "polls_unanswered")
# Answers that end early, or hold what belongs elsewhere.
MISLEADING_ANSWERS = ("restarts", "skips", "plain", "repeats", "cut_heads", "resets")


async def disturb_answers(
    site: HostedSite,
    faults: tuple[str, ...],
    source: Random,
    until: float,
    record_fault: Callable[[str], None],
) -> None:
    """Give engines one of the faults for a while, again and again.

    :param source: random source of its own, so that the other faults of a seed stay the same.
    :param until: time of the steady clock at which the last fault begins, in seconds.
    """
    while time.monotonic() < until:
        await asyncio.sleep(source.expovariate(1 / ANSWER_FAULT_INTERVAL_S))
        name = source.choice(sorted(site.engines))
        fault = source.choice(faults)
        record_fault(f"{fault}: {name}")
        engine_faults = site.engines[name].engine.faults
        setattr(engine_faults, fault, ANSWER_FAULT_FRACTION)
        await asyncio.sleep(source.uniform(0.5, 2.0))
        setattr(engine_faults, fault, 0.0)
