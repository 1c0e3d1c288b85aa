"""Following the store: no poll that an outage has swallowed outlives the outage."""

import asyncio

from teaselpath.fleet import Position, RecordPage, StoreError, Topic
from teaselpath.gateway import _watch
from teaselpath.gateway._watch import StoreWatcher
from teaselpath.gateway.tests.conftest import config_record


class HangingStore:
    """Store whose polls the test answers or fails one by one.

    :ivar polls: waiting polls by topic: requested duration and future of the page.
    """

    def __init__(self, decoder):
        self.decode_config = decoder.decode_config
        self.decode_weights = decoder.decode_weights
        self.polls: dict[Topic, tuple[float, asyncio.Future]] = {}

    async def poll(self, topic, start, wait_s):
        future = asyncio.get_running_loop().create_future()
        self.polls[topic] = (wait_s, future)
        return await future


async def settle():
    """Run all tasks that are ready."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_operators_poll_is_sent_again_when_the_store_returns(state, monkeypatch):
    monkeypatch.setattr(_watch, "RETRY_DELAY_S", 0.0)
    empty = RecordPage([], Position(1, 1), is_listing=False)

    async def scenario():
        store = state.store = HangingStore(state.store)
        watcher = StoreWatcher(state)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(watcher.follow_operators()),
                group.create_task(watcher.follow_endpoints()),
            ]
            await settle()
            for topic in (Topic.OPERATORS, Topic.ENDPOINTS):
                store.polls[topic][1].set_result(RecordPage([], Position(1, 1), is_listing=True))
            await settle()
            # The outage swallows both polls; that of the endpoints fails first.
            swallowed = store.polls[Topic.OPERATORS][1]
            store.polls[Topic.ENDPOINTS][1].set_exception(StoreError("no answer"))
            await settle()
            store.polls[Topic.ENDPOINTS][1].set_result(empty)
            await settle()
            wait_s, poll = store.polls[Topic.OPERATORS]
            poll.set_result(RecordPage([config_record(16, 1)], Position(1, 2), is_listing=False))
            await settle()
            for task in tasks:
                task.cancel()
        return swallowed.cancelled(), wait_s, state.config.version

    assert asyncio.run(scenario()) == (True, 0.0, 16)
