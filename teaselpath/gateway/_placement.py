"""Endpoints for requests, at once or after a wait, with the load that each reserves."""

import asyncio
from collections.abc import Callable

from teaselpath.dispatch import (
    LONG_TOKENS,
    MAX_CANDIDATES,
    PREFILL_TOKENS_PER_S,
    Demand,
    NoPlace,
    Placed,
    Reservation,
    Ticket,
    WaitingRoom,
    choose_endpoint,
    home_key,
)
from teaselpath.gateway._call import Call
from teaselpath.gateway._state import AnnouncedWeights, GatewayState, LongPlacement

# Part of the time for a rollout after which older weights run no more requests; the rest is for
# requests that wait inside an engine and for gateways that learn late of a version.
OLD_WEIGHTS_FRACTION = 0.75
# Interval between tries to place the waiting requests, in seconds.
QUEUE_INTERVAL_S = 0.015
# Part of a request's time after which a wait for an endpoint ends in a refusal.
MAX_WAIT_FRACTION = 0.5
# Longest time that a refusal names, in seconds.
MAX_RETRY_AFTER_S = 3.0
# Reasons for which a request is refused at once.
IMMEDIATE_REFUSALS = frozenset({"none_listed", "unreachable"})
# Prompt tokens from which the other gateways are told of a placement.
ANNOUNCE_MIN_TOKENS = 2_000


class Placer:
    """Finds endpoints and keeps the queue of those that wait for one.

    :param announce: tells the other gateways of a long prompt that was placed.
    """

    def __init__(self, state: GatewayState, announce: Callable[[LongPlacement], None]):
        self.state = state
        self.announce = announce
        self.loop = asyncio.get_running_loop()
        self.waiting = WaitingRoom()
        self.waiters: dict[int, tuple[Call, asyncio.Future[Placed]]] = {}

    async def acquire(self, call: Call, now: float) -> Placed | NoPlace:
        """Return a reserved endpoint, at once or after a wait."""
        prompt = call.request.prompt
        tokens = prompt.prompt_tokens if prompt else 0
        ticket = Ticket(call.service.name, call.priority, tokens, call.deadline)
        place = self._place(call, now)
        if isinstance(place, Placed) and (
            tokens < LONG_TOKENS or not self.waiting.has_before(ticket)
        ):
            self._reserve(call, place)
            return place
        if isinstance(place, NoPlace) and place.reason in IMMEDIATE_REFUSALS:
            return place
        return await self._wait(call, ticket, now)

    async def _wait(self, call: Call, ticket: Ticket, now: float) -> Placed | NoPlace:
        views = self.state.pool(call.service.name).views.values()
        backlog = sum(view.unread_tokens(now) for view in views)
        speed = PREFILL_TOKENS_PER_S * len(views)
        if self.waiting.is_hopeless(ticket, backlog, speed, now):
            wait_s = self.waiting.expected_wait_s(ticket, backlog, speed, now)
            return NoPlace("queue", min(MAX_RETRY_AFTER_S, max(0.2, wait_s)))
        future: asyncio.Future[Placed] = self.loop.create_future()
        self.waiting.join(ticket, now)
        self.waiters[ticket.number] = (call, future)
        try:
            async with asyncio.timeout_at(now + MAX_WAIT_FRACTION * (call.deadline - now)):
                return await future
        except TimeoutError:
            # The place may have been found in the same step in which the time ended.
            return NoPlace("queue", 0.5) if future.cancelled() else future.result()
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(call)
            raise
        finally:
            self.waiting.leave(ticket)
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
            reservation.unread_tokens = max(0, prompt.prompt_tokens - placed.cached_tokens)
            view.cache.expect(placed.scope, prompt.parts, now)
            if prompt.prompt_tokens >= ANNOUNCE_MIN_TOKENS:
                message = LongPlacement(
                    view.endpoint.endpoint_id,
                    view.endpoint.started_at_ms,
                    prompt.prompt_tokens,
                    reservation.unread_tokens,
                    placed.scope,
                    [(part.part_id, part.tokens) for part in prompt.parts[:-1]],
                    placed.fetch_from,
                    placed.fetched_tokens,
                    placed.save_to,
                )
                reservation.held_tokens = prompt.prompt_tokens
                reservation.backlog_mark = self.state.apply_placement(message, now)
                self.announce(message)
        reservation.begin()
        call.placed, call.reservation = placed, reservation

    def release(self, call: Call) -> None:
        """End the count of a request at its endpoint."""
        if call.reservation is not None:
            call.reservation.end()
            call.reservation = None

    def _place(self, call: Call, now: float) -> Placed | NoPlace:
        state, prompt = self.state, call.request.prompt
        announced = state.announced.get(prompt.model) if prompt else None
        workspace = call.workspace
        scope_prefix = f"{workspace.name}/" if workspace and workspace.is_isolated else ""
        demand = Demand(
            prompt=prompt if call.service.engine else None,
            scope_prefix=scope_prefix,
            wanted_weights=announced.version if announced else None,
            oldest_weights=self._oldest_usable_version(announced, now),
            excluded=frozenset(call.tried),
            engine=call.service.engine,
            sources=tuple(state.cache_stores.values()),
            body_bytes=len(call.request.body),
        )
        key = home_key(prompt, scope_prefix) if prompt else call.request.request_id.encode()
        pool = state.pool(call.service.name)
        place = choose_endpoint(pool.candidates(key), demand, state.topology, now)
        if isinstance(place, NoPlace) and len(pool.views) > MAX_CANDIDATES:
            place = choose_endpoint(pool.candidates(key, draw=1), demand, state.topology, now)
        return place

    def _oldest_usable_version(self, announced: AnnouncedWeights | None, now: float) -> int:
        if announced is None:
            return 0
        return announced.oldest_usable_version(
            now, OLD_WEIGHTS_FRACTION * self.state.settings.bounds.weights_s
        )
