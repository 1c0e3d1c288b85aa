"""Control of a model engine: monitoring, orders, KV cache transfers, cache salts."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence

import aiohttp

from teaselpath.agent._cache_transfers import CacheTransfers
from teaselpath.agent._endpoint_request import model_body
from teaselpath.agent._engine import EngineState, EngineWatcher, LoadReport
from teaselpath.agent._orders import OrderService
from teaselpath.bundle import Bundle
from teaselpath.clients import CacheStoreClient
from teaselpath.control import ControlPlane
from teaselpath.prefix import CacheIndex
from teaselpath.wire import Start

DEFAULT_BLOCK_TOKENS = 2048
PREFILL_POLL_S = 0.02


class EngineController:
    """Tracks the state of a model engine and sends its orders and cache transfers.

    :param plane: configuration and settings of this process.
    :param session: HTTP session to the engine and the store.
    :param on_load_change: called after each poll of the load report.
    :param spawn: starts a task in the task group of the agent.
    """

    def __init__(
        self,
        plane: ControlPlane,
        session: aiohttp.ClientSession,
        on_load_change: Callable[[], None],
        spawn: Callable[[Coroutine], None],
    ):
        self.plane = plane
        self.session = session
        self.on_load_change = on_load_change
        self.spawn = spawn
        self.endpoint = plane.settings.endpoint
        self.state = EngineState(CacheIndex())
        self.watcher = EngineWatcher(self.endpoint.url, session, self.state, self._on_report)
        self.orders: OrderService | None = None
        self.cache_transfers = self._make_cache_transfers()
        # Runs with a salt of the confirmed weights that have not produced a first byte yet.
        self.prefilling: set[str] = set()

    def _make_cache_transfers(self) -> CacheTransfers | None:
        settings = self.plane.settings
        is_local = settings.cache_store_region in ("", settings.region)
        if not settings.cache_store_url or not is_local:
            # Across regions, one agent's share of the link budget is smaller than a single block.
            return None
        store = CacheStoreClient(self.session, settings.cache_store_url)
        return CacheTransfers(store, self.endpoint.url, self.session, self.state.index)

    async def run(self) -> None:
        """Monitor the engine until cancelled."""
        await self.watcher.run()

    def follow_orders(self) -> None:
        """Start to follow the order stream and to send orders to the engine."""
        self.orders = OrderService(
            self.plane,
            self.endpoint.id,
            self.endpoint.url,
            self.session,
            self.spawn,
            self._wait_for_prefill,
        )

    def on_bundle_changed(self, bundle: Bundle) -> None:
        """Apply the desired engine state of a bundle."""
        if self.orders is not None:
            self.orders.on_bundle_changed(bundle)

    def tick(self, now: float) -> None:
        """Process the timeouts of orders."""
        if self.orders is not None:
            self.orders.tick(now)

    @property
    def load(self) -> LoadReport | None:
        """Return the latest load report."""
        return self.state.load

    @property
    def is_reachable(self) -> bool:
        """Return whether the engine answered the last load poll."""
        return self.state.is_reachable

    @property
    def incarnation(self) -> str:
        """Return the engine's incarnation, empty before the first load report."""
        return self.state.incarnation

    def match(self, chain: Sequence[bytes]) -> int:
        """Return how many leading blocks of a chain the engine has cached."""
        return self.state.index.match(chain)

    def describe(self) -> dict:
        """Return the state of the engine for operators' status requests."""
        return {
            "cached_blocks": len(self.state.index.blocks),
            "engine_incarnation": self.incarnation,
            "weights": self.load.weights if self.load else "",
        }

    async def prepare(self, start: Start, key: str, priority: int) -> bytes:
        """Import stored KV cache blocks, then return the body with its weights-dependent fields.

        :param key: key of the run; stays in ``prefilling`` until the first byte.
        """
        load = self.load
        assert load is not None, "a run starts only while the engine is reachable"
        if self.cache_transfers is not None and self._are_weights_confirmed():
            per_block_s = load.prefill_us_per_token * self._block_tokens(start.model) / 1e6
            await self.cache_transfers.import_missing(start.chain, per_block_s)
            # A newer report may have arrived during the import.
            load = self.load or load
        is_confirmed = self._are_weights_confirmed()
        if is_confirmed:
            self.prefilling.add(key)
        return model_body(start, load.weights, is_confirmed, priority)

    def export_shared_prefix(self, chain: Sequence[bytes]) -> None:
        """Export the frequently used blocks of a finished request to the store."""
        if self.cache_transfers is not None:
            self.spawn(self.cache_transfers.export_shared(chain))

    def _on_report(self) -> None:
        if self.orders is not None and self.load is not None and self.is_reachable:
            self.orders.handle_report(self.load)
        self.on_load_change()

    def _are_weights_confirmed(self) -> bool:
        if self.load is None or self.orders is None:
            return False
        return self.orders.are_weights_confirmed(self.load, time.monotonic())

    def _block_tokens(self, model: str) -> int:
        bundle = self.plane.bundle
        for spec in bundle.models if bundle else ():
            if spec.id == model:
                return spec.block_tokens
        return DEFAULT_BLOCK_TOKENS

    async def _wait_for_prefill(self, deadline: float) -> None:
        """Wait until the requests already sent have produced a first byte, or for the deadline."""
        waiting = set(self.prefilling)
        while waiting & self.prefilling and time.monotonic() < deadline:
            await asyncio.sleep(PREFILL_POLL_S)
