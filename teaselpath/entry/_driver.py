"""Runs one request from routing to its outcome."""

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

from eliot import log_message

from teaselpath.delivery import (
    AckDue,
    AgentLost,
    AgentReply,
    Completed,
    Deliver,
    Delivered,
    Finished,
    NoRoute,
    RequestOutcome,
    ResumeDue,
    Routed,
    RouteRequested,
    SendCancel,
    SendStart,
    StopRequested,
    StreamAssembler,
    StreamCompleted,
)
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

# The acknowledgement window bounds the chunks in flight. An event that finds the inbox full is
# dropped; a dropped Chunk or End is requested again with a Resume.
MAX_INBOX_EVENTS = 256
# The stream ends with an error if no engine for its continuation is found within this time.
CONTINUATION_TIMEOUT_S = 2.0
# An interrupted connection to a running agent is restored within this time; after it, the agent is
# considered lost.
AGENT_RECONNECT_TIMEOUT_S = 1.0


class RequestDriver:
    """Executes the actions of the outcome core and the stream assembler for one request.

    :param service: state shared by the requests of this entry.
    :param call: the validated request.
    :param stream: response to the caller.
    :param arrived_at: time at which the request arrived, on the monotonic clock.
    """

    def __init__(
        self,
        service: "EntryService",
        request_id: str,
        call: Call,
        stream: CallerStream,
        arrived_at: float,
    ):
        self.service = service
        self.request_id = request_id
        self.call = call
        self.stream = stream
        self.arrived_at = arrived_at
        self.deadline = arrived_at + call.request_class.deadline_ms / 1e3
        self.outcome = RequestOutcome(
            repeatable=call.repeatable,
            continuable=call.stream and call.request_class.continuation,
            first_byte_deadline=self.deadline,
        )
        self.body = AnswerBody(call)
        self.inbox: asyncio.Queue = asyncio.Queue(MAX_INBOX_EVENTS)
        self.assembler: StreamAssembler | None = None
        self.destination: Destination | None = None
        self.sequences: dict[int, int] = {}
        self.routed_at = 0.0
        self.reconnect_deadline: float | None = None
        self.first_byte_at: float | None = None
        self.attempt_first_byte_at: float | None = None
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.output_tokens = 0

    def deliver(self, event) -> None:
        """Queue an event; if the inbox is full, the event is dropped.

        Dropped messages of the stream are requested again later.
        """
        try:
            self.inbox.put_nowait(event)
        except asyncio.QueueFull:
            self.service.dropped_messages += 1

    async def run(self) -> Finished:
        """Run the request to its end and send the response to the caller."""
        actions: deque = deque(self.outcome.begin())
        while True:
            while actions:
                action = actions.popleft()
                if isinstance(action, Finished):
                    await self._finish(action)
                    return action
                actions.extend(await self._execute(action))
            actions.extend(await self._handle(await self.inbox.get()))

    async def stop(self, code: Code) -> Finished:
        """Cancel the request after the caller disconnected, and wait until its outcome is known."""
        actions = list(self.outcome.handle(StopRequested(code), time.monotonic()))
        while self.outcome.finished is None:
            for action in actions:
                if isinstance(action, SendCancel):
                    self._send_cancel(action)
            event = await self.inbox.get()
            if isinstance(event, Received) and isinstance(event.message, Chunk):
                actions = []
                continue
            actions = list(self._handle_event(event, time.monotonic()))
        return self.outcome.finished

    async def _handle(self, event) -> list:
        now = time.monotonic()
        if isinstance(event, Received) and isinstance(event.message, Chunk | End):
            return await self._assemble(event.message, now)
        return self._handle_event(event, now)

    def _handle_event(self, event, now: float) -> list:
        match event:
            case Received(host=host, message=Refused() | Cancelled() as message):
                if isinstance(message, Refused):
                    self.record("refused", Code(message.code), message.detail)
                return self.outcome.handle(AgentReply(host, message), now)
            case Received(message=End() as end) if self.assembler is not None:
                return self._handle_end_after_stop(end, now)
            case PeerLost():
                self.reconnect_deadline = now + AGENT_RECONNECT_TIMEOUT_S
                return []
            case AgentLost() | StopRequested():
                return self.outcome.handle(event, now)
            case float():
                return self._tick(now)
        return []

    def _handle_end_after_stop(self, end: End, now: float) -> list:
        assert self.assembler is not None
        for action in self.assembler.handle(end, now):
            if isinstance(action, Completed):
                self._count_usage(action)
                return self.outcome.handle(StreamCompleted(self.attempt, action), now)
        return []

    def _tick(self, now: float) -> list:
        if self.reconnect_deadline is not None and self.destination is not None:
            host = self.destination.host
            if self.service.plane.node.is_connected(host):
                # The reply to a Resume shows whether this is still the agent process that has the
                # request.
                self.reconnect_deadline = None
                if self.assembler is not None:
                    self.assembler.resume_at = now
            elif now >= self.reconnect_deadline:
                self.reconnect_deadline = None
                return self.outcome.handle(AgentLost(host), now)
        if self.assembler is not None:
            for action in self.assembler.tick(now):
                self._send_stream_message(action)
        return self.outcome.tick(now)

    @property
    def attempt(self) -> int:
        """Return the number of the current attempt."""
        return len(self.outcome.attempts)

    # Stream

    async def _assemble(self, message: Chunk | End, now: float) -> list:
        if self.assembler is None:
            return []
        results: list = []
        for action in self.assembler.handle(message, now):
            match action:
                case Deliver(chunk=chunk):
                    results += await self._handle_chunk(chunk, now)
                case Completed():
                    results += await self._handle_completion(action, now)
                case _:
                    self._send_stream_message(action)
        return results

    async def _handle_chunk(self, chunk: Chunk, now: float) -> list:
        if self.attempt_first_byte_at is None:
            self.attempt_first_byte_at = now
        data = self.body.handle_chunk(chunk)
        if not data:
            return []
        events: list = []
        if not self.outcome.has_delivered:
            events = self.outcome.handle(Delivered(chunk.attempt), now)
        await self._send(data)
        return events

    async def _handle_completion(self, completed: Completed, now: float) -> list:
        self._count_usage(completed)
        self._observe_endpoint(completed, now)
        if completed.code == Code.OK:
            await self._send(self.body.complete())
        return self.outcome.handle(StreamCompleted(self.attempt, completed), now)

    def _count_usage(self, completed: Completed) -> None:
        self.prompt_tokens = max(self.prompt_tokens, completed.prompt_tokens)
        self.cached_tokens = max(self.cached_tokens, completed.cached_tokens)
        self.output_tokens += completed.output_tokens

    def _observe_endpoint(self, completed: Completed, now: float) -> None:
        if self.destination is None:
            return
        first_byte_s = -1.0
        if self.attempt_first_byte_at is not None:
            first_byte_s = self.attempt_first_byte_at - self.routed_at
        name = f"{self.request_id}#{self.attempt}"
        router = self.service.router
        group = router.group(self.call)
        group.router.handle(PrefixFinished(name, first_byte_s, completed.cached_tokens), now)
        is_failed = completed.code in (Code.ENDPOINT_FAILED, Code.STREAM_INCOMPLETE)
        router.record_outcome(self.destination.choice.endpoint, not is_failed, now)

    async def _send(self, data: bytes) -> None:
        if not self.stream.started:
            self.first_byte_at = time.monotonic()
            headers = [*self.body.headers, (REQUEST_ID_HEADER, self.request_id)]
            await self.stream.start(self.body.status, headers)
        if data:
            await self.stream.send(data)

    def _send_stream_message(self, action) -> None:
        if self.destination is None:
            return
        node, host = self.service.plane.node, self.destination.host
        match action:
            case AckDue(number=number, window=window):
                node.send(host, Ack(self.request_id, self.attempt, number, window))
            case ResumeDue(after=after):
                workspace = self.call.workspace
                node.send(host, Resume(self.request_id, self.attempt, workspace, after))

    # Routing

    async def _execute(self, action) -> list:
        match action:
            case RouteRequested():
                return await self._route(action)
            case SendStart():
                return self._send_start(action)
            case SendCancel():
                self._send_cancel(action)
        return []

    async def _route(self, request: RouteRequested) -> list:
        now = time.monotonic()
        no_route = self._check_retry(request, now)
        if no_route is not None:
            return self.outcome.handle(no_route, now)
        deadline = now + CONTINUATION_TIMEOUT_S if request.is_continuation else self.deadline
        found = await self.service.router.route(self.call, request.excluded, deadline)
        now = time.monotonic()
        if isinstance(found, NoRoute):
            self.record("no_route", Code(found.code), found.detail)
            return self.outcome.handle(found, now)
        self.destination = found
        return self.outcome.handle(Routed(found.host, found.agent_incarnation), now)

    def _check_retry(self, request: RouteRequested, now: float) -> NoRoute | None:
        """Charge a retry to the retry budget; return NoRoute if it is not possible.

        A retry after an attempt that is proven not to have run costs nothing.
        """
        if request.attempt == 1:
            return None
        may_have_run = self.outcome.attempts[-1].ran is not Ran.NOT_RUN
        if may_have_run and not self.service.retry_budget.try_acquire(now):
            return NoRoute(Code.RETRY_BUDGET_EMPTY, "the budget for retries is empty")
        if request.is_continuation and not self.body.start_continuation():
            return NoRoute(Code.STREAM_INCOMPLETE, "the rest of the stream cannot be generated")
        return None

    def _send_start(self, action: SendStart) -> list:
        assert self.destination is not None
        now = time.monotonic()
        choice = self.destination.choice
        self.routed_at = now
        self.attempt_first_byte_at = None
        self.reconnect_deadline = None
        self.assembler = StreamAssembler(self.request_id, action.attempt, now)
        expected_ms = choice.expected_s * 1e3
        reason = f"matched {choice.matched_blocks} blocks, expected {expected_ms:.0f} ms"
        self.record("routed", Code.OK, reason)
        start = self._make_start(action, now)
        sent = self.service.plane.node.send(action.host, start)
        if sent.is_err():
            # No byte left this process, which proves that the attempt did not run.
            refused = Refused(
                self.request_id, action.attempt, Code.ENDPOINT_FAILED, str(sent.unwrap_err())
            )
            return self.outcome.handle(AgentReply(action.host, refused), now)
        name = f"{self.request_id}#{action.attempt}"
        routed = PrefixRouted(name, choice, tuple(self.call.chain), self.call.prompt_tokens)
        self.service.router.group(self.call).router.handle(routed, now)
        return []

    def _make_start(self, action: SendStart, now: float) -> Start:
        call = self.call
        assert self.destination is not None
        sequence = self.service.next_sequence()
        self.sequences[action.attempt] = sequence
        return Start(
            self.request_id,
            action.attempt,
            call.workspace,
            call.request_class.id,
            call.model_id,
            max(1, int((self.deadline - now) * 1e3)),
            self.service.plane.state.version,
            call.model.weights if call.model else "",
            call.chain,
            call.prompt_tokens,
            call.output_cap,
            call.repeatable,
            call.claim_key,
            call.method,
            call.path,
            call.headers,
            self.body.body or call.body,
            call.stream,
            # Above 0 for the continuation of an answer, because it is not the whole answer.
            int(self.outcome.has_delivered),
            call.key_digest,
            action.agent_incarnation,
            self.service.plane.incarnation,
            sequence,
        )

    def _send_cancel(self, action: SendCancel) -> None:
        cancel = Cancel(
            self.request_id,
            action.attempt,
            True,
            action.agent_incarnation,
            self.service.plane.incarnation,
            self.sequences.get(action.attempt, 0),
        )
        self.service.plane.node.send(action.host, cancel)

    # End

    async def _finish(self, finished: Finished) -> None:
        if finished.code == Code.OK:
            await self.stream.finish()
            return
        retry_after_s = finished.retry_after_ms / 1e3
        failure = Failure(Code(finished.code), finished.detail, Ran(finished.ran), retry_after_s)
        await self.stream.fail(failure, self.request_id)

    def record(self, step: str, code: Code, reason: str) -> None:
        """Store and log a decision about this request."""
        endpoint = self.destination.choice.endpoint if self.destination else ""
        version = self.service.plane.state.version
        workspace = self.call.workspace
        self.service.plane.record(
            DecisionRecord(self.request_id, workspace, step, endpoint, int(code), version, reason)
        )
        log_message(f"request_{step}", request_id=self.request_id, code=int(code), reason=reason)
