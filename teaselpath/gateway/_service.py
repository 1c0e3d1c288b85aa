"""Gateway process: listeners, background tasks, signals and graceful shutdown."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable
from urllib.parse import unquote

import msgspec
from eliot import log_message, write_traceback

from teaselpath.exchange import Stop, StopPeer, StopPhase, plan_stop
from teaselpath.fleet import (
    CallerLimits,
    Endpoint,
    EngineCalls,
    GatewaySettings,
    MetadataStore,
    RequestCodec,
    RolloutState,
)
from teaselpath.gateway._caches import CacheWatcher
from teaselpath.gateway._connections import ConnectionReporter
from teaselpath.gateway._crowd import CrowdReporter
from teaselpath.gateway._explain import Explainer
from teaselpath.gateway._forward import Forwarder
from teaselpath.gateway._limits import LimitKeeper
from teaselpath.gateway._log import LogSink
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._orders import WeightsKeeper, boot_clock
from teaselpath.gateway._origins import StreamOrigins
from teaselpath.gateway._peer_records import RECORDS_PATH
from teaselpath.gateway._peers import PeerExchange
from teaselpath.gateway._quarantine import QuarantineGate
from teaselpath.gateway._rollouts import Rollouts
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway._watch import StoreWatcher
from teaselpath.http1 import (
    LISTEN_BACKLOG,
    Exchange,
    HttpClient,
    Listener,
    RequestMemory,
    ServerConnection,
    UnsentMemory,
)
from teaselpath.rollout import OrderLease

# Draining ends this long before SIGKILL, even with requests in flight, in seconds.
KILL_MARGIN_S = 0.8
# Time in which requests that are unfinished then get a final answer, in seconds.
FINAL_ANSWER_S = 0.15
# Time from the end of a process until its successor serves requests, in seconds.
SUCCESSOR_START_S = 1.5
DRAIN_POLL_INTERVAL_S = 0.05
# Interval at which expired idle connections to endpoints and stores are closed, in seconds.
EXPIRE_INTERVAL_S = 0.5
# Verdicts on prompt parts and requests, for operators.
VERDICTS_PATH = b"/verdicts"
# Where a request would go, for operators.
PLACEMENT_PATH = b"/placement"
# Rollouts of software, for operators.
ROLLOUTS_PATH = b"/rollouts"
# Delay before a failed job is restarted, in seconds.
RESTART_DELAY_S = 0.2
# Incarnations are also written as JSON numbers, which every reader decodes exactly up to 53 bits.
INCARNATION_BITS = 53


Job = Callable[[], Awaitable[None]]


async def _supervise(job: Job) -> None:
    """Run a job until cancelled; log its failures and restart it."""
    while True:
        try:
            await job()
        except Exception as error:
            log_message("task_failed", task=job.__qualname__, error=repr(error))
            write_traceback()
        await asyncio.sleep(RESTART_DELAY_S)


class GatewayService:
    """Runs a gateway until a signal stops it.

    :param settings: validated settings.
    :param store: client of the platform's metadata store.
    :param codec: translation of requests and answers.
    :param engines: client of engines and cache stores.
    :param http: HTTP client whose connection pools all outgoing calls share.
    :param log: destination of log messages.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: MetadataStore,
        codec: RequestCodec,
        engines: EngineCalls,
        http: HttpClient,
        log: LogSink,
    ):
        self.settings = settings
        self.http = http
        self.engines = engines
        self.log = log
        self.state = GatewayState(settings, store, random.getrandbits(INCARNATION_BITS))
        self.metrics = GatewayMetrics(settings.host)
        self.watcher = StoreWatcher(self.state)
        self.lease = OrderLease(settings.host, settings.bounds.lease_handover_s)
        self.peers = PeerExchange(self.state, self.lease, http, boot_clock)
        self.state.quota.started_at = self.peers.started_at
        self.gate = QuarantineGate(settings.host, store, self.metrics, self.peers)
        self.peers.gate = self.gate
        self.state.on_new_era.append(self.gate.synchronizer.read_soon)
        self.origins = StreamOrigins(
            self.state, store, self.metrics, self.peers, self.watcher.confirmer.confirm
        )
        self.peers.origins = self.origins
        self.state.on_endpoint_changed = self.origins.update_versions
        self.state.on_new_era.append(self.origins.synchronizer.write_soon)
        self.forwarder = Forwarder(
            self.state, codec, http, self.metrics, self.peers.announce, self.gate, self.origins
        )
        self.explainer = Explainer(self.state, self.forwarder.placer, self.gate)
        self.keeper = WeightsKeeper(self.state, engines, self.lease, self.peers)
        self.rollouts = self._make_rollouts()
        self.caches = CacheWatcher(self.state, engines)
        self.connections: set[ServerConnection] = set()
        self.request_bodies = RequestMemory()
        self.reporter = ConnectionReporter(codec.id_header, self.metrics)
        self.stop_requested = asyncio.Event()
        self.servers: list[asyncio.Server] = []

    async def run(self) -> None:
        """Serve until SIGTERM, then drain."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._ignore_reload)
        log_message("started", host=self.settings.host, incarnation=self.state.incarnation)
        await self._listen()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(_supervise(job)) for job in self._jobs()]
            await self.stop_requested.wait()
            await self._drain()
            for task in tasks:
                task.cancel()
        log_message("stopped", host=self.settings.host)
        self.log.flush()

    def _make_rollouts(self) -> Rollouts | None:
        """Return the rollouts of software, where operators may ask for some."""
        bounds = self.settings.rollout
        if bounds is None:
            return None
        rollouts = Rollouts(self.state, bounds, self.lease, self.peers, self.metrics)
        self.peers.rollouts = self.forwarder.placer.rollouts = rollouts
        self.keeper.has_other_work = rollouts.has_work

        def update(before: Endpoint | None, after: Endpoint | None) -> None:
            self.origins.update_versions(before, after)
            rollouts.update_endpoint(before, after)

        self.state.on_endpoint_changed = update
        return rollouts

    def _jobs(self) -> list[Job]:
        watcher = self.watcher
        return [
            watcher.follow_operators,
            watcher.follow_endpoints,
            watcher.follow_members,
            watcher.expire_lapses,
            watcher.standstill.run,
            self.peers.run,
            self.peers.records.run,
            self.keeper.run,
            self.gate.gossip,
            self.gate.synchronizer.run,
            self.origins.run,
            self.origins.synchronizer.run,
            self.origins.recorder.run,
            self.forwarder.placer.run_queue,
            self.caches.run,
            self._expire_connections,
            LimitKeeper(self.state).run,
            CrowdReporter(self.state, self.forwarder.placer.queue).run,
            self.log.run,
            *([] if self.rollouts is None else [self.rollouts.run]),
        ]

    async def _listen(self) -> None:
        settings = self.settings
        undrained: set[ServerConnection] = set()
        unsent = UnsentMemory()
        self.caller_listener = Listener(
            lambda: ServerConnection(
                self.forwarder.handle,
                self._limits,
                self.connections,
                self.reporter,
                unsent,
                self.request_bodies,
            )
        )
        await self.caller_listener.open(settings.caller_address)
        await self._serve(settings.readiness_address, self._handle_readiness, undrained)
        await self._serve(f"{settings.ip}:{settings.peer_port}", self._handle_internal, undrained)

        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self.peers, local_addr=(settings.ip, settings.peer_port)
        )

    async def _serve(self, address: str, handler, connections) -> None:
        ip, _, port = address.rpartition(":")
        server = await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(handler, self._limits, connections, self.reporter),
            ip,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self.servers.append(server)

    def _limits(self) -> CallerLimits:
        config = self.state.config
        return CallerLimits() if config is None else config.limits

    async def _handle_readiness(self, exchange: Exchange) -> None:
        is_informed = self.gate.is_informed() and self.origins.is_informed()
        is_ready = self.state.is_ready() and is_informed
        exchange.respond(200 if is_ready else 503, [])

    async def _handle_internal(self, exchange: Exchange) -> None:
        match exchange.request.target:
            case b"/metrics":
                self._update_gauges()
                body, headers = self.metrics.render()
                fields = [(k.encode(), v.encode()) for k, v in headers.items()]
                exchange.respond(200, fields, body)
            case target if target.partition(b"?")[0] == RECORDS_PATH:
                query = target.partition(b"?")[2]
                exchange.respond(200, [], self.peers.records.encode_records(query))
            case target if target.startswith(VERDICTS_PATH):
                self._handle_verdicts(exchange)
            case target if target == PLACEMENT_PATH:
                self._handle_placement(exchange)
            case target if target.startswith(ROLLOUTS_PATH):
                self._handle_rollouts(exchange)
            case _:
                exchange.respond(404, [])

    def _handle_placement(self, exchange: Exchange) -> None:
        """Explain where a request would go."""
        if exchange.request.method != b"POST":
            exchange.respond(405, [])
            return
        try:
            found = self.explainer.explain(exchange.request.body)
        except msgspec.DecodeError as error:
            exchange.respond(400, [(b"Content-Type", b"text/plain")], str(error).encode())
            return
        exchange.respond(200, [(b"Content-Type", b"application/json")], msgspec.json.encode(found))

    def _handle_verdicts(self, exchange: Exchange) -> None:
        """List the verdicts, or lift one."""
        request = exchange.request
        verdict_id = request.target.removeprefix(VERDICTS_PATH).lstrip(b"/").decode("latin-1")
        match request.method:
            case b"GET" if not verdict_id:
                fields = [(b"Content-Type", b"application/json")]
                exchange.respond(200, fields, msgspec.json.encode(self.gate.describe()))
            case b"DELETE" if verdict_id:
                exchange.respond(204 if self.gate.lift(verdict_id) else 404, [])
            case _:
                exchange.respond(405, [])

    def _handle_rollouts(self, exchange: Exchange) -> None:
        """List the rollouts of software, or stop that of a service."""
        request, rollouts = exchange.request, self.rollouts
        service = unquote(request.target.removeprefix(ROLLOUTS_PATH).lstrip(b"/").decode("latin-1"))
        match request.method:
            case b"GET" if not service:
                fields = [(b"Content-Type", b"application/json")]
                found = [] if rollouts is None else rollouts.describe()
                exchange.respond(200, fields, msgspec.json.encode(found))
            case b"DELETE" if service:
                has_stopped = rollouts is not None and rollouts.stop(service)
                exchange.respond(204 if has_stopped else 404, [])
            case _:
                exchange.respond(405, [])

    def _update_gauges(self) -> None:
        state, now = self.state, asyncio.get_running_loop().time()
        reachable, possible = state.count_gateways(now)
        self.metrics.verdicts.set({}, len(self.gate.describe()))
        for service, pool in state.pools.items():
            limited = sum(view.limit.rate is not None for view in pool.views.values())
            self.metrics.limited_endpoints.set({"service": service}, limited)
            leaving = sum(view.availability.is_leaving for view in pool.views.values())
            self.metrics.leaving_endpoints.set({"service": service}, leaving)
            held_off = sum(view.availability.is_held_off(now) for view in pool.views.values())
            self.metrics.held_off_endpoints.set({"service": service}, held_off)
        if state.fair_order is not None:
            for name, excess in state.fair_order.excesses(now).items():
                self.metrics.workspace_excess.set({"workspace": name}, excess)
        self.metrics.waiting.set({}, len(self.forwarder.placer.queue.queued))
        for service, room in state.rooms.items():
            self.metrics.room_part.set({"service": service}, room.part)
            self.metrics.room_in_flight.set({"service": service}, sum(room.in_flight.values()))
            self.metrics.room_crowded.set({"service": service}, int(room.is_crowded))
        for rollout in [] if self.rollouts is None else self.rollouts.describe():
            for known in RolloutState:
                labels = {"service": str(rollout["service"]), "state": known.value}
                self.metrics.rollouts.set(labels, int(rollout["state"] == known.value))
        self.metrics.running.set({}, self.forwarder.running)
        self.metrics.held_bytes.set({"direction": "requests"}, self.request_bodies.held_bytes)
        self.metrics.held_bytes.set({"direction": "answers"}, self.forwarder.held.held_bytes)
        self.metrics.config_version.set({}, state.config.version if state.config else 0)
        self.metrics.store_up.set({}, int(state.store_up))
        self.metrics.store_era.set({}, state.era)
        self.metrics.gateways.set({"state": "heard"}, reachable)
        self.metrics.gateways.set({"state": "possible"}, possible)

    async def _expire_connections(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            for pool in self.http.pools.values():
                pool.close_expired()

    def _ignore_reload(self) -> None:
        log_message("reload_ignored", reason="the settings hold nothing that changes while running")

    async def _drain(self) -> None:
        """Report not ready and serve the requests that still arrive.

        Return once no request is in flight and no connection is open, or at the deadline.
        """
        started_at = asyncio.get_running_loop().time()
        log_message("stopping", running=self.forwarder.running, open=len(self.connections))
        grace_s = self.settings.bounds.shutdown_grace_s
        deadline = started_at + grace_s - KILL_MARGIN_S
        stop = self.state.stop = Stop(started_at, grace_s, ends_at=deadline - FINAL_ANSWER_S)
        self.peers.urgent_update.set()
        try:
            await self._serve_until_end(stop)
        finally:
            await self._end_requests()

    async def _serve_until_end(self, stop: Stop) -> None:
        """Return at the end of the stop, or before if nothing is left to serve.

        A step that fails is tried again: requests in flight do not depend on it.
        """
        loop, phase = asyncio.get_running_loop(), StopPhase.SERVE
        while loop.time() < stop.ends_at:
            try:
                for connection in self.connections:
                    connection.stop_reuse()
                await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
                peers = self._update_stop(stop)
                if phase is not StopPhase.CLOSE:
                    phase = await self._change_phase(phase, peers, loop.time() - stop.started_at)
                    continue
                for connection in list(self.connections):
                    connection.close_if_idle()
            except Exception as error:
                log_message("stop_step_failed", phase=phase.value, error=repr(error))
                write_traceback()
                await asyncio.sleep(RESTART_DELAY_S)
                continue
            if not self.forwarder.running and not self.connections:
                break

    def _update_stop(self, stop: Stop) -> list[StopPeer]:
        """Update when callers find another gateway; return the others."""
        peers = self.peers.stop_peers()
        stop.has_ready_peer = any(peer.is_ready for peer in peers)
        successor_at = stop.started_at + stop.grace_s - KILL_MARGIN_S + SUCCESSOR_START_S
        stop.successor_at = stop.started_at if stop.has_ready_peer else successor_at
        return peers

    async def _end_requests(self) -> None:
        """End the requests in flight with a final answer, and close all listeners."""
        unfinished = self.forwarder.running
        self.forwarder.end_unfinished()
        # Still open if steps of the stop have failed.
        await self.caller_listener.close()
        await asyncio.sleep(FINAL_ANSWER_S if unfinished else 0.0)
        for server in self.servers:
            server.close()
        log_message("drained", unfinished=unfinished)

    async def _change_phase(
        self, before: StopPhase, peers: list[StopPeer], age_s: float
    ) -> StopPhase:
        settings = self.settings
        grace_s = settings.bounds.shutdown_grace_s
        phase = plan_stop(settings.host, settings.failure_domain, peers, age_s, grace_s)
        if phase is not before:
            ready = sum(peer.is_ready for peer in peers)
            log_message("stop_phase", phase=phase.value, after_s=age_s, ready_peers=ready)
        if phase is StopPhase.CLOSE:
            await self.caller_listener.close()
        return phase
