"""Endpoints for requests, at once or after a wait, with the load that each reserves."""

import asyncio
from collections.abc import Callable

from teaselpath.dispatch import (
    LONG_TOKENS,
    MAX_CANDIDATES,
    PREFILL_TOKENS_PER_S,
    Demand,
    NoEndpoint,
    Placed,
    QueuedRequest,
    RequestQueue,
    Reservation,
    affinity_key,
    choose_endpoint,
)
from teaselpath.gateway._call import Call
from teaselpath.gateway._state import GatewayState, LongPlacement, WantedWeights

# Part of the time for a rollout after which older weights run no more requests; the rest is for
# requests that wait inside an engine and for gateways that learn late of a version.
OLD_WEIGHTS_PART = 0.75
# Interval between tries to place the waiting requests, in seconds.
QUEUE_INTERVAL_S = 0.015
# Part of a request's time after which a wait for an endpoint ends in a refusal.
MAX_WAIT_PART = 0.5
# Longest time that a refusal names, in seconds.
MAX_RETRY_AFTER_S = 3.0
# Reasons for which a request is refused at once.
NOT_WORTH_WAITING = frozenset({"none_listed", "unreachable"})
# Prompt tokens from which the other gateways are told of a placement.
NOTED_TOKENS = 2_000


class Placer:
    """Finds endpoints and keeps the queue of those that wait for one.

    :param announce: tells the other gateways of a long prompt that was placed.
    """

    def __init__(self, state: GatewayState, announce: Callable[[LongPlacement], None]):
        self.state = state
        self.announce = announce
        self.loop = asyncio.get_running_loop()
        self.waiting = RequestQueue()
        self.waiters: dict[int, tuple[Call, asyncio.Future[Placed]]] = {}

    async def find(self, call: Call, now: float) -> Placed | NoEndpoint:
        """Return a reserved endpoint, at once or after a wait."""
        prompt = call.request.prompt
        tokens = prompt.prompt_tokens if prompt else 0
        ticket = QueuedRequest(call.service.name, call.priority, tokens, call.deadline)
        place = self._place(call, now)
        if isinstance(place, Placed) and (
            tokens < LONG_TOKENS or not self.waiting.has_ahead(ticket)
        ):
            self._reserve(call, place)
            return place
        if isinstance(place, NoEndpoint) and place.reason in NOT_WORTH_WAITING:
            return place
        return await self._wait(call, ticket, now)

    async def _wait(self, call: Call, ticket: QueuedRequest, now: float) -> Placed | NoEndpoint:
        views = self.state.pool(call.service.name).views.values()
        backlog = sum(view.pending_prefill_tokens(now) for view in views)
        speed = PREFILL_TOKENS_PER_S * len(views)
        if self.waiting.exceeds_wait_limit(ticket, backlog, speed, now):
            wait_s = self.waiting.expected_wait_s(ticket, backlog, speed, now)
            return NoEndpoint("queue", min(MAX_RETRY_AFTER_S, max(0.2, wait_s)))
        future: asyncio.Future[Placed] = self.loop.create_future()
        self.waiting.enqueue(ticket, now)
        self.waiters[ticket.number] = (call, future)
        try:
            async with asyncio.timeout_at(now + MAX_WAIT_PART * (call.deadline - now)):
                return await future
        except TimeoutError:
            # The place may have been found in the same step in which the time ended.
            return NoEndpoint("queue", 0.5) if future.cancelled() else future.result()
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(call)
            raise
        finally:
            self.waiting.remove(ticket)
            del self.waiters[ticket.number]

    async def run_queue(self) -> None:
        """Place waiting requests as endpoints become free, until cancelled."""
        while True:
            await asyncio.sleep(QUEUE_INTERVAL_S)
            self.place_waiting()

    def place_waiting(self) -> None:
        """Place the waiting requests for which there is room, in their order."""
        blocked: set[str] = set()
        for ticket in self.waiting.in_order():
            call, future = self.waiters[ticket.number]
            if future.done() or ticket.service in blocked:
                continue
            now = self.loop.time()
            place = self._place(call, now)
            if isinstance(place, Placed):
                self._reserve(call, place)
                self.waiting.record_placed(ticket, now)
                future.set_result(place)
            else:
                blocked.add(ticket.service)

    def _reserve(self, call: Call, placed: Placed) -> None:
        """Count a request at an endpoint from now on."""
        view, prompt, now = placed.view, call.request.prompt, self.loop.time()
        reservation = Reservation(view)
        if prompt is not None:
            reservation.pending_prefill_tokens = max(0, prompt.prompt_tokens - placed.cached_tokens)
            view.cache.record_expected(placed.scope, prompt.parts, now)
            if prompt.prompt_tokens >= NOTED_TOKENS:
                note = LongPlacement(
                    view.endpoint.endpoint_id,
                    view.endpoint.started_at_ms,
                    prompt.prompt_tokens,
                    reservation.pending_prefill_tokens,
                    placed.scope,
                    [(part.part_id, part.tokens) for part in prompt.parts[:-1]],
                    placed.fetch_from,
                    placed.fetched_tokens,
                    placed.save_to,
                )
                reservation.held_tokens = prompt.prompt_tokens
                reservation.backlog_mark = self.state.take_placement(note, now)
                self.announce(note)
        reservation.begin()
        call.placed, call.reservation = placed, reservation

    def release(self, call: Call) -> None:
        """End the count of a request at its endpoint."""
        if call.reservation is not None:
            call.reservation.end()
            call.reservation = None

    def _place(self, call: Call, now: float) -> Placed | NoEndpoint:
        state, prompt = self.state, call.request.prompt
        wanted = state.wanted.get(prompt.model) if prompt else None
        workspace = call.workspace
        scope_prefix = f"{workspace.name}/" if workspace and workspace.is_isolated else ""
        demand = Demand(
            prompt=prompt if call.service.engine else None,
            scope_prefix=scope_prefix,
            announced_weights=wanted.version if wanted else None,
            oldest_weights=self._oldest_weights(wanted, now),
            excluded=frozenset(call.tried),
            engine=call.service.engine,
            cache_stores=tuple(state.cache_stores.values()),
            body_bytes=len(call.request.body),
        )
        key = affinity_key(prompt, scope_prefix) if prompt else call.request.request_id.encode()
        pool = state.pool(call.service.name)
        place = choose_endpoint(pool.candidates(key), demand, state.topology, now)
        if isinstance(place, NoEndpoint) and len(pool.views) > MAX_CANDIDATES:
            place = choose_endpoint(pool.candidates(key, subset=1), demand, state.topology, now)
        return place

    def _oldest_weights(self, wanted: WantedWeights | None, now: float) -> int:
        if wanted is None:
            return 0
        return wanted.oldest_usable(
            now, OLD_WEIGHTS_PART * self.state.settings.bounds.rollout_limit_s
        )
