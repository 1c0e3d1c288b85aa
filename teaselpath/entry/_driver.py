"""Drives one request from routing to its outcome."""

import asyncio
import time
from typing import TYPE_CHECKING

from eliot import log_message

from teaselpath.delivery import (
    AckDue,
    AgentLost,
    Completed,
    Deliver,
    Delivered,
    Finished,
    NoRoute,
    RequestOutcome,
    ResumeDue,
    Routed,
    RouteWanted,
    SendCancel,
    SendStart,
    StopWanted,
    StreamAssembler,
    StreamCompleted,
)
from teaselpath.delivery import Received as OutcomeReceived
from teaselpath.entry._body import AnswerBody
from teaselpath.entry._call import Call
from teaselpath.entry._responses import REQUEST_ID_HEADER, CallerStream
from teaselpath.entry._routing import Destination
from teaselpath.prefix import Finished as PrefixFinished
from teaselpath.prefix import Routed as PrefixRouted
from teaselpath.results import Code, Failure, Ran
from teaselpath.transport import PeerLost, Received
from teaselpath.wire import (
    Ack,
    Cancel,
    Cancelled,
    Chunk,
    DecisionRecord,
    End,
    Refused,
    Resume,
    Start,
)

if TYPE_CHECKING:
    from teaselpath.entry._service import EntryService

# The window bounds the chunks under way; a message that does not fit is asked for again.
INBOX_SIZE = 256


class RequestDriver:
    """Carries out what the outcome core and the assembler decide, for one request.

    :param service: state shared by the requests of this entry.
    :param call: the checked request.
    :param stream: the answer to the caller.
    :param arrived: instant at which the request arrived.
    """

    def __init__(
        self,
        service: "EntryService",
        request_id: str,
        call: Call,
        stream: CallerStream,
        arrived: float,
    ):
        self.service = service
        self.request_id = request_id
        self.call = call
        self.stream = stream
        self.arrived = arrived
        self.deadline = arrived + call.request_class.deadline_ms / 1e3
        self.outcome = RequestOutcome(
            repeatable=call.repeatable,
            continuable=call.stream and call.request_class.continuation,
            first_byte_deadline=self.deadline,
        )
        self.body = AnswerBody(call)
        self.inbox: asyncio.Queue = asyncio.Queue(INBOX_SIZE)
        self.assembler: StreamAssembler | None = None
        self.destination: Destination | None = None
        self.sequences: dict[int, int] = {}
        self.routed_at = 0.0
        self.first_byte_at: float | None = None
        self.attempt_first_byte_at: float | None = None
        self.used_tokens = 0
        self.cached_tokens = 0
        self.output_tokens = 0

    def deliver(self, event) -> None:
        """Queue an event; a message that finds the queue full is asked for again later."""
        try:
            self.inbox.put_nowait(event)
        except asyncio.QueueFull:
            self.service.dropped_messages += 1

    async def run(self) -> Finished:
        """Drive the request to its end."""
        actions: list = list(self.outcome.begin())
        while True:
            for action in actions:
                if isinstance(action, Finished):
                    await self._finish(action)
                    return action
                await self._act(action)
            actions = await self._next()

    async def stop(self, code: Code) -> Finished:
        """Cancel the request after the caller is gone, and wait for the proof of what happened."""
        actions: list = list(self.outcome.handle(StopWanted(code), time.monotonic()))
        while self.outcome.finished is None:
            for action in actions:
                if isinstance(action, SendCancel):
                    self._send_cancel(action)
            actions = self._outcome_events(await self.inbox.get(), time.monotonic())
        return self.outcome.finished

    async def _next(self) -> list:
        event = await self.inbox.get()
        now = time.monotonic()
        match event:
            case Received(message=Chunk() | End() as message):
                return await self._assemble(message, now)
            case _:
                return self._outcome_events(event, now)

    def _outcome_events(self, event, now: float) -> list:
        match event:
            case Received(host=host, message=Refused() | Cancelled() as message):
                if isinstance(message, Refused):
                    self._record("refused", Code(message.code), message.detail)
                return self.outcome.handle(OutcomeReceived(host, message), now)
            case PeerLost():
                # The connection comes back by itself; a resume tells whether the agent lives.
                if self.assembler is not None:
                    self.assembler.resume_at = min(self.assembler.resume_at, now)
                return []
            case AgentLost() | StopWanted():
                return self.outcome.handle(event, now)
            case float():
                return self._tick(now)
        return []

    def _tick(self, now: float) -> list:
        if self.assembler is not None:
            for action in self.assembler.tick(now):
                self._act_assembler(action)
        return self.outcome.tick(now)

    async def _assemble(self, message: Chunk | End, now: float) -> list:
        if self.assembler is None:
            return []
        results: list = []
        for action in self.assembler.handle(message, now):
            match action:
                case Deliver(chunk=chunk):
                    results += await self._take_chunk(chunk, now)
                case Completed():
                    results += await self._take_completion(action, now)
                case _:
                    self._act_assembler(action)
        return results

    async def _take_chunk(self, chunk: Chunk, now: float) -> list:
        attempt = chunk.attempt
        if self.attempt_first_byte_at is None:
            self.attempt_first_byte_at = now
        data = self.body.take(chunk)
        if not data:
            return []
        events: list = []
        if not self.outcome.is_delivering:
            events = self.outcome.handle(Delivered(attempt), now)
        await self._send(data)
        return events

    async def _take_completion(self, completed: Completed, now: float) -> list:
        self.used_tokens = max(self.used_tokens, completed.prompt_tokens)
        self.output_tokens += completed.output_tokens
        self.cached_tokens = max(self.cached_tokens, completed.cached_tokens)
        self._observe_endpoint(completed, now)
        if completed.code == Code.OK:
            rest = self.body.complete()
            if rest or not self.stream.started:
                await self._send(rest)
        attempt = len(self.outcome.attempts)
        return self.outcome.handle(StreamCompleted(attempt, completed), now)

    def _observe_endpoint(self, completed: Completed, now: float) -> None:
        if self.destination is None:
            return
        first_s = -1.0
        if self.attempt_first_byte_at is not None:
            first_s = self.attempt_first_byte_at - self.routed_at
        router = self.service.router
        name = f"{self.request_id}#{len(self.outcome.attempts)}"
        router.prefix.handle(PrefixFinished(name, first_s, completed.cached_tokens), now)
        failed = completed.code in (Code.ENDPOINT_FAILED, Code.STREAM_INCOMPLETE)
        router.observe(self.destination.choice.endpoint, not failed, now)

    async def _send(self, data: bytes) -> None:
        if not self.stream.started:
            self.first_byte_at = time.monotonic()
            headers = [*self.body.headers, (REQUEST_ID_HEADER, self.request_id)]
            await self.stream.start(self.body.status, headers)
        if data:
            await self.stream.send(data)

    async def _act(self, action) -> None:
        match action:
            case RouteWanted():
                await self._route(action)
            case SendStart():
                self._send_start(action)
            case SendCancel():
                self._send_cancel(action)

    def _act_assembler(self, action) -> None:
        if self.destination is None:
            return
        node, host = self.service.plane.node, self.destination.host
        attempt = len(self.outcome.attempts)
        match action:
            case AckDue(number=number, window=window):
                node.send(host, Ack(self.request_id, attempt, number, window))
            case ResumeDue(after=after):
                node.send(host, Resume(self.request_id, attempt, self.call.workspace, after))

    async def _route(self, wanted: RouteWanted) -> None:
        now = time.monotonic()
        if self._is_over_retry_budget(wanted, now):
            event = NoRoute(Code.RETRY_BUDGET_EMPTY, "the budget for retries is empty")
            self._queue_outcome(event, now)
            return
        if wanted.is_continuation and not self.body.start_continuation():
            event = NoRoute(Code.STREAM_INCOMPLETE, "the stream cannot be continued")
            self._queue_outcome(event, now)
            return
        deadline = now + 1.0 if wanted.is_continuation else self.deadline
        found = await self.service.router.route(self.call, wanted.excluded, deadline)
        now = time.monotonic()
        if isinstance(found, NoRoute):
            self._record("no_route", Code(found.code), found.detail)
            self._queue_outcome(found, now)
            return
        self.destination = found
        self._queue_outcome(Routed(found.host, found.agent_incarnation), now)

    def _is_over_retry_budget(self, wanted: RouteWanted, now: float) -> bool:
        """Charge a repeated run; an attempt that was proven not run costs no budget."""
        if wanted.attempt == 1 or self.outcome.attempts[-1].ran is Ran.NOT_RUN:
            return False
        return not self.service.retry_budget.try_spend(now)

    def _queue_outcome(self, event, now: float) -> None:
        for action in self.outcome.handle(event, now):
            match action:
                case SendStart():
                    self._send_start(action)
                case Finished():
                    self.pending_finish = action

    def _send_start(self, action: SendStart) -> None:
        raise NotImplementedError
