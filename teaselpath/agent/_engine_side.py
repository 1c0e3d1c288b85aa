"""The agent's side towards a model engine: watch, orders, kept cache, cache salts."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence

import aiohttp

from teaselpath.agent._admission import model_body
from teaselpath.agent._engine import EngineState, EngineWatcher, LoadReport
from teaselpath.agent._kept_cache import KeptCache
from teaselpath.agent._orders import OrderService
from teaselpath.bundle import Bundle
from teaselpath.clients import CacheStoreClient
from teaselpath.control import ControlPlane
from teaselpath.prefix import CacheIndex
from teaselpath.wire import Start

DEFAULT_BLOCK_TOKENS = 2048
PREFILL_POLL_S = 0.02


class EngineSide:
    """State of the engine, and what is done to it.

    :param plane: configuration and settings of this process.
    :param session: HTTP session to the engine and the store.
    :param load_changed: called after each change of the load report.
    :param spawn: starts a task whose life is bound to the agent.
    """

    def __init__(
        self,
        plane: ControlPlane,
        session: aiohttp.ClientSession,
        load_changed: Callable[[], None],
        spawn: Callable[[Coroutine], None],
    ):
        self.plane = plane
        self.session = session
        self.load_changed = load_changed
        self.spawn = spawn
        self.endpoint = plane.settings.endpoint
        self.state = EngineState(CacheIndex())
        self.watcher = EngineWatcher(self.endpoint.url, session, self.state, self._changed)
        self.orders: OrderService | None = None
        self.kept_cache = self._make_kept_cache()
        # Runs whose salt names the engine's weights and that have no first byte yet.
        self.prefilling: set[str] = set()

    def _make_kept_cache(self) -> KeptCache | None:
        settings = self.plane.settings
        is_local = settings.cache_store_region in ("", settings.region)
        if not settings.cache_store_url or not is_local:
            # Across regions an agent's part of the link budget is smaller than one block.
            return None
        store = CacheStoreClient(self.session, settings.cache_store_url)
        return KeptCache(store, self.endpoint.url, self.session, self.state.index)

    async def run(self) -> None:
        """Watch the engine until cancelled."""
        await self.watcher.run()

    def follow_orders(self) -> None:
        """Start to give orders to the engine."""
        self.orders = OrderService(
            self.plane,
            self.endpoint.id,
            self.endpoint.url,
            self.session,
            self.spawn,
            self._wait_for_prefill,
        )

    def bundle_changed(self, bundle: Bundle) -> None:
        """Take the wanted state of a bundle."""
        if self.orders is not None:
            self.orders.bundle_changed(bundle)

    def tick(self, now: float) -> None:
        """Apply the deadlines of orders."""
        if self.orders is not None:
            self.orders.tick(now)

    @property
    def load(self) -> LoadReport | None:
        """Return the latest load report."""
        return self.state.load

    @property
    def is_reachable(self) -> bool:
        """Return whether the engine answered the last question."""
        return self.state.reachable

    @property
    def incarnation(self) -> str:
        """Return the engine's incarnation, empty if it was never seen."""
        return self.state.incarnation

    def match(self, chain: Sequence[bytes]) -> int:
        """Return how many leading blocks of a chain the engine has."""
        return self.state.index.match(chain)

    def describe(self) -> dict:
        """Return the state of the engine, for operators."""
        return {
            "cached_blocks": len(self.state.index.blocks),
            "engine_incarnation": self.incarnation,
            "weights": self.load.weights if self.load else "",
        }

    async def prepare(self, start: Start, key: str, priority: int) -> bytes:
        """Import kept cache, then return the body with the fields that depend on the weights.

        :param key: name of the run, until its first byte in ``prefilling``.
        """
        load = self.load
        assert load is not None, "a run starts only while the engine answers"
        if self.kept_cache is not None and self._are_weights_certain():
            per_block_s = load.prefill_us_per_token * self._block_tokens(start.model) / 1e6
            await self.kept_cache.import_missing(start.chain, per_block_s)
            # The report may have been replaced during the import.
            load = self.load or load
        is_certain = self._are_weights_certain()
        if is_certain:
            self.prefilling.add(key)
        return model_body(start, load.weights, is_certain, priority)

    def keep_shared(self, chain: Sequence[bytes]) -> None:
        """Export the blocks of a finished request that others share."""
        if self.kept_cache is not None:
            self.spawn(self.kept_cache.export_shared(chain))

    def _changed(self) -> None:
        if self.orders is not None and self.load is not None and self.is_reachable:
            self.orders.engine_seen(self.load)
        self.load_changed()

    def _are_weights_certain(self) -> bool:
        if self.load is None or self.orders is None:
            return False
        return self.orders.are_weights_certain(self.load, time.monotonic())

    def _block_tokens(self, model: str) -> int:
        bundle = self.plane.bundle
        for spec in bundle.models if bundle else ():
            if spec.id == model:
                return spec.block_tokens
        return DEFAULT_BLOCK_TOKENS

    async def _wait_for_prefill(self, deadline: float) -> None:
        """Wait until the requests that were sent before have their first byte."""
        waiting = set(self.prefilling)
        while waiting & self.prefilling and time.monotonic() < deadline:
            await asyncio.sleep(PREFILL_POLL_S)
