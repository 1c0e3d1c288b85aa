"""Tasks that follow the cache contents of engines and stores.

In large fleets the caches of engines in other regions are not followed: the link between regions
has little bandwidth and is paid by volume, and each gateway would add to the traffic.
"""

import asyncio
from dataclasses import dataclass

from eliot import log_message

from teaselpath.dispatch import EndpointHealth, EndpointView, PartCache, StoreView
from teaselpath.fleet import CacheChanges, EngineCallError, EngineCalls
from teaselpath.gateway._state import GatewayState
from teaselpath.gateway._statements import record_hold_off, record_leaving
from teaselpath.utils import rendezvous_top

# Duration of a long poll for cache changes, in seconds.
POLL_WAIT_S = 0.5
# Duration of a long poll in a large fleet, in seconds; engines treat polls below 0.2 s as probes.
SHORT_POLL_WAIT_S = 0.25
# Pause after each of these polls, in seconds, so that the polls of all gateways do not exceed the
# dozen or so that an engine or store handles concurrently.
SHORT_POLL_PAUSE_S = 0.6
# Number of gateways, including this one, from which polls are short and stay within the region.
SHORT_POLL_MIN_GATEWAYS = 7
# Largest number of engines that one gateway follows, so that neither its work nor the polls per
# engine grow with the fleet; an engine handles about a dozen polls concurrently.
MAX_FOLLOWED_ENGINES = 64
# Time for the answer beyond the duration of the long poll, in seconds.
ANSWER_TIMEOUT_S = 0.45
# Shortest interval between two polls of one cache, in seconds, except after the first missed poll
# and after a full page.
MIN_POLL_INTERVAL_S = 0.15
# Number of changes in an answer from which the next poll follows without a pause, since further
# changes are likely to be pending.
FULL_PAGE_CHANGES = 400
# Consecutive polls without an answer after which an engine or store counts as unreachable.
MAX_MISSED_POLLS = 2
CHECK_INTERVAL_S = 0.2


@dataclass(slots=True, frozen=True)
class _Target:
    """An engine or store whose cache is followed.

    :param view: None for a store.
    """

    name: str
    address: str
    cache: PartCache
    health: EndpointHealth
    view: EndpointView | None = None


class CacheWatcher:
    """Runs one task per engine and store that follows its cache.

    An engine or store that does not reply to its polls is excluded from placement.
    """

    def __init__(self, state: GatewayState, engines: EngineCalls):
        self.state = state
        self.engines = engines
        self.loop = asyncio.get_running_loop()
        self.tasks: dict[tuple, asyncio.Task] = {}

    async def run(self) -> None:
        """Start and stop followers as engines and stores change, until cancelled."""
        try:
            while True:
                self._reconcile_followers()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            for task in self.tasks.values():
                task.cancel()

    def _reconcile_followers(self) -> None:
        targets: dict[tuple, _Target] = {}
        is_large = self._is_large_fleet()
        for view in self._followed_engines(is_large):
            endpoint = view.endpoint
            target = _Target(endpoint.endpoint_id, endpoint.address, view.cache, view.health, view)
            targets[endpoint.incarnation, endpoint.address] = target
        for address, store_view in self._followed_stores(is_large):
            targets[address, "store"] = _Target(
                store_view.store.service, address, store_view.cache, store_view.health
            )
        for key in [key for key in self.tasks if key not in targets]:
            self.tasks.pop(key).cancel()
        for key, target in targets.items():
            if key not in self.tasks:
                self.tasks[key] = self.loop.create_task(self._follow(target))

    def _is_large_fleet(self) -> bool:
        """Return whether many gateways follow the same caches."""
        return self.state.count_gateways(self.loop.time())[1] >= SHORT_POLL_MIN_GATEWAYS

    def _followed_engines(self, is_large: bool) -> list[EndpointView]:
        """Return the engines whose caches are followed.

        A large fleet follows those of this region only; beyond ``MAX_FOLLOWED_ENGINES`` each
        gateway follows a subset that is chosen by rendezvous hashing of its host name.
        """
        engines = [view for view in self.state.views.values() if view.weights]
        if is_large:
            is_own_region = self.state.topology.is_own_region
            engines = [view for view in engines if is_own_region(view.endpoint.failure_domain)]
        if len(engines) <= MAX_FOLLOWED_ENGINES:
            return engines
        by_id = {view.endpoint.endpoint_id: view for view in engines}
        chosen = rendezvous_top(self.state.settings.host.encode(), by_id, MAX_FOLLOWED_ENGINES)
        return [by_id[name] for name in chosen]

    def _followed_stores(self, is_large: bool) -> list[tuple[str, StoreView]]:
        """Return the stores of this region, or all if it has none or the fleet is small."""
        stores = list(self.state.cache_stores.items())
        is_own_region = self.state.topology.is_own_region
        near = [s for s in stores if not is_large or is_own_region(s[1].store.failure_domain)]
        return near or stores

    async def _follow(self, target: _Target) -> None:
        cursor, epoch, missed = 0, None, 0
        while True:
            await self._wait_while_held_off(target)
            started_at = self.loop.time()
            is_large = self._is_large_fleet()
            wait_s = SHORT_POLL_WAIT_S if is_large else POLL_WAIT_S
            try:
                page = await self.engines.poll_cache_changes(
                    target.address, cursor, wait_s, started_at + wait_s + ANSWER_TIMEOUT_S
                )
            except EngineCallError as error:
                if error.hold_off_s and target.view is not None:
                    record_hold_off(target.view, error.hold_off_s, self.loop.time())
                missed = 0 if error.has_reply else missed + 1
                if missed == MAX_MISSED_POLLS and not target.health.is_unreachable:
                    target.health.is_unreachable = True
                    target.health.unreachable_at = self.loop.time()
                    log_message("engine_silent", endpoint=target.name, reason=str(error))
                # After the first missed poll the next one follows at once, since requests are still
                # sent to the engine.
                await asyncio.sleep(0.0 if missed == 1 else MIN_POLL_INTERVAL_S)
                continue
            if target.health.is_unreachable:
                target.health.is_unreachable = False
                log_message("engine_regained", endpoint=target.name)
            missed = 0
            if page.is_leaving and target.view is not None:
                drain_s = self.state.settings.bounds.drain_s
                record_leaving(target.view, self.loop.time() + drain_s, "cache poll")
            if epoch != page.epoch or page.has_gap:
                self._clear_index(target, epoch, page)
            if epoch not in (None, page.epoch):
                # The cursor belongs to the history before the restart.
                epoch, cursor = page.epoch, 0
                await asyncio.sleep(MIN_POLL_INTERVAL_S)
                continue
            epoch, cursor = page.epoch, page.cursor
            target.cache.is_followed = True
            apply_changes(target.cache, page)
            pause_s = MIN_POLL_INTERVAL_S - (self.loop.time() - started_at)
            if is_large:
                pause_s = SHORT_POLL_PAUSE_S
            if pause_s > 0 and len(page.changes) < FULL_PAGE_CHANGES:
                await asyncio.sleep(pause_s)

    async def _wait_while_held_off(self, target: _Target) -> None:
        """Wait while an engine wants nothing of this gateway."""
        if target.view is None:
            return
        while target.view.availability.is_held_off(self.loop.time()):
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _clear_index(self, target: _Target, epoch: int | None, page: CacheChanges) -> None:
        log_message(
            "cache_index_cleared",
            endpoint=target.name,
            reason="start" if epoch is None else "restart" if epoch != page.epoch else "gap",
            has_gap=page.has_gap,
            changes=len(page.changes),
            cursor=page.cursor,
        )
        target.cache.clear()


def apply_changes(cache: PartCache, page: CacheChanges) -> None:
    """Apply the changes of a page to a cache, in order."""
    for change in page.changes:
        if change.tokens > 0:
            cache.record_stored(change.scope, change.part_id, change.tokens)
        else:
            cache.record_evicted(change.scope, change.part_id)
