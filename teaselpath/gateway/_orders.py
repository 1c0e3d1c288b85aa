"""Task that rolls out announced weights to the engines while this gateway holds the lease."""

import asyncio
import uuid
from collections.abc import Callable

import msgspec
from eliot import log_message

from teaselpath.exchange import CROSS_REGION_INTERVAL_S
from teaselpath.fleet import (
    UNKNOWN_ERA,
    EndpointState,
    EngineCallError,
    EngineCalls,
    StoredRecord,
    StoreError,
    Topic,
    WeightsOrder,
)
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._standstill import boot_clock
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway._statements import record_hold_off, record_leaving
from teaselpath.rollout import (
    Action,
    EngineStatus,
    FetchReport,
    LeaseRecord,
    LeaseState,
    Loaded,
    LoadFailed,
    OrderLease,
    SendWeightsOrder,
    WeightsRollout,
)
from teaselpath.utils import Unreadable, decode_json

# Interval at which the rollout is planned and a draining engine is checked, in seconds.
TICK_S = 0.05
# Time for an engine to answer a report or an order, in seconds.
CALL_TIMEOUT_S = 0.6
# Time for which all gateways avoid an engine that is about to load weights, in seconds.
LOADING_HOLD_OFF_S = 0.6
# Time between the notice that an engine will load weights and the order, in seconds, so that the
# other gateways can switch to other engines.
NOTICE_LEAD_S = 0.08
# Longest time that an order waits for an engine's queue to drain, in seconds. When the engine
# receives the order, it refuses the requests that it has not started.
MAX_DRAIN_S = 0.8
# Fraction of the rollout limit after which more engines load concurrently.
SPEED_UP_FRACTION = 0.35
UNKNOWN_HOLDER = ""


def lease_key(era: int) -> str:
    """Return the key of the records of the lease that are written for an era of the store."""
    return f"orders/{era}"


class WeightsKeeper:
    """Holds the lease while engines have outdated weights, and orders them to load new ones."""

    def __init__(
        self,
        state: GatewayState,
        engines: EngineCalls,
        lease: OrderLease,
        peers: PeerExchange,
        clock=boot_clock,
    ):
        self.state = state
        self.engines = engines
        self.lease = lease
        self.peers = peers
        self.clock = clock
        self.rollout = WeightsRollout()
        self.loop = asyncio.get_running_loop()
        self.notice_sent_at: dict[str, float] = {}
        self.calls: set[asyncio.Task] = set()
        self.lease_call: asyncio.Task | None = None
        # Whether the holder of the lease has work other than weights.
        self.has_other_work: Callable[[], bool] = lambda: False

    async def run(self) -> None:
        """Run the rollout until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self._step()
        finally:
            for task in self.calls:
                task.cancel()

    def _step(self) -> None:
        engines = self._engines()
        announced = self.state.announced_versions()
        has_outdated = bool(self.rollout.outdated_engines(engines, announced))
        has_work = (has_outdated or self.has_other_work()) and not self.state.is_stopping
        if self.state.era != UNKNOWN_ERA:
            self.lease.handle_era(self.state.era, self.clock())
        plan = self.lease.plan(
            self.clock(),
            has_work=has_work,
            rank=self._rank(),
            is_candidate=not self.state.is_stopping,
        )
        if plan in (LeaseState.APPEND, LeaseState.READ) and self.lease_call is None:
            job = self._append_lease() if plan is LeaseState.APPEND else self._read_lease()
            self.lease_call = self._spawn(job)
            self.lease_call.add_done_callback(self._on_lease_call_done)
        if not self.lease.is_held(self.clock()):
            self.rollout.clear()
            return
        now = self.loop.time()
        is_urgent = self._is_rollout_late(engines, now)
        if not is_urgent:
            engines = [engine for engine in engines if not self._is_held_off(engine.key, now)]
        self._run_actions(self.rollout.plan(engines, announced, now, is_urgent=is_urgent))

    def _is_held_off(self, key: str, now: float) -> bool:
        """Return whether an engine that loads nothing yet wants no calls of this gateway."""
        return key not in self.rollout.loads and self.state.views[key].availability.is_held_off(now)

    def _is_rollout_late(self, engines: list[EngineStatus], now: float) -> bool:
        """Return whether an engine has weights that should have been replaced by now."""
        limit_s = SPEED_UP_FRACTION * self.state.settings.bounds.rollout_limit_s
        due = {
            m: announced.oldest_usable_version(now, limit_s)
            for m, announced in self.state.announced.items()
        }
        return bool(self.rollout.outdated_engines(engines, due))

    def _engines(self) -> list[EngineStatus]:
        """Return the engines of the services that the configuration names, if there is one."""
        config = self.state.config
        return [
            EngineStatus(
                view.endpoint.endpoint_id,
                view.endpoint.started_at_ms,
                view.weights,
                view.requests(),
            )
            for view in self.state.views.values()
            if view.weights
            and (config is None or view.endpoint.service in config.services)
            and view.endpoint.state is EndpointState.READY
            and not view.availability.is_leaving
        ]

    def _rank(self) -> int:
        """Return the number of gateways that take precedence over this one for the lease."""
        state = self.state
        own = (not state.store_up, not state.store_is_near, state.settings.host)
        return sum(
            (not peer.store_up, not peer.store_is_near, peer.host) < own
            for peer in self.peers.statuses.values()
            if not peer.is_stopping
        )

    def _spawn(self, job) -> asyncio.Task:
        task = self.loop.create_task(job)
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)
        return task

    def _on_lease_call_done(self, task: asyncio.Task) -> None:
        self.lease_call = None
        if not task.cancelled() and task.exception() is not None:
            log_message("lease_call_failed", reason=repr(task.exception()))

    # lease

    async def _append_lease(self) -> None:
        lease, sent_at = self.lease, self.clock()
        end = lease.end
        record = lease.next_record(uuid.uuid4().hex[:12])
        value = msgspec.json.encode(record)
        try:
            new_end = await self.state.store.append(Topic.LEASE, lease_key(record.era), value, end)
        except StoreError as error:
            lease.handle_append_unconfirmed()
            log_message(
                "lease_not_taken",
                era=end.era if end else None,
                end=end.offset if end else None,
                reason=str(error),
                unknown=error.is_outcome_unknown,
            )
            if not error.is_conflict:
                # Delay before the next attempt.
                await asyncio.sleep(0.2)
            return
        # The first record of a tenure has no fence yet; the position after it gives the fence, and
        # renewals repeat it.
        is_new = not record.fence
        lease.handle_appended(record, new_end, sent_at)
        if is_new:
            log_message(
                "lease_taken",
                fence=lease.fence,
                era=new_end.era,
                end=new_end.offset,
                took_s=self.clock() - sent_at,
            )

    async def _read_lease(self) -> None:
        try:
            page = await self.state.store.poll(Topic.LEASE, None, 0.0)
        except StoreError as error:
            log_message("lease_not_read", reason=str(error))
            # Delay before the next attempt.
            await asyncio.sleep(0.2)
            return
        key = lease_key(page.end.era)
        record = next((_decode(r) for r in page.records if r.key == key), None)
        self.lease.handle_read(page.end, record, self.clock())

    # orders

    def _run_actions(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case FetchReport(key):
                    self._send_loading_notice(key)
                    self._spawn(self._fetch_report(key))
                case SendWeightsOrder():
                    self._spawn(self._send_order(action))
                case Loaded(key, model, version, took_s):
                    self._on_loaded(key, model, version, took_s)
                case LoadFailed(key, reason):
                    self._end_loading(key)
                    log_message("weights_order_gave_up", endpoint=key, reason=reason)

    def _send_loading_notice(self, key: str) -> None:
        """Keep requests of all gateways away from an engine that is about to load weights."""
        view = self.state.views.get(key)
        if view is not None:
            is_first_notice = view.own_loading_until < self.loop.time()
            # Statuses cross regions less often.
            spare_s = CROSS_REGION_INTERVAL_S if view.times.is_learning else 0.0
            until = self.loop.time() + LOADING_HOLD_OFF_S + spare_s
            view.own_loading_until = view.loading_until = until
            if is_first_notice:
                self.notice_sent_at[key] = self.loop.time()
                self.peers.urgent_update.set()

    def _end_loading(self, key: str) -> None:
        view = self.state.views.get(key)
        if view is not None:
            view.own_loading_until = view.loading_until = 0.0
            self.peers.urgent_update.set()

    def _on_loaded(self, key: str, model: str, version: int, took_s: float) -> None:
        view = self.state.views.get(key)
        if view is not None:
            view.record_weights(model, version)
        self._end_loading(key)
        log_message("weights_loaded", endpoint=key, model=model, version=version, took_s=took_s)

    async def _fetch_report(self, key: str) -> None:
        view = self.state.views.get(key)
        if view is None:
            return
        announced = self.state.announced_versions()
        deadline = self.loop.time() + CALL_TIMEOUT_S
        try:
            report = await self.engines.fetch_report(view.endpoint.address, deadline)
        except EngineCallError as error:
            log_message("report_failed", endpoint=key, reason=str(error))
            if error.hold_off_s:
                record_hold_off(view, error.hold_off_s, self.loop.time())
            self._run_actions(self.rollout.handle_report_failure(key, self.loop.time()))
            return
        if report.is_leaving:
            drain_s = self.state.settings.bounds.drain_s
            record_leaving(view, self.loop.time() + drain_s, "report")
        self._run_actions(self.rollout.handle_report(key, report, announced, self.loop.time()))

    async def _drain(self, key: str, deadline: float) -> None:
        """Wait until an engine, which receives no new requests, has started all it has queued."""
        while self.loop.time() < deadline:
            view = self.state.views.get(key)
            if view is None or view.requests() <= view.endpoint.slots:
                return
            self._send_loading_notice(key)
            await asyncio.sleep(TICK_S)

    async def _send_order(self, order: SendWeightsOrder) -> None:
        notice_sent_at = self.notice_sent_at.get(order.key, 0.0)
        await asyncio.sleep(max(0.0, notice_sent_at + NOTICE_LEAD_S - self.loop.time()))
        await self._drain(order.key, notice_sent_at + MAX_DRAIN_S)
        view = self.state.views.get(order.key)
        if view is None or not self.lease.is_held(self.clock()):
            self.rollout.handle_order_reply(order.key, "lease lost", self.loop.time())
            return
        if view.availability.is_leaving:
            self.rollout.handle_order_reply(order.key, "leaving", self.loop.time())
            return
        message = WeightsOrder(
            endpoint_id=order.key,
            address=view.endpoint.address,
            model=order.model,
            version=order.version,
            holder=self.state.settings.host,
            fence=self.lease.fence,
            orders_before=order.orders_before,
        )
        status: str | None = None
        reason = ""
        try:
            status = await self.engines.send_order(message, self.loop.time() + CALL_TIMEOUT_S)
        except EngineCallError as error:
            reason = str(error)
            if error.hold_off_s:
                record_hold_off(view, error.hold_off_s, self.loop.time())
            status = None if error.is_outcome_unknown else "unreachable"
        log_message(
            "weights_ordered",
            endpoint=order.key,
            model=order.model,
            version=order.version,
            fence=message.fence,
            orders_before=order.orders_before,
            status=status,
            reason=reason,
        )
        self._run_actions(self.rollout.handle_order_reply(order.key, status, self.loop.time()))


def _decode(record: StoredRecord) -> LeaseRecord:
    """Return a lease record; one that cannot be read as that of an unknown holder."""
    try:
        return decode_json(record.value, LeaseRecord)
    except Unreadable as error:
        position = record.position
        log_message("record_ignored", key=record.key, offset=position.offset, reason=str(error))
        return LeaseRecord(UNKNOWN_HOLDER, "", 0, position.era)
