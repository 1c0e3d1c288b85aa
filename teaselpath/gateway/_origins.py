"""Origins of streams at one gateway: who is told of them, and who is asked."""

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import Protocol

from eliot import log_message

from teaselpath.dispatch import EndpointView
from teaselpath.fleet import Endpoint, MetadataStore
from teaselpath.gateway._call import Call
from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.gateway._origin_questions import OriginQuestions
from teaselpath.gateway._origin_store import OriginRecorder
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway._version_store import VersionSynchronizer
from teaselpath.lineage import (
    MAX_NOTE_STREAMS,
    MAX_TOLD_GATEWAYS,
    MIN_TAKE_UP_S,
    LineageMessage,
    Origin,
    OriginNote,
    OriginQuery,
    OriginReply,
    OriginTable,
    VersionHistory,
    VersionNote,
    choose_holders,
    find_version,
    stream_key,
    take_up_time_s,
)

# Key that stands for no stream in a question for versions only.
NO_STREAM = 0
# Interval at which origins and versions that no longer count are forgotten, in seconds.
EXPIRE_INTERVAL_S = 1.0
# Time after the start in which a gateway learns the versions of the store before it is ready, in
# seconds.
INFORM_S = 2.5


class LineageChannel(Protocol):
    """Messages to other gateways."""

    def send_lineage(self, hosts: list[str] | None, message: LineageMessage) -> None:
        """Send a message to gateways by host, to all if ``hosts`` is None."""

    def reply_lineage(self, ip: str, message: LineageMessage) -> None:
        """Send a message to the gateway at an address."""


class StreamOrigins:
    """Knows at which software version streams began, and tells other gateways.

    :param state: state of this gateway, with the endpoints that are listed.
    :param confirm_endpoints: reads the endpoints from the store, and returns whether all that it
        lists by now are known.
    :ivar history: versions of each service.
    :ivar has_no_gaps: whether all whole streams of a service were numbered without gaps.
    :ivar synchronizer: reads and writes the versions in the store.
    :ivar recorder: reads and writes the origins of unfinished streams in the store.
    """

    def __init__(
        self,
        state: GatewayState,
        store: MetadataStore,
        metrics: GatewayMetrics,
        channel: LineageChannel,
        confirm_endpoints: Callable[[], Awaitable[bool]],
    ):
        self.state = state
        self.metrics = metrics
        self.channel = channel
        self.confirm_endpoints = confirm_endpoints
        self.history = VersionHistory()
        self.table = OriginTable()
        self.synchronizer = VersionSynchronizer(state, store, self.history)
        self.recorder = OriginRecorder(state.settings.host, store, self.table)
        self.loop = asyncio.get_running_loop()
        self.questions = OriginQuestions(channel.send_lineage)
        self.started_at = self.loop.time()
        self.has_no_gaps: dict[str, bool] = {}

    async def run(self) -> None:
        """Forget what no longer counts, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            now = self.loop.time()
            self.table.expire(now)
            self.history.expire(now)
            self.recorder.expire(now)

    # versions

    def update_versions(self, before: Endpoint | None, after: Endpoint | None) -> None:
        """Record an endpoint as it was listed before and is now, None if it is not."""
        is_new = False
        if after is not None:
            is_new = self.history.of(after.service).add_engine(after.software)
        if before is not None:
            self.history.of(before.service).remove_engine(before.software, self.loop.time())
        if after is not None and is_new:
            log_message("version_found", service=after.service, version=after.software)
            self.channel.send_lineage(None, VersionNote(after.service, after.software))
            self._tell_own_streams(after.service, self.loop.time())
            self.synchronizer.write_soon()

    def greet(self, host: str) -> None:
        """Tell a gateway that has started, or was cut off, of versions and own streams."""
        for service, history in self.history.services.items():
            for version in history.listed:
                self.channel.send_lineage([host], VersionNote(service, version))
            self._tell_own_streams(service, self.loop.time(), host)

    def _tell_own_streams(self, service: str, now: float, target: str | None = None) -> None:
        """Tell of own streams in a service of several versions, also of those that began before.

        :param target: host of the only gateway that is told; None for all that hold them.
        """
        if len(self.history.of(service).versions_since(now - MIN_TAKE_UP_S)) < 2:
            return
        self.recorder.write_soon()
        held: dict[tuple[str, str | None], list[int]] = defaultdict(list)
        expires_at = now
        for key, origin in self.recorder.unfinished.items():
            if origin.service != service:
                continue
            expires_at = max(expires_at, origin.expires_at)
            holders = choose_holders(key, self.state.members)
            for host in holders if target is None else {target}.intersection(holders):
                held[host, origin.version].append(key)
        for (host, version), keys in held.items():
            for start in range(0, len(keys), MAX_NOTE_STREAMS):
                part = keys[start : start + MAX_NOTE_STREAMS]
                note = OriginNote(service, version, _left_ms(expires_at, now), part)
                self.channel.send_lineage([host], note)

    def is_informed(self) -> bool:
        """Return whether earlier versions are known, or cannot be learned soon."""
        is_late = self.loop.time() - self.started_at > INFORM_S
        return (self.synchronizer.has_read and self.recorder.has_read) or is_late

    def _only_version(self, call: Call, now: float) -> str | None:
        """Return the version of all streams that callers may take up; None if it is not known.

        That is as this gateway knows it, which may have been cut off or have stood still.
        """
        if not self.synchronizer.has_read:
            return None
        since = now - take_up_time_s(call.route.timeout_s)
        return self.history.of(call.service.name).only_version_since(since)

    def _learns_versions(self, now: float) -> bool:
        """Return whether this gateway learns of new versions: from the store, or from others."""
        if self.state.store_up:
            return True
        reachable, possible = self.state.count_gateways(now)
        return reachable > 1 or possible == 1

    # streams

    def record_begun(self, call: Call, view: EndpointView) -> None:
        """Record the engine of a stream's first event, and tell others where it matters."""
        now = self.loop.time()
        call.software = view.endpoint.software if self.state.knows_software(view, now) else None
        call.has_begun = True
        if not call.route.is_resumable:
            return
        service = call.service.name
        keep_s = take_up_time_s(call.route.timeout_s)
        key = self._key(call, call.request.request_id)
        origin = Origin(service, call.software, now + keep_s)
        self.table.record(key, origin)
        self.recorder.add(key, origin)
        is_only = call.software is not None and call.software == self._only_version(call, now)
        if is_only and self._learns_versions(now):
            return
        self.recorder.write_soon()
        note = OriginNote(service, call.software, int(keep_s * 1000), [key])
        self.channel.send_lineage(choose_holders(key, self.state.members), note)

    def record_finished(self, call: Call) -> None:
        """Record that a caller has its answer, which it will not take up."""
        if call.has_begun and not call.takes_up:
            self.recorder.discard(self._key(call, call.request.request_id))
            service = call.service.name
            has_no_gaps = call.splitter.is_numbered_without_gaps
            self.has_no_gaps[service] = self.has_no_gaps.get(service, True) and has_no_gaps

    async def resolve(self, call: Call) -> bool:
        """Find the version of the stream that a request takes up; return whether it is known.

        The request is then bound to it, ``call.software``.
        """
        if not call.takes_up:
            return True
        version, source = await self._find_version(call)
        is_known = version is not None
        log_message(
            "stream_taken_up",
            request_id=call.request.request_id,
            resumes=call.request.resumes,
            software=version,
            source=source if is_known else None,
        )
        self.metrics.count_take_up(source if is_known else "unknown")
        call.software, call.has_begun = version, is_known
        if self.has_no_gaps.get(call.service.name, False):
            call.splitter.require_next()
        return is_known

    async def _find_version(self, call: Call) -> tuple[str | None, str]:
        """Return the version of the stream that a request takes up, and what told it.

        What this gateway knew when the request came is no proof: the stream may have begun at a
        version that appeared while the request waited, or while this gateway was out of step.
        """
        now, resumes = self.loop.time(), call.request.resumes
        key = None if resumes is None else self._key(call, resumes)
        origin = None if key is None else self.table.get(key, now)
        if origin is not None and self._is_listed(origin):
            return origin.version, "record"
        is_confirmed = await self.confirm_endpoints()
        origin = None if key is None else self.table.get(key, self.loop.time())
        if origin is not None:
            return origin.version, "record"
        version = self._only_version(call, self.loop.time())
        if version is not None and is_confirmed:
            return version, "versions"
        return await self._ask(call, key, may_agree=not is_confirmed), "gateway"

    def _is_listed(self, origin: Origin) -> bool:
        """Return whether an engine of the version of a stream is known."""
        return origin.version in self.history.of(origin.service).listed

    async def _ask(self, call: Call, key: int | None, *, may_agree: bool) -> str | None:
        """Ask other gateways at which version a stream began; None if that cannot be told.

        :param key: key of the stream; None if its caller does not name the request that began it.
        :param may_agree: whether the only version that all of them know counts, since the store
            cannot be read.
        """
        since_s, now = take_up_time_s(call.route.timeout_s), self.loop.time()
        if key is None:
            # Nobody knows the stream, so that only all gateways together can tell its version.
            if not may_agree or len(self.state.members) > MAX_TOLD_GATEWAYS:
                return None
            key = NO_STREAM
        hosts = choose_holders(key, self.state.members, is_query=True)
        running = [host for host in hosts if self.state.may_be_running(host, now)]
        own = self.history.of(call.service.name).versions_since(now - since_s)
        replies = await self.questions.ask(hosts, key, call.service.name, since_s) if hosts else {}
        has_all = all(self.state.members[host].ip in replies for host in running)
        is_complete = may_agree and self.synchronizer.has_read and has_all
        found = find_version(own, replies.values(), is_complete=is_complete)
        if found is None:
            return None
        if found.is_known:
            expires_at = self.loop.time() + found.left_ms / 1000
            self.table.record(key, Origin(call.service.name, found.version, expires_at))
        return found.version

    def _key(self, call: Call, request_id: str) -> int:
        workspace = call.workspace.name if call.workspace is not None else ""
        return stream_key(call.service.name, workspace, request_id)

    # other gateways

    def handle(self, message: LineageMessage, ip: str) -> None:
        """Handle a message of the gateway at an address."""
        now = self.loop.time()
        match message:
            case VersionNote(service, version):
                self._learn_version(service, version, now)
            case OriginNote(service, version, left_ms, keys):
                self._learn_version(service, version, now)
                for key in keys:
                    self.table.record(key, Origin(service, version, now + left_ms / 1000))
            case OriginQuery():
                self.channel.reply_lineage(ip, self._reply(message, now))
            case OriginReply():
                self.questions.handle_reply(message, ip)

    def _learn_version(self, service: str, version: str | None, now: float) -> None:
        if self.history.of(service).observe(version, now):
            log_message("version_learned", service=service, version=version)
            self._tell_own_streams(service, now)

    def _reply(self, query: OriginQuery, now: float) -> OriginReply:
        origin = self.table.get(query.key, now)
        if origin is not None:
            left_ms = _left_ms(origin.expires_at, now)
            return OriginReply(query.number, True, origin.version, left_ms)
        versions = None
        if query.service and self.synchronizer.has_read:
            history = self.history.of(query.service)
            versions = list(history.versions_since(now - query.since_ms / 1000))
        return OriginReply(query.number, False, None, 0, versions)


def _left_ms(until: float, now: float) -> int:
    return max(0, int((until - now) * 1000))
