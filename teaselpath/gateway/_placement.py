"""Placement of requests: choice of an endpoint, queueing and reservation of load."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from eliot import log_message

from teaselpath.dispatch import (
    ANNOUNCE_MIN_TOKENS,
    CLAIM_S,
    Demand,
    EndpointView,
    NoEndpoint,
    Placed,
    QueuedRequest,
    Reject,
    RequestQueue,
    Reservation,
    ReturnTimes,
    Wait,
    affinity_key,
    choose_from_service,
    is_within_memory,
    max_backlog_s,
)
from teaselpath.gateway._call import Call
from teaselpath.gateway._entities import LongPlacement
from teaselpath.gateway._memory import SharedMemory
from teaselpath.gateway._responses import MIN_RETRY_AFTER_S
from teaselpath.gateway._rollouts import Rollouts
from teaselpath.gateway._room import RoomKeeper, is_long
from teaselpath.gateway._service_rollout import Allows
from teaselpath.gateway._state import GatewayState

# Interval at which placement of queued requests is retried, in seconds.
QUEUE_INTERVAL_S = 0.015
# Fraction of a request's remaining time after which it is refused if it is still queued.
MAX_WAIT_FRACTION = 0.5
# Upper limit of the Retry-After of a refusal, in seconds.
MAX_RETRY_AFTER_S = 3.0
# Upper limit of the Retry-After while all endpoints want no requests, in seconds: by then others
# may be listed.
MAX_HELD_OFF_RETRY_AFTER_S = 60.0
# Fraction of a request's remaining time for which it waits for an endpoint to take requests again.
MAX_HELD_OFF_FRACTION = 0.25
# Reasons for which a request is refused without queueing.
IMMEDIATE_REFUSALS = frozenset({"none_listed", "unreachable", "too_large"})
# Priority in the queue of streams that continue; lower numbers come first.
RESUMED_PRIORITY = -1
# Claims on the memory of engines after which a request is refused.
MAX_CLAIMS = 3
# Iterations of the event loop in which announcements that have arrived are read before a claim is
# checked.
READ_ITERATIONS = 32


class Placer:
    """Places requests at endpoints and queues those that no endpoint can take.

    :param announce: sends the placement of a long prompt to the other gateways.
    :ivar rollouts: rollouts of software, set where operators may ask for some.
    """

    def __init__(self, state: GatewayState, announce: Callable[[LongPlacement], None]):
        self.state = state
        self.announce = announce
        self.rollouts: Rollouts | None = None
        self.loop = asyncio.get_running_loop()
        self.memory = SharedMemory(state)
        self.queue = RequestQueue(state.fair_order)
        self.rooms = RoomKeeper(state, self.queue)
        self.return_times: dict[str, ReturnTimes] = {}
        self.opening_times: dict[str, ReturnTimes] = {}
        self.queued_calls: dict[int, tuple[Call, asyncio.Future[Placed | NoEndpoint]]] = {}

    async def acquire(self, call: Call, now: float) -> Placed | NoEndpoint:
        """Reserve an endpoint for a request, queueing it if necessary.

        Room that other gateways may take in the same moment is claimed before it is used.
        """
        for claims in range(MAX_CLAIMS):
            choice = await self._acquire(call, now, is_new=not claims and not call.attempts)
            if not isinstance(choice, Placed) or not choice.must_claim:
                return choice
            if await self._is_granted(call, choice):
                # The time of the claim is over: expected times count from the send.
                times = replace(choice.times, queue_s=choice.times.queue_s - CLAIM_S)
                call.placed = replace(choice, times=times)
                return call.placed
            now = self.loop.time()
        return NoEndpoint("queue", 0.5)

    async def _is_granted(self, call: Call, choice: Placed) -> bool:
        """Return whether a claim leaves an engine within its memory; withdraw it if not."""
        is_granted = False
        try:
            await asyncio.sleep(CLAIM_S)
            # The event loop reads one datagram in each iteration; those that have arrived count.
            for _ in range(READ_ITERATIONS):
                await asyncio.sleep(0)
            is_granted = self._is_within_memory(call, choice)
        finally:
            if not is_granted:
                self.withdraw(call)
        if not is_granted:
            log_message(
                "memory_claim_withdrawn",
                request_id=call.request.request_id,
                endpoint=choice.view.endpoint.endpoint_id,
                held_tokens=choice.view.held_tokens(),
            )
        return is_granted

    def _is_within_memory(self, call: Call, choice: Placed) -> bool:
        now = self.loop.time()
        demand = self._demand(call, now)
        return demand.memory is None or is_within_memory(choice.view, demand, now)

    async def _acquire(self, call: Call, now: float, *, is_new: bool) -> Placed | NoEndpoint:
        queued_request = self._queued(call)
        choice = self._place(call, now)
        queued_request.is_held_off = isinstance(choice, NoEndpoint) and choice.reason == "held_off"
        if choice.first_choice is not None:
            choice.first_choice.limit.record_demand(now)
        if is_new:
            self.rooms.record_arrival(call, now)
        if isinstance(choice, Placed) and self.may_send(call, queued_request, choice, now):
            self._reserve(call, choice)
            return choice
        if isinstance(choice, NoEndpoint) and choice.reason in IMMEDIATE_REFUSALS:
            return choice
        if isinstance(choice, NoEndpoint) and choice.reason == "limited":
            refusal = self._refuse_limited(queued_request, choice, now)
            if refusal is not None:
                return refusal
        refusal = self._refuse_held_off(call, choice, now)
        if refusal is not None:
            return refusal
        if self.rooms.is_bound_by_aim(call):
            return await self._wait_in_time(call, queued_request, now)
        return await self._wait_for_endpoint(call, queued_request, now)

    async def _wait_in_time(
        self, call: Call, queued_request: QueuedRequest, now: float
    ) -> Placed | NoEndpoint:
        """Wait as long as the first event can still come in time."""
        match self.rooms.admit(call, queued_request, now):
            case Reject(wait_s):
                return self.rooms.reject(call, queued_request, wait_s, now)
            case Wait(until):
                choice = await self._queue(call, queued_request, until, now)
                if choice is not None:
                    return choice
                return self.rooms.reject(call, queued_request, None, self.loop.time())

    def may_send(
        self, call: Call, queued_request: QueuedRequest, placed: Placed, now: float
    ) -> bool:
        """Return whether a request that an endpoint can take is sent at once."""
        is_next = self.rooms.may_send(queued_request, now)
        return is_next and not self.rooms.is_late(call, placed, now)

    # for operators

    def preview(self, call: Call, now: float) -> Placed | NoEndpoint:
        """Return where a request would go now, without a reservation.

        A rollout of software does not try its target on it.
        """
        call.takes_target = False
        return self._place(call, now)

    def preview_candidates(self, call: Call, now: float) -> tuple[Demand, list[EndpointView]]:
        """Return what a request requires, and the endpoints that are considered for it."""
        key, demand = self._key_and_demand(call, now)
        return demand, self.state.pool(call.service.name).candidates(key)

    def must_queue(self, call: Call, placed: Placed, now: float) -> bool:
        """Return whether a request that an endpoint can take waits."""
        return not self.may_send(call, self._queued(call), placed, now)

    def describe_queue(self, call: Call, now: float) -> dict[str, float]:
        """Return the requests ahead of a new one, and the wait that is expected behind them."""
        queued_request = self._queued(call)
        wait_s = self.queue.expected_wait_s(
            queued_request, *self._backlog(queued_request, now), now
        )
        return {
            "ahead": self.queue.count_ahead(queued_request, now),
            "expected_wait_s": round(wait_s, 3),
        }

    def preview_refusal(
        self, call: Call, choice: Placed | NoEndpoint, now: float
    ) -> NoEndpoint | None:
        """Return the refusal if a request that is not sent now would not wait either; else None."""
        left_s = call.deadline - now
        reason = choice.reason if isinstance(choice, NoEndpoint) else ""
        if isinstance(choice, NoEndpoint) and reason == "held_off":
            return choice if choice.retry_after_s > MAX_HELD_OFF_FRACTION * left_s else None
        queued_request = self._queued(call)
        if isinstance(choice, NoEndpoint) and reason == "limited":
            wait_s = self._limited_wait_s(queued_request, choice, now)
            if wait_s > MAX_WAIT_FRACTION * left_s:
                return NoEndpoint(reason, min(MAX_RETRY_AFTER_S, wait_s))
        if not self.rooms.is_bound_by_aim(call):
            return self._refuse_long_wait(queued_request, now)
        match self.rooms.admit(call, queued_request, now):
            case Reject(wait_s):
                return self.rooms.preview_rejection(queued_request, wait_s, now)
            case Wait():
                return None

    def _queued(self, call: Call) -> QueuedRequest:
        prompt = call.request.prompt
        tokens = prompt.prompt_tokens if prompt else 0
        # A stream that goes on elsewhere comes first: its caller has a part of the answer.
        priority = RESUMED_PRIORITY if call.has_begun else call.priority
        return QueuedRequest(
            call.service.name,
            priority,
            tokens,
            call.deadline,
            workspace=_workspace_of(call),
            charge=call.tokens,
            aimed_at=call.arrived_at + call.route.target_latency_s,
        )

    def _refuse_held_off(
        self, call: Call, choice: Placed | NoEndpoint, now: float
    ) -> NoEndpoint | None:
        """Return a refusal if all endpoints want no requests until it is too late for this one."""
        if isinstance(choice, Placed) or choice.reason != "held_off":
            return None
        wait_s = choice.retry_after_s
        if wait_s <= MAX_HELD_OFF_FRACTION * (call.deadline - now):
            return None
        return NoEndpoint("held_off", self._book_after_opening(call, now))

    def retry_after_s(self, call: Call, now: float) -> float:
        """Return the Retry-After of a request that no endpoint has run, in seconds."""
        choice = self._place(call, now)
        if isinstance(choice, NoEndpoint) and choice.reason == "held_off":
            return self._book_after_opening(call, now)
        return MIN_RETRY_AFTER_S

    def _book_after_opening(self, call: Call, now: float) -> float:
        """Return the Retry-After of a caller while all endpoints want no requests, in seconds.

        Callers return as fast as the endpoints that have opened can serve those of this gateway.
        """
        _, gateways = self.state.count_gateways(now)
        latency_s = max(call.route.target_latency_s, MIN_RETRY_AFTER_S)
        rates: dict[float, float] = {}
        excluded = frozenset(call.tried)
        for opens_at, slots in self.state.pool(call.service.name).openings(excluded, now):
            rates[opens_at] = rates.get(opens_at, 0.0) + max(1, slots) / latency_s / gateways
        if not rates:
            return MIN_RETRY_AFTER_S
        times = self.opening_times.setdefault(call.service.name, ReturnTimes())
        booked_s = times.book_after_opening(rates, now)
        return min(MAX_HELD_OFF_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, booked_s))

    def _refuse_limited(
        self, queued_request: QueuedRequest, choice: NoEndpoint, now: float
    ) -> NoEndpoint | None:
        """Return a refusal if the limits of all endpoints leave no room in time.

        Its Retry-After is when there will be room behind the requests that wait and the callers
        that were refused before.
        """
        service = queued_request.service
        wait_s = self._limited_wait_s(queued_request, choice, now)
        if wait_s <= MAX_WAIT_FRACTION * (queued_request.deadline - now):
            return None
        if wait_s == float("inf"):
            return NoEndpoint("limited", MAX_RETRY_AFTER_S)
        returns = self.return_times.setdefault(service, ReturnTimes())
        rate = self._limited_rate(service)
        return NoEndpoint("limited", max(0.2, returns.book(wait_s, rate, now)))

    def _limited_wait_s(
        self, queued_request: QueuedRequest, choice: NoEndpoint, now: float
    ) -> float:
        """Return when there will be room behind the requests that wait, in seconds."""
        rate = self._limited_rate(queued_request.service)
        ahead = self.queue.count_ahead(queued_request, now)
        return choice.retry_after_s + (ahead / rate if rate > 0.0 else 0.0)

    def _limited_rate(self, service: str) -> float:
        """Return the requests per second of this gateway's shares of all limits."""
        return sum(view.limit.own_rate for view in self.state.pool(service).views.values())

    def _refuse_long_wait(self, queued_request: QueuedRequest, now: float) -> NoEndpoint | None:
        """Return a refusal if a request would wait too long in the queue."""
        backlog_tokens, tokens_per_s = self._backlog(queued_request, now)
        if not self.queue.exceeds_wait_limit(queued_request, backlog_tokens, tokens_per_s, now):
            return None
        wait_s = self.queue.expected_wait_s(queued_request, backlog_tokens, tokens_per_s, now)
        # Retry-After is at least 0.2 s.
        return NoEndpoint("queue", min(MAX_RETRY_AFTER_S, max(0.2, wait_s)))

    def _backlog(self, queued_request: QueuedRequest, now: float) -> tuple[int, float]:
        """Return the tokens that the engines still have to prefill, and their speed."""
        views = self.state.pool(queued_request.service).views.values()
        backlog_tokens = sum(view.pending_prefill_tokens(now) for view in views)
        return backlog_tokens, sum(view.times.tokens_in(1.0, now) for view in views)

    async def _wait_for_endpoint(
        self, call: Call, queued_request: QueuedRequest, now: float
    ) -> Placed | NoEndpoint:
        refusal = self._refuse_long_wait(queued_request, now)
        if refusal is not None:
            return refusal
        until = now + MAX_WAIT_FRACTION * (call.deadline - now)
        return await self._queue(call, queued_request, until, now) or NoEndpoint("queue", 0.5)

    async def _queue(
        self, call: Call, queued_request: QueuedRequest, until: float, now: float
    ) -> Placed | NoEndpoint | None:
        """Queue a request; return None if it was not placed or refused until its time ended."""
        future: asyncio.Future[Placed | NoEndpoint] = self.loop.create_future()
        self.queue.enqueue(queued_request, now, until)
        self.queued_calls[queued_request.number] = (call, future)
        try:
            async with asyncio.timeout_at(until):
                return await future
        except TimeoutError:
            # The request may have been placed in the same loop iteration as the timeout.
            return None if future.cancelled() else future.result()
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.withdraw(call)
            raise
        finally:
            self.queue.remove(queued_request)
            del self.queued_calls[queued_request.number]

    async def run_queue(self) -> None:
        """Place queued requests as endpoints gain capacity, until cancelled."""
        while True:
            await asyncio.sleep(QUEUE_INTERVAL_S)
            self.place_queued()

    def place_queued(self) -> None:
        """Place queued requests in order, as far as endpoints have capacity.

        Those that no endpoint will want in time are refused. If a request cannot be placed, later
        requests of its service stay queued, too, unless it waits only for endpoints that want no
        requests for now or, where callers compete for room, has been sent before: others may have
        endpoints left that do.
        """
        blocked: set[str] = set()
        # Services of which only long prompts stay queued: engines have too much prefill pending.
        reading: set[str] = set()
        # Requests that have tried the same endpoints wait for the same ones.
        held_off: dict[tuple[str, frozenset[str]], NoEndpoint] = {}
        for queued_request in self.queue.in_order(self.loop.time()):
            call, future = self.queued_calls[queued_request.number]
            if future.done() or queued_request.service in blocked:
                continue
            now = self.loop.time()
            if queued_request.service in reading and is_long(queued_request):
                continue
            if not self.rooms.has_room(queued_request, now):
                continue
            tried = queued_request.service, frozenset(call.tried)
            choice = held_off.get(tried) or self._place(call, now)
            if isinstance(choice, Placed) and self.rooms.is_late(call, choice, now):
                continue
            if isinstance(choice, Placed):
                self._reserve(call, choice)
                self.queue.record_placed(queued_request, now)
                future.set_result(choice)
                continue
            refusal = self._refuse_held_off(call, choice, now)
            if refusal is not None:
                future.set_result(refusal)
            self.queue.set_held_off(queued_request, choice.reason == "held_off", now)
            if queued_request.is_held_off:
                held_off[tried] = choice
            elif choice.reason == "reading" and self.rooms.is_bound_by_aim(call):
                reading.add(queued_request.service)
            elif self.state.room(queued_request.service) is None or not call.tried:
                # Where callers compete, others may use the engines that have rejected this one.
                blocked.add(queued_request.service)

    def _reserve(self, call: Call, placed: Placed) -> None:
        """Reserve the load of a request at its endpoint."""
        view, prompt, now = placed.view, call.request.prompt, self.loop.time()
        reservation = Reservation(view)
        self.rooms.record_sent(call, reservation, now)
        view.limit.record_send(now)
        if self.state.fair_order is not None:
            self.state.fair_order.record_placed(_workspace_of(call), call.tokens, now)
        if prompt is not None:
            reservation.pending_prefill_tokens = max(0, prompt.prompt_tokens - placed.cached_tokens)
            view.cache.record_expected(placed.scope, prompt.parts, now)
            is_bounded = self.memory.bound_of(call.service) is not None
            output_tokens = prompt.output_tokens if is_bounded else 0
            if is_bounded or prompt.prompt_tokens >= ANNOUNCE_MIN_TOKENS:
                reservation.held_tokens = prompt.prompt_tokens + output_tokens
            if prompt.prompt_tokens >= ANNOUNCE_MIN_TOKENS:
                # The last part of a prompt is not shared with other prompts.
                message = LongPlacement(
                    view.endpoint.endpoint_id,
                    view.endpoint.started_at_ms,
                    prompt.prompt_tokens,
                    reservation.pending_prefill_tokens,
                    placed.scope,
                    [(part.part_id, part.tokens) for part in prompt.parts[:-1]],
                    placed.fetch_from,
                    placed.fetched_tokens,
                    placed.save_to,
                    output_tokens,
                )
                unread_tokens = reservation.pending_prefill_tokens
                reservation.backlog_s = view.times.prefill_s(unread_tokens, now)
                reservation.backlog_mark = self.state.apply_placement(message, now)
                self.announce(message)
        is_learning = prompt is not None and view.times.is_learning
        reservation.begin(now + placed.first_event_s if is_learning else None)
        call.placed, call.reservation = placed, reservation

    def withdraw(self, call: Call) -> None:
        """Release the load of a request that is not sent, if any, and what it was charged."""
        if call.reservation is not None and self.state.fair_order is not None:
            now = self.loop.time()
            self.state.fair_order.record_withdrawn(_workspace_of(call), call.tokens, now)
        self.release(call)

    def release(self, call: Call) -> None:
        """Release the load that a request has reserved, if any."""
        if call.reservation is not None:
            call.reservation.end()
            self.rooms.record_ended(call, call.reservation)
            call.reservation = None

    def _place(self, call: Call, now: float) -> Placed | NoEndpoint:
        if self.rollouts is None:
            return self._place_among(call, None, now)
        choice: Placed | NoEndpoint | None = None
        for allows in self.rollouts.choices(call, now):
            if choice is not None:
                call.takes_target = False
            choice = self._place_among(call, allows, now)
            if isinstance(choice, Placed):
                break
        assert choice is not None
        return choice

    def _place_among(self, call: Call, allows: Allows | None, now: float) -> Placed | NoEndpoint:
        key, demand = self._key_and_demand(call, now, allows)
        pool = self.state.pool(call.service.name)
        return choose_from_service(pool, key, demand, self.state.topology, now)

    def _key_and_demand(
        self, call: Call, now: float, allows: Allows | None = None
    ) -> tuple[bytes, Demand]:
        prompt, demand = call.request.prompt, self._demand(call, now, allows)
        if prompt is None:
            return call.request.request_id.encode(), demand
        return affinity_key(prompt, demand.scope_prefix), demand

    def _demand(self, call: Call, now: float, allows: Allows | None = None) -> Demand:
        """Return what a request requires of an endpoint."""
        state, prompt = self.state, call.request.prompt
        announced = state.announced.get(prompt.model) if prompt else None
        workspace = call.workspace
        scope_prefix = f"{workspace.name}/" if workspace and workspace.is_isolated else ""
        return Demand(
            prompt=prompt if call.service.engine else None,
            scope_prefix=scope_prefix,
            announced_weights=announced.version if announced else None,
            oldest_weights=state.required_version(prompt.model, now) if prompt else 0,
            excluded=frozenset(call.tried),
            engine=call.service.engine,
            cache_stores=tuple(state.cache_stores.values()),
            body_bytes=len(call.request.body),
            endangers_engine=call.trial is not None,
            memory=self.memory.bound_of(call.service),
            software=call.software if call.has_begun else None,
            software_known=lambda view: state.knows_software(view, now),
            max_backlog_s=max_backlog_s(state.aims_s(call.service.name)),
            is_room_contended=state.settings.is_room_contended,
            allows=allows,
        )


def _workspace_of(call: Call) -> str:
    return call.workspace.name if call.workspace is not None else ""
