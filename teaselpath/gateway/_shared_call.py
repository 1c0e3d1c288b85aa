"""Calls whose result holds for all that asked before they were sent."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class SharedCall(Generic[T]):
    """Makes one call at a time, for all that have asked since the one before was sent.

    :param call: makes the call.
    :ivar running: the call in flight, whose result may be older than a new question.
    :ivar next: the call that answers new questions.
    """

    def __init__(self, call: Callable[[], Awaitable[T]]):
        self.call = call
        self.running: asyncio.Task[T] | None = None
        self.next: asyncio.Task[T] | None = None

    async def run(self) -> T:
        """Return the result of a call that is sent from now on."""
        if self.next is None:
            self.next = asyncio.get_running_loop().create_task(self._run_after(self.running))
        # One of those that wait may be cancelled.
        return await asyncio.shield(self.next)

    async def _run_after(self, before: asyncio.Task[T] | None) -> T:
        if before is not None:
            await asyncio.wait([before])
        self.running, self.next = self.next, None
        return await self.call()
