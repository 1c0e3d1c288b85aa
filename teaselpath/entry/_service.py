"""State and background tasks shared by the requests of an entry."""

import asyncio
import time

from eliot import log_message

from teaselpath.bundle import Bundle
from teaselpath.control import ControlPlane, LogFollower, RateMeter
from teaselpath.delivery import AgentLost, Finished, StopRequested
from teaselpath.entry._call import Call
from teaselpath.entry._driver import RequestDriver
from teaselpath.entry._probes import Prober
from teaselpath.entry._quota import QuotaService
from teaselpath.entry._responses import CallerStream
from teaselpath.entry._routing import EndpointRouter
from teaselpath.quota import (
    SHARES_STREAM,
    FromPeer,
    LeaseConfirmed,
    LeaveStarted,
    LiveEntriesChanged,
    LiveEntry,
    QuotaCore,
    TableRecord,
    WorkspaceQuota,
    WorkspacesChanged,
)
from teaselpath.results import Code, Failure, Ran
from teaselpath.scheduling import RetryBudget
from teaselpath.transport import PeerLost, Received
from teaselpath.wire import (
    Ack,
    Cancelled,
    Chunk,
    DecisionRecord,
    End,
    ProbeReply,
    QuotaAsk,
    QuotaGrant,
    QuotaReceipt,
    QuotaReserve,
    QuotaSettle,
    QuotaTransfer,
    Refused,
)

TICK_S = 0.1
# Ids of finished requests that are stored, to acknowledge an End that an agent resends.
MAX_FINISHED_IDS = 10_000
# A read of the share table confirms leases as of the start of the read, so it must be much shorter
# than a lease.
SHARES_POLL_WAIT_MS = 1_000
QuotaMessage = QuotaAsk | QuotaTransfer | QuotaReceipt | QuotaReserve | QuotaGrant | QuotaSettle


class EntryService:
    """Serves callers' requests.

    :param plane: control plane with the configuration, members and sockets of this process.
    """

    def __init__(self, plane: ControlPlane):
        self.plane = plane
        self.settings = plane.settings
        self.random = plane.random
        self.clock = time.monotonic
        self.prober = Prober(plane.node)
        self.router = EndpointRouter(plane, self.prober)
        core = QuotaCore(self.settings.host, self.settings.region, plane.incarnation)
        self.quota = QuotaService(core, plane.send, plane.append, self.clock)
        self.retry_budget = RetryBudget()
        self.drivers: dict[str, RequestDriver] = {}
        self.finished: dict[str, None] = {}
        self.ended = RateMeter()
        self.refused = RateMeter()
        self.running = 0
        self.leaving = False
        self.dropped_messages = 0
        self.sequence = 0
        self.shares: LogFollower | None = None

    def next_sequence(self) -> int:
        """Return the sequence number of the next Start message of this process."""
        self.sequence += 1
        return self.sequence

    def not_ready_reason(self) -> str:
        """Return the reason why requests cannot be served, or an empty string."""
        if self.leaving:
            return "stopping"
        if self.plane.bundle is None:
            return "no bundle is in force"
        return self.quota.not_ready_reason()

    async def run(self) -> None:
        """Run the background tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.quota.run())
            group.create_task(self._tick())

    def follow_log(self) -> None:
        """Start to read the quota share tables from the log."""
        self.shares = self.plane.follow(
            SHARES_STREAM, self._handle_share_record, self._on_shares_read, SHARES_POLL_WAIT_MS
        )

    def leave(self) -> None:
        """Refuse new requests and transfer the quota balance; running requests continue."""
        self.leaving = True
        self.quota.handle(LeaveStarted())

    def is_idle(self) -> bool:
        """Return whether no request is running."""
        return self.running == 0

    def unfinished_requests(self) -> list[str]:
        """Return the ids of the running requests."""
        return list(self.drivers)

    # Callbacks of the control plane

    def deliver(self, event: Received | PeerLost) -> None:
        """Dispatch a message to the request or service that it belongs to."""
        match event:
            case Received(message=Chunk() | End() | Refused() | Cancelled() as message):
                driver = self.drivers.get(message.request_id)
                if driver is not None:
                    driver.deliver(event)
                elif isinstance(message, End) and message.request_id in self.finished:
                    self._resend_ack(event.host, message)
            case Received(message=ProbeReply() as reply):
                self.prober.handle(reply)
            case Received(host=host, message=message) if isinstance(message, QuotaMessage):
                self.quota.handle(FromPeer(host, message))
            case PeerLost(host=host):
                for driver in self.drivers.values():
                    if driver.destination is not None and driver.destination.host == host:
                        driver.deliver(event)

    def _resend_ack(self, host: str, end: End) -> None:
        """Acknowledge a resent End, so that its agent can discard the stream."""
        ack = Ack(end.request_id, end.attempt, end.chunks + 1, 0)
        self.plane.node.send(host, ack)

    def on_bundle_changed(self, bundle: Bundle) -> None:
        """Apply a bundle that has come into force."""
        workspaces = [WorkspaceQuota(w.id, w.rate, w.burst) for w in bundle.workspaces]
        self.quota.handle(WorkspacesChanged(workspaces))
        self.router.refresh()
        self.on_keys_changed()

    def on_members_changed(self) -> None:
        """Apply a change of the member table."""
        entries = self.plane.members.entries()
        live_hosts = sorted((member.host, member.region) for member in entries)
        self.quota.handle(LiveEntriesChanged([LiveEntry(*live_host) for live_host in live_hosts]))
        self.router.refresh()
        for driver in self.drivers.values():
            self._check_agent(driver)

    def _check_agent(self, driver: RequestDriver) -> None:
        if driver.destination is None:
            return
        host = driver.destination.host
        member = self.plane.members.members.get(host)
        known = driver.destination.agent_incarnation
        if member is None or member.is_gone or member.incarnation > known:
            driver.deliver(AgentLost(host))

    def on_keys_changed(self) -> None:
        """Cancel the running requests whose key is no longer valid."""
        index = self.plane.key_index
        for driver in self.drivers.values():
            digest = driver.call.key_digest
            is_known = index is None or not digest or digest in index.matches
            if not is_known or self.plane.revocations.is_revoked(digest):
                driver.deliver(StopRequested(Code.KEY_WITHDRAWN))

    def describe(self) -> dict:
        """Return the load of this entry, for the operators' tool."""
        now = self.clock()
        return {
            "running": self.running,
            "queued": len(self.quota.pending_reservations),
            "requests_per_s": round(self.ended.per_second(now), 1),
            "refused_per_s": round(self.refused.per_second(now), 1),
        }

    def describe_workspace(self, workspace: str) -> dict:
        """Return this entry's share of a workspace, for the operators' tool."""
        return self.quota.describe(workspace)

    # Requests

    async def serve(
        self, request_id: str, call: Call, stream: CallerStream, arrived_at: float
    ) -> None:
        """Run a validated call and respond to its caller."""
        self.running += 1
        driver = RequestDriver(self, request_id, call, stream, arrived_at)
        try:
            finished = await self._serve(driver)
        finally:
            self.running -= 1
        self._observe(driver, finished)

    async def _serve(self, driver: RequestDriver) -> Finished | Failure:
        call, request_id = driver.call, driver.request_id
        if self.leaving:
            failure = Failure(Code.STOPPING, "this entry stops", Ran.NOT_RUN, 1.0)
            await driver.stream.fail(failure, request_id)
            return failure
        reserved = await self.quota.reserve(
            request_id, call.workspace, call.charge, driver.deadline
        )
        if reserved.is_err():
            failure = reserved.unwrap_err()
            driver.record("refused", failure.code, failure.detail)
            await driver.stream.fail(failure, request_id)
            return failure
        self.drivers[request_id] = driver
        try:
            return await driver.run()
        except asyncio.CancelledError:
            return await asyncio.shield(driver.stop(Code.CALLER_GONE))
        finally:
            del self.drivers[request_id]
            self._record_finished(request_id)
            self.quota.settle(request_id, self._used_tokens(driver))

    def _record_finished(self, request_id: str) -> None:
        self.finished[request_id] = None
        if len(self.finished) > MAX_FINISHED_IDS:
            del self.finished[next(iter(self.finished))]

    def _used_tokens(self, driver: RequestDriver) -> int:
        """Return the tokens to charge; the whole reservation if the usage is unknown."""
        finished = driver.outcome.finished
        if finished is None or finished.ran == Ran.UNKNOWN:
            return driver.call.charge
        if finished.ran == Ran.NOT_RUN:
            return 0
        if driver.call.model is None:
            return driver.call.charge
        used = driver.call.prompt_tokens + driver.output_tokens
        return min(used, driver.call.charge)

    def _observe(self, driver: RequestDriver, finished: Finished | Failure) -> None:
        now = self.clock()
        call = driver.call
        code = Code(finished.code)
        self.ended.add(now)
        if finished.ran == Ran.NOT_RUN:
            self.refused.add(now)
        if code is Code.OK:
            self.retry_budget.record_success(now)
        first_byte_s = (
            None if driver.first_byte_at is None else driver.first_byte_at - driver.arrived_at
        )
        workspace, class_id = call.workspace, call.request_class.id
        total_s = now - driver.arrived_at
        metrics = self.plane.metrics
        metrics.observe_request(workspace, class_id, code.name, first_byte_s, total_s)
        metrics.observe_tokens(
            workspace, driver.prompt_tokens, driver.cached_tokens, driver.output_tokens
        )
        driver.record("ended", code, f"{finished.ran}, {total_s * 1e3:.0f} ms")

    def observe_rejection(self, request_id: str, failure: Failure) -> None:
        """Record a request that was rejected before it was routed."""
        self.refused.add(self.clock())
        version = self.plane.state.version
        self.plane.record(
            DecisionRecord(
                request_id, "", "rejected", "", int(failure.code), version, failure.detail
            )
        )
        self.plane.metrics.observe_request("", "", failure.code.name, None, 0.0)
        log_message("request_rejected", request_id=request_id, code=int(failure.code))

    # Timers and log

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self.clock()
            for driver in self.drivers.values():
                if driver.inbox.empty():
                    driver.deliver(now)

    def _handle_share_record(self, record) -> None:
        self.quota.handle(TableRecord(record.offset, record.data))

    def _on_shares_read(self, is_up: bool) -> None:
        if is_up and self.shares is not None and self.shares.is_caught_up:
            self.quota.handle(LeaseConfirmed(self.shares.read_started_at))
