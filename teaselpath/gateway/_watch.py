"""Tasks that follow the topics of the metadata store."""

import asyncio

import msgspec
from eliot import log_message

from teaselpath.exchange import TopicPolls, is_large_fleet
from teaselpath.fleet import Position, RecordPage, StoredRecord, StoreError, Topic
from teaselpath.gateway._endpoint_confirmer import EndpointConfirmer
from teaselpath.gateway._record_logs import read_record
from teaselpath.gateway._standstill import Standstill
from teaselpath.gateway._state import UNKNOWN_SINCE, GatewayState
from teaselpath.utils import is_ipv4

# Duration of a long poll of the operators' topic, in seconds.
OPERATORS_WAIT_S = 4.0
# Shortest duration of a long poll, in seconds, however soon a host counts as recovered.
MIN_WAIT_S = 1.0
# Time that a poll on a silent connection takes beyond its duration, in seconds: the timeout of the
# call, the delay before the next one, and its answer.
SILENT_POLL_S = 2.0
# Duration of a long poll of the endpoint topic, in seconds, unless an endpoint changes: the topic
# has no records of heartbeats.
ENDPOINTS_WAIT_S = 5.0
# Pause after records of the endpoint topic, in seconds, so that the next poll returns the changes
# of several endpoints together.
ENDPOINTS_PAUSE_S = 0.8
# Duration of the long polls of a gateway that follows the store for others, in seconds: so long do
# they get no records if the store stops to answer that gateway.
READER_WAIT_S = 2.5
# Interval at which a gateway that does not follow the store checks whether it should, in seconds.
IDLE_CHECK_S = 0.1
# Delay before a failed call is retried, in seconds.
RETRY_DELAY_S = 0.3
# Interval at which this gateway renews its entry in the member topic, in seconds.
MEMBER_INTERVAL_S = 12.0
# The same in a large fleet, in which gateways also learn of each other from their messages.
LARGE_FLEET_MEMBER_INTERVAL_S = 24.0
LAPSE_CHECK_INTERVAL_S = 0.25


class MemberRecord(msgspec.Struct):
    """Entry of a gateway in the member topic."""

    ip: str
    incarnation: int
    beat: int = 0
    domain: str = ""


class StoreWatcher:
    """Follows configuration, weights, endpoints and members.

    :param state: state of this gateway, to which records are applied.
    :ivar standstill: tells when this process did not run.
    :ivar confirmer: reads the endpoints at once.
    :ivar must_announce: whether the store may have lost the record of this gateway.
    :ivar endpoints_listed_at: time of the last listing of the endpoint topic, in seconds.
    """

    def __init__(self, state: GatewayState):
        self.state = state
        self.store = state.store
        self.polls = TopicPolls()
        # Polls in flight, which another topic's answer may end.
        self.calls: dict[Topic, asyncio.Task[RecordPage]] = {}
        self.must_announce = asyncio.Event()
        self.endpoints_listed_at = 0.0
        self.loop = asyncio.get_running_loop()
        self.standstill = Standstill(self.loop.time)
        self.confirmer = EndpointConfirmer(state, self.standstill, self._apply_endpoints)
        self.standstill.on_end = self.confirmer.confirm_soon
        state.standstill_ended_at = self.standstill.last_end
        state.on_new_era.append(self._end_polls)

    async def follow_operators(self) -> None:
        """Follow configuration and announced weights."""
        await self._follow(Topic.OPERATORS, OPERATORS_WAIT_S, 0.0)

    async def follow_endpoints(self) -> None:
        """Follow the endpoint topic."""
        await self._follow(Topic.ENDPOINTS, ENDPOINTS_WAIT_S, ENDPOINTS_PAUSE_S)

    async def follow_members(self) -> None:
        """Announce this gateway, also in each new era of the store, and record the others."""
        beat, cursor = 0, None
        while True:
            beat += 1
            try:
                if cursor is None:
                    # Before the own record replaces that of an earlier process on this host.
                    cursor = await self._read_members(None)
                is_announced = await self._announce(beat)
                is_large = is_large_fleet(len(self.state.members))
                interval_s = LARGE_FLEET_MEMBER_INTERVAL_S if is_large else MEMBER_INTERVAL_S
                # The second read, 2 s after the first, returns gateways that have registered at
                # about the same time as this one.
                delays_s = (interval_s,) if is_large and beat > 1 else (2.0, interval_s - 2.0)
                for delay_s in delays_s:
                    cursor = await self._read_members(cursor)
                    if await self._is_new_era_within(delay_s):
                        break
                if not is_announced:
                    await asyncio.sleep(RETRY_DELAY_S)
            except StoreError as error:
                self.state.record_store_failure(str(error), self.loop.time())
                await asyncio.sleep(1.0)

    async def _announce(self, beat: int) -> bool:
        """Write the record of this gateway; return False if the store's era is over."""
        settings = self.state.settings
        record = MemberRecord(settings.ip, self.state.incarnation, beat, settings.failure_domain)
        end = await self.store.append(Topic.MEMBERS, settings.host, msgspec.json.encode(record))
        is_current = self.state.observe_era(end.era, "store", self.loop.time())
        if is_current:
            self.must_announce.clear()
        return is_current

    async def _read_members(self, cursor: Position | None) -> Position:
        """Apply the members' records from a position on, and return the end."""
        page = await self.store.poll(Topic.MEMBERS, cursor, 0.0)
        self.state.observe_era(page.end.era, "store", self.loop.time())
        is_copied = cursor is not None and cursor.era != page.end.era
        self._apply_members(page.records, self.loop.time(), is_copied=is_copied)
        if cursor is None:
            listed = {record.key for record in page.records if record.value}
            is_restart = self.state.settings.host in listed
            self.state.record_member_list(self.loop.time(), is_restart=is_restart)
        return page.end

    async def _is_new_era_within(self, delay_s: float) -> bool:
        """Wait for a time, or until the store has lost the record of this gateway."""
        try:
            async with asyncio.timeout(delay_s):
                await self.must_announce.wait()
        except TimeoutError:
            return False
        return True

    async def expire_lapses(self) -> None:
        """Remove endpoints whose entries were not renewed after a store outage, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LAPSE_CHECK_INTERVAL_S)
            self.state.expire_lapses(loop.time())

    def _apply_members(
        self, records: list[StoredRecord], now: float, *, is_copied: bool = False
    ) -> None:
        """Record the gateways that the store lists.

        :param is_copied: whether the records may be older than the messages of those gateways.
        """
        for record in records:
            if record.key == self.state.settings.host or not record.value:
                continue
            member = read_record(record, MemberRecord)
            if member is None:
                continue
            if not is_ipv4(member.ip):
                log_message("record_ignored", key=record.key, reason="no IPv4 address")
                continue
            known = self.state.members.get(record.key)
            if is_copied and known is not None:
                known.listed_at = now
                continue
            self.state.record_member(
                record.key, member.ip, member.incarnation, now, member.domain
            ).listed_at = now

    async def _follow(self, topic: Topic, wait_s: float, pause_s: float) -> None:
        state, loop = self.state, self.loop
        cursor: Position | None = None
        answered_at, is_unbroken = UNKNOWN_SINCE, False
        while True:
            if cursor is not None and not state.reads_store and not self._must_list(topic):
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            start = self._next_start(topic, cursor)
            is_large = is_large_fleet(len(state.members))
            sent_at = loop.time()
            longest_s = min(wait_s, READER_WAIT_S) if is_large else wait_s
            poll_wait_s = self.polls.begin(topic, min(longest_s, self._max_wait_s()), sent_at)
            try:
                page = await self._poll(topic, start, 0.0 if start is None else poll_wait_s)
            except StoreError as error:
                is_unbroken = False
                self.polls.record_failure(topic)
                state.record_store_failure(f"{topic}: {error}", loop.time())
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if page is None:
                is_unbroken = False
                log_message("poll_restarted", topic=topic, after_s=loop.time() - sent_at)
                continue
            for other in self.polls.record_answer(topic, loop.time()):
                self.calls[Topic(other)].cancel()
            rtt_s = loop.time() - sent_at if start is None else None
            state.record_store_success(loop.time(), rtt_s)
            if not state.observe_era(page.end.era, "store", loop.time()):
                is_unbroken = False
                log_message("answer_discarded", topic=topic, era=page.end.era, newest=state.era)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            # A poll that has waited all the time returns each record as it is written.
            has_waited = is_unbroken and not self.standstill.has_lasted_since(sent_at)
            self._apply(topic, page, loop.time(), None if has_waited else answered_at)
            if topic is Topic.ENDPOINTS:
                state.endpoints_read_at = max(sent_at, state.endpoints_read_at)
            cursor = page.end
            answered_at, is_unbroken = loop.time(), True
            await asyncio.sleep(self._pause_s(topic, start, page, pause_s))

    def _max_wait_s(self) -> float:
        """Return the longest duration of a poll, in seconds.

        A connection can go silent without a reset. What the poll on it hides is known by the time
        at which this host counts as recovered.
        """
        recovery_s = self.state.settings.bounds.recovery_window_s
        return max(MIN_WAIT_S, recovery_s - SILENT_POLL_S)

    def _next_start(self, topic: Topic, cursor: Position | None) -> Position | None:
        """Return the position from which to read on; None to list, as at the start of an era."""
        if cursor is None or cursor.era != self.state.era or self._must_list(topic):
            return None
        newest = self.state.newest_position(topic)
        return max(cursor, newest.shifted(1)) if newest.era == cursor.era else cursor

    def _must_list(self, topic: Topic) -> bool:
        """Return whether to list the endpoints because what the store still lists is running.

        The topic has no records of heartbeats, which alone may renew an entry that was copied.
        """
        copies_expire_at = self.state.copies_expire_at
        is_due = self.endpoints_listed_at < copies_expire_at <= self.loop.time()
        return is_due and topic is Topic.ENDPOINTS and self.state.endpoints.has_removed()

    def _pause_s(
        self, topic: Topic, start: Position | None, page: RecordPage, pause_s: float
    ) -> float:
        """Return the time to wait before the next poll, in seconds."""
        if start is not None and page.is_listing:
            log_message("poll_listed", topic=topic, cursor=start.offset, end=page.end.offset)
            if start.era == page.end.era:
                # A store that has no such offset would be listed again and again.
                return max(pause_s, RETRY_DELAY_S)
        return pause_s if page.records else 0.0

    def _end_polls(self) -> None:
        """End the polls in flight, which concern an era of the store that is over."""
        self.must_announce.set()
        for call in self.calls.values():
            call.cancel()

    async def _poll(self, topic: Topic, start: Position | None, wait_s: float) -> RecordPage | None:
        """Return the answer to a poll; None if another answer or a new era has ended it."""
        call = self.calls[topic] = self.loop.create_task(self.store.poll(topic, start, wait_s))
        try:
            await asyncio.wait([call])
        finally:
            # The follower itself may be cancelled.
            call.cancel()
        return None if call.cancelled() else call.result()

    def _apply(
        self, topic: Topic, page: RecordPage, now: float, missed_since: float | None = None
    ) -> None:
        """Apply records; for ``missed_since``, see ``GatewayState.apply_operator_record``."""
        state = self.state
        if topic is Topic.OPERATORS:
            for record in page.records:
                state.apply_operator_record(record, "store", now, missed_since)
        else:
            self._apply_endpoints(page, now)

    def _apply_endpoints(self, page: RecordPage, now: float) -> None:
        for record in page.records:
            self.state.apply_endpoint_record(record, "store", now)
        if page.is_listing:
            self.endpoints_listed_at = now
            self.state.remove_unlisted({r.key for r in page.records if r.value}, page.end, now)
