"""Reads of the endpoint topic for decisions that need what the store lists now."""

import asyncio
from collections.abc import Callable

from eliot import log_message

from teaselpath.fleet import RecordPage, StoreError, Topic
from teaselpath.gateway._shared_call import SharedCall
from teaselpath.gateway._standstill import Standstill
from teaselpath.gateway._state import GatewayState

# Time for one read, in seconds: the store may be in another region.
READ_S = 0.25
# Reads that are tried, since a connection can be silent.
READS = 2
# Longest time that a request waits for them, and for one before that is in flight, in seconds.
CONFIRM_S = 0.6
# Delay before a failed confirmation after a standstill is repeated, in seconds.
RETRY_DELAY_S = 0.3


class EndpointConfirmer:
    """Reads the endpoints at once, besides the long poll that follows them.

    The poll tells of a change as it is written, but not whether it would: it may hang on a silent
    connection, and after a standstill it tells of the time before.

    :param state: state of this gateway, with its store.
    :param standstill: tells when this process did not run.
    :param apply: applies a page of the endpoint topic that was received at a time.
    :ivar confirmation: the read after a standstill, while it is not answered.
    """

    def __init__(
        self,
        state: GatewayState,
        standstill: Standstill,
        apply: Callable[[RecordPage, float], None],
    ):
        self.state = state
        self.standstill = standstill
        self.apply = apply
        self.loop = asyncio.get_running_loop()
        self.shared_read = SharedCall(self._read)
        self.confirmation: asyncio.Task[None] | None = None

    async def confirm(self) -> bool:
        """Read the endpoints now; return whether all that the store lists by now are known.

        A store that has returned from a copy, or deleted what was not read, may lack some.
        """
        try:
            async with asyncio.timeout(CONFIRM_S):
                return await self.shared_read.run()
        except TimeoutError:
            return False

    def confirm_soon(self) -> None:
        """Read the endpoints after a standstill, until that succeeds."""
        if self.confirmation is None:
            self.confirmation = self.loop.create_task(self._confirm_after_standstill())

    async def _confirm_after_standstill(self) -> None:
        while self.standstill.has_lasted_since(self.state.endpoints_read_at):
            await self.confirm()
            await asyncio.sleep(RETRY_DELAY_S)
        self.confirmation = None

    async def _read(self) -> bool:
        for _ in range(READS if self.state.store_up else 1):
            try:
                async with asyncio.timeout(READ_S):
                    return await self._read_once()
            except TimeoutError:
                log_message("endpoints_not_confirmed", reason="no answer in time")
            except StoreError as error:
                log_message("endpoints_not_confirmed", reason=str(error))
                break
        return False

    async def _read_once(self) -> bool:
        state, sent_at = self.state, self.loop.time()
        start = state.endpoints.position.shifted(1)
        page = await state.store.poll(Topic.ENDPOINTS, start, 0.0)
        now = self.loop.time()
        if not state.observe_era(page.end.era, "store", now):
            return False
        self.apply(page, now)
        state.endpoints_read_at = max(sent_at, state.endpoints_read_at)
        return not page.is_listing and not state.may_lack_copied(now)
