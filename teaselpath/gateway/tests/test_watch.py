"""Following the store: around outages, and when it returns from a copy."""

import asyncio
from typing import Any, cast

import pytest

from teaselpath.fleet import Position, RecordPage, StoredRecord, StoreError, Topic
from teaselpath.gateway import _endpoint_confirmer, _watch
from teaselpath.gateway._standstill import STANDSTILL_S
from teaselpath.gateway._watch import StoreWatcher
from teaselpath.gateway.tests.conftest import (
    SETTINGS,
    config_record,
    endpoint_record,
    removal_record,
)


class HangingStore:
    """Store whose polls the test answers or fails one by one.

    :ivar polls: waiting polls by topic: requested duration and future of the page.
    :ivar starts: position from which each poll reads, by topic, in order.
    :ivar appends: keys of the appended records.
    :ivar watcher: follows this store.
    """

    watcher: StoreWatcher

    def __init__(self, decoder):
        self.decode_config = decoder.decode_config
        self.decode_weights = decoder.decode_weights
        self.decode_endpoint = decoder.decode_endpoint
        self.polls: dict[Topic, tuple[float, asyncio.Future]] = {}
        self.starts: dict[Topic, list[Position | None]] = {topic: [] for topic in Topic}
        self.appends: list[str] = []

    async def append(self, topic, key, value, end=None):
        self.appends.append(key)
        return Position(1, len(self.appends))

    def answer(self, topic, *records, end, is_listing=False):
        """Answer the waiting poll of a topic."""
        self.polls[topic][1].set_result(RecordPage(list(records), end, is_listing))

    async def poll(self, topic, start, wait_s):
        self.starts[topic].append(start)
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


def follow(state, scenario, *jobs):
    """Run the named jobs of a watcher beside a scenario, and return what the scenario returns."""

    async def run():
        store = state.store = HangingStore(state.store)
        watcher = StoreWatcher(state)
        store.watcher = watcher
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(getattr(watcher, job)()) for job in jobs]
            await settle()
            result = await scenario(store)
            for task in tasks:
                task.cancel()
        return result

    return asyncio.run(run())


def test_poll_beyond_the_new_end_is_replaced_by_a_listing_once_a_peer_knows_of_the_return(state):
    async def scenario(store):
        store.answer(Topic.OPERATORS, config_record(16, 9), end=Position(1, 10), is_listing=True)
        await settle()
        before = store.polls[Topic.OPERATORS][1]
        state.observe_era(2, "peer x", 1.0)
        await settle()
        records = [config_record(18, 4, era=2)]
        store.answer(Topic.OPERATORS, *records, end=Position(2, 5), is_listing=True)
        await settle()
        return before.cancelled(), store.starts[Topic.OPERATORS], state.config.version

    was_ended, starts, version = follow(state, scenario, "follow_operators")
    assert was_ended
    assert starts == [None, Position(1, 10), None, Position(2, 5)]
    assert version == 18


def test_answer_of_an_earlier_era_is_discarded_and_the_topic_listed_again(state, monkeypatch):
    monkeypatch.setattr(_watch, "RETRY_DELAY_S", 0.0)

    async def scenario(store):
        state.observe_era(2, "peer x", 1.0)
        store.answer(Topic.ENDPOINTS, endpoint_record("e", 9), end=Position(1, 10), is_listing=True)
        await settle()
        return store.starts[Topic.ENDPOINTS], state.views

    assert follow(state, scenario, "follow_endpoints") == ([None, None], {})


def test_topic_is_not_listed_again_and_again_if_its_end_lies_before_the_cursor(state):
    async def scenario(store):
        store.answer(Topic.OPERATORS, config_record(16, 9), end=Position(1, 10), is_listing=True)
        await settle()
        for _ in range(5):
            if not store.polls[Topic.OPERATORS][1].done():
                store.answer(Topic.OPERATORS, end=Position(1, 3), is_listing=True)
            await settle()
        return len(store.starts[Topic.OPERATORS])

    # The listing, the poll that became a listing, and none within the delay.
    assert follow(state, scenario, "follow_operators") == 2


def test_gateway_reads_the_members_again_as_soon_as_it_has_announced_itself(state):
    """Gateways that start together and then lose the store did not know each other."""

    async def scenario(store):
        before = len(store.appends)
        store.answer(Topic.MEMBERS, end=Position(1, 1), is_listing=True)
        await settle()
        return before, len(store.appends), store.starts[Topic.MEMBERS]

    expected = (0, 1, [None, Position(1, 1)])
    assert follow(state, scenario, "follow_members") == expected


def test_gateway_announces_itself_again_in_a_new_era(state):
    async def scenario(store):
        # It reads before and after its first announcement.
        for _ in range(2):
            store.answer(Topic.MEMBERS, end=Position(1, 1), is_listing=True)
            await settle()
        before = len(store.appends)
        state.observe_era(2, "peer x", 1.0)
        await settle()
        return before, len(store.appends)

    assert follow(state, scenario, "follow_members") == (1, 2)


def test_copied_member_record_does_not_replace_the_present_incarnation(state):
    async def scenario(store):
        store.answer(Topic.MEMBERS, end=Position(1, 1), is_listing=True)
        await settle()
        state.record_member("gw-1", "127.0.0.3", 7, 1.0).last_contact_at = 1.0
        state.observe_era(2, "peer x", 1.0)
        await settle()
        record = StoredRecord("gw-1", b'{"ip":"127.0.0.3","incarnation":5}', Position(2, 0))
        store.answer(Topic.MEMBERS, record, end=Position(2, 1), is_listing=True)
        await settle()
        return state.members["gw-1"].incarnation

    assert follow(state, scenario, "follow_members") == 7


def test_gateway_pauses_between_calls_while_the_store_answers_it_in_an_earlier_era(state):
    """Guards against a gateway that uses up the writes that all may make together."""

    async def scenario(store):
        state.observe_era(1, "store", 1.0)
        state.observe_era(2, "peer x", 1.0)
        for _ in range(10):
            await settle()
            if Topic.MEMBERS in store.polls and not store.polls[Topic.MEMBERS][1].done():
                store.answer(Topic.MEMBERS, end=Position(1, 1), is_listing=True)
        await settle()
        return len(store.appends)

    assert follow(state, scenario, "follow_members") <= 2


async def advance_clock(delay_s):
    """Let the event loop's clock show a later time, and run what is due then."""
    loop = cast(Any, asyncio.get_running_loop())
    present = loop.time
    loop.time = lambda: present() + delay_s
    await settle()


@pytest.mark.parametrize("reads_store", [True, False])
def test_endpoints_are_listed_once_more_when_copied_entries_have_expired(state, reads_store):
    """Guards against a running endpoint that stays unused, since no record follows its copy."""
    state.record_store_success(0.0)
    state.apply_endpoint_record(endpoint_record("e", 5, seq=3), "store", 50.0)
    state.apply_endpoint_record(removal_record("e", 6), "store", 50.0)
    state.observe_era(2, "peer x", 60.0)
    state.record_store_failure("unreachable", 60.0)
    copied, end = endpoint_record("e", 5, era=2, seq=3), Position(2, 6)

    async def scenario(store):
        used = []
        state.reads_store = reads_store
        for _ in range(2):
            store.answer(Topic.ENDPOINTS, copied, end=end, is_listing=True)
            await settle()
            used.append(list(state.views))
            # The next long poll is in flight when the time has come.
            await advance_clock(1.0)
            await advance_clock(60.0)
            if reads_store:
                store.answer(Topic.ENDPOINTS, end=end)
                await settle()
        return used, store.starts[Topic.ENDPOINTS]

    used, starts = follow(state, scenario, "follow_endpoints")
    assert used == [[], ["e"]]
    assert starts == ([None, end, None, end, end] if reads_store else [None, None])


@pytest.mark.parametrize(
    ("page", "is_confirmed"),
    [
        (RecordPage([], Position(1, 6), is_listing=False), True),
        (RecordPage([endpoint_record("f", 6)], Position(1, 7), is_listing=False), True),
        # History was deleted: endpoints may have come and gone unseen.
        (RecordPage([endpoint_record("f", 6)], Position(1, 7), is_listing=True), False),
        (RecordPage([], Position(2, 6), is_listing=True), False),
        (StoreError("busy"), False),
        (None, False),
    ],
)
def test_endpoints_are_confirmed_only_by_an_unbroken_read_of_the_store(
    state, monkeypatch, page, is_confirmed
):
    monkeypatch.setattr(_endpoint_confirmer, "READ_S", 0.05)
    state.apply_endpoint_record(endpoint_record("e", 5), "store", 1.0)
    state.observe_era(1, "store", 1.0)
    state.record_store_success(1.0)

    async def scenario(store):
        task = asyncio.create_task(store.watcher.confirmer.confirm())
        await settle()
        if isinstance(page, StoreError):
            store.polls[Topic.ENDPOINTS][1].set_exception(page)
        elif page is not None:
            store.polls[Topic.ENDPOINTS][1].set_result(page)
        return await task, store.starts[Topic.ENDPOINTS][0], set(state.views)

    result, start, views = follow(state, scenario)
    assert (result, start) == (is_confirmed, Position(1, 6))
    if page is not None and not isinstance(page, StoreError) and page.records:
        assert "f" in views


def test_endpoints_are_read_at_once_after_a_standstill(state, monkeypatch):
    """Guards against a poll in flight that tells of the time before the standstill."""
    monkeypatch.setattr(_endpoint_confirmer, "RETRY_DELAY_S", 0.0)
    state.apply_endpoint_record(endpoint_record("e", 5), "store", 1.0)
    state.observe_era(1, "store", 1.0)
    state.record_store_success(1.0)

    async def scenario(store):
        store.watcher.standstill.ran_at -= STANDSTILL_S + 0.1
        known = [state.knows_software(state.views["e"], 100.0)]
        await settle()
        store.polls[Topic.ENDPOINTS][1].set_exception(StoreError("busy"))
        await settle()
        known.append(state.knows_software(state.views["e"], 100.0))
        store.answer(Topic.ENDPOINTS, end=Position(1, 6))
        await settle()
        known.append(state.knows_software(state.views["e"], 100.0))
        return known, len(store.starts[Topic.ENDPOINTS])

    assert follow(state, scenario) == ([False, False, True], 2)


@pytest.mark.parametrize("topic", [Topic.OPERATORS, Topic.ENDPOINTS])
def test_poll_on_a_silent_connection_ends_before_the_gateway_counts_as_recovered(state, topic):
    """Guards against withdrawn keys and engines that left, hidden by a poll without an answer."""

    async def scenario(store):
        store.answer(topic, end=Position(1, 1), is_listing=True)
        await settle()
        return store.polls[topic][0]

    wait_s = follow(state, scenario, f"follow_{topic}")
    recovery_s = SETTINGS.bounds.recovery_window_s
    assert 0.0 < wait_s <= recovery_s - _watch.SILENT_POLL_S
