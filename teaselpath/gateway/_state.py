"""State of a gateway: configuration, endpoints, weights versions and the other gateways."""

from collections.abc import Callable
from dataclasses import replace

from eliot import log_message

from teaselpath.dispatch import (
    AvailabilityTable,
    EndpointPool,
    EndpointView,
    EngineTimes,
    FairOrder,
    ServiceRoom,
    ServiceTimes,
    SharedQuota,
    SlidingRetryBudget,
    StoreView,
    Topology,
)
from teaselpath.exchange import Stop, is_large_fleet
from teaselpath.fleet import (
    BEFORE_ALL,
    LAPSE_GRACE_S,
    UNKNOWN_ERA,
    Endpoint,
    EndpointState,
    EndpointTable,
    EngineLimits,
    FleetConfig,
    GatewaySettings,
    MetadataStore,
    Position,
    PromptPart,
    RolloutOrder,
    StoredRecord,
    Topic,
    Workspace,
)
from teaselpath.gateway._entities import AnnouncedWeights, LongPlacement, Member, OrderedRollout
from teaselpath.gateway._record_logs import log_endpoint, log_if_older
from teaselpath.gateway._statements import record_leaving

# A gateway that sent a message or was listed within this time may still be running and spend
# quota, in seconds.
MEMBER_EXPIRY_S = 30.0
# Time for which a gateway that was heard keeps its share of the retry budget, in seconds.
RETRY_SHARE_S = 600.0
# Time for which a silent gateway keeps its share, in seconds: it may be cut off from this one only.
SILENT_S = 10.0
# Time for which a gateway that was listed but sent nothing counts, in seconds.
LISTED_S = 5.0
# A gateway that sent a message within this time is reachable, and the quota that it has used is
# known, in seconds. In a large fleet, messages are fewer and pass through relays.
PEER_TIMEOUT_S = 2.5
LARGE_FLEET_PEER_TIMEOUT_S = 4.0
# A store that answers within this time is assumed to be in the region of this gateway, in seconds.
NEAR_STORE_RTT_S = 0.03
# Time in which a start of an endpoint is listed, in seconds.
START_LISTED_S = 5.0
# Time by which a read of the store may be stale or late, in seconds.
READ_MARGIN_S = 3.0
# Fraction of the rollout limit after which engines with older weights receive no more requests. The
# remainder covers requests that are queued inside an engine and gateways that receive an
# announcement late.
OLD_WEIGHTS_FRACTION = 0.75
# Time since which records may have been missed at a gateway that has just started.
UNKNOWN_SINCE = float("-inf")


class GatewayState:
    """State of one gateway process, owned by its event loop.

    Versions only increase: older records from the store or from peers are ignored. Positions of
    records tell which is newer within one era of the store; a store that returns from a copy
    begins a new one.

    :ivar rooms: room at engines by service, where requests compete for it.
    :ivar known_aims: version of the configuration and aims of its routes, by service.
    :ivar era: newest known era of the store; ``UNKNOWN_ERA`` before its first answer.
    :ivar era_seen_at: time at which this gateway first knew of that era, in seconds.
    :ivar restored_at: time at which it last saw the store return from a copy; 0 if it has not.
    :ivar lost_before_return_at: time at which it had lost the store before that return.
    :ivar on_new_era: called for each era after the first.
    :ivar on_endpoint_changed: called with an endpoint as listed before and now, None if it is not.
    :ivar retries_refilled_at: time from which on retry budgets refill, in seconds; None until the
        store has listed the gateways among which they are divided.
    :ivar fair_order: shares of the workspaces; None if they do not compete for room.
    :ivar rollout_orders: newest order for a rollout of software, by service.
    :ivar endpoint_ids: id of each known endpoint by its number.
    :ivar availabilities: what endpoints have stated on whether they take requests.
    :ivar standstill_ended_at: returns when this process last stood still, in seconds; 0 if it has
        not.
    :ivar endpoints_read_at: time at which the last call was sent that has read the endpoints.
    :ivar reads_store: whether this gateway follows the store itself; others receive its records
        from peers.
    :ivar stop: the planned stop of this gateway, once it has begun.
    :ivar store_failed_at: time at which a call of this gateway to the store last failed.
    """

    def __init__(self, settings: GatewaySettings, store: MetadataStore, incarnation: int):
        self.settings = settings
        self.store = store
        self.incarnation = incarnation
        self.topology = Topology(settings.failure_domain, settings.regions)
        self.config: FleetConfig | None = None
        self.operator_records: dict[str, StoredRecord] = {}
        self.announced: dict[str, AnnouncedWeights] = {}
        self.rollout_orders: dict[str, OrderedRollout] = {}
        self.endpoints = EndpointTable()
        self.views: dict[str, EndpointView] = {}
        self.endpoint_ids: dict[int, str] = {}
        self.availabilities = AvailabilityTable()
        self.pools: dict[str, EndpointPool] = {}
        self.service_times: dict[str, ServiceTimes] = {}
        self.rooms: dict[str, ServiceRoom] = {}
        self.known_aims: dict[str, tuple[int, list[float]]] = {}
        self.cache_stores: dict[str, StoreView] = {}
        self.members: dict[str, Member] = {}
        self.retries_refilled_at: float | None = None
        self.quota = SharedQuota(settings.bounds.quota_slack)
        self.fair_order = FairOrder() if settings.is_room_contended else None
        self.retry_budgets: dict[str, SlidingRetryBudget] = {}
        self.era = UNKNOWN_ERA
        self.era_seen_at = 0.0
        self.restored_at = 0.0
        self.lost_before_return_at = 0.0
        self.on_new_era: list[Callable[[], None]] = []
        self.on_endpoint_changed: Callable[[Endpoint | None, Endpoint | None], None] = _ignore
        self.standstill_ended_at: Callable[[], float] = lambda: 0.0
        self.endpoints_read_at = 0.0
        self.store_up = False
        self.store_is_near = False
        self.store_lost_at = 0.0
        self.store_regained_at = 0.0
        self.store_failed_at: float | None = None
        self.reads_store = True
        self.stop: Stop | None = None
        self.has_had_endpoints = False

    @property
    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self.stop is not None

    def is_ready(self) -> bool:
        """Return whether this gateway can serve requests."""
        return self.config is not None and self.has_had_endpoints and not self.is_stopping

    # configuration and weights

    def apply_operator_record(
        self, record: StoredRecord, source: str, now: float, missed_since: float | None = None
    ) -> None:
        """Apply a record of the operators' topic if its version is newer than the known one.

        A record of an older position in the same era is ignored whatever its version.

        :param missed_since: time since which records may have been written without this gateway
            receiving them, in seconds; None if it received each one as it was written.
        """
        known = self.operator_records.get(record.key)
        is_same_era = known is not None and known.position.era == record.position.era
        if known is not None and is_same_era and record.position <= known.position:
            log_if_older(record, known, source)
            return
        config = self.store.decode_config(record)
        weights = self.store.decode_weights(record)
        if config is not None:
            before = self.config.version if self.config else None
            if self._is_newer_version(record, config.version, before, source):
                self._apply_config(config, record, source)
        elif weights is not None:
            model, version = weights
            announced = self.announced.get(model)
            before = announced.version if announced else None
            if self._is_newer_version(record, version, before, source):
                self._apply_weights(model, version, record, source)
                self._record_announcement(model, version, now, missed_since)
        elif self.settings.rollout is not None and (order := self.store.decode_rollout(record)):
            self._apply_rollout(order, record, source, now, missed_since)
        elif record.value:
            log_message("record_ignored", key=record.key, offset=record.position.offset)

    def _is_newer_version(
        self, record: StoredRecord, version: int, known_version: int | None, source: str
    ) -> bool:
        """Return whether a version is newer; the same one written again only moves its record."""
        if known_version is None or version > known_version:
            return True
        known = self.operator_records.get(record.key)
        if known is not None and version == known_version:
            position = max(known.position, record.position)
            self.operator_records[record.key] = replace(known, position=position)
        elif known is not None:
            log_if_older(record, known, source)
        return False

    def _apply_config(self, config: FleetConfig, record: StoredRecord, source: str) -> None:
        before = self.config.version if self.config else None
        self.config = config
        self.operator_records[record.key] = record
        if self.fair_order is not None:
            self.fair_order.set_weights({w.name: w.rate for w in config.workspaces.values()})
        self.cache_stores = {
            s.address: self.cache_stores.get(s.address) or StoreView(s) for s in config.cache_stores
        }
        log_message(
            "config_applied",
            version=config.version,
            before=before,
            offset=record.position.offset,
            era=record.position.era,
            source=source,
        )

    def _apply_weights(self, model: str, version: int, record: StoredRecord, source: str) -> None:
        announced = self.announced.setdefault(model, AnnouncedWeights(version))
        announced.version = version
        self.operator_records[record.key] = record
        log_message("weights_named", model=model, version=version, source=source)

    def _record_announcement(
        self, model: str, version: int, now: float, missed_since: float | None
    ) -> None:
        """Record when a version that has just been read was announced.

        One that may be old is assumed to be so old that its older versions can still be used for
        the time in which a host recovers from the fault that hid the announcement.
        """
        if missed_since is None:
            self.announced[model].record_announcement(version, now)
            return
        bounds = self.settings.bounds
        spare_s = max(0.0, bounds.rollout_limit_s - bounds.recovery_window_s)
        assumed_at = max(missed_since, now - OLD_WEIGHTS_FRACTION * spare_s)
        self.announced[model].assume_announcement(version, assumed_at)
        log_message("weights_age_assumed", model=model, version=version, age_s=now - assumed_at)

    def _apply_rollout(
        self,
        order: RolloutOrder,
        record: StoredRecord,
        source: str,
        now: float,
        missed_since: float | None,
    ) -> None:
        """Record an order; one that may be old is as old as a host's recovery takes."""
        known = self.rollout_orders.get(order.service)
        is_copy = known is not None and known.order.position.era != order.position.era
        if known is not None and is_copy and order.content in known.replaced:
            log_if_older(record, self.operator_records.get(record.key), source)
            return
        self.operator_records[record.key] = record
        if known is not None and order.content == known.order.content:
            known.order = order
            return
        seen_at = now
        if missed_since is not None:
            seen_at = max(missed_since, now - self.settings.bounds.recovery_window_s)
        replaced = frozenset() if known is None else known.replaced | {known.order.content}
        self.rollout_orders[order.service] = OrderedRollout(
            order, seen_at, replaced - {order.content}
        )
        log_message(
            "rollout_ordered",
            service=order.service,
            target=order.target,
            duration_s=order.duration_s,
            offset=record.position.offset,
            source=source,
        )

    def required_version(self, model: str, now: float) -> int:
        """Return the oldest weights version of a model that may run requests; 0 for no limit."""
        announced = self.announced.get(model)
        if announced is None:
            return 0
        # The lease on orders is free again only some time after the store has returned from a copy.
        return announced.oldest_usable_version(
            now,
            OLD_WEIGHTS_FRACTION * self.settings.bounds.rollout_limit_s,
            self.lost_before_return_at,
            self.restored_at,
        )

    def newest_position(self, topic: Topic) -> Position:
        """Return the position of the newest applied record of a followed topic."""
        if topic is Topic.ENDPOINTS:
            return self.endpoints.position
        positions = (record.position for record in self.operator_records.values())
        return max(positions, default=BEFORE_ALL)

    def announced_versions(self) -> dict[str, int]:
        """Return the newest announced version of each model's weights."""
        return {model: announced.version for model, announced in self.announced.items()}

    # endpoints

    def may_be_lapse(self, now: float) -> bool:
        """Return whether a removal may be caused by a store outage or a restoration.

        Endpoints cannot renew their entries during an outage, so that the entries lapse. Each that
        is still missing once it could have been renewed belongs to an endpoint that is gone.
        """
        return not self.store_up or now < self._entries_renewed_by(now)

    def _entries_renewed_by(self, now: float) -> float:
        """Return the time by which running endpoints have renewed their entries, in seconds."""
        returns_at = self.store_returned_at if self.store_up else now
        return max(now, returns_at + LAPSE_GRACE_S)

    def may_lack_copied(self, now: float) -> bool:
        """Return whether the store, back from a copy, may lack entries of running endpoints."""
        return bool(self.restored_at) and now < self.restored_at + LAPSE_GRACE_S

    @property
    def copies_expire_at(self) -> float:
        """Time from which the store lists only endpoints that renew their entries."""
        return self.store_returned_at + self.settings.entry_expiry_s + READ_MARGIN_S

    @property
    def store_returned_at(self) -> float:
        """Time at which the store last returned, with all that it had or from a copy."""
        return max(self.store_regained_at, self.era_seen_at)

    def apply_endpoint_record(self, record: StoredRecord, source: str, now: float) -> None:
        """Apply a record of the endpoint topic if it is newer than the known one."""
        known = self.endpoints.entries.get(record.key)
        if known is not None and known.record == record:
            return
        entry = self.store.decode_endpoint(record)
        lapse = self.may_be_lapse(now)
        before = self.endpoints.get(record.key)
        is_renewed = self.store_up and now >= self.copies_expire_at
        change = self.endpoints.apply(
            entry,
            now,
            may_be_lapse=lapse,
            is_renewed=is_renewed,
            renewed_by=self._entries_renewed_by(now),
        )
        if change == "outdated":
            log_if_older(record, known.record if known else None, source)
        elif change is not None:
            log_endpoint(change, entry, source)
        if before != self.endpoints.get(record.key):
            self._refresh_view(record.key, now)
        view = self.views.get(record.key)
        if view is not None and view.endpoint.state is EndpointState.LEAVING:
            # Binds also if a stale record lists this start of the endpoint as ready again.
            record_leaving(view, now + self.settings.bounds.drain_s, source)

    def remove_unlisted(self, keys: set[str], end: Position, now: float) -> None:
        """Remove endpoints that a listing up to ``end``, whose records were applied, lacks."""
        lapse = self.may_be_lapse(now)
        renewed_by = self._entries_renewed_by(now)
        for key in self.endpoints.remove_unlisted(
            keys, end, now, may_be_lapse=lapse, renewed_by=renewed_by
        ):
            log_message(
                "endpoint_unlisted",
                endpoint=key,
                end=end.offset,
                era=end.era,
                may_be_lapse=key in self.endpoints.lapsed,
            )
            self._refresh_view(key, now)

    def expire_lapses(self, now: float) -> None:
        """Remove endpoints whose entries were not renewed after a store outage."""
        if not self.store_up:
            self.endpoints.extend_lapses(now)
            return
        for key in self.endpoints.expire(now):
            log_message("endpoint_removed", endpoint=key, source="lapse")
            self._refresh_view(key, now)

    def _refresh_view(self, key: str, now: float) -> None:
        endpoint = self.endpoints.get(key)
        view = self.views.get(key)
        if view is not None:
            self.endpoint_ids.pop(view.endpoint.number, None)
        if view is not None and (endpoint is None or endpoint.service != view.endpoint.service):
            self.pool(view.endpoint.service).remove(key)
        self.on_endpoint_changed(view.endpoint if view is not None else None, endpoint)
        if endpoint is None:
            self.views.pop(key, None)
            return
        if view is None or view.endpoint.incarnation != endpoint.incarnation:
            availability = self.availabilities.get(endpoint.number)
            view = self.views[key] = EndpointView(
                endpoint,
                weights=dict(endpoint.weights),
                availability=availability,
                times=EngineTimes(self._times_of(endpoint.service)),
                known_since=now,
            )
        else:
            view.endpoint = endpoint
            for model, version in endpoint.weights:
                view.record_weights(model, version)
        self.endpoint_ids[endpoint.number] = key
        self.pool(endpoint.service).put(view)
        self.has_had_endpoints = True

    def knows_software(self, view: EndpointView, now: float) -> bool:
        """Return whether the software version of an endpoint's entry is that of its process.

        A process that was not reachable, or that ran while this gateway stood still, may have been
        replaced, which its next entry tells.
        """
        if self.standstill_ended_at() > self.endpoints_read_at:
            return False
        lost_at = view.health.unreachable_at
        if lost_at is None:
            return True
        listed_from = max(lost_at, self.store_returned_at)
        return self.store_up and now - listed_from > START_LISTED_S

    def pool(self, service: str) -> EndpointPool:
        """Return the endpoints of a service."""
        return self.pools.setdefault(service, EndpointPool())

    def room(self, service: str) -> ServiceRoom | None:
        """Return the room at the engines of a service; None if requests do not compete for it."""
        config = self.config
        if not self.settings.is_room_contended or config is None:
            return None
        known = config.services.get(service)
        if known is None or known.engine is None:
            return None
        return self.rooms.setdefault(service, ServiceRoom())

    def aims_s(self, service: str) -> list[float]:
        """Return the aims of the routes that use a service, in seconds; 0 for none."""
        config = self.config
        if config is None:
            return []
        version, aims = self.known_aims.get(service, (0, []))
        if version != config.version:
            aims = [
                route.target_latency_s
                for routes in config.routes.values()
                for route in routes
                if any(backend.service == service for backend in route.backends)
            ]
            self.known_aims[service] = config.version, aims
        return aims

    def possible_peers(self, now: float) -> list[str]:
        """Return the other gateways that may send requests, those that are silent included."""
        return [
            member.host
            for member in self.members.values()
            if now - member.last_contact_at < SILENT_S
            or (not member.last_contact_at and now - member.listed_at < LISTED_S)
        ]

    def apply_placement(self, placement: LongPlacement, now: float) -> float | None:
        """Account for a long prompt that this or another gateway sends to an engine.

        :returns: mark of the prompt in the engine's backlog, for ``Backlog.mark_done``; None for
            an unknown engine or an earlier incarnation of it.
        """
        view = self.views.get(placement.endpoint_id)
        if view is None or view.endpoint.started_at_ms != placement.started_at_ms:
            return None
        parts = [PromptPart(part_id, tokens) for part_id, tokens in placement.parts]
        view.cache.record_expected(placement.scope, parts, now)
        view.largest.record(placement.prompt_tokens + placement.output_tokens, now)
        transfers = {
            placement.copied_from: placement.copied_tokens,
            placement.saved_to: sum(part.tokens for part in parts),
        }
        for address, tokens in transfers.items():
            store_view = self.cache_stores.get(address or "")
            engine = self._engine_limits(view.endpoint.service)
            if store_view is not None and engine is not None:
                domain = view.endpoint.failure_domain
                store_view.link.add(
                    store_view.transfer_s(tokens, domain, engine, self.topology), now
                )
                if address == placement.saved_to:
                    store_view.cache.record_expected(placement.scope, parts, now)
        return view.backlog.add(view.times.prefill_s(placement.unread_tokens, now), now)

    def _times_of(self, service: str) -> ServiceTimes:
        times = self.service_times.get(service)
        if times is None:
            times = ServiceTimes(is_learning=self.settings.is_room_contended)
            self.service_times[service] = times
        return times

    def _engine_limits(self, service: str) -> EngineLimits | None:
        found = self.config.services.get(service) if self.config else None
        return found.engine if found else None

    # store

    def observe_era(self, era: int, source: str, now: float) -> bool:
        """Record the era that the store or a peer states; return False if it is over."""
        if era > self.era:
            is_first = self.era == UNKNOWN_ERA
            before = None if is_first else self.era
            log_message("store_era_changed", before=before, era=era, source=source)
            # A loss that ended long before has nothing to do with this return.
            recovery_window_s = self.settings.bounds.recovery_window_s
            is_back_lately = now - self.store_returned_at < recovery_window_s
            was_lost = not is_first and (not self.store_up or is_back_lately)
            self.era, self.era_seen_at = era, now
            self.endpoints.extend_lapses(now)
            if not is_first:
                self.lost_before_return_at = self.store_lost_at if was_lost else now
                self.restored_at = now
                for callback in self.on_new_era:
                    callback()
        return era == self.era

    def record_store_success(self, now: float, rtt_s: float | None = None) -> None:
        """Record that the store answered.

        :param rtt_s: duration of a call without long polling, in seconds; None for a long poll.
        """
        if rtt_s is not None:
            self.store_is_near = rtt_s < NEAR_STORE_RTT_S
        if not self.store_up:
            self.store_up = True
            self.store_regained_at = now
            away_s = now - self.store_lost_at if self.store_lost_at else None
            log_message("store_regained", away_s=away_s)

    def record_store_failure(self, reason: str, now: float) -> None:
        """Record that a call to the store failed."""
        self.store_failed_at = now
        if self.store_up:
            self.store_up = False
            self.store_lost_at = now
            log_message("store_lost", reason=reason)

    def reaches_store(self, now: float, distrust_s: float) -> bool:
        """Return whether the store is up and no call of this gateway failed lately.

        :param distrust_s: time after a failed call for which the result is False, in seconds.
        """
        failed_at = self.store_failed_at
        return self.store_up and (failed_at is None or now - failed_at > distrust_s)

    # other gateways

    def record_member(
        self, host: str, ip: str, incarnation: int, now: float, failure_domain: str = ""
    ) -> Member:
        """Record a gateway that sent a message, or that the store or a peer lists.

        :param failure_domain: empty if unknown.
        """
        member = self.members.get(host)
        if member is None or member.incarnation != incarnation:
            last_contact_at = member.last_contact_at if member else 0.0
            member = Member(host, ip, incarnation, last_contact_at, now)
            self.members[host] = member
            log_message("member_listed", host=host, ip=ip, incarnation=incarnation)
        member.failure_domain = failure_domain or member.failure_domain
        return member

    def record_member_list(self, now: float, *, is_restart: bool) -> None:
        """Record that the store has listed the gateways for the first time.

        :param is_restart: whether an earlier process on this host may have spent its retries.
        """
        window_s = self.settings.bounds.retry_window_s
        self.retries_refilled_at = now if is_restart else now - window_s

    def peer_timeout_s(self) -> float:
        """Return the time without a message after which a gateway counts as unreachable."""
        return LARGE_FLEET_PEER_TIMEOUT_S if is_large_fleet(len(self.members)) else PEER_TIMEOUT_S

    def count_gateways(self, now: float) -> tuple[int, int]:
        """Return the numbers of reachable and of possibly running gateways, including this one."""
        reachable = possible = 1
        timeout_s = self.peer_timeout_s()
        for host, member in self.members.items():
            if now - member.last_contact_at < timeout_s:
                reachable += 1
            if self.may_be_running(host, now):
                possible += 1
        return reachable, max(reachable, possible)

    def may_be_running(self, host: str, now: float) -> bool:
        """Return whether another gateway was listed or heard of lately."""
        member = self.members[host]
        return now - max(member.last_contact_at, member.listed_at) < MEMBER_EXPIRY_S

    def count_retry_shares(self, now: float) -> int:
        """Return the number of gateways that may send retries, including this one; 0 if unknown.

        One that was heard keeps its share for long: behind a cut it still uses it.
        """
        if self.retries_refilled_at is None:
            return 0
        return 1 + sum(
            self.may_be_running(host, now)
            or (member.last_contact_at > 0.0 and now - member.last_contact_at < RETRY_SHARE_S)
            for host, member in self.members.items()
        )

    def retry_budget(self, service: str, now: float) -> SlidingRetryBudget:
        """Return the retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            refilled_at = self.retries_refilled_at
            refilled_at = now if refilled_at is None else refilled_at
            budget = SlidingRetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s, refilled_at
            )
            self.retry_budgets[service] = budget
        return budget

    def workspace_of(self, key: str | None) -> Workspace | None:
        """Return the workspace that owns an API key."""
        if self.config is None or key is None:
            return None
        return self.config.workspaces.get(key)


def _ignore(_before: Endpoint | None, _after: Endpoint | None) -> None:
    """Ignore a change of the listed endpoints."""
