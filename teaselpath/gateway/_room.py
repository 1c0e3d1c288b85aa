"""Room at the engines where requests compete for it: which are sent, wait, or are rejected."""

import asyncio

from teaselpath.dispatch import (
    LONG_PROMPT_TOKENS,
    NoEndpoint,
    Placed,
    QueuedRequest,
    Reject,
    RequestQueue,
    Reservation,
    ReturnTimes,
    ServiceRoom,
    Wait,
    admit_by_aim,
    comes_late,
)
from teaselpath.gateway._call import Call
from teaselpath.gateway._responses import MIN_RETRY_AFTER_S
from teaselpath.gateway._state import GatewayState

# Interval at which the part of this gateway is computed, in seconds.
ROOM_INTERVAL_S = 0.05
# Upper limit of the Retry-After of a rejected request, in seconds.
MAX_RETRY_AFTER_S = 3.0
# Rate at which rejected callers are told to return, as a fraction of that at which requests are
# sent. The rest is for new ones.
RETURNING_FRACTION = 0.5


class RoomKeeper:
    """Room at the engines of each service that has requests compete for it.

    :param queue: requests that wait.
    :ivar updated_until: time until which the room of a service counts as up to date.
    """

    def __init__(self, state: GatewayState, queue: RequestQueue):
        self.state = state
        self.queue = queue
        self.loop = asyncio.get_running_loop()
        self.updated_until: dict[str, float] = {}
        self.return_times: dict[str, ReturnTimes] = {}

    def room(self, service: str, now: float) -> ServiceRoom | None:
        """Return the room at the engines of a service; None if requests do not compete for it."""
        room = self.state.room(service)
        if room is not None and now >= self.updated_until.get(service, 0.0):
            self.updated_until[service] = now + ROOM_INTERVAL_S
            room.update(
                self.state.settings.host,
                self.state.pool(service).views.values(),
                self.state.possible_peers(now),
                now,
            )
        return room

    def record_arrival(self, call: Call, now: float) -> None:
        """Record the arrival of a request before its first attempt."""
        room = self.state.room(call.service.name)
        if room is not None and not call.attempts:
            room.record_arrival(now)

    def may_send(self, request: QueuedRequest, now: float) -> bool:
        """Return whether a new request may be sent before those that wait."""
        room = self.room(request.service, now)
        if room is None:
            return not is_long(request) or not self.queue.has_requests_ahead(request, now)
        if request.is_resumed:
            return True
        # Short prompts do not wait for long ones, which may wait for an engine with little prefill.
        ahead = self.queue.ahead_of(request, now)
        if any(is_long(request) or not is_long(other) for other in ahead):
            return False
        return self.has_room(request, now)

    def has_room(self, request: QueuedRequest, now: float) -> bool:
        """Return whether this gateway may send a request that is the next one of its kind."""
        room = self.room(request.service, now)
        if room is None or request.is_resumed:
            return True
        others_wait = any(
            other.service == request.service and is_long(other) != is_long(request)
            for other in self.queue.queued.values()
        )
        return room.has_room(is_long(request), others_wait=others_wait)

    # admission by the aim

    def is_bound_by_aim(self, call: Call) -> bool:
        """Return whether a late first event is of little use to the caller, in contended room."""
        if self.state.room(call.service.name) is None:
            return False
        return call.route.target_latency_s > 0.0 and not call.has_begun and not call.progress.runs

    def is_late(self, call: Call, placed: Placed, now: float) -> bool:
        """Return whether a request would come late if it were sent now, while room is short."""
        if not self.is_bound_by_aim(call) or not self.state.rooms[call.service.name].is_crowded:
            return False
        aim_s = call.route.target_latency_s
        return comes_late(call.arrived_at, aim_s, placed.first_event_s, now)

    def admit(self, call: Call, request: QueuedRequest, now: float) -> Wait | Reject:
        """Return whether a request that cannot be sent now waits."""
        room = self.state.rooms[request.service]
        ahead = sum(is_long(o) == is_long(request) for o in self.queue.ahead_of(request, now))
        return admit_by_aim(
            call.arrived_at,
            call.route.target_latency_s,
            call.deadline,
            room.first_event_s.get(is_long(request), 0.0),
            (ahead + 1) / self._sends_per_s(request, now),
            now,
        )

    def reject(
        self, call: Call, request: QueuedRequest, wait_s: float | None, now: float
    ) -> NoEndpoint:
        """Return the refusal of a request that cannot be in time, with a time to return.

        :param wait_s: its expected wait in seconds; None if its time ran out while it waited.
        """
        rate = self._sends_per_s(request, now)
        wait_s = 1.0 / rate if wait_s is None else wait_s
        call.room = self.state.rooms[request.service].describe(is_long(request))
        call.room["expected_wait_ms"] = round(wait_s * 1000, 1)
        returns = self.return_times.setdefault(request.service, ReturnTimes())
        booked_s = returns.book(wait_s, RETURNING_FRACTION * rate, now, MAX_RETRY_AFTER_S)
        return _late(booked_s)

    def preview_rejection(self, request: QueuedRequest, wait_s: float, now: float) -> NoEndpoint:
        """Return the refusal that a request would get, without booking its time to return."""
        returns = self.return_times.get(request.service, ReturnTimes())
        return _late(max(wait_s, returns.next_at - now))

    def _sends_per_s(self, request: QueuedRequest, now: float) -> float:
        """Return the expected rate at which requests of a kind are sent."""
        others_first = any(
            is_long(o) != is_long(request) for o in self.queue.ahead_of(request, now)
        )
        room = self.state.rooms[request.service]
        return room.sends_per_s(is_long(request), others_first=others_first)

    # reservations

    def record_sent(self, call: Call, reservation: Reservation, now: float) -> None:
        """Count a request that is sent to an engine."""
        room, prompt = self.state.room(call.service.name), call.request.prompt
        reservation.sent_at, reservation.room = now, room
        reservation.is_long = prompt is not None and prompt.prompt_tokens >= LONG_PROMPT_TOKENS
        if room is not None:
            room.record_sent(reservation.is_long)

    def record_ended(self, call: Call, reservation: Reservation) -> None:
        """Count a request that has left its engine."""
        if reservation.room is None:
            return
        first_at, sent_at = call.first_byte_at, reservation.sent_at
        first_event_s = None if first_at is None or first_at < sent_at else first_at - sent_at
        run_s = self.loop.time() - sent_at
        reservation.room.record_ended(reservation.is_long, run_s, first_event_s)
        if not reservation.is_long:
            # A prompt without a first event was held up at least as long as it ran.
            held_s = run_s if first_event_s is None else first_event_s
            reservation.room.long_share.record_short(held_s, call.route.target_latency_s)


def _late(wait_s: float) -> NoEndpoint:
    return NoEndpoint("late", min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)))


def is_long(request: QueuedRequest) -> bool:
    """Return whether a request counts as a long prompt."""
    return request.tokens >= LONG_PROMPT_TOKENS
