"""Main task of the agent: admission, scheduling and delivery for one endpoint."""

import asyncio
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from functools import partial

import aiohttp
from eliot import log_message

from teaselpath.agent._claims import ClaimService, claim_failure
from teaselpath.agent._endpoint import EndpointClient
from teaselpath.agent._endpoint_request import endpoint_headers
from teaselpath.agent._engine_controller import EngineController
from teaselpath.agent._policy import find_class, find_queueing_weight
from teaselpath.agent._run import RequestRun
from teaselpath.bundle import Bundle
from teaselpath.control import ControlPlane, RateMeter
from teaselpath.delivery import (
    Accept,
    CancelRun,
    ClaimGranted,
    ClaimRefused,
    DeliveryLimits,
    EntryLost,
    FromEntry,
    LeaveStarted,
    PauseRun,
    RequestLedger,
    ResumeRun,
    RunChunk,
    RunEnd,
    RunStarting,
    StoredAnswer,
)
from teaselpath.results import Code, Failure, Ran
from teaselpath.scheduling import CallerGone, Drop, Finished, Run, Scheduler, SlotsChanged, Submit
from teaselpath.transport import PeerLost, Received
from teaselpath.wire import Ack, Cancel, DecisionRecord, Probe, ProbeReply, Resume, Send, Start

INBOX_SIZE = 20_000
TICK_INTERVAL_S = 0.05
# Time for an entry to reconnect before it counts as failed.
ENTRY_RECONNECT_GRACE_S = 5.0
# Plain services, unlike engines, report no batch size.
SERVICE_SLOTS = 32


@dataclass(slots=True)
class LoadChanged:
    """The engine's load report changed."""


@dataclass(slots=True)
class Tick:
    """Periodic event that triggers timeouts."""


class AgentService:
    """Owns the ledger, the scheduler and the runs of one endpoint.

    Only the task that reads the inbox changes state. When the inbox is full, runs wait and messages
    of entries are dropped; entries resend or resume.

    :param plane: configuration, membership and sockets of this process.
    :param session: HTTP session to the endpoint.
    """

    def __init__(self, plane: ControlPlane, session: aiohttp.ClientSession):
        settings = plane.settings
        assert settings.endpoint is not None
        self.plane = plane
        self.endpoint = settings.endpoint
        limits = settings.limits
        self.ledger = RequestLedger(
            plane.incarnation,
            DeliveryLimits(
                window_chunks=limits.stream_window_chunks,
                window_bytes=limits.stream_buffer_bytes,
                buffer_retention_s=limits.buffer_s,
            ),
        )
        self.scheduler = Scheduler(slots=SERVICE_SLOTS)
        self.client = EndpointClient(
            self.endpoint.url, session, settings.limits.stream_idle_timeout_s
        )
        self.engine = EngineController(plane, session, self._on_load_change, self._spawn)
        self.inbox: asyncio.Queue = asyncio.Queue(INBOX_SIZE)
        self.starts: dict[str, Start] = {}
        self.runs: dict[str, RequestRun] = {}
        self.started_at: dict[str, float] = {}
        self.first_byte_at: dict[str, float] = {}
        self.leaving = False
        self.dropped_messages = 0
        self.ended = RateMeter()
        self.refused = RateMeter()
        self.claims: ClaimService | None = None

    def deliver(self, event: Received | PeerLost) -> None:
        """Queue an event of the transport; dropped if the inbox is full."""
        try:
            self.inbox.put_nowait(event)
        except asyncio.QueueFull:
            self.dropped_messages += 1

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = group
            if self.is_engine:
                group.create_task(self.engine.run())
            group.create_task(self._tick())
            while True:
                event = await self.inbox.get()
                self._handle(event, time.monotonic())

    @property
    def is_engine(self) -> bool:
        """Return whether the endpoint is a model engine."""
        return self.endpoint.kind == "engine"

    def leave(self) -> None:
        """Start to drain: refuse new requests and let running ones finish."""
        self.leaving = True
        self.inbox.put_nowait(LeaveStarted())

    def not_ready_reason(self) -> str:
        """Return why the agent is not ready, or an empty string."""
        if self.leaving:
            return "stopping"
        return "" if self._is_accepting() else "the endpoint does not answer"

    def is_idle(self) -> bool:
        """Return whether no request is pending and no live entry has yet to fetch an answer."""
        now = time.monotonic()
        retention_s = self.ledger.limits.buffer_retention_s
        return not self.starts and all(
            record.host is None and now >= record.expires_at - retention_s + ENTRY_RECONNECT_GRACE_S
            for record in self.ledger.records.values()
        )

    def unfinished_requests(self) -> list[str]:
        """Return the ids of the running requests."""
        return [start.request_id for start in self.starts.values()]

    def follow_log(self) -> None:
        """Start following the log streams that this agent needs."""
        if self.is_engine:
            self.engine.follow_orders()
        elif self.plane.bundle is not None:
            self.on_bundle_changed(self.plane.bundle)

    def _spawn(self, work: Coroutine) -> None:
        self.group.create_task(work)

    def on_bundle_changed(self, bundle: Bundle) -> None:
        """Apply a bundle that has come into force."""
        self.engine.on_bundle_changed(bundle)
        service = next((s.service for s in bundle.endpoints if s.id == self.endpoint.id), "")
        if service and not self.is_engine and self.claims is None and self.plane.started.is_set():
            self.claims = ClaimService(
                self.plane, service, bundle.claim_window_s, self._on_claim_decision
            )

    def on_members_changed(self) -> None:
        """Do nothing: entries open the connections, so membership changes need no action."""

    def on_keys_changed(self) -> None:
        """Do nothing: entries cancel the requests of withdrawn keys."""

    def describe(self) -> dict:
        """Return the load of the endpoint for operators' status requests."""
        now = time.monotonic()
        return {
            "endpoint": self.endpoint.id,
            "running": len(self.runs),
            "queued": len(self.starts) - len(self.runs),
            "requests_per_s": round(self.ended.per_second(now), 1),
            "refused_per_s": round(self.refused.per_second(now), 1),
            **(self.engine.describe() if self.is_engine else {}),
        }

    def describe_workspace(self, workspace: str) -> dict:
        """Return an empty state: only entries hold quota shares."""
        return {}

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            await self.inbox.put(Tick())

    def _on_load_change(self) -> None:
        if not self.inbox.full():
            self.inbox.put_nowait(LoadChanged())

    def _handle(self, event, now: float) -> None:
        match event:
            case Received(host=host, message=Probe() as probe):
                self.plane.node.reply(host, self._probe_reply(probe, now))
            case Received(host=host, message=Start() | Ack() | Cancel() | Resume() as message):
                self._act(self.ledger.handle(FromEntry(host, message), now), now)
            case RunChunk():
                self._handle_chunk(event, now)
            case RunEnd():
                self._handle_run_end(event, now)
            case PeerLost(host=host):
                self._act(self.ledger.handle(EntryLost(host), now), now)
            case LeaveStarted():
                self._act(self.ledger.handle(event, now), now)
            case LoadChanged():
                self._update_slots(now)
            case Tick():
                self._act(self.ledger.tick(now), now)
                self._schedule(self.scheduler.tick(now), now)
                if self.claims is not None:
                    self.claims.tick(now)
                self.engine.tick(now)

    def _probe_reply(self, probe: Probe, now: float) -> ProbeReply:
        load = self.engine.load
        priority = find_class(self.plane.bundle, probe.request_class).priority
        wait_s = self.scheduler.expected_wait_s(probe.workspace, priority, now)
        return ProbeReply(
            probe.probe_id,
            self.endpoint.id,
            self._is_accepting(),
            self.engine.match(probe.chain) if self.is_engine else 0,
            wait_s * 1e3,
            load.prefill_us_per_token if load else 0.0,
            load.weights if load else "",
            self.engine.incarnation,
            len(self.runs),
            len(self.starts) - len(self.runs),
            self.plane.incarnation,
        )

    def _is_accepting(self) -> bool:
        return not self.leaving and (self.engine.is_reachable or not self.is_engine)

    def _update_slots(self, now: float) -> None:
        load = self.engine.load
        if load is not None and self.engine.is_reachable:
            self._schedule(self.scheduler.handle(SlotsChanged(load.max_running), now), now)

    def _act(self, actions: list, now: float) -> None:
        for action in actions:
            match action:
                case Send(host=host, message=message):
                    self.plane.node.reply(host, message)
                case Accept(start=start):
                    self._accept(start, now)
                case CancelRun(request_id=request_id, attempt=attempt):
                    self._cancel(run_key(request_id, attempt), now)
                case PauseRun(request_id=request_id, attempt=attempt):
                    self.runs[run_key(request_id, attempt)].pause()
                case ResumeRun(request_id=request_id, attempt=attempt):
                    self.runs[run_key(request_id, attempt)].resume()

    def _accept(self, start: Start, now: float) -> None:
        key = run_key(start.request_id, start.attempt)
        self.starts[key] = start
        if not start.claim_key:
            self._submit(start, now)
        elif self.claims is None:
            self._drop(key, Code.CLAIM_UNAVAILABLE, "the claims are not read yet", now)
        else:
            self.claims.claim(start, now + start.remaining_ms / 1e3)

    def _on_claim_decision(self, start: Start, answer: ClaimGranted | ClaimRefused) -> None:
        now = time.monotonic()
        key = run_key(start.request_id, start.attempt)
        if isinstance(answer, ClaimGranted):
            if key in self.starts:
                self._submit(start, now)
            else:
                self._finish_claim(start, Code.CANCELLED, Ran.NOT_RUN)
            return
        if self.starts.pop(key, None) is None:
            return
        failure = claim_failure(answer)
        self._record(start, "claim_refused", failure.code, failure.detail)
        if answer.answer is not None:
            self._replay(start, answer.answer, now)
            return
        self._act(self.ledger.handle(failed_end(start, failure), now), now)

    def _replay(self, start: Start, answer: StoredAnswer, now: float) -> None:
        """Reply to a retry of an idempotency key with the stored answer of the first run."""
        key = (start.request_id, start.attempt)
        chunk = RunChunk(*key, answer.body, answer.status, answer.headers)
        self._act(self.ledger.handle(RunStarting(*key), now), now)
        self._act(self.ledger.handle(chunk, now), now)
        self._act(self.ledger.handle(RunEnd(*key, Code.OK, Ran.RAN), now), now)

    def _finish_claim(self, start: Start, code: int, ran: str) -> None:
        if start.claim_key and self.claims is not None:
            self.claims.finish(start, code, ran)

    def _handle_chunk(self, chunk: RunChunk, now: float) -> None:
        key = run_key(chunk.request_id, chunk.attempt)
        start = self.starts.get(key)
        if chunk.headers is not None:
            self.first_byte_at[key] = now
            self.engine.prefilling.discard(key)
        if self.claims is not None and start is not None and start.claim_key:
            self.claims.record_chunk(chunk)
        self._act(self.ledger.handle(chunk, now), now)

    def _submit(self, start: Start, now: float) -> None:
        key = run_key(start.request_id, start.attempt)
        request_class = find_class(self.plane.bundle, start.request_class)
        submit = Submit(
            key,
            start.workspace,
            find_queueing_weight(self.plane.bundle, start.workspace),
            start.prompt_tokens + start.output_cap,
            request_class.priority,
            now + start.remaining_ms / 1e3,
            now + request_class.max_wait_ms / 1e3,
        )
        self._schedule(self.scheduler.handle(submit, now), now)

    def _schedule(self, actions: list[Run | Drop], now: float) -> None:
        for action in actions:
            match action:
                case Run(request_id=key):
                    self._start_run(key, now)
                case Drop(request_id=key, code=code, retry_after_s=retry_after_s):
                    detail = "the queue of the endpoint is too long"
                    self._drop(key, Code(code), detail, now, retry_after_s)

    def _drop(
        self, key: str, code: Code, detail: str, now: float, retry_after_s: float = 0.0
    ) -> None:
        """End a request that never ran and report why."""
        start = self.starts.pop(key, None)
        if start is None:
            return
        self.refused.add(now)
        self._record(start, "dropped", code, detail)
        self._finish_claim(start, code, Ran.NOT_RUN)
        failure = Failure(code, detail, Ran.NOT_RUN, retry_after_s)
        self._act(self.ledger.handle(failed_end(start, failure), now), now)

    def _start_run(self, key: str, now: float) -> None:
        start = self.starts[key]
        if self.is_engine and not self.engine.is_reachable:
            self._act(self.scheduler.handle(Finished(key, 0), now), now)
            self._drop(key, Code.ENDPOINT_FAILED, "the engine does not answer", now)
            return
        self._act(self.ledger.handle(RunStarting(start.request_id, start.attempt), now), now)
        if key not in self.starts:
            return
        prepare = partial(self._prepare_model_call, start, key) if self.is_engine else None
        run = RequestRun(start, self.client, self.inbox.put, prepare)
        self.runs[key] = run
        self.started_at[key] = now
        remaining_s = max(1.0, start.remaining_ms / 1e3)
        run.task = self.group.create_task(run.run(endpoint_headers(start), remaining_s))
        self._record(start, "started", Code.OK, "")

    async def _prepare_model_call(self, start: Start, key: str) -> None:
        priority = find_class(self.plane.bundle, start.request_class).priority
        start.body = await self.engine.prepare(start, key, priority)

    def _cancel(self, key: str, now: float) -> None:
        run = self.runs.get(key)
        if run is not None and run.task is not None:
            run.resume()
            run.task.cancel()
            return
        start = self.starts.pop(key, None)
        if start is not None:
            self._finish_claim(start, Code.CANCELLED, Ran.NOT_RUN)
            self._schedule(self.scheduler.handle(CallerGone(key), now), now)

    def _handle_run_end(self, end: RunEnd, now: float) -> None:
        key = run_key(end.request_id, end.attempt)
        self.runs.pop(key, None)
        self.engine.prefilling.discard(key)
        start = self.starts.pop(key, None)
        used = end.prompt_tokens - end.cached_tokens + end.output_tokens
        self._schedule(self.scheduler.handle(Finished(key, used), now), now)
        self._act(self.ledger.handle(end, now), now)
        self.ended.add(now)
        if start is not None:
            self._finish_claim(start, end.code, end.ran)
            self._record(start, "ended", Code(end.code), end.detail)
            self._observe(start, end, key, now)
            if self.is_engine and end.code == Code.OK:
                self.engine.export_shared_prefix(start.chain)
            self.plane.metrics.observe_tokens(
                start.workspace, end.prompt_tokens, end.cached_tokens, end.output_tokens
            )

    def _observe(self, start: Start, end: RunEnd, key: str, now: float) -> None:
        started_at = self.started_at.pop(key, now)
        first_byte_at = self.first_byte_at.pop(key, None)
        first_s = None if first_byte_at is None else first_byte_at - started_at
        name = Code(end.code).name
        self.plane.metrics.observe_request(
            start.workspace, start.request_class, name, first_s, now - started_at
        )

    def _record(self, start: Start, step: str, code: Code, reason: str) -> None:
        self.plane.record(
            DecisionRecord(
                start.request_id,
                start.workspace,
                step,
                self.endpoint.id,
                int(code),
                start.bundle_version,
                reason,
            )
        )
        log_message(f"request_{step}", request_id=start.request_id, code=int(code), reason=reason)


def failed_end(start: Start, failure: Failure) -> RunEnd:
    """Return the end of a request that failed without a run."""
    return RunEnd(
        start.request_id,
        start.attempt,
        failure.code,
        failure.ran,
        detail=failure.detail,
        retry_after_ms=int(failure.retry_after_s * 1e3),
    )


def run_key(request_id: str, attempt: int) -> str:
    """Return the key of one attempt in the scheduler and in the tables of runs."""
    return f"{request_id}#{attempt}"
