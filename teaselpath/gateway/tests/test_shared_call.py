"""Calls that are shared by all that ask before they are sent."""

import asyncio

import pytest

from teaselpath.gateway._shared_call import SharedCall


class Source:
    """Value that changes while it is read.

    :ivar answers: answers to the calls in flight, in order.
    """

    def __init__(self):
        self.answers: list[asyncio.Future[int]] = []

    async def read(self) -> int:
        self.answers.append(asyncio.get_running_loop().create_future())
        return await self.answers[-1]


async def settle():
    for _ in range(5):
        await asyncio.sleep(0)


def test_question_is_not_answered_by_a_call_that_was_sent_before():
    """Guards against an answer that is older than the question."""

    async def scenario():
        source = Source()
        shared = SharedCall(source.read)
        first = asyncio.create_task(shared.run())
        await settle()
        later = [asyncio.create_task(shared.run()) for _ in range(3)]
        await settle()
        calls_before = len(source.answers)
        source.answers[0].set_result(1)
        await settle()
        was_answered = [task.done() for task in later]
        source.answers[1].set_result(2)
        return calls_before, was_answered, await first, await asyncio.gather(*later)

    assert asyncio.run(scenario()) == (1, [False] * 3, 1, [2] * 3)


def test_caller_that_leaves_ends_the_call_of_no_other():
    async def scenario():
        source = Source()
        shared = SharedCall(source.read)
        tasks = [asyncio.create_task(shared.run()) for _ in range(2)]
        await settle()
        tasks[0].cancel()
        await settle()
        source.answers[0].set_result(7)
        return await tasks[1]

    assert asyncio.run(scenario()) == 7


def test_failed_call_is_followed_by_another():
    async def scenario():
        source = Source()
        shared = SharedCall(source.read)
        task = asyncio.create_task(shared.run())
        await settle()
        source.answers[0].set_exception(OSError("gone"))
        with pytest.raises(OSError, match="gone"):
            await task
        again = asyncio.create_task(shared.run())
        await settle()
        source.answers[1].set_result(3)
        return await again

    assert asyncio.run(scenario()) == 3
