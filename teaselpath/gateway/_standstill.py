"""Detection of times in which a gateway process did not run."""

import asyncio
import time
from collections.abc import Callable

from eliot import log_message

# Longest time between two steps of the event loop, in seconds, after which the process counts as
# having stood still: what it knew before may have been replaced meanwhile.
STANDSTILL_S = 1.0
CHECK_INTERVAL_S = 0.1


def boot_clock() -> float:
    """Return the time since the host was booted, including suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Standstill:
    """Tells when this process was stopped, suspended or got no processor time.

    What waits at a stopped process is handled before its timers, so that each question looks at the
    clock itself.

    :param loop_time: clock in which times are given, in seconds; it may stop during a suspension.
    :param clock: clock that also runs during a suspension.
    :ivar ended_at: end of the last standstill, in the time of ``loop_time``; 0 without one.
    :ivar on_end: called when one has ended.
    """

    def __init__(
        self, loop_time: Callable[[], float], clock: Callable[[], float] = boot_clock
    ) -> None:
        self.loop_time = loop_time
        self.clock = clock
        self.ran_at = clock()
        self.ended_at = 0.0
        self.on_end: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Look at the clock at short intervals, until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Record that the process runs now."""
        now = self.clock()
        stood_still_s, self.ran_at = now - self.ran_at, now
        if stood_still_s > STANDSTILL_S:
            self.ended_at = self.loop_time()
            log_message("stood_still", for_s=stood_still_s)
            self.on_end()

    def last_end(self) -> float:
        """Return when this process last stood still, in the time of ``loop_time``; 0 if never."""
        self.check()
        return self.ended_at

    def has_lasted_since(self, at: float) -> bool:
        """Return whether a standstill has ended after a time, in that of ``loop_time``."""
        return self.last_end() > at
