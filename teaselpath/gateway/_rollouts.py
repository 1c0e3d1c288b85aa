"""Rollouts of software that operators ask for: exposure, evidence, decisions as lease holder.

Every gateway counts its answers, hears those of the others and judges by all of them. One that
finds the target to be bad sends it nothing more and says so to all at once; the lease holder writes
it. Only the lease holder takes further steps, and writes each before it takes effect.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator

from eliot import log_message

from teaselpath.dispatch import EndpointView, Outcome, Placed
from teaselpath.fleet import (
    Endpoint,
    EndpointState,
    Position,
    RolloutBounds,
    RolloutRecord,
    RolloutState,
    StoreError,
    Topic,
)
from teaselpath.gateway._call import Call
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._peer_messages import Status
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._service_rollout import Allows, Flight, ServiceRollout
from teaselpath.gateway._standstill import boot_clock
from teaselpath.gateway._state import GatewayState
from teaselpath.rollout import (
    OLD_VERSION,
    OrderLease,
    RolloutNote,
    Situation,
    begin,
    plan,
    size_of,
)

# Interval at which answers are judged and steps planned, in seconds.
TICK_S = 0.1
# Interval at which the lease holder confirms the newest record to all gateways, in seconds, and at
# which others tell at once of bad answers.
CONFIRM_INTERVAL_S = 0.4
TELL_BAD_INTERVAL_S = 0.05
# Intervals at which the status topic is read, in seconds: without rollout, in one, and in one whose
# lease holder is silent.
READ_INTERVAL_S = 24.0
RUNNING_READ_INTERVAL_S = 4.0
SILENT_READ_INTERVAL_S = 1.0
# Delay after a failed call to the store, in seconds.
RETRY_DELAY_S = 0.2
# Age up to which a gateway's report of its requests counts, in seconds.
MAX_REPORT_AGE_S = 2.5
# Time without a tick after which this process has stood still, and for which messages may be late
# then, in seconds.
MAX_TICK_GAP_S = 0.5
# Time for which engines of a version that is new to a service get nothing, in seconds, unless an
# order allows it: the order may arrive after their entries.
NEW_VERSION_HOLD_S = 1.0


def _without(held: frozenset[str | None], allows: Allows) -> Allows:
    return lambda view: view.endpoint.software not in held and allows(view)


def _remove(numbers: dict[str, Counter[str | None]], endpoint: Endpoint) -> None:
    """Remove an endpoint from the numbers by version and service."""
    by_version = numbers[endpoint.service]
    by_version[endpoint.software] -= 1
    if not by_version[endpoint.software]:
        del by_version[endpoint.software]


class Rollouts:
    """Rollouts of all services at one gateway.

    :param bounds: limits on rollouts that the deployment specifies.
    :param clock: clock of the lease.
    :ivar services: newest rollout of each service.
    :ivar end: end of the status topic as last read or written; None if it is not known.
    :ivar read_at: time at which the topic was last read, in seconds.
    :ivar first_seen: time at which each version of a service was first listed.
    :ivar listed: number of listed engines by version, by service.
    :ivar ready: the same without engines that leave.
    :ivar ticked_at: time of the last tick; None before the first.
    :ivar trusts_from: time from which messages tell the age of what they confirm: those that waited
        while this process stood still do not.
    :ivar warm_at: time from which an engine is not slow for having just started, by number.
    """

    def __init__(
        self,
        state: GatewayState,
        bounds: RolloutBounds,
        lease: OrderLease,
        peers: PeerExchange,
        metrics: GatewayMetrics,
        clock: Callable[[], float] = boot_clock,
        unix_clock: Callable[[], float] = time.time,
    ):
        self.state = state
        self.bounds = bounds
        self.lease = lease
        self.peers = peers
        self.metrics = metrics
        self.clock = clock
        self.unix_clock = unix_clock
        self.loop = asyncio.get_running_loop()
        self.random = random.Random()
        self.services: dict[str, ServiceRollout] = {}
        self.end: Position | None = None
        self.read_at = float("-inf")
        self.confirmed_at = float("-inf")
        self.told_bad_at = float("-inf")
        self.store_call: asyncio.Task[None] | None = None
        self.store_call_after = 0.0
        self.first_seen: dict[str, dict[str | None, float]] = {}
        self.listed: dict[str, Counter[str | None]] = {}
        self.ready: dict[str, Counter[str | None]] = {}
        self.warm_at: dict[int, float] = {}
        self.ticked_at: float | None = None
        self.trusts_from = float("-inf")
        state.on_new_era.append(self._forget_end)

    # requests

    def choices(self, call: Call, now: float) -> list[Allows | None]:
        """Return which endpoints may run a request, the preferred ones first; None for all."""
        service = call.service.name
        rollout = self.services.get(service)
        record = rollout.record if rollout is not None else None
        held = self._held_versions(service, record, now)
        if rollout is None or record is None:
            return self._unless_alone(service, held)
        if record.state is RolloutState.SUCCEEDED:
            avoided = held.union(record.avoided)
            if self.ready.get(service, Counter()).keys() <= avoided:
                # The platform may go back to a version that was replaced.
                avoided = held
            return self._unless_alone(service, avoided)
        if record.is_final and self.listed.get(service, Counter()).keys().isdisjoint(
            held.union(record.avoided)
        ):
            return [None]
        choices = rollout.choices(call, now)
        return [*choices] if not held else [_without(held, allows) for allows in choices]

    def _unless_alone(self, service: str, avoided: frozenset[str | None]) -> list[Allows | None]:
        """Return which endpoints may run a request; all, if only avoided versions are listed."""
        listed = self.listed.get(service, Counter()).keys()
        if listed <= avoided or listed.isdisjoint(avoided):
            return [None]
        return [lambda view: view.endpoint.software not in avoided]

    def _held_versions(
        self, service: str, record: RolloutRecord | None, now: float
    ) -> frozenset[str | None]:
        """Return the versions that get nothing yet.

        That is the target of an order that no rollout answers, and versions that have just appeared
        beside others. A gateway that starts reads all versions within a moment: one that gets
        nothing or only a part of the requests is none beside which another has appeared.
        """
        ordered = self.state.rollout_orders.get(service)
        held: set[str | None] = set()
        if ordered is not None and (record is None or not record.answers(ordered.order)):
            held.add(ordered.order.target)
        target = record.target if record is not None else None
        barred = {*held, *(record.avoided if record is not None else ())}
        if record is not None and not record.is_final:
            barred.add(target)
        seen = self.first_seen.get(service, {})
        usable = {version: at for version, at in seen.items() if version not in barred}
        if len(usable) > 1:
            first = min(usable.values())
            held |= {
                version
                for version, at in usable.items()
                if first < at and now < at + NEW_VERSION_HOLD_S and version != target
            }
        return frozenset(held)

    def update_endpoint(self, before: Endpoint | None, after: Endpoint | None) -> None:
        """Record an endpoint as it was listed before and is now, None if it is not."""
        now = self.loop.time()
        if before is not None:
            _remove(self.listed, before)
            if before.state is EndpointState.READY:
                _remove(self.ready, before)
        if after is not None:
            self.listed.setdefault(after.service, Counter())[after.software] += 1
            if after.state is EndpointState.READY:
                self.ready.setdefault(after.service, Counter())[after.software] += 1
            self.first_seen.setdefault(after.service, {}).setdefault(after.software, now)
            self.warm_at.setdefault(after.number, now + after.cold_s)
        elif before is not None:
            self.warm_at.pop(before.number, None)

    def begin(self, call: Call, placed: Placed) -> Flight | None:
        """Record that a request is sent to an endpoint; None if no rollout of its service runs."""
        rollout = self.services.get(call.service.name)
        if rollout is None or rollout.record is None or rollout.record.is_final:
            return None
        now, endpoint, prompt = self.loop.time(), placed.view.endpoint, call.request.prompt
        is_target = endpoint.software == rollout.record.target
        uncached = prompt.prompt_tokens - placed.cached_tokens if prompt else 0
        flight = Flight(
            call,
            rollout.record.serial,
            endpoint.number if is_target else OLD_VERSION,
            size_of(uncached),
            now,
            is_target and now < self.warm_at.get(endpoint.number, 0.0),
        )
        if is_target:
            self.metrics.count_exposed(rollout.service)
        rollout.begin(flight)
        return flight

    def finish(self, flight: Flight | None, outcome: Outcome | None, *, lost: bool = False) -> None:
        """Count the answer to a request; for ``outcome``, see ``ServiceRollout.end``."""
        if flight is None:
            return
        rollout, now = self.services[flight.call.service.name], self.loop.time()
        if rollout.end(flight, outcome, now, lost=lost):
            self.metrics.count_bad_answer(rollout.service)
            self._judge(rollout, now)
            self._tell_bad(now)

    # messages

    def notes(self, now: float) -> list[RolloutNote]:
        """Return what other gateways are told in a status message."""
        return [self._note(r, now) for r in self.services.values() if r.is_told(now)]

    def _note(self, rollout: ServiceRollout, now: float) -> RolloutNote:
        record, evidence = rollout.record, rollout.evidence
        assert record is not None
        routes, counts, times = evidence.describe() if rollout.is_running else ([], [], [])
        age_s = now - rollout.heard_at
        return RolloutNote(
            record,
            int(age_s * 1000) if age_s < float("inf") else -1,
            rollout.conviction if rollout.is_running else "",
            self._own_old_running(rollout),
            routes,
            counts,
            times,
            sorted(evidence.own_ended) if rollout.is_running else [],
        )

    def handle_status(self, status: Status, now: float) -> None:
        """Apply what another gateway knows of rollouts."""
        for note in status.rollouts:
            rollout = self._rollout(note.record.service)
            self._adopt(rollout, note.record, f"peer {status.host}", now)
            record = rollout.record
            if record is None or (record.serial, record.target) != (
                note.record.serial,
                note.record.target,
            ):
                continue
            if note.decider_age_ms >= 0 and self._is_prompt(now):
                rollout.heard_at = max(rollout.heard_at, now - note.decider_age_ms / 1000)
            rollout.old_running[status.host] = (note.old_running, now)
            if rollout.is_running:
                rollout.evidence.apply(
                    (status.host, status.incarnation),
                    note.routes,
                    note.counts,
                    note.times,
                    note.ended,
                    now,
                    has_several_engines=len(rollout.engines) > 1,
                )
                self._judge(rollout, now)
                if note.conviction and not rollout.conviction:
                    self._convict(rollout, note.conviction, f"peer {status.host}")

    def _is_prompt(self, now: float) -> bool:
        """Return whether messages are handled as they arrive."""
        has_stood = self.ticked_at is None or now - self.ticked_at > MAX_TICK_GAP_S
        return not has_stood and now >= self.trusts_from

    def _tell_bad(self, now: float) -> None:
        if now - self.told_bad_at >= TELL_BAD_INTERVAL_S:
            self.told_bad_at = now
            self.peers.urgent_update.set()

    # judgement

    def _judge(self, rollout: ServiceRollout, now: float) -> None:
        reason = rollout.judge(now)
        if reason:
            self._convict(rollout, reason, "own judgement")

    def _convict(self, rollout: ServiceRollout, reason: str, source: str) -> None:
        """Send the target nothing more, and tell all gateways."""
        rollout.conviction = reason
        target = rollout.record.target if rollout.record else None
        log_message(
            "rollout_convicted",
            service=rollout.service,
            target=target,
            reason=reason,
            source=source,
            answered=rollout.evidence.judge.answered,
            bad=rollout.evidence.judge.bad,
        )
        self.peers.urgent_update.set()

    def stop(self, service: str) -> bool:
        """Roll a service back because an operator asks for it; return False if nothing runs."""
        rollout = self.services.get(service)
        if rollout is None or not rollout.is_running:
            return False
        if not rollout.conviction:
            self._convict(rollout, "stopped by an operator", "operator")
        return True

    # decisions

    def has_work(self) -> bool:
        """Return whether a lease holder has something to decide or to write."""
        return not self.state.is_stopping and any(self._open_services())

    def _open_services(self) -> Iterator[str]:
        """Yield the services with an order that is not answered, or a rollout that runs."""
        for service, ordered in self.state.rollout_orders.items():
            rollout = self.services.get(service)
            record = rollout.record if rollout is not None else None
            if record is None or not record.answers(ordered.order):
                yield service
        for service, rollout in self.services.items():
            if rollout.is_running or (rollout.record is not None and self._lacks(rollout)):
                yield service

    def _lacks(self, rollout: ServiceRollout) -> bool:
        """Return whether the store, as last read, lacks the newest record."""
        return rollout.record is not None and (
            rollout.stored is None or rollout.stored.number < rollout.record.number
        )

    async def run(self) -> None:
        """Judge, plan and read until cancelled; without an order there is nothing to do."""
        while True:
            await asyncio.sleep(TICK_S)
            self._tick(self.loop.time())

    def _tick(self, now: float) -> None:
        if self.ticked_at is not None and now - self.ticked_at > MAX_TICK_GAP_S:
            self.trusts_from = now + MAX_TICK_GAP_S
        self.ticked_at = now
        if not self.state.rollout_orders and not self.services:
            return
        for service in self.state.rollout_orders:
            self._rollout(service)
        for rollout in self.services.values():
            if rollout.is_running:
                rollout.update_engines(self._views(rollout.service), now)
                if rollout.count_overdue(now):
                    self._tell_bad(now)
                self._judge(rollout, now)
        self._confirm(now)
        if self.store_call is not None or now < self.store_call_after:
            return
        if self._must_read(now):
            self._call_store(self._read())
        elif self.lease.is_held(self.clock()) and not self.state.is_stopping:
            self._decide(now)

    def _confirm(self, now: float) -> None:
        """Confirm the newest records as lease holder.

        While the store is away the last holder goes on so for the handover time, in which no other
        gateway takes its place.
        """
        if self.clock() >= self.lease.valid_until + self.lease.handover_s:
            return
        running = [rollout for rollout in self.services.values() if rollout.is_running]
        for rollout in running:
            rollout.heard_at = now
        if running and now - self.confirmed_at >= CONFIRM_INTERVAL_S:
            self.confirmed_at = now
            self.peers.urgent_update.set()

    def _decide(self, now: float) -> None:
        """Write the next record of a service that needs one."""
        for service in dict.fromkeys(self._open_services()):
            rollout = self._rollout(service)
            record = rollout.record
            if record is not None and self._lacks(rollout):
                self._call_store(self._write(rollout, record))
                return
            following = self._next_record(rollout, now)
            if following is not None:
                self._call_store(self._write(rollout, following))
                return

    def _next_record(self, rollout: ServiceRollout, now: float) -> RolloutRecord | None:
        ordered = self.state.rollout_orders.get(rollout.service)
        record = rollout.record
        if record is not None and not record.is_final:
            order = ordered.order if ordered else None
            return plan(record, order, self._situation(rollout, now))
        if ordered is None:
            return None
        ends_in_s = ordered.seen_at + ordered.order.duration_s - now
        ends_at_ms = int((self.unix_clock() + ends_in_s) * 1000)
        is_alone = self.listed.get(rollout.service, Counter()).keys() == {ordered.order.target}
        return begin(ordered.order, record, ends_at_ms, is_alone=is_alone)

    def _situation(self, rollout: ServiceRollout, now: float) -> Situation:
        record, judge = rollout.record, rollout.evidence.judge
        assert record is not None
        views = list(self._views(rollout.service))
        old = [view for view in views if view.endpoint.software != record.target]
        ready = [view for view in views if view.endpoint.endpoint_id in rollout.engines]
        return Situation(
            now=now,
            deadline=rollout.deadline,
            step_since=rollout.adopted_at,
            target_engines=len(ready),
            target_slots=sum(view.endpoint.slots for view in ready),
            old_slots=sum(view.endpoint.slots for view in old),
            old_running=self._old_running(rollout, now),
            old_versions=tuple(sorted({v.endpoint.software for v in old if v.endpoint.software})),
            answered=judge.answered,
            is_accepted=judge.is_accepted,
            is_suspect=judge.is_suspect,
            has_unproven_route=judge.has_unproven_route,
            conviction=rollout.conviction,
        )

    def _views(self, service: str) -> list[EndpointView]:
        views = self.state.pool(service).views.values()
        return [view for view in views if view.endpoint.state is EndpointState.READY]

    def _own_old_running(self, rollout: ServiceRollout) -> int:
        """Return the requests of this gateway at engines of other versions."""
        target = rollout.record.target if rollout.record else None
        views = self.state.pool(rollout.service).views.values()
        return sum(view.own.requests for view in views if view.endpoint.software != target)

    def _old_running(self, rollout: ServiceRollout, now: float) -> int:
        """Return the requests of all gateways at old engines; one for each that has not told."""
        running = self._own_old_running(rollout)
        for host in self.state.members:
            if self.state.may_be_running(host, now):
                count, told_at = rollout.old_running.get(host, (1, now))
                running += count if now - told_at < MAX_REPORT_AGE_S else 1
        return running

    # store

    def _must_read(self, now: float) -> bool:
        if self.end is None:
            return True
        running = [rollout for rollout in self.services.values() if rollout.is_running]
        if self.lease.is_held(self.clock()) and running:
            return False
        interval_s = RUNNING_READ_INTERVAL_S if running else READ_INTERVAL_S
        if not all(rollout.is_confirmed(now) for rollout in running):
            interval_s = SILENT_READ_INTERVAL_S
        return now - self.read_at >= interval_s

    def _call_store(self, job) -> None:
        self.store_call = self.loop.create_task(job)
        self.store_call.add_done_callback(self._on_store_call_done)

    def _on_store_call_done(self, task: asyncio.Task) -> None:
        self.store_call = None
        if not task.cancelled() and task.exception() is not None:
            log_message("rollout_call_failed", reason=repr(task.exception()))

    def _forget_end(self) -> None:
        """Read the topic of the new era, which may lack records."""
        self.end = None

    async def _read(self) -> None:
        self.read_at = self.loop.time()
        try:
            page = await self.state.store.poll(Topic.STATUS, None, 0.0)
        except StoreError as error:
            log_message("rollouts_not_read", reason=str(error))
            self.store_call_after = self.loop.time() + RETRY_DELAY_S
            return
        now = self.loop.time()
        found = [self.state.store.decode_rollout_status(r) for r in page.records]
        stored = {record.service: record for record in found if record is not None}
        for rollout in self.services.values():
            rollout.stored = stored.get(rollout.service)
        for service, record in stored.items():
            rollout = self._rollout(service)
            rollout.stored = record
            self._adopt(rollout, record, "store", now)
        if page.end.era == self.state.era:
            self.end = page.end

    async def _write(self, rollout: ServiceRollout, record: RolloutRecord) -> None:
        """Write a record, which takes effect once the store has it."""
        key, value = self.state.store.encode_rollout_status(record)
        try:
            self.end = await self.state.store.append(Topic.STATUS, key, value, self.end)
        except StoreError as error:
            # Another holder may have written; what the store has is read first.
            self.end = None
            log_message(
                "rollout_not_written",
                service=rollout.service,
                state=record.state.value,
                step=record.step.value,
                reason=str(error),
            )
            self.store_call_after = self.loop.time() + RETRY_DELAY_S
            return
        rollout.stored = record
        self._adopt(rollout, record, "own", self.loop.time())
        self.peers.urgent_update.set()

    def _rollout(self, service: str) -> ServiceRollout:
        found = self.services.get(service)
        if found is None:
            found = ServiceRollout(service, self.bounds, self.random.random())
            self.services[service] = found
        return found

    def _adopt(
        self, rollout: ServiceRollout, record: RolloutRecord, source: str, now: float
    ) -> None:
        if not rollout.adopt(record, now, self.unix_clock()):
            return
        rollout.update_engines(self._views(rollout.service), now)
        log_message(
            "rollout_step",
            service=record.service,
            target=record.target,
            state=record.state.value,
            step=record.step.value,
            serial=record.serial,
            revision=record.revision,
            avoided=record.avoided,
            reason=record.reason,
            source=source,
        )

    def describe(self) -> list[dict[str, object]]:
        """Return the rollouts for operators."""
        now = self.loop.time()
        known = [r for r in self.services.values() if r.record is not None]
        return [rollout.describe(now) for rollout in known]
