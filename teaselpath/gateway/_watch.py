"""Tasks that follow the topics of the metadata store."""

import asyncio

import msgspec
from eliot import log_message

from teaselpath.exchange import TopicPolls, is_large_fleet
from teaselpath.fleet import RecordPage, StoreError, Topic
from teaselpath.gateway._state import GatewayState

# Duration of a long poll of the operators' topic, in seconds. A connection can go silent without a
# reset; the poll on it then delays a new configuration by this time and the timeout at most.
OPERATORS_WAIT_S = 4.0
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
    """

    def __init__(self, state: GatewayState):
        self.state = state
        self.store = state.store
        self.polls = TopicPolls()
        # Polls in flight, which another topic's answer may end.
        self.calls: dict[Topic, asyncio.Task[RecordPage]] = {}

    async def follow_operators(self) -> None:
        """Follow configuration and announced weights."""
        await self._follow(Topic.OPERATORS, OPERATORS_WAIT_S, 0.0)

    async def follow_endpoints(self) -> None:
        """Follow the endpoint topic."""
        await self._follow(Topic.ENDPOINTS, ENDPOINTS_WAIT_S, ENDPOINTS_PAUSE_S)

    async def follow_members(self) -> None:
        """Announce this gateway and record the others."""
        settings, beat, cursor = self.state.settings, 0, None
        loop = asyncio.get_running_loop()
        while True:
            beat += 1
            record = MemberRecord(
                settings.ip, self.state.incarnation, beat, settings.failure_domain
            )
            try:
                await self.store.append(Topic.MEMBERS, settings.host, msgspec.json.encode(record))
                is_large = is_large_fleet(len(self.state.members))
                interval_s = LARGE_FLEET_MEMBER_INTERVAL_S if is_large else MEMBER_INTERVAL_S
                # The second read, 2 s after the first, returns gateways that have registered at
                # about the same time as this one.
                delays_s = (interval_s,) if is_large and beat > 1 else (2.0, interval_s - 2.0)
                for delay_s in delays_s:
                    page = await self.store.poll(Topic.MEMBERS, cursor, 0.0)
                    cursor = page.end
                    self._apply_members(page.records, loop.time())
                    await asyncio.sleep(delay_s)
            except StoreError as error:
                self.state.record_store_failure(str(error), loop.time())
                await asyncio.sleep(1.0)

    async def expire_lapses(self) -> None:
        """Remove endpoints whose entries were not renewed after a store outage, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LAPSE_CHECK_INTERVAL_S)
            self.state.expire_lapses(loop.time())

    def _apply_members(self, records, now: float) -> None:
        for record in records:
            if record.key == self.state.settings.host or not record.value:
                continue
            try:
                member = msgspec.json.decode(record.value, type=MemberRecord)
            except msgspec.MsgspecError as error:
                log_message("record_ignored", key=record.key, reason=str(error))
                continue
            self.state.record_member(
                record.key, member.ip, member.incarnation, now, member.domain
            ).listed_at = now

    async def _follow(self, topic: Topic, wait_s: float, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        cursor: int | None = None
        while True:
            if cursor is not None and not self.state.reads_store:
                await asyncio.sleep(IDLE_CHECK_S)
                continue
            if cursor is not None:
                cursor = max(cursor, self.state.newest_offset(topic) + 1)
            is_large = is_large_fleet(len(self.state.members))
            sent_at = loop.time()
            poll_wait_s = self.polls.begin(
                topic, min(wait_s, READER_WAIT_S) if is_large else wait_s, sent_at
            )
            try:
                page = await self._poll(topic, cursor, 0.0 if cursor is None else poll_wait_s)
            except StoreError as error:
                self.polls.record_failure(topic)
                self.state.record_store_failure(f"{topic}: {error}", loop.time())
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if page is None:
                log_message("poll_restarted", topic=topic, after_s=loop.time() - sent_at)
                continue
            for other in self.polls.record_answer(topic, loop.time()):
                self.calls[Topic(other)].cancel()
            rtt_s = loop.time() - sent_at if cursor is None else None
            self.state.record_store_success(loop.time(), rtt_s)
            if cursor is not None and page.is_listing:
                log_message("poll_listed", topic=topic, cursor=cursor, end=page.end)
            self._apply(topic, page, loop.time())
            if cursor is None or page.end > cursor:
                cursor = page.end
            if pause_s and page.records:
                await asyncio.sleep(pause_s)

    async def _poll(self, topic: Topic, cursor: int | None, wait_s: float) -> RecordPage | None:
        """Return the answer to a poll; None if the answer on another topic has ended it."""
        call = self.calls[topic] = asyncio.get_running_loop().create_task(
            self.store.poll(topic, cursor, wait_s)
        )
        try:
            await asyncio.wait([call])
        finally:
            # The follower itself may be cancelled.
            call.cancel()
        return None if call.cancelled() else call.result()

    def _apply(self, topic: Topic, page, now: float) -> None:
        state = self.state
        if topic is Topic.OPERATORS:
            for record in page.records:
                state.apply_operator_record(record, "store", now)
            return
        if page.is_listing:
            state.remove_unlisted({r.key for r in page.records if r.value}, page.end, now)
        for record in page.records:
            state.apply_endpoint_record(record, "store", now)
